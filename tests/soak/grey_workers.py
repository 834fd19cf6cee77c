"""Fault in which the workers of one service fail in different ways at the same time.

Some faults need two failure kinds together: one engine cuts a stream, and another engine fails
the call that resumes the stream.
"""

import asyncio

from soak.faults import Fault
from soak.fleet import SoakFleet

ENGINE_KINDS = ("cut", "error", "reset", "full")
"""Failure kinds that are assigned to the workers in round-robin order."""

FAILING_SHARE = (0.2, 0.6)
"""Minimum and maximum share of its calls that a worker fails."""


async def fail_together(fleet: SoakFleet, service: str, fault: Fault) -> None:
    """Make every worker of a service fail a share of its calls, in differing ways."""
    workers = fleet.workers_of([service])
    offset = int(fault.strength * len(ENGINE_KINDS))
    low, high = FAILING_SHARE
    fleet.ledger.disturbances.begin("workers")
    for number, worker in enumerate(workers):
        worker.grey = ENGINE_KINDS[(offset + number) % len(ENGINE_KINDS)]
        worker.grey_share = low + (high - low) * fault.choice
    await asyncio.sleep(fault.seconds)
    for worker in workers:
        worker.grey, worker.grey_share = "", 0.0
    fleet.ledger.disturbances.end("workers")
