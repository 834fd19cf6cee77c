"""Stage workers whose queues one gateway keeps together.

A piece that is bound to a worker when it is placed waits for that worker, also while another
one of the service is idle. The owner of a pool gives waiting pieces to whichever of its
workers is free first. A pool is as large as one gateway can see to.
"""

from dataclasses import dataclass

from corkcrank.contracts.worker_records import WorkerList, WorkerRecord

MOST_POOL_WORKERS = 6
"""Workers of one pool: about 15 batches and 200 pieces a second, a tenth of a core."""


@dataclass(frozen=True, slots=True)
class WorkerPool:
    """Workers of one service in one zone with one owner, which is chosen by ``key``."""

    zone: str
    key: str
    workers: tuple[WorkerRecord, ...]


def pool_of(table: WorkerList, worker: WorkerRecord) -> WorkerPool:
    """Return the pool of a worker: its service's in its zone, or itself where they are many.

    Pools do not span zones. That would serve some more calls, and three to six times the bytes
    of results would cross zones.
    """
    nearby = table.usable_in(worker.service, worker.zone)
    if len(nearby) <= MOST_POOL_WORKERS and worker in nearby:
        return WorkerPool(worker.zone, worker.service, nearby)
    return WorkerPool(worker.zone, worker.worker_id, (worker,))
