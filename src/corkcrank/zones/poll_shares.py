"""Distributes the polling of workers over the controllers of a zone.

One controller polls each worker for all others. Each controller computes its share from the
member list alone, by rendezvous hashing. While lists differ, a worker may be polled twice or,
for one round, not at all, which only delays its report.
"""

from collections.abc import Sequence

from corkcrank.contracts.identifiers import MemberId
from corkcrank.contracts.messages import WorkerEntry
from corkcrank.contracts.rendezvous import rendezvous_hash
from corkcrank.zones.digest import MemberEntry


class PollShares:
    """Cache of one controller's share, recomputed only if members or workers change."""

    def __init__(self, member: MemberId) -> None:
        self._member = member
        self._members: tuple[MemberEntry, ...] = ()
        self._workers: tuple[WorkerEntry, ...] = ()
        self._share: tuple[WorkerEntry, ...] = ()

    def share(
        self, members: tuple[MemberEntry, ...], workers: tuple[WorkerEntry, ...]
    ) -> tuple[WorkerEntry, ...]:
        """Return the workers that this controller polls."""
        if members != self._members or workers != self._workers:
            self._members, self._workers = members, workers
            self._share = poll_share(self._member, members, workers)
        return self._share


def poll_share(
    member: MemberId, members: Sequence[MemberEntry], workers: Sequence[WorkerEntry]
) -> tuple[WorkerEntry, ...]:
    """Return the workers that ``member`` polls."""
    controllers = {entry.member for entry in members if entry.role == "controller"}
    controllers.add(member)
    ordered = sorted(controllers)
    return tuple(
        worker
        for worker in workers
        if max(ordered, key=lambda name: rendezvous_hash(worker.worker, name)) == member
    )
