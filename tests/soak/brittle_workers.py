"""Fault in which workers have little room, say so, and fall over if they reject too many calls."""

import asyncio

from soak.faults import Fault
from soak.fleet import PLAIN_SERVICES, SoakFleet
from soak.workers import SoakWorker

BRITTLE_FACTOR = 3.0
"""Duration in fault lengths: the room shrinks some seconds after the first answers that say so."""

ROOM = 4
SHRUNK_ROOM = 2
"""Calls for which a brittle worker has room, at first and later."""

ALLOWED_FALLS = 2
ALLOWED_FALLS_SHARE = 0.1


async def turn_brittle(fleet: SoakFleet, fault: Fault) -> None:
    """Make the workers of a plain service brittle for a while; check how often they fell over."""
    service = PLAIN_SERVICES[int(fault.choice * len(PLAIN_SERVICES))]
    found = fleet.workers_of([service])
    workers = [worker for worker in found if isinstance(worker, SoakWorker)]
    for worker in workers:
        worker.brittleness.begin(ROOM)
    await asyncio.sleep(min(fleet.bounds.contact, BRITTLE_FACTOR * fault.seconds))
    for worker in workers:
        worker.brittleness.begin(SHRUNK_ROOM)
    await asyncio.sleep(max(0.0, BRITTLE_FACTOR * fault.seconds - fleet.bounds.contact))
    falls = sum(worker.brittleness.falls for worker in workers)
    if falls > ALLOWED_FALLS + ALLOWED_FALLS_SHARE * len(workers):
        fleet.ledger.violate("brittle", f"workers of {service} fell over {falls} times")
    for worker in workers:
        worker.brittleness.end()
