"""Lists what the workers of each stage service can do now, by zone, for the state dump."""

import msgspec

from corkcrank.contracts.urgency import Urgency
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.node.calls.services import CallServices
from corkcrank.scheduling.outlier_detection import Verdict
from corkcrank.scheduling.zone_capacity import StageWorkerState, zone_capacities


class ZoneCapacityDump(msgspec.Struct, frozen=True):
    """What a zone's workers of a stage service can do now, as this gateway knows it.

    ``speed`` is in workers of mean pace, ``start`` the wait in seconds for a piece of the least
    urgent rank, ``None`` without an available worker. ``news_age`` is the age in seconds of the
    oldest report, and ``unreported`` the number of workers whose
    owner has sent none.
    """

    service: str
    zone: str
    workers: int
    available: int
    speed: float
    waiting: int
    start: float | None
    news_age: float
    unreported: int


def dump_zone_capacities(services: CallServices, now: float) -> tuple[ZoneCapacityDump, ...]:
    """Return the capacity of each stage service in each zone that is not evacuated."""
    dispatch, statistics = services.dispatch, services.worker_statistics
    lowest = Urgency(_least_urgent_rank(services), float("inf"))

    def state(worker: WorkerRecord) -> StageWorkerState:
        worker_id = worker.worker_id
        left = statistics.has_left(worker_id, now)
        ejected = statistics.get_or_create(worker_id).verdict is Verdict.EJECTED
        return StageWorkerState(
            available=not left and not ejected,
            factor=services.paces.factor(worker_id, worker.service, now),
            waiting=dispatch.waiting(worker),
            start_seconds=dispatch.forecast(worker, lowest, 1, 0.0).start,
            news_age=dispatch.news_age(worker),
        )

    workers = services.mirror.workers
    stage_workers = [
        worker
        for worker in workers.records()
        if worker.zone not in workers.evacuated
        and dispatch.service_capacity(worker.service) is not None
    ]
    return tuple(
        ZoneCapacityDump(
            service=item.service,
            zone=item.zone,
            workers=item.workers,
            available=item.available,
            speed=round(item.speed, 2),
            waiting=item.waiting,
            start=round(item.start_seconds, 3) if item.available else None,
            news_age=round(item.news_age, 3),
            unreported=item.unreported,
        )
        for item in zone_capacities(stage_workers, state)
    )


def _least_urgent_rank(services: CallServices) -> tuple[int, int]:
    configuration = services.mirror.configuration
    ranks = [route.rank for route in configuration.routes] if configuration is not None else []
    return 0, max(ranks, default=0)
