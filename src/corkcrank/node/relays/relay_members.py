"""Chooses the members that relay requests to workers which this gateway does not reach."""

from collections import Counter
from collections.abc import Collection, Iterator
from contextlib import contextmanager

from corkcrank.contracts import clock
from corkcrank.contracts.rendezvous import rendezvous_hash
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.members import Member

MAX_EXTRA_WAITING = 16
"""Requests by which a member that reached a worker before may have more waiting than another."""

OTHER_ZONE_LOAD = 4
"""A member in the zone of neither the worker nor this gateway is chosen once the others have so
many more requests waiting: their bytes cross zones twice."""

UNREACHABLE_MEMBER_SECONDS = 1.0
"""Time for which a member that could not be reached is not asked again."""


class RelayMembers:
    """Ranks the members, by the requests that wait for each and by zone."""

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
        """Record that no connection to a member could be opened."""
        self._unreachable_until[name] = clock.now() + UNREACHABLE_MEMBER_SECONDS

    def record_reached(self, worker_id: str, name: str | None) -> None:
        """Record which member reaches a worker, ``None`` if none does."""
        if name is None:
            self._reached_by.pop(worker_id, None)
        else:
            self._reached_by[worker_id] = name

    def retain_only(self, worker_ids: Collection[str]) -> None:
        """Forget who reached workers that are no longer listed."""
        for worker_id in self._reached_by.keys() - set(worker_ids):
            del self._reached_by[worker_id]

    def choose(self, worker: WorkerRecord, declined: Collection[str]) -> Member | None:
        """Return the member to ask next, ``None`` if all have declined.

        Some members may have lost their links to a part of the workers too. So the one that
        reached the worker before is asked, unless others have many fewer requests waiting.
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
        """Return the members that reach workers and have not declined, the best first."""
        now = clock.now()

        def order(member: Member) -> tuple[int, int]:
            name, zone = member.heartbeat.name, member.heartbeat.zone
            load = self._waiting[name]
            if zone not in (worker.zone, self._fleet.local_zone):
                load += OTHER_ZONE_LOAD
            return load, rendezvous_hash(self._fleet.local_name, name)

        return sorted(
            (
                member
                for member in self._fleet.relay_members(now)
                if member.heartbeat.name not in declined
                and self._unreachable_until.get(member.heartbeat.name, 0.0) <= now
            ),
            key=order,
        )
