"""Faults in which workers announce their leave in responses only, or request backoffs."""

import asyncio

from soak.faults import Fault
from soak.fleet import SERVICES, SoakFleet
from soak.picking import between
from soak.restarts import leave
from soak.workers import SoakWorker

BACKOFF_SECONDS = (1.0, 4.0)
REJECTING_FACTOR = 1.5
"""Duration of the rejections in fault lengths."""

LEAVING_FACTOR = 2.0
"""Time in fault lengths from the announcement of a leave until the entry states it."""

ALL_SHARE = 0.25
"""Share of the faults in which every worker of the service requests backoffs."""


def _noticed_workers(fleet: SoakFleet, fault: Fault) -> list[SoakWorker]:
    service = SERVICES[int(fault.choice * len(SERVICES))]
    found = fleet.workers_of([service])
    return [worker for worker in found if isinstance(worker, SoakWorker)]


async def announce_leave(fleet: SoakFleet, fault: Fault) -> None:
    """Make a worker announce its leave in its responses long before its entry states it."""
    workers = _noticed_workers(fleet, fault)
    if len(workers) < 2 or any(worker.notices.leaving for worker in workers):
        return
    worker = workers[int(fault.strength * len(workers))]
    fleet.claimed.add(worker.worker_id)
    worker.notices.leaving = True
    await asyncio.sleep(LEAVING_FACTOR * fault.seconds)
    await leave(fleet, worker, draining=True, keep_link=False)


async def request_backoffs(fleet: SoakFleet, fault: Fault) -> None:
    """Make one worker of a service, or sometimes all, reject calls and request backoffs."""
    workers = _noticed_workers(fleet, fault)
    seconds = REJECTING_FACTOR * fault.seconds
    everywhere = fault.strength < ALL_SHARE
    for worker in workers if everywhere else workers[:1]:
        worker.notices.reject_for(seconds, between(BACKOFF_SECONDS, fault.strength))
    await asyncio.sleep(seconds)
