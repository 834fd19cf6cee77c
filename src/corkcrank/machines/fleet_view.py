"""What follows from the members' heartbeats: who lives, who serves where, what is asked for.

A view holds until somebody joins, leaves, is suspected or is heard again, and not for a
fixed time: in a fleet of 195 where nothing changes, asking for it costs the same as in one
of six. The loads that heartbeats tell are added up as they come.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from corkcrank.contracts.rendezvous import rendezvous_weight
from corkcrank.machines.heartbeat import Phase, ServiceBacklog
from corkcrank.machines.members import Member

Rank = tuple[int, int]

STRONG_SHARE = 0.7
"""Part of the strongest member's strength from which a member counts as strong: machines of one
kind are alike, and kinds differ by more."""


class BacklogSums:
    """Pieces and rates that members told, added up by stage service and rank."""

    def __init__(self) -> None:
        self._pieces: dict[str, dict[Rank, int]] = {}
        self._rates: dict[str, dict[Rank, float]] = {}

    def add(self, backlogs: Iterable[ServiceBacklog]) -> None:
        """Add what a member's calls will still ask for."""
        for item in backlogs:
            self._add(item, 1)

    def remove(self, backlogs: Iterable[ServiceBacklog]) -> None:
        """Take off what a member told before."""
        for item in backlogs:
            self._add(item, -1)

    def _add(self, item: ServiceBacklog, sign: int) -> None:
        pieces = self._pieces.setdefault(item.service, {})
        rates = self._rates.setdefault(item.service, {})
        pieces[item.rank] = pieces.get(item.rank, 0) + sign * item.pieces
        rates[item.rank] = rates.get(item.rank, 0.0) + sign * item.rate

    def pieces_up_to(self, service: str, rank: Rank) -> int:
        """Return the pieces of this rank and of more urgent ones.

        >>> sums = BacklogSums()
        >>> sums.add([ServiceBacklog("s", (0, 1), 5, 2.0), ServiceBacklog("s", (0, 2), 1, 0.5)])
        >>> sums.pieces_up_to("s", (0, 1)), sums.rate_before("s", (0, 2))
        (5, 2.0)
        >>> sums.remove([ServiceBacklog("s", (0, 1), 5, 2.0)])
        >>> sums.pieces_up_to("s", (0, 1)), sums.rate_before("s", (0, 2))
        (0, 0.0)
        """
        told = self._pieces.get(service, {})
        return sum(pieces for other, pieces in told.items() if other <= rank)

    def rate_before(self, service: str, rank: Rank) -> float:
        """Return the pieces a second of more urgent ranks."""
        told = self._rates.get(service, {})
        # Rounding may leave a little below zero of what was added and taken off.
        return max(0.0, sum(rate for other, rate in told.items() if other < rank))


@dataclass(slots=True)
class FleetView:
    """Who lives and serves, until ``until`` at most on the own clock.

    ``live`` are the other members that are not suspected, by name; ``serving`` lists
    those that serve by zone, this one included, and ``all_serving`` all of them, with their
    ``strengths`` in processors.
    """

    until: float
    live: dict[str, Member] = field(default_factory=dict)
    serving: dict[str, list[str]] = field(default_factory=dict)
    all_serving: list[str] = field(default_factory=list)
    strengths: dict[str, float] = field(default_factory=dict)
    backlogs: BacklogSums = field(default_factory=BacklogSums)
    _owners: dict[tuple[str, str], str] = field(default_factory=dict)

    def add(self, member: Member) -> None:
        """Count a member that lives."""
        beat = member.heartbeat
        self.live[beat.name] = member
        self.backlogs.add(beat.backlogs)
        self.note_deadline(member)
        if beat.phase == Phase.SERVING:
            self.add_serving(beat.name, beat.zone, beat.strength)

    def replace(self, known: Member, heard: Member) -> None:
        """Take a newer heartbeat of a member that was counted, and serves as before."""
        self.live[heard.heartbeat.name] = heard
        self.backlogs.remove(known.heartbeat.backlogs)
        self.backlogs.add(heard.heartbeat.backlogs)
        self.note_deadline(heard)

    def note_deadline(self, member: Member) -> None:
        """Hold only until the member would be suspected."""
        self.until = min(self.until, member.suspected_at)

    def add_serving(self, name: str, zone: str, strength: float) -> None:
        """Count a member that serves; ``strength`` is in processors, 0 if it is not known."""
        self.serving.setdefault(zone, []).append(name)
        self.all_serving.append(name)
        self.strengths[name] = strength

    def owner(self, zone: str, key: str) -> str | None:
        """Return the member that decides about something in a zone, if any serves.

        One of the strong ones: an owner answers for all calls of its zone, and each of them
        waits for its processor and its link.
        """
        owner = self._owners.get((zone, key))
        if owner is not None:
            return owner
        names = self.serving.get(zone) or self.all_serving
        if not names:
            return None
        least = STRONG_SHARE * max(self.strengths[name] for name in names)
        strong = [name for name in names if self.strengths[name] >= least]
        owner = max(strong, key=lambda name: rendezvous_weight(key, name))
        self._owners[zone, key] = owner
        return owner
