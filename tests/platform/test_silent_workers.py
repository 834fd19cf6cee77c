"""A repeatable call leaves a silent worker only for another one that was chosen for it.

Guards against a call that ended with WORKER_LOST long before its deadline: its worker was given
up as silent, and the other workers could get no calls any more.
"""

import asyncio
import time
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp import web
from lost_workers import HEADERS, LOSSES, SilentWorld, evacuate_others, silent_world
from node_world import configuration, route, until, world
from platform_standins import StandinWorker
from test_evacuated_zones import ZonedWorker

from corkcrank.node.calls.plain_run import MIN_SILENCE_SECONDS, SILENCE_FACTOR
from corkcrank.node.calls.services import DEFAULT_PLAIN_SECONDS

SILENCE_SECONDS = max(MIN_SILENCE_SECONDS, SILENCE_FACTOR * DEFAULT_PLAIN_SECONDS)
"""Time after which a repeatable call looks for another worker, in seconds."""

ROUTES = [
    route("safe", "safe", "plain", timeout_ms=20_000, max_attempts=3),
    route("once", "unsafe", "plain", timeout_ms=20_000, max_attempts=3),
]


class SlowWorker(ZonedWorker):
    """A worker that sends the head of its answer, and the body once it may go on."""

    async def _answer(self, request: web.BaseRequest, fault: str) -> web.StreamResponse:
        if fault != "slow-body":
            return await super()._answer(request, fault)
        response = web.StreamResponse(headers=self._head(request, ""))
        response.content_length = len(b"answer")
        await response.prepare(request)
        await response.write(b"ans")
        assert self.hold is not None
        await self.hold.wait()
        await response.write(b"wer")
        return response


@asynccontextmanager
async def silent_plain_world(*faults: str) -> AsyncIterator[SilentWorld]:
    one, two = (SlowWorker(zone, faults=deque(faults)) for zone in ("z1", "z2"))
    async with silent_world(ROUTES, "plain", one, two) as silent:
        yield silent


async def pass_silence(task: asyncio.Task[aiohttp.ClientResponse]) -> None:
    """Wait for longer than a silence after which a call looks for another worker."""
    await asyncio.wait({task}, timeout=1.5 * SILENCE_SECONDS)


@LOSSES
async def test_a_call_waits_for_its_silent_worker_while_no_other_may_get_it(
    lose: Callable[[SilentWorld, str], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    async with silent_plain_world() as silent:
        silent.when_sent(monkeypatch, lambda address: lose(silent, address))
        call = silent.start_call("/safe/x")
        await pass_silence(call)
        silent.hold.set()
        response = await call
        assert (response.status, silent.requests) == (200, 1)
        assert (await response.read()).startswith(b"answer of ")


@LOSSES
async def test_a_call_waits_for_the_rest_of_an_answer_while_no_other_worker_may_get_it(
    lose: Callable[[SilentWorld, str], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    async with silent_plain_world("slow-body") as silent:
        silent.when_sent(monkeypatch, lambda address: lose(silent, address))
        call = silent.start_call("/safe/x")
        await pass_silence(call)
        silent.hold.set()
        response = await call
        assert (response.status, silent.requests) == (200, 1)
        assert await response.read() == b"answer"


async def test_a_call_moves_once_another_worker_has_returned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with silent_plain_world() as silent:
        silent.when_sent(monkeypatch, lambda address: evacuate_others(silent, address))
        call = silent.start_call("/safe/x")
        await pass_silence(call)
        assert silent.requests == 1
        other = silent.other_worker()
        other.hold = None
        silent.services.mirror.workers.evacuated = frozenset()
        assert (await call).status == 200
        assert len(other.seen) == 1


async def test_an_unrepeatable_call_never_leaves_a_silent_worker() -> None:
    async with silent_plain_world() as silent:
        call = silent.start_call("/once/x")
        await pass_silence(call)
        silent.hold.set()
        assert ((await call).status, silent.requests) == (200, 1)


class BlockingWorker(StandinWorker):
    """A worker whose answer is ready before the event loop notices that it was silent."""

    async def _answer(self, request: web.BaseRequest, fault: str) -> web.StreamResponse:
        transport = request.transport
        assert isinstance(transport, asyncio.Transport)
        head = "".join(f"{name}: {value}\r\n" for name, value in self._head(request, "").items())
        transport.write(f"HTTP/1.1 200 OK\r\n{head}Content-Length: 2\r\n\r\nok".encode())
        time.sleep(1.5 * SILENCE_SECONDS)  # noqa: ASYNC251
        await asyncio.Event().wait()
        raise AssertionError


async def test_an_answer_that_came_while_the_event_loop_stood_still_is_delivered() -> None:
    one, two = BlockingWorker(), BlockingWorker()
    served = {"one": (one, "plain"), "two": (two, "plain")}
    async with world(configuration(1, ROUTES), served) as running:
        response = await running.call("/safe/x", method="GET", headers=HEADERS)
        assert (response.status, await response.read()) == (200, b"ok")
        assert len(one.seen) + len(two.seen) == 1
        await until(lambda: running.nodes[0].callers.in_flight == 0)
