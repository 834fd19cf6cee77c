"""Workers of one service that fail in different ways at the same time.

A single way of failing hides what only two together show: an engine that breaks a stream off and
another one that fails the call when it takes the stream up.
"""

import asyncio

from soak.fleet import SoakFleet
from soak.schedule import Fault

ENGINE_KINDS = ("cut", "error", "reset", "full")
"""Ways in which neighbours fail, one after the other."""

FAILING_SHARE = (0.2, 0.6)
"""Least and greatest share of its calls that a worker fails."""


async def fail_together(fleet: SoakFleet, service: str, fault: Fault) -> None:
    """Have every worker of a service fail part of its calls, neighbours in different ways."""
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
