"""The results that one call holds, each at the worker that made it."""

from collections.abc import Iterable

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.node.peers.peer_protocol import FreeResults


class HeldResults:
    """Results by handle; what is freed, here or by an owner, is held no more."""

    def __init__(self) -> None:
        self._holders: dict[str, WorkerRecord] = {}

    def add(self, handle: str, worker: WorkerRecord) -> None:
        """Hold a result that a worker made."""
        self._holders[handle] = worker

    def take(self, handles: Iterable[str]) -> list[tuple[str, WorkerRecord]]:
        """Hold some results no more; return those that were held, with their workers."""
        return [
            (handle, self._holders.pop(handle)) for handle in handles if handle in self._holders
        ]

    def take_all(self) -> list[tuple[str, WorkerRecord]]:
        """Hold nothing any more; return what was held."""
        return self.take(list(self._holders))

    def by_zone(self, handles: Iterable[str]) -> dict[str, int]:
        """Return how many of some results lie in each zone."""
        counts: dict[str, int] = {}
        for handle in handles:
            holder = self._holders.get(handle)
            if holder is not None:
                counts[holder.zone] = counts.get(holder.zone, 0) + 1
        return counts

    def by_worker(self, handles: Iterable[str]) -> tuple[FreeResults, ...]:
        """Return some results as messages that give them up, one a worker."""
        found: dict[str, list[str]] = {}
        for handle in handles:
            holder = self._holders.get(handle)
            if holder is not None:
                found.setdefault(holder.worker_id, []).append(handle)
        return tuple(FreeResults(worker_id, tuple(own)) for worker_id, own in found.items())
