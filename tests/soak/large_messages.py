"""Faults that cost memory: callers with large bodies, and workers whose answers never end."""

import asyncio

from soak.clients import Clients, RouteUse
from soak.faults import Fault
from soak.fleet import SoakFleet
from soak.workers import ENDLESS, SoakWorker

ROUTES = (RouteUse("safe", 1.0, repeatable=True), RouteUse("once", 1.0, repeatable=False))
SENDERS = 8
ENDLESS_SERVICES = ("plain", "model")
ENDLESS_SHARE = 0.3
"""Share of its calls that a worker answers without end."""


class LargeMessages:
    """Sends large bodies and lets workers answer without end."""

    def __init__(self, fleet: SoakFleet, clients: Clients) -> None:
        self._fleet = fleet
        self._clients = clients

    async def send_large_bodies(self, fault: Fault) -> None:
        """Let callers send bodies of the longest allowed length, one after the other."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + fault.seconds

        async def send_in_turn(route: RouteUse) -> None:
            while loop.time() < end_at:
                await self._clients.send_large(route, self._fleet.max_body_bytes)

        routes = [ROUTES[number % len(ROUTES)] for number in range(SENDERS)]
        await asyncio.gather(*(send_in_turn(route) for route in routes))

    async def answer_without_end(self, fault: Fault) -> None:
        """Let a worker of a service answer a share of its calls without end."""
        service = ENDLESS_SERVICES[int(fault.choice * len(ENDLESS_SERVICES))]
        found = self._fleet.workers_of([service])
        workers = [item for item in found if isinstance(item, SoakWorker) and not item.grey][:1]
        self._fleet.ledger.disturbances.begin("workers")
        for worker in workers:
            worker.grey, worker.grey_share = ENDLESS, ENDLESS_SHARE
        await asyncio.sleep(fault.seconds)
        for worker in workers:
            worker.grey, worker.grey_share = "", 0.0
        self._fleet.ledger.disturbances.end("workers")
