"""Chooses a stage worker by expected finish time, bytes transferred between zones and failures.

The cost of a worker is in seconds: penalties are added to the time at which the pieces finish.
"""

import random
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from corkcrank.contracts.urgency import Urgency
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.scheduling.stage_queue import QueueForecast
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable

CROSS_ZONE_SECONDS_PER_MEGABYTE = 0.25
"""Cost of each megabyte transferred between zones."""

LATENESS_COST_FACTOR = 3.0
"""Additional cost of each second after the latest useful finish time."""

BYTES_PER_MEGABYTE = 1e6

EJECTION_COST_SECONDS = 3.0
"""Cost of an ejected worker: equal to three recent failures."""

EXCESS_FAILURE_COST_SECONDS = 2.0
"""Cost of an excess failure rate of 1: the pieces of failed calls must be rerun elsewhere."""

FAILURE_COST_SECONDS = 1.0
"""Cost of each recent failure of a worker."""


@dataclass(frozen=True, slots=True)
class StagePlacing:
    """Pieces to be placed: their number, result size, inputs and reader.

    ``inputs`` gives the bytes that all pieces together read from each zone. ``reader_zone`` is the
    zone in which the results will be read, if known. ``next_stage_wait`` returns the wait for the
    next stage in a zone. Results are large, so the next stage usually runs where they are stored.
    ``claimed`` work is forecast to go first in its rank: its caller was refused before, so it is
    due earlier than new calls. Times are seconds from now.
    """

    service: str
    pieces: int
    size: float
    urgency: Urgency
    end_by: float = float("inf")
    inputs: Mapping[str, float] = field(default_factory=dict)
    reader_zone: str = ""
    next_stage_wait: Callable[[str], float] | None = None
    claimed: bool = False

    def moved_bytes(self, zone: str) -> float:
        """Return the bytes that cross zone boundaries if the pieces run in ``zone``.

        >>> urgency = Urgency((0, 0), 1.0)
        >>> placing = StagePlacing("s", 2, 5.0, urgency, inputs={"a": 7.0}, reader_zone="b")
        >>> placing.moved_bytes("a"), placing.moved_bytes("b")
        (10.0, 7.0)
        """
        input_bytes = sum(size for source, size in self.inputs.items() if source != zone)
        output_bytes = 0.0 if self.reader_zone in ("", zone) else self.pieces * self.size
        return input_bytes + output_bytes


def _no_wait(worker: WorkerRecord) -> float:
    return 0.0


def choose_stage_worker(
    candidates: Iterable[WorkerRecord],
    forecast: Callable[[WorkerRecord], QueueForecast],
    placing: StagePlacing,
    worker_statistics: WorkerStatisticsTable,
    now: float,
    excluded: Collection[str],
    random_source: random.Random,
    unseen_wait: Callable[[WorkerRecord], float] = _no_wait,
) -> tuple[WorkerRecord, QueueForecast] | None:
    """Return the worker with the lowest cost for the pieces, with its forecast.

    ``unseen_wait`` returns the wait at a worker that its forecast does not contain, in seconds.
    A backoff does not exclude a worker: its owner sends the calls, and the forecast includes the
    backoff that the worker requested from that owner.
    """
    best: tuple[WorkerRecord, QueueForecast] | None = None
    best_cost: tuple[float, float] | None = None
    for worker in candidates:
        if worker.worker_id in excluded or worker_statistics.has_left(worker.worker_id, now):
            continue
        statistics = worker_statistics.get_or_create(worker.worker_id)
        expected = forecast(worker)
        cost = _cost_seconds(worker, expected, placing) + unseen_wait(worker)
        cost += FAILURE_COST_SECONDS * statistics.recent_failures(now)
        if statistics.avoid_until > now:
            cost += FAILURE_COST_SECONDS
        cost += EXCESS_FAILURE_COST_SECONDS * statistics.excess
        if statistics.is_last_resort(repeatable=True):
            cost += EJECTION_COST_SECONDS
        key = (cost, random_source.random())
        if best_cost is None or key < best_cost:
            best, best_cost = (worker, expected), key
    return best


def _cost_seconds(worker: WorkerRecord, expected: QueueForecast, placing: StagePlacing) -> float:
    end = expected.end
    if placing.next_stage_wait is not None:
        end += placing.next_stage_wait(worker.zone)
    late = max(0.0, end - placing.end_by)
    moved = placing.moved_bytes(worker.zone) / BYTES_PER_MEGABYTE
    return end + LATENESS_COST_FACTOR * late + CROSS_ZONE_SECONDS_PER_MEGABYTE * moved
