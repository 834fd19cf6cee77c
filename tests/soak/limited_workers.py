"""Fault in which workers announce a limit in requests per second for a while."""

import asyncio
import time

from soak.faults import Fault
from soak.fleet import SERVICES, SoakFleet
from soak.picking import between

RATES = (0.5, 4.0)
LIMITED_FACTOR = 3.0
"""Duration of a limit in fault lengths: the check starts once all nodes have received it."""

ALL_SHARE = 0.25
"""Share of the faults in which every worker of the service is limited."""


async def announce_limits(fleet: SoakFleet, fault: Fault) -> None:
    """Make one worker of a service, or sometimes all, announce a limit for a while."""
    service = SERVICES[int(fault.choice * len(SERVICES))]
    workers = fleet.workers_of([service])
    everywhere = fault.strength < ALL_SHARE
    seconds = LIMITED_FACTOR * fault.seconds
    for worker in workers if everywhere else workers[:1]:
        if not worker.limit.window.open:
            worker.limit.rate = between(RATES, fault.strength)
        worker.limit.window.begin(time.monotonic() + seconds)
    await asyncio.sleep(seconds)
