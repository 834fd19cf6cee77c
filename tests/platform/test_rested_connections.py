"""Calls on connections that have rested, while gateway and callers share an event loop."""

import asyncio
import time

import aiohttp
from aiohttp import web
from node_world import World, until
from platform_standins import StandinWorker
from test_limited_workers import call, two_gateways

from corkcrank.contracts import clock
from corkcrank.node.callers.caller_connection import CallerConnection

STALL_SECONDS = 0.4
REST_SECONDS = 0.45
"""Time since the answer was read. A gateway counts the stall too."""


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
