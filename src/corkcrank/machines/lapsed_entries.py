"""Deferred removal of workers whose entries expired during an outage of the store.

A worker keeps its entry alive by writing to the store, so an outage that outlasts an entry removes
the entries of live workers. Live workers write theirs again soon after the store's return; only a
worker that is still missing then counts as removed. Has no clock: callers pass the time.
"""

from corkcrank.machines.worker_changes import WorkerChange

REREGISTRATION_SECONDS = 2.0
"""Time after the store's return within which live workers write their entries again."""


class LapsedEntries:
    """Defers the removals that the store reports right after its return."""

    def __init__(self) -> None:
        self._returned_at = float("-inf")
        self._deferred: dict[str, WorkerChange] = {}
        self._complete_before: dict[str, int] = {}

    def record_store_return(self, now: float) -> None:
        """Record that the store answers again after an outage."""
        self._returned_at = now

    def defer_removal(
        self, change: WorkerChange, now: float, complete_before: int | None = None
    ) -> bool:
        """Defer a removal right after the store's return; return whether it is deferred.

        A newer change of the same worker replaces it. ``complete_before`` is the revision up to
        which a list that still has the worker is complete: the one before the change, or less if
        a whole list showed only that the row was removed at some time since.

        >>> queue = LapsedEntries()
        >>> gone = WorkerChange("w", 7, None)
        >>> queue.defer_removal(gone, 1.0)
        False
        >>> queue.record_store_return(1.0); queue.defer_removal(gone, 1.1), queue.pop_confirmed(1.2)
        (True, [])
        >>> [change.name for change in queue.pop_confirmed(3.1)], queue.pop_confirmed(3.2)
        (['w'], [])
        """
        self._deferred.pop(change.name, None)
        deferred = change.record is None and now - self._returned_at < REREGISTRATION_SECONDS
        if deferred:
            self._deferred[change.name] = change
            before = change.revision - 1 if complete_before is None else complete_before
            self._complete_before[change.name] = before
        return deferred

    def discard(self, name: str) -> None:
        """Discard the deferred removal of a worker whose row exists but no longer names it."""
        self._deferred.pop(name, None)

    def pop_confirmed(self, now: float) -> list[WorkerChange]:
        """Remove and return the deferred removals that are confirmed."""
        if now - self._returned_at < REREGISTRATION_SECONDS:
            return []
        confirmed = list(self._deferred.values())
        self._deferred.clear()
        return confirmed

    def seconds_left(self, now: float) -> float | None:
        """Return the seconds until the removals are confirmed; ``None`` if none is deferred."""
        if not self._deferred:
            return None
        return max(0.0, self._returned_at + REREGISTRATION_SECONDS - now)

    def complete_up_to(self, revision: int) -> int:
        """Return the revision up to which a list without the deferred removals is complete."""
        return min([revision, *(self._complete_before[name] for name in self._deferred)])
