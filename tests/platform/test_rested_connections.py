"""Calls on connections that have rested.

Callers reuse a connection that has rested for up to four fifths of the idle timeout. If a gateway
closes it before, or counts its rest from a moment before the last answer, a call is sent as the
connection closes and gets no response. If it resets the connection at the timeout, the caller gets
an error instead of the end.
"""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
from aiohttp import web
from node_world import CONDITION_SECONDS, REUSED_SHARE, World, configuration, until, world
from platform_standins import StandinWorker
from test_limited_workers import call, two_gateways
from test_stop_moments import ROUTES, Caller, connected, kept_caller, request

from corkcrank.contracts import clock
from corkcrank.node.callers.caller_connection import CallerConnection

STALL_SECONDS = 0.4
REST_SECONDS = 0.45
"""Time since the answer was read. A gateway counts the stall too."""

IDLE_SECONDS = 60.0
"""Idle timeout that no rest reaches unless a test moves its start."""


def stall_before_reading(running: World) -> None:
    """Block the event loop between the gateway's next answer and its caller, who reads it late."""
    callers = running.nodes[0].callers
    handle = callers._handler

    async def handle_and_stall(request: web.BaseRequest) -> web.StreamResponse:
        callers._handler = handle
        try:
            return await handle(request)
        finally:
            asyncio.get_running_loop().call_soon(time.sleep, STALL_SECONDS)

    callers._handler = handle_and_stall


async def test_a_call_on_a_connection_whose_last_answer_was_read_late_is_answered() -> None:
    """It was sent while the gateway closed the connection as idle, and got no response."""
    async with two_gateways({"w": (StandinWorker(), "plain")}) as running:
        callers = running.nodes[0].callers
        close_idle = callers._close_idle
        calls: list[asyncio.Task[aiohttp.ClientResponse]] = []

        def call_and_close(connection: CallerConnection, now: float) -> None:
            calls.append(asyncio.create_task(call(running, "safe", 0)))
            close_idle(connection, now)

        stall_before_reading(running)
        assert (await call(running, "safe", 0)).status == 200
        rests_since = clock.now()
        callers._close_idle = call_and_close  # type: ignore[method-assign]
        await until(lambda: bool(calls) or clock.now() - rests_since > REST_SECONDS)
        response = await (calls[0] if calls else call(running, "safe", 0))
        assert response.status == 200


@asynccontextmanager
async def resting_gateway(worker: StandinWorker) -> AsyncIterator[World]:
    document = configuration(1, ROUTES)
    document["limits"]["idle_timeout_ms"] = 1000 * IDLE_SECONDS
    async with world(document, {"p": (worker, "plain")}) as running:
        yield running


async def pass_sweep(running: World) -> None:
    """Wait until the gateway has looked for idle connections once."""
    readers = running.nodes[0].callers._readers
    sweep, swept = readers.sweep, asyncio.Event()

    def sweep_and_tell(connections: list[CallerConnection]) -> None:
        sweep(connections)
        swept.set()

    readers.sweep = sweep_and_tell  # type: ignore[method-assign]
    await asyncio.wait_for(swept.wait(), CONDITION_SECONDS)
    readers.sweep = sweep  # type: ignore[method-assign]


def rest_longer(running: World, seconds: float) -> None:
    """Move the start of a connection's rest back."""
    (connection,) = running.nodes[0].callers.connections()
    connection.idle_since -= seconds


async def expect_answer_after_sweep(running: World, caller: Caller) -> None:
    await pass_sweep(running)
    caller.send(request())
    assert not caller.ended_before, "the connection was closed"
    head = await asyncio.to_thread(caller.read_answer)
    assert head.startswith(b"HTTP/1.1 200")


async def test_a_connection_that_has_rested_for_as_long_as_callers_may_is_kept() -> None:
    async with resting_gateway(StandinWorker()) as running:
        caller = await kept_caller(running)
        rest_longer(running, REUSED_SHARE * IDLE_SECONDS)
        await expect_answer_after_sweep(running, caller)


async def test_a_rest_begins_with_the_end_of_the_last_answer() -> None:
    worker = StandinWorker(hold=asyncio.Event())
    async with resting_gateway(worker) as running:
        caller = await connected(running)
        caller.send(request())
        await until(lambda: bool(worker.seen))
        rest_longer(running, 2 * IDLE_SECONDS)
        assert worker.hold is not None
        worker.hold.set()
        head = await asyncio.to_thread(caller.read_answer)
        assert head.startswith(b"HTTP/1.1 200")
        await expect_answer_after_sweep(running, caller)


async def test_a_call_that_crosses_the_end_of_a_rest_sees_a_clean_end() -> None:
    async with resting_gateway(StandinWorker()) as running:
        callers = running.nodes[0].callers
        close_idle = callers._close_idle
        caller, called = await kept_caller(running), asyncio.Event()

        def close_then_call(connection: CallerConnection, now: float) -> None:
            callers._close_idle = close_idle  # type: ignore[method-assign]
            close_idle(connection, now)
            caller.send(request())
            called.set()

        callers._close_idle = close_then_call  # type: ignore[method-assign]
        rest_longer(running, IDLE_SECONDS)
        await asyncio.wait_for(called.wait(), CONDITION_SECONDS)
        assert await caller.received() == b""
        assert caller.ended_before
