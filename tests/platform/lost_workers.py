"""Two workers that are silent, and losses of the one that has no request.

Each loss is made in the moment in which the other worker is sent a call, so that it always comes
between the sending and the silence.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import aiohttp
import pytest
from node_world import World, configuration, world
from test_evacuated_zones import ZonedWorker

from corkcrank.contracts import clock
from corkcrank.node.calls.services import CallServices
from corkcrank.node.workers.worker_request import SendResult, WorkerRequest

HEADERS = {"X-Corkcrank-Deadline-Ms": "20000"}


@dataclass
class SilentWorld:
    """Two workers in two zones, both silent until ``hold`` is set."""

    running: World
    workers: tuple[ZonedWorker, ZonedWorker]
    hold: asyncio.Event
    service: str

    @property
    def services(self) -> CallServices:
        return self.running.nodes[0].services

    @property
    def requests(self) -> int:
        return sum(len(worker.seen) for worker in self.workers)

    def other_worker(self) -> ZonedWorker:
        """Return the worker that has no request."""
        return next(worker for worker in self.workers if not worker.seen)

    def start_call(self, path: str) -> asyncio.Task[aiohttp.ClientResponse]:
        return asyncio.create_task(self.running.call(path, headers=HEADERS))

    def when_sent(self, patch: pytest.MonkeyPatch, change: Callable[[str], None]) -> None:
        """Make a change in the moment in which the first call is sent; it gets the address."""
        client = self.services.client
        send = client.send

        async def change_and_send(request: WorkerRequest, *parts: Any) -> SendResult:
            patch.setattr(client, "send", send)
            change(request.worker.address)
            return await send(request, *parts)

        patch.setattr(client, "send", change_and_send)


@asynccontextmanager
async def silent_world(
    routes: list[dict[str, Any]], service: str, one: ZonedWorker, two: ZonedWorker
) -> AsyncIterator[SilentWorld]:
    """Run a gateway with two workers of a service, in two zones."""
    hold = one.hold = two.hold = asyncio.Event()
    served = {"one": (one, service), "two": (two, service)}
    async with world(configuration(1, routes), served) as running:
        yield SilentWorld(running, (one, two), hold, service)


def evacuate_others(silent: SilentWorld, address: str) -> None:
    workers = silent.services.mirror.workers
    workers.evacuated = frozenset(
        worker.zone for worker in silent.workers if worker.server.address != address
    )


def remove_others(silent: SilentWorld, address: str) -> None:
    workers = silent.services.mirror.workers
    kept = [record for record in workers.records() if record.address == address]
    workers.replace_all(kept, workers.revision + 1)
    silent.running.store.revision = max(silent.running.store.revision, workers.revision)


def end_others(silent: SilentWorld, address: str) -> None:
    table = silent.services.worker_statistics
    for worker in silent.workers:
        if worker.server.address != address:
            table.get_or_create(worker.worker_id).ended_until = float("inf")


def stop_others(silent: SilentWorld, address: str) -> None:
    table = silent.services.worker_statistics
    for worker in silent.workers:
        if worker.server.address != address:
            table.get_or_create(worker.worker_id).leaving = True


def limit_others(silent: SilentWorld, address: str) -> None:
    stated = silent.services.statements.limits
    for worker in silent.workers:
        if worker.server.address != address:
            stated.record_answer(worker.worker_id, 0.0, clock.now())


def spend_repeats(silent: SilentWorld, address: str) -> None:
    silent.services.budget(silent.service).allowance = 0.0


def quarantine_request(silent: SilentWorld, address: str) -> None:
    silent.services.crash_watch.quarantine_seconds_left = lambda call: 5.0  # type: ignore[method-assign]


LOSSES = pytest.mark.parametrize(
    "lose",
    [
        evacuate_others,
        remove_others,
        end_others,
        stop_others,
        limit_others,
        spend_repeats,
        quarantine_request,
    ],
)
