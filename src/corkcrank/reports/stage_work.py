"""Reports how stage workers spent their time, from the batches in the nodes' logs."""

from collections.abc import Iterable
from dataclasses import dataclass

from corkcrank.links.decision_log import LogEvent
from corkcrank.reports.log_records import LogRecord, time_of


@dataclass(slots=True)
class WorkerTime:
    """Sums over the batches of one stage worker; times are in seconds.

    ``fixed`` is the part of ``busy`` that does not depend on the size of a batch. ``starved``
    is the time between two batches while pieces waited for the worker.
    """

    worker: str
    service: str
    batch: int = 0
    batches: int = 0
    pieces: int = 0
    busy: float = 0.0
    fixed: float = 0.0
    starved: float = 0.0
    no_room: int = 0
    failed: int = 0
    first_at: float = float("inf")
    last_at: float = 0.0
    _waiting: int = 0

    @property
    def busy_share(self) -> float:
        """Return the share of the observed time in which the worker ran batches."""
        return self.busy / max(1e-9, self.last_at - self.first_at)

    @property
    def mean_fill(self) -> float:
        """Return the mean number of pieces in a batch."""
        return self.pieces / max(1, self.batches)

    def add(self, record: LogRecord) -> None:
        """Add the record of one batch to the sums."""
        ended_at, seconds = time_of(record), float(record["seconds"])
        began_at = ended_at - seconds
        if self._waiting and self.batches:
            self.starved += max(0.0, began_at - self.last_at)
        outcome = str(record["outcome"])
        self.batch = int(record["batch"])
        self.batches += 1
        self.pieces += int(record["pieces"])
        self.busy += seconds
        self.fixed += min(seconds, float(record["fixed"]))
        self.no_room += _count(outcome, "no-room")
        self.failed += "done" not in outcome and not self._said_room(outcome)
        self.first_at = min(self.first_at, began_at)
        self.last_at = max(self.last_at, ended_at)
        self._waiting = int(record["waiting"])

    @staticmethod
    def _said_room(outcome: str) -> bool:
        return "no-room" in outcome


def _count(outcome: str, name: str) -> int:
    """Return how many pieces of a batch had the outcome ``name``.

    >>> _count("2 done, 3 no-room", "no-room"), _count("no answer in time", "no-room")
    (3, 0)
    """
    for part in outcome.split(", "):
        number, _, outcome_name = part.partition(" ")
        if outcome_name == name and number.isdigit():
            return int(number)
    return 0


def worker_times(records: Iterable[LogRecord]) -> list[WorkerTime]:
    """Return the time of each stage worker, by service; ``records`` must be sorted by time."""
    workers: dict[str, WorkerTime] = {}
    for record in records:
        if record["event"] == LogEvent.BATCH_ENDED:
            worker, service = record["worker"], record["service"]
            workers.setdefault(worker, WorkerTime(worker, service)).add(record)
    return sorted(workers.values(), key=lambda item: (item.service, item.worker))
