"""Choice of a stage worker: when would the pieces end there, and what must be moved."""

import random
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from corkcrank.contracts.urgency import Urgency
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.scheduling.stage_queue import QueueForecast
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable

REMOTE_SECONDS_A_MEGABYTE = 0.25
"""Seconds that each megabyte moved between zones counts as."""

LATE_FACTOR = 3.0
"""A second beyond the latest useful end counts as this many more."""

MEGABYTE = 1e6

EJECTED_SECONDS = 3.0
"""Seconds that an ejection counts as: three remembered failures."""

EXCESS_SECONDS = 2.0
"""Seconds of a worker that is expected to fail all of its calls while the others fail none: the
repeat of its pieces elsewhere."""

FAILURE_SECONDS = 1.0
"""Seconds that each remembered failure counts as."""


@dataclass(frozen=True, slots=True)
class StagePlacing:
    """Pieces to be placed: how many, how large, from where, to where.

    ``inputs`` gives the bytes that all pieces together pull from each zone. ``reader_zone``
    is where the results will be read, if that is known, and ``ahead`` the wait for the
    next stage in a zone, since work follows large results. Times are seconds from now.
    """

    service: str
    pieces: int
    size: float
    urgency: Urgency
    end_by: float = float("inf")
    inputs: Mapping[str, float] = field(default_factory=dict)
    reader_zone: str = ""
    ahead: Callable[[str], float] | None = None

    def moved_bytes(self, zone: str) -> float:
        """Return the bytes that cross between zones if the pieces are made in ``zone``.

        >>> urgency = Urgency((0, 0), 1.0)
        >>> placing = StagePlacing("s", 2, 5.0, urgency, inputs={"a": 7.0}, reader_zone="b")
        >>> placing.moved_bytes("a"), placing.moved_bytes("b")
        (10.0, 7.0)
        """
        pulled = sum(size for source, size in self.inputs.items() if source != zone)
        pushed = 0.0 if self.reader_zone in ("", zone) else self.pieces * self.size
        return pulled + pushed


def choose_stage_worker(
    candidates: Iterable[WorkerRecord],
    forecast: Callable[[WorkerRecord], QueueForecast],
    placing: StagePlacing,
    worker_statistics: WorkerStatisticsTable,
    now: float,
    excluded: Collection[str],
    random_source: random.Random,
) -> tuple[WorkerRecord, QueueForecast] | None:
    """Return the worker where the pieces cost least, with its forecast."""
    best: tuple[WorkerRecord, QueueForecast] | None = None
    best_cost: tuple[float, float] | None = None
    for worker in candidates:
        statistics = worker_statistics.of(worker.worker_id)
        if worker.worker_id in excluded or statistics.out_of_use(now):
            continue
        expected = forecast(worker)
        cost = _cost(worker, expected, placing)
        cost += FAILURE_SECONDS * statistics.recent_failures(now)
        if statistics.avoid_until > now:
            cost += FAILURE_SECONDS
        cost += EXCESS_SECONDS * statistics.excess
        if statistics.set_aside(repeatable=True):
            cost += EJECTED_SECONDS
        key = (cost, random_source.random())
        if best_cost is None or key < best_cost:
            best, best_cost = (worker, expected), key
    return best


def _cost(worker: WorkerRecord, expected: QueueForecast, placing: StagePlacing) -> float:
    end = expected.end
    if placing.ahead is not None:
        end += placing.ahead(worker.zone)
    late = max(0.0, end - placing.end_by)
    moved = placing.moved_bytes(worker.zone) / MEGABYTE
    return end + LATE_FACTOR * late + REMOTE_SECONDS_A_MEGABYTE * moved
