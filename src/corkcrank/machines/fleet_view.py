"""Summarizes the members' heartbeats: live members, serving members by zone, and backlogs.

A view is valid until a member joins, leaves, is suspected or sends heartbeats again, and not
for a fixed time. While nothing changes, the cost of a query does not depend on the fleet's size:
it is the same with 195 members as with six. The backlogs are summed as heartbeats arrive.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from corkcrank.contracts.rendezvous import rendezvous_hash
from corkcrank.machines.heartbeat import Phase, ServiceBacklog
from corkcrank.machines.members import Member

Rank = tuple[int, int]

MIN_STRONG_SHARE = 0.7
"""Least share of the strongest member's strength that counts as strong. Machines of one kind are
alike, and kinds differ by more."""


class BacklogSums:
    """Sums of the pieces and rates that members report, by stage service and rank."""

    def __init__(self) -> None:
        self._pieces: dict[str, dict[Rank, int]] = {}
        self._rates: dict[str, dict[Rank, float]] = {}
        self._claimed: dict[str, dict[Rank, int]] = {}

    def add(self, backlogs: Iterable[ServiceBacklog]) -> None:
        """Add the backlogs that a member reports."""
        for item in backlogs:
            self._add(item, 1)

    def subtract(self, backlogs: Iterable[ServiceBacklog]) -> None:
        """Subtract the backlogs that a member reported before."""
        for item in backlogs:
            self._add(item, -1)

    def _add(self, item: ServiceBacklog, sign: int) -> None:
        pieces = self._pieces.setdefault(item.service, {})
        rates = self._rates.setdefault(item.service, {})
        pieces[item.rank] = pieces.get(item.rank, 0) + sign * item.pieces
        rates[item.rank] = rates.get(item.rank, 0.0) + sign * item.rate
        if item.claimed:
            claimed = self._claimed.setdefault(item.service, {})
            claimed[item.rank] = claimed.get(item.rank, 0) + sign * item.claimed

    def pieces_up_to(self, service: str, rank: Rank) -> int:
        """Return the pieces of this rank and of more urgent ones.

        >>> sums = BacklogSums()
        >>> sums.add([ServiceBacklog("s", (0, 1), 5, 2.0), ServiceBacklog("s", (0, 2), 1, 0.5)])
        >>> sums.pieces_up_to("s", (0, 1)), sums.rate_before("s", (0, 2))
        (5, 2.0)
        >>> sums.subtract([ServiceBacklog("s", (0, 1), 5, 2.0)])
        >>> sums.pieces_up_to("s", (0, 1)), sums.rate_before("s", (0, 2))
        (0, 0.0)
        """
        pieces_by_rank = self._pieces.get(service, {})
        return sum(pieces for other, pieces in pieces_by_rank.items() if other <= rank)

    def claimed_up_to(self, service: str, rank: Rank) -> int:
        """Return the pieces of outstanding claims of this rank and of more urgent ones."""
        claimed_by_rank = self._claimed.get(service, {})
        return sum(pieces for other, pieces in claimed_by_rank.items() if other <= rank)

    def rate_before(self, service: str, rank: Rank) -> float:
        """Return the pieces per second of more urgent ranks."""
        rates_by_rank = self._rates.get(service, {})
        # Rounding of added and subtracted rates may leave a sum slightly below zero.
        return max(0.0, sum(rate for other, rate in rates_by_rank.items() if other < rank))


@dataclass(slots=True)
class FleetView:
    """Live and serving members, valid until ``valid_until`` of the local clock at most.

    ``live`` holds the other members that are not suspected, by name. ``serving`` lists the
    serving members by zone, this one included, and ``all_serving`` lists all of them;
    ``reaching`` and ``all_reaching`` only those that reach workers. ``strengths`` are in standard
    processors, by name. ``suspected_zones`` are the zones of members that are suspected and have
    not announced a stop.
    """

    valid_until: float
    live: dict[str, Member] = field(default_factory=dict)
    serving: dict[str, list[str]] = field(default_factory=dict)
    all_serving: list[str] = field(default_factory=list)
    reaching: dict[str, list[str]] = field(default_factory=dict)
    all_reaching: list[str] = field(default_factory=list)
    strengths: dict[str, float] = field(default_factory=dict)
    suspected_zones: set[str] = field(default_factory=set)
    backlogs: BacklogSums = field(default_factory=BacklogSums)
    _owners: dict[tuple[str, str], str] = field(default_factory=dict)

    def add_member(self, member: Member) -> None:
        """Add a live member and its backlogs."""
        beat = member.heartbeat
        self.live[beat.name] = member
        self.backlogs.add(beat.backlogs)
        self.limit_validity(member)
        if beat.phase == Phase.SERVING:
            self.add_serving_member(
                beat.name, beat.zone, beat.strength, reaches_workers=not beat.partitioned
            )

    def add_suspected_member(self, member: Member) -> None:
        """Add a member that is suspected."""
        if member.heartbeat.phase != Phase.LEAVING:
            self.suspected_zones.add(member.heartbeat.zone)

    def is_silent(self, zone: str) -> bool:
        """Return whether a zone has suspected members, and none that serves.

        They may have ended, or a link to their zone may be cut; the two look alike.
        """
        return zone in self.suspected_zones and not self.serving.get(zone)

    def replace_heartbeat(self, known: Member, received: Member) -> None:
        """Replace the heartbeat of a live member whose phase has not changed."""
        self.live[received.heartbeat.name] = received
        self.backlogs.subtract(known.heartbeat.backlogs)
        self.backlogs.add(received.heartbeat.backlogs)
        self.limit_validity(received)

    def limit_validity(self, member: Member) -> None:
        """Limit the validity of the view to when the member would be suspected."""
        self.valid_until = min(self.valid_until, member.suspected_at)

    def add_serving_member(
        self, name: str, zone: str, strength: float, *, reaches_workers: bool = True
    ) -> None:
        """Add a serving member; ``strength`` is in standard processors, 0 if unknown."""
        self.serving.setdefault(zone, []).append(name)
        self.all_serving.append(name)
        if reaches_workers:
            self.reaching.setdefault(zone, []).append(name)
            self.all_reaching.append(name)
        self.strengths[name] = strength

    def owner(self, zone: str, key: str) -> str | None:
        """Return the member that decides about a key in a zone, or ``None`` if none serves.

        Only strong members are chosen: an owner handles all calls of its zone, and each call
        waits for the owner's processor and link. A member that reaches no worker is chosen only if
        none does.
        """
        owner = self._owners.get((zone, key))
        if owner is not None:
            return owner
        names = self.reaching.get(zone) or self.all_reaching
        names = names or self.serving.get(zone) or self.all_serving
        if not names:
            return None
        min_strength = MIN_STRONG_SHARE * max(self.strengths[name] for name in names)
        strong = [name for name in names if self.strengths[name] >= min_strength]
        owner = max(strong, key=lambda name: rendezvous_hash(key, name))
        self._owners[zone, key] = owner
        return owner
