"""Workers that are warming up, and until when, on the own clock.

A worker's entry tells for how long it is still to warm up. How old that news is by the time
it comes here is not known, so a worker counts as warming for a little too long and never for
too short a time. Workers of a zone that is taken back may have turned cold just before, which
their entries tell a heartbeat later: they all count as warming for the time of a start.
Pure: the time is handed in.
"""

from collections.abc import Collection

from corkcrank.contracts.worker_records import WorkerRecord

LONGEST_START_SECONDS = 60.0
"""Time after which no worker of a zone that was taken back counts as warming for that alone."""

_NEVER = float("-inf")


class WarmingWorkers:
    """When each worker is warm that told of a warm-up, and when zones were taken back."""

    def __init__(self) -> None:
        self._warm_at: dict[str, float] = {}
        self._taken_back_at: dict[str, float] = {}
        self._until = _NEVER

    def note(self, record: WorkerRecord, now: float) -> None:
        """Take a new or changed entry."""
        if record.warmup > 0:
            self._warm_at[record.worker_id] = now + record.warmup
            self._until = max(self._until, now + record.warmup)
        else:
            self._warm_at.pop(record.worker_id, None)

    def note_taken_back(self, zone: str, now: float) -> None:
        """Take that a zone's workers may be given work again."""
        self._taken_back_at[zone] = now
        self._until = max(self._until, now + LONGEST_START_SECONDS)

    def any(self, now: float) -> bool:
        """Return whether a worker may be warming up: in most of a day none is."""
        return now < self._until

    def is_warming(self, record: WorkerRecord, start_seconds: float, now: float) -> bool:
        """Return whether a worker is warming up; ``start_seconds`` is what a start takes.

        >>> warming = WarmingWorkers()
        >>> worker = WorkerRecord("w", "s", "", "a", warmup=2.0)
        >>> warming.note(worker, now=10.0)
        >>> [warming.is_warming(worker, 3.0, now) for now in (11.9, 12.0)]
        [True, False]
        >>> warming.note_taken_back("a", now=20.0)
        >>> [warming.is_warming(worker, 3.0, now) for now in (22.9, 23.0)]
        [True, False]
        """
        if now < self._warm_at.get(record.worker_id, _NEVER):
            return True
        return now < self._taken_back_at.get(record.zone, _NEVER) + start_seconds

    def forget_all_but(self, worker_ids: Collection[str]) -> None:
        """Drop workers that are no longer listed."""
        for worker_id in self._warm_at.keys() - set(worker_ids):
            del self._warm_at[worker_id]
