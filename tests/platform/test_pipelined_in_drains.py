"""Tests that a stop answers each request that was read behind another on its connection.

The failure: the answer to a request in progress at the signal closed its connection, although the
gateway had read the next request seconds before; that one got no answer.
"""

import asyncio

import pytest
from node_world import configuration, route, stop, until, world
from platform_standins import StandinWorker
from test_stop_ends import head
from test_stop_moments import Caller, answers

from corkcrank.contracts import clock

GRACE = 2.4
"""Seconds from the signal to the end of the process."""

EVENTS = 4
ROUTES = [
    route("plain", "safe", "plain"),
    route("once", "unsafe", "plain"),
    route("brief", "stream", "model", target_latency_ms=800),
]
EMPTY = "Content-Length: 0"
PATHS = ("/plain/x", "/once/x")


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("count", [2, 4])
async def test_each_request_read_before_the_signal_is_answered(path: str, count: int) -> None:
    plain = StandinWorker(hold=asyncio.Event())
    async with world(configuration(1, ROUTES), {"p": (plain, "plain")}, grace=GRACE) as running:
        caller = Caller(running)
        caller.send(head(path, EMPTY) * count)
        await until(lambda: bool(plain.seen))
        stopped = await stop(running)
        assert plain.hold is not None
        plain.hold.set()
        data = await caller.received()
        assert answers(data) == count
        assert data.count(b"Connection: close") == 1
        await stopped


@pytest.mark.parametrize("path", PATHS)
async def test_each_request_behind_one_that_is_abandoned_is_answered(path: str) -> None:
    plain = StandinWorker(hold=asyncio.Event())
    async with world(configuration(1, ROUTES), {"p": (plain, "plain")}, grace=GRACE) as running:
        caller = Caller(running)
        caller.send(head(path, EMPTY) * 3)
        await until(lambda: bool(plain.seen))
        stopped = await stop(running)
        data = await caller.received()
        assert answers(data) == 3
        assert data.count(b'"ran":"unknown"') == 1
        assert data.count(b'"ran":"no"') == 2
        assert len(plain.seen) == 1
        await stopped


async def test_a_request_behind_a_stream_read_in_the_drain_is_answered() -> None:
    served = {
        "m": (StandinWorker(events=EVENTS, gap=0.1), "model"),
        "p": (StandinWorker(), "plain"),
    }
    async with world(configuration(1, ROUTES), served, grace=GRACE) as running:
        stopped = await stop(running)
        caller = Caller(running)
        stream = head("/brief/x", "X-Corkcrank-Token-Count: 10,4", EMPTY)
        caller.send(stream + head("/plain/x", EMPTY))
        data = await caller.received()
        assert data.count(b"id: ") == EVENTS
        assert data.count(b"HTTP/1.1 200") == 2
        await stopped


async def test_a_caller_that_keeps_sending_does_not_delay_the_stop() -> None:
    served = {"p": (StandinWorker(), "plain")}
    async with world(configuration(1, ROUTES), served, grace=GRACE) as running:
        caller = Caller(running)
        signalled_at = clock.now()
        stopped = await stop(running)

        async def keep_sending() -> None:
            while not stopped.done():
                try:
                    caller.send(head("/plain/x", EMPTY) * 4)
                except OSError:
                    return
                await asyncio.sleep(0.005)

        await asyncio.gather(keep_sending(), stopped)
        assert clock.now() - signalled_at < GRACE
        caller.connection.close()
