"""Changed rows of the list of workers, as gateways report them to each other.

Rows carry the revision that the store assigned, so they may be reported twice and in any order.
``since`` and ``revision`` bound the revisions for which a batch is complete.
"""

from collections import deque
from collections.abc import Callable

import msgspec

from corkcrank.contracts.worker_records import WorkerRecord

REPORT_SECONDS = 1.5
"""Time for which a change is reported: a few heartbeats, since datagrams can be lost."""

MAX_CHANGES_PER_HEARTBEAT = 20
"""Maximum number of changes in a heartbeat, the newest; a peer that misses more asks for
the list."""


class WorkerChange(msgspec.Struct, frozen=True, array_like=True):
    """One changed row; ``record`` is ``None`` if the row no longer names a usable worker.

    ``unreadable`` tells whether it still exists.
    """

    name: str
    revision: int
    record: WorkerRecord | None
    unreadable: bool = False

    def log_fields(self) -> dict[str, object]:
        """Return the fields of the change's log line."""
        record = self.record
        return {
            "worker": record.worker_id if record is not None else self.name,
            "state": "gone" if record is None else "leaving" if record.leaving else "ready",
            "service": record.service if record is not None else "",
            "version": record.version if record is not None else "",
            "zone": record.zone if record is not None else "",
            "warmup": record.warmup if record is not None else 0.0,
            "revision": self.revision,
        }


EntryListener = Callable[[WorkerRecord | None, WorkerChange], None]
"""Is given the worker that a name stood for, and the change that was applied."""


class WorkerChangeBatch(msgspec.Struct, frozen=True, array_like=True):
    """All changes after ``since`` up to ``revision``."""

    since: int
    revision: int
    changes: tuple[WorkerChange, ...]

    @property
    def newest_revision(self) -> int:
        """Return the highest revision of the batch or of one of its rows."""
        return max([self.revision, *[change.revision for change in self.changes]])


def usable_changes(batch: WorkerChangeBatch) -> WorkerChangeBatch:
    """Return a peer's changes; a record that no request can be sent to names no worker.

    A peer of an older release accepts entries that this one refuses.

    >>> record = WorkerRecord("w", "s", "10.0.0.1:99999", "z")
    >>> usable_changes(WorkerChangeBatch(3, 5, (WorkerChange("w", 5, record),))).changes
    (WorkerChange(name='w', revision=5, record=None, unreadable=True),)
    """
    if all(change.record is None or change.record.is_usable for change in batch.changes):
        return batch
    changes = tuple(
        change
        if change.record is None or change.record.is_usable
        else WorkerChange(change.name, change.revision, None, unreadable=True)
        for change in batch.changes
    )
    return WorkerChangeBatch(batch.since, batch.revision, changes)


class RecentWorkerChanges:
    """The changes that this gateway received within the report period."""

    def __init__(self) -> None:
        self._batches: deque[tuple[float, WorkerChangeBatch]] = deque()

    def add_batch(self, batch: WorkerChangeBatch, now: float) -> None:
        """Add a batch of changes to report."""
        self._batches.append((now, batch))

    def clear(self) -> None:
        """Remove all batches."""
        self._batches.clear()

    def current_batch(self, now: float) -> WorkerChangeBatch | None:
        """Return the changes to report now: the newest contiguous batches that fit.

        Changes that this gateway received in a whole list are in no batch.

        >>> recent = RecentWorkerChanges()
        >>> recent.add_batch(WorkerChangeBatch(3, 5, (WorkerChange("a", 5, None),)), 0.0)
        >>> recent.add_batch(WorkerChangeBatch(5, 9, (WorkerChange("b", 9, None),)), 1.0)
        >>> recent.current_batch(1.0).since, recent.current_batch(1.0).revision
        (3, 9)
        >>> recent.current_batch(2.0).since, recent.current_batch(9.0)
        (5, None)
        """
        while self._batches and now - self._batches[0][0] > REPORT_SECONDS:
            self._batches.popleft()
        reported: list[WorkerChangeBatch] = []
        count = 0
        for _, batch in reversed(self._batches):
            count += len(batch.changes)
            gap = bool(reported) and batch.revision < reported[0].since
            if count > MAX_CHANGES_PER_HEARTBEAT or gap:
                break
            reported.insert(0, batch)
        if not reported:
            return None
        changes = tuple(change for batch in reported for change in batch.changes)
        return WorkerChangeBatch(reported[0].since, reported[-1].revision, changes)
