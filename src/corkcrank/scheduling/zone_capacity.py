"""Sums the current capacity of each stage service's workers, by zone.

A worker that needs twice the usual time counts as half a worker.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from corkcrank.contracts.worker_records import WorkerRecord

MIN_PACE_FACTOR = 0.1
"""Lower bound of the summed factors, so that one wrong factor cannot dominate a zone."""


@dataclass(frozen=True, slots=True)
class StageWorkerState:
    """State of one stage worker at this gateway.

    ``available`` is unset for a worker that has left or is ejected. ``factor`` is the duration of
    work there, as a multiple of the service's mean. ``waiting`` counts the queued pieces, and
    ``start_seconds`` is the time until a piece could start. ``news_age`` is the age in seconds of
    the owner's report with these values, 0 for an owned queue, ``None`` without an owner.
    """

    available: bool
    factor: float
    waiting: int
    start_seconds: float
    news_age: float | None


@dataclass(frozen=True, slots=True)
class ZoneCapacity:
    """Current capacity of a zone's workers of a stage service.

    ``speed`` is the capacity of the available workers, in workers of mean pace. ``start_seconds``
    is the shortest wait at any of them, infinite without one. ``news_age`` is the age of the oldest
    report in seconds; ``unreported`` counts the workers without a report of their owner.
    """

    service: str
    zone: str
    workers: int
    available: int
    speed: float
    waiting: int
    start_seconds: float
    news_age: float
    unreported: int


def zone_capacities(
    workers: Iterable[WorkerRecord], state: Callable[[WorkerRecord], StageWorkerState]
) -> list[ZoneCapacity]:
    """Return the capacity of each service and zone that has workers, in a fixed order.

    >>> workers = [WorkerRecord(name, "s", "", "a") for name in ("s1", "s2")]
    >>> [zone] = zone_capacities(workers, lambda worker: StageWorkerState(True, 2.0, 3, 0.1, 0.5))
    >>> zone.speed, zone.waiting, zone.start_seconds
    (1.0, 6, 0.1)
    """
    states: dict[tuple[str, str], list[StageWorkerState]] = {}
    for worker in workers:
        states.setdefault((worker.service, worker.zone), []).append(state(worker))
    return [_sum_up(service, zone, states[service, zone]) for service, zone in sorted(states)]


def _sum_up(service: str, zone: str, states: list[StageWorkerState]) -> ZoneCapacity:
    available = [state for state in states if state.available]
    ages = [state.news_age for state in states if state.news_age is not None]
    return ZoneCapacity(
        service=service,
        zone=zone,
        workers=len(states),
        available=len(available),
        speed=sum(1.0 / max(MIN_PACE_FACTOR, state.factor) for state in available),
        waiting=sum(state.waiting for state in states),
        start_seconds=min((state.start_seconds for state in available), default=float("inf")),
        news_age=max(ages, default=0.0),
        unreported=len(states) - len(ages),
    )
