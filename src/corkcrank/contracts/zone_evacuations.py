"""Zones that the operator evacuated: their workers must receive nothing.

A zone is evacuated while its row exists in the store, whatever the row contains. Members report
zone states to each other. A state carries the store's revision of the row, so that reports may
arrive twice and in any order: the newest one counts. Ended evacuations are kept, since a member
that missed the end would otherwise report the evacuation again.
"""

from collections.abc import Iterable

import msgspec

MAX_ZONES = 64
"""Maximum number of stored zone states; the evacuations that ended first are removed first."""


class ZoneState(msgspec.Struct, frozen=True, array_like=True):
    """Whether a zone is evacuated as of a store revision."""

    zone: str
    revision: int
    evacuated: bool


class ZoneEvacuations:
    """The newest known state of each zone that was ever evacuated.

    >>> zones = ZoneEvacuations()
    >>> zones.apply_states([ZoneState("a", 5, True)])
    (ZoneState(zone='a', revision=5, evacuated=True),)
    >>> zones.apply_states([ZoneState("a", 4, False)]), zones.evacuated
    ((), frozenset({'a'}))
    """

    def __init__(self) -> None:
        self._states: dict[str, ZoneState] = {}
        self._read_revision = 0
        self.newest_revision = 0
        """Highest revision of a state."""
        self.evacuated: frozenset[str] = frozenset()

    def apply_states(self, states: Iterable[ZoneState]) -> tuple[ZoneState, ...]:
        """Apply states in any order; return those that changed whether a zone is evacuated.

        A state as old as the last full read is ignored: either that read included it, or the
        evacuation had ended by then.
        """
        changed = []
        newer = False
        for state in states:
            if state.revision > max(self._read_revision, self._known_revision(state.zone)):
                newer = True
                changed += self._store_state(state)
        if newer:
            self._update()
        return tuple(changed)

    def replace_all(self, listed: Iterable[ZoneState], revision: int) -> tuple[ZoneState, ...]:
        """Apply a full read as of ``revision``; zones without a row are no longer evacuated."""
        rows = {state.zone: state for state in listed if state.evacuated}
        missing = [
            ZoneState(known.zone, revision, evacuated=False)
            for known in self._states.values()
            if known.evacuated and known.zone not in rows and known.revision <= revision
        ]
        changed = []
        for state in [*rows.values(), *missing]:
            if state.revision >= self._known_revision(state.zone):
                changed += self._store_state(state)
        self._read_revision = max(self._read_revision, revision)
        self._update()
        return tuple(changed)

    def discard_after(self, revision: int) -> None:
        """Make states of later revisions older than any other; a full read must follow.

        >>> zones = ZoneEvacuations()
        >>> changed = zones.apply_states([ZoneState("a", 99, True)])
        >>> zones.discard_after(7)
        >>> zones.replace_all([], 8)
        (ZoneState(zone='a', revision=8, evacuated=False),)
        """
        for state in list(self._states.values()):
            if state.revision > revision:
                self._states[state.zone] = ZoneState(state.zone, 0, state.evacuated)
        self._update()

    def states_to_report(self) -> tuple[ZoneState, ...]:
        """Return the states for heartbeats, in an order that is the same at all members."""
        return tuple(self._states[zone] for zone in sorted(self._states))

    def _known_revision(self, zone: str) -> int:
        known = self._states.get(zone)
        return known.revision if known is not None else 0

    def _store_state(self, state: ZoneState) -> list[ZoneState]:
        """Store a state; return ``[state]`` if it evacuates or restores its zone, else ``[]``."""
        known = self._states.get(state.zone)
        self._states[state.zone] = state
        was_evacuated = known is not None and known.evacuated
        return [state] if state.evacuated != was_evacuated else []

    def _update(self) -> None:
        while len(self._states) > MAX_ZONES:
            oldest = min(self._states.values(), key=lambda state: (state.evacuated, state.revision))
            del self._states[oldest.zone]
        states = self._states.values()
        self.evacuated = frozenset(state.zone for state in states if state.evacuated)
        self.newest_revision = max((state.revision for state in states), default=0)
