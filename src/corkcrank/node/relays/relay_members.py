"""Chooses the members that relay requests to workers which this gateway cannot reach."""

from collections import Counter
from collections.abc import Collection, Iterator
from contextlib import contextmanager

from corkcrank.contracts import clock
from corkcrank.contracts.rendezvous import rendezvous_hash
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.members import Member

MAX_EXTRA_WAITING = 16
"""Maximum number of additional waiting requests at a member that reached the worker before."""

OTHER_ZONE_LOAD = 4
"""Penalty, in waiting requests, of a member in the zone of neither the worker nor this gateway: the
bytes cross zones twice."""

UNREACHABLE_MEMBER_SECONDS = 1.0
"""Time for which an unreachable member gets no requests."""


class RelayMembers:
    """Ranks members by the number of waiting requests and by zone."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._waiting: Counter[str] = Counter()
        self._unreachable_until: dict[str, float] = {}
        self._reached_by: dict[str, str] = {}

    @contextmanager
    def count_waiting(self, name: str) -> Iterator[None]:
        """Count a request that waits for a member's response."""
        self._waiting[name] += 1
        try:
            yield
        finally:
            self._waiting[name] -= 1

    def record_unreachable(self, name: str) -> None:
        """Record that connecting to a member failed."""
        self._unreachable_until[name] = clock.now() + UNREACHABLE_MEMBER_SECONDS

    def record_reached(self, worker_id: str, name: str | None) -> None:
        """Record which member reaches a worker, ``None`` for none; mark it as reachable."""
        if name is None:
            self._reached_by.pop(worker_id, None)
        else:
            self._reached_by[worker_id] = name
            self._unreachable_until.pop(name, None)

    def retain_only(self, worker_ids: Collection[str]) -> None:
        """Remove the members that reached workers which are no longer listed."""
        for worker_id in self._reached_by.keys() - set(worker_ids):
            del self._reached_by[worker_id]

    def choose(self, worker: WorkerRecord, declined: Collection[str]) -> Member | None:
        """Return the next member for a request, ``None`` if all have declined.

        Members may also have lost links to some workers. The member that reached the worker before
        is therefore preferred, unless others have far fewer requests waiting.
        """
        ranked = self.ranked(worker, declined)
        if not ranked:
            return None
        known = self._reached_by.get(worker.worker_id)
        fewest = self._waiting[ranked[0].heartbeat.name]
        for member in ranked:
            name = member.heartbeat.name
            if name == known and self._waiting[name] <= fewest + MAX_EXTRA_WAITING:
                return member
        return ranked[0]

    def ranked(self, worker: WorkerRecord, declined: Collection[str] = ()) -> list[Member]:
        """Return the members that reach workers and have not declined, best first."""
        now = clock.now()
        return [
            member
            for member in self.ranked_with_unreachable(worker)
            if member.heartbeat.name not in declined and not self._is_unreachable(member, now)
        ]

    def ranked_with_unreachable(self, worker: WorkerRecord) -> list[Member]:
        """Return all members that reach workers, best first and unreachable ones last."""
        now = clock.now()

        def order(member: Member) -> tuple[bool, int, int]:
            name, zone = member.heartbeat.name, member.heartbeat.zone
            load = self._waiting[name]
            if zone not in (worker.zone, self._fleet.local_zone):
                load += OTHER_ZONE_LOAD
            unreachable = self._is_unreachable(member, now)
            return unreachable, load, rendezvous_hash(self._fleet.local_name, name)

        return sorted(self._fleet.relay_members(now), key=order)

    def _is_unreachable(self, member: Member, now: float) -> bool:
        return self._unreachable_until.get(member.heartbeat.name, 0.0) > now
