"""Records which worker stores each result of a call."""

from collections.abc import Iterable

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.node.peers.peer_protocol import FreeResults


class HeldResults:
    """Stored results by handle. A result is removed when this gateway or an owner frees it."""

    def __init__(self) -> None:
        self._holders: dict[str, WorkerRecord] = {}

    def add(self, handle: str, worker: WorkerRecord) -> None:
        """Record a result that a worker stores."""
        self._holders[handle] = worker

    def remove(self, handles: Iterable[str]) -> list[tuple[str, WorkerRecord]]:
        """Remove results; return those that were recorded, with their workers."""
        return [
            (handle, self._holders.pop(handle)) for handle in handles if handle in self._holders
        ]

    def remove_all(self) -> list[tuple[str, WorkerRecord]]:
        """Remove all results and return them with their workers."""
        return self.remove(list(self._holders))

    def count_by_zone(self, handles: Iterable[str]) -> dict[str, int]:
        """Return the number of the given results stored in each zone."""
        counts: dict[str, int] = {}
        for handle in handles:
            holder = self._holders.get(handle)
            if holder is not None:
                counts[holder.zone] = counts.get(holder.zone, 0) + 1
        return counts

    def group_by_worker(self, handles: Iterable[str]) -> tuple[FreeResults, ...]:
        """Return messages that free the given results, one for each worker."""
        found: dict[str, list[str]] = {}
        for handle in handles:
            holder = self._holders.get(handle)
            if holder is not None:
                found.setdefault(holder.worker_id, []).append(handle)
        return tuple(FreeResults(worker_id, tuple(stored)) for worker_id, stored in found.items())
