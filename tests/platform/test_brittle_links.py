"""Brittle workers whose links hold calls up are not sent more than they have room for."""

import asyncio
from dataclasses import dataclass, field

from aiohttp import web
from brittle_workers import BrittleWorker
from test_brittle_workers import play
from test_limited_workers import ServedWorkers, call, two_gateways

HELD_SECONDS = 2.3
CALLS_PER_SECOND = 40
KNOWN_AFTER_CALLS = 24


@dataclass
class WorkerBehindLink(BrittleWorker):
    """A brittle worker that receives no call while ``flowing`` is clear, and all of them then."""

    flowing: asyncio.Event = field(default_factory=asyncio.Event)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        await self.flowing.wait()
        return await super()._handle(request)


async def test_calls_given_up_without_an_answer_made_a_brittle_worker_fall_over() -> None:
    """Each was given up in 0.2 s; its place was granted again while it was still on its way."""
    workers = [WorkerBehindLink(tolerated=3) for _ in range(2)]
    served: ServedWorkers = {str(n): (worker, "plain") for n, worker in enumerate(workers)}
    for worker in workers:
        worker.flowing.set()
    async with two_gateways(served) as running:
        for number in range(KNOWN_AFTER_CALLS):
            await call(running, "safe", number)
        held = workers[0]
        begun = len(held.seen)
        held.flowing.clear()
        asyncio.get_running_loop().call_later(HELD_SECONDS, held.flowing.set)
        answers = await play(running, [], "safe", CALLS_PER_SECOND)
        assert len(held.seen) > begun
        assert any(status == 200 for status, _ in answers)
        assert held.falls == 0
