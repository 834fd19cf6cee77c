"""Tracks which workers are warming up, and until when, on the local clock.

A worker's entry gives its remaining warm-up time. The age of that value on arrival is unknown,
so a worker counts as warming for a little too long and never for too short a time. Workers of
a restored zone may have become cold just before, which their entries report a heartbeat later:
they all count as warming for the time of a start. Does no I/O: callers pass the time.
"""

from collections.abc import Collection

from corkcrank.contracts.worker_records import WorkerRecord

MAX_START_SECONDS = 60.0
"""Time after which no worker counts as warming only because its zone was restored."""

_NEVER = float("-inf")


class WarmingWorkers:
    """End of each worker's reported warm-up, and the times at which zones were restored."""

    def __init__(self) -> None:
        self._warm_at: dict[str, float] = {}
        self._restored_at: dict[str, float] = {}
        self._until = _NEVER

    def record_entry(self, record: WorkerRecord, now: float) -> None:
        """Apply a new or changed entry of a worker."""
        if record.warmup > 0:
            self._warm_at[record.worker_id] = now + record.warmup
            self._until = max(self._until, now + record.warmup)
        else:
            self._warm_at.pop(record.worker_id, None)

    def record_zone_restored(self, zone: str, now: float) -> None:
        """Record that a zone's workers may get work again after an evacuation."""
        self._restored_at[zone] = now
        self._until = max(self._until, now + MAX_START_SECONDS)

    def any_warming(self, now: float) -> bool:
        """Return whether any worker may be warming up.

        Callers check this first, since no worker is warming up during most of a day.
        """
        return now < self._until

    def is_warming(self, record: WorkerRecord, start_seconds: float, now: float) -> bool:
        """Return whether a worker is warming up; ``start_seconds`` is the time that a start takes.

        >>> warming = WarmingWorkers()
        >>> worker = WorkerRecord("w", "s", "", "a", warmup=2.0)
        >>> warming.record_entry(worker, now=10.0)
        >>> [warming.is_warming(worker, 3.0, now) for now in (11.9, 12.0)]
        [True, False]
        >>> warming.record_zone_restored("a", now=20.0)
        >>> [warming.is_warming(worker, 3.0, now) for now in (22.9, 23.0)]
        [True, False]
        """
        if now < self._warm_at.get(record.worker_id, _NEVER):
            return True
        return now < self._restored_at.get(record.zone, _NEVER) + start_seconds

    def retain_only(self, worker_ids: Collection[str]) -> None:
        """Remove workers that are no longer listed."""
        for worker_id in self._warm_at.keys() - set(worker_ids):
            del self._warm_at[worker_id]
