"""Zones whose workers the operator wants nothing sent to, as members tell them to each other.

The operator's row of a zone stands for its evacuation, whatever the row holds. A zone's state
carries the store's revision of the row, so that states may be told twice and in any order:
the newer one stands. What was taken back is remembered, since a member that missed it would
otherwise tell of the evacuation again.
"""

from collections.abc import Iterable

import msgspec

MOST_ZONES = 64
"""Zones whose state is kept; what was taken back longest ago is forgotten first."""


class ZoneState(msgspec.Struct, frozen=True, array_like=True):
    """Whether a zone is evacuated, as of a revision of the store."""

    zone: str
    revision: int
    evacuated: bool


class ZoneEvacuations:
    """The newest state known of each zone that was ever evacuated.

    >>> zones = ZoneEvacuations()
    >>> zones.take([ZoneState("a", 5, True)])
    (ZoneState(zone='a', revision=5, evacuated=True),)
    >>> zones.take([ZoneState("a", 4, False)]), zones.evacuated
    ((), frozenset({'a'}))
    """

    def __init__(self) -> None:
        self._states: dict[str, ZoneState] = {}
        self._read_revision = 0
        self.evacuated: frozenset[str] = frozenset()

    def take(self, states: Iterable[ZoneState]) -> tuple[ZoneState, ...]:
        """Take states in any order; return those by which a zone changed.

        A state as old as the last whole reading says nothing new: that reading held it, or
        the zone had been taken back by then.
        """
        changed = []
        for state in states:
            if state.revision > max(self._read_revision, self._revision_of(state.zone)):
                changed += self._put(state)
        self._summarise()
        return tuple(changed)

    def replace_all(self, listed: Iterable[ZoneState], revision: int) -> tuple[ZoneState, ...]:
        """Take every row there is as of ``revision``; zones without one are taken back."""
        rows = {state.zone: state for state in listed if state.evacuated}
        missing = [
            ZoneState(known.zone, revision, evacuated=False)
            for known in self._states.values()
            if known.evacuated and known.zone not in rows and known.revision <= revision
        ]
        changed = []
        for state in [*rows.values(), *missing]:
            if state.revision >= self._revision_of(state.zone):
                changed += self._put(state)
        self._read_revision = max(self._read_revision, revision)
        self._summarise()
        return tuple(changed)

    def told(self) -> tuple[ZoneState, ...]:
        """Return what heartbeats tell, the same for all members that know the same."""
        return tuple(self._states[zone] for zone in sorted(self._states))

    def _revision_of(self, zone: str) -> int:
        known = self._states.get(zone)
        return known.revision if known is not None else 0

    def _put(self, state: ZoneState) -> list[ZoneState]:
        """Keep a state; return it if the zone is another now."""
        known = self._states.get(state.zone)
        self._states[state.zone] = state
        was_evacuated = known is not None and known.evacuated
        return [state] if state.evacuated != was_evacuated else []

    def _summarise(self) -> None:
        while len(self._states) > MOST_ZONES:
            oldest = min(self._states.values(), key=lambda state: (state.evacuated, state.revision))
            del self._states[oldest.zone]
        self.evacuated = frozenset(state.zone for state in self._states.values() if state.evacuated)
