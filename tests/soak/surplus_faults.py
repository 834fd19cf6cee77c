"""Fault in which the stage workers of a service send surplus answers for a while."""

import asyncio

from soak.faults import Fault
from soak.fleet import STAGE_SERVICES, SoakFleet
from soak.stage_workers import SoakStageWorker


async def send_surplus_answers(fleet: SoakFleet, fault: Fault) -> None:
    """Let the stage workers of one service send surplus answers."""
    service = STAGE_SERVICES[int(fault.choice * len(STAGE_SERVICES))]
    found = fleet.workers_of([service])
    workers = [worker for worker in found if isinstance(worker, SoakStageWorker)]
    for worker in workers:
        worker.surplus.active = True
    await asyncio.sleep(fault.seconds)
    for worker in workers:
        worker.surplus.active = False
