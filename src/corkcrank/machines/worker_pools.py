"""Groups stage workers into pools whose queues one gateway manages together.

A piece that is bound to one worker when it is placed waits for that worker even while another
worker of the service is idle. The owner of a pool gives waiting pieces to its first worker that
is free. The size of a pool is bounded by what one gateway can manage.
"""

from dataclasses import dataclass

from corkcrank.contracts.worker_records import WorkerList, WorkerRecord

MAX_POOL_WORKERS = 6
"""Largest pool: about 15 batches and 200 pieces per second take a tenth of a core of its owner."""


@dataclass(frozen=True, slots=True)
class WorkerPool:
    """Workers of one service in one zone with one owner, which ``key`` determines."""

    zone: str
    key: str
    workers: tuple[WorkerRecord, ...]


def pool_for_worker(table: WorkerList, worker: WorkerRecord) -> WorkerPool:
    """Return the pool of a worker: all workers of its service and zone, or it alone if too many.

    Pools do not span zones. That would serve a few more calls, but three to six times the bytes
    of results would cross zones.
    """
    same_zone = table.usable_in_zone(worker.service, worker.zone)
    if len(same_zone) <= MAX_POOL_WORKERS and worker in same_zone:
        return WorkerPool(worker.zone, worker.service, same_zone)
    return WorkerPool(worker.zone, worker.worker_id, (worker,))
