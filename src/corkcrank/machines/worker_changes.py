"""Changed rows of the list of workers, as gateways tell them to each other.

Rows carry the revision that the store gave them, so they may be told twice and in any
order. ``since`` and ``revision`` say between which states of the list the batch is whole.
"""

from collections import deque

import msgspec

from corkcrank.contracts.worker_records import WorkerRecord

TOLD_SECONDS = 1.5
"""Time for which a change is told: a few heartbeats, since datagrams are lost."""

MOST_TOLD = 20
"""Changes that one heartbeat tells at most, the newest; who misses more asks for the list."""


class WorkerChange(msgspec.Struct, frozen=True, array_like=True):
    """One changed row; ``record`` is ``None`` where it names no worker to use any more."""

    name: str
    revision: int
    record: WorkerRecord | None


class WorkerChangeBatch(msgspec.Struct, frozen=True, array_like=True):
    """All changes after ``since`` up to ``revision``."""

    since: int
    revision: int
    changes: tuple[WorkerChange, ...]


class RecentWorkerChanges:
    """The changes that this gateway learned of in the last moments."""

    def __init__(self) -> None:
        self._batches: deque[tuple[float, WorkerChangeBatch]] = deque()

    def add(self, batch: WorkerChangeBatch, now: float) -> None:
        """Note changes that are to be told."""
        self._batches.append((now, batch))

    def current(self, now: float) -> WorkerChangeBatch | None:
        """Return what is to be told now: the newest batches that fit and follow each other.

        What this gateway learned by a whole list in between is in no batch.

        >>> recent = RecentWorkerChanges()
        >>> recent.add(WorkerChangeBatch(3, 5, (WorkerChange("a", 5, None),)), 0.0)
        >>> recent.add(WorkerChangeBatch(5, 9, (WorkerChange("b", 9, None),)), 1.0)
        >>> recent.current(1.0).since, recent.current(1.0).revision
        (3, 9)
        >>> recent.current(2.0).since, recent.current(9.0)
        (5, None)
        """
        while self._batches and now - self._batches[0][0] > TOLD_SECONDS:
            self._batches.popleft()
        told: list[WorkerChangeBatch] = []
        count = 0
        for _, batch in reversed(self._batches):
            count += len(batch.changes)
            gap = bool(told) and batch.revision < told[0].since
            if count > MOST_TOLD or gap:
                break
            told.insert(0, batch)
        if not told:
            return None
        changes = tuple(change for batch in told for change in batch.changes)
        return WorkerChangeBatch(told[0].since, told[-1].revision, changes)
