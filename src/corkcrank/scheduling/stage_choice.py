"""Choice of a stage worker by forecast: when would the pieces end there, and in what zone."""

import random
from collections.abc import Callable, Collection, Iterable

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.scheduling.stage_lane import LaneForecast
from corkcrank.scheduling.worker_choice import StandingBook

REMOTE_SECONDS = 0.05
"""Seconds that another zone counts as, whatever the size of results."""

REMOTE_SECONDS_A_MEGABYTE = 0.5
"""Seconds that each megabyte moved between zones counts as."""

MEGABYTE = 1e6

FAILURE_SECONDS = 1.0
"""Seconds that each remembered failure counts as."""


def choose_stage_worker(
    candidates: Iterable[WorkerRecord],
    forecast: Callable[[WorkerRecord], LaneForecast],
    book: StandingBook,
    zone: str,
    moved_bytes: float,
    now: float,
    excluded: Collection[str],
    random_source: random.Random,
) -> tuple[WorkerRecord, LaneForecast] | None:
    """Return the worker where the pieces cost least, with its forecast.

    ``zone`` is where the rest of the call's work lies; ``moved_bytes`` would cross from
    or to another one.
    """
    best: tuple[WorkerRecord, LaneForecast] | None = None
    best_cost: tuple[float, float] | None = None
    remote = REMOTE_SECONDS + REMOTE_SECONDS_A_MEGABYTE * moved_bytes / MEGABYTE
    for worker in candidates:
        standing = book.of(worker.worker_id)
        if worker.worker_id in excluded or standing.leaving:
            continue
        expected = forecast(worker)
        cost = expected.end + FAILURE_SECONDS * standing.recent_failures(now)
        if standing.avoid_until > now:
            cost += FAILURE_SECONDS
        if worker.zone != zone:
            cost += remote
        key = (cost, random_source.random())
        if best_cost is None or key < best_cost:
            best, best_cost = (worker, expected), key
    return best
