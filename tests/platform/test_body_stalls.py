"""Bodies whose rest arrives while the gateway's event loop stands still."""

import asyncio
import time

import pytest
from node_world import IDLE_TIMEOUT_MS, World, configuration, route, until, world
from platform_standins import StandinWorker
from test_stop_ends import head
from test_stop_moments import Caller

BODY = b"0123456789"
STALL_SECONDS = IDLE_TIMEOUT_MS / 1000.0 + 0.1
ROUTES = [route("plain", "safe", "plain")]


async def answer_after_a_stall(running: World, begin: bytes, rest: bytes) -> bytes:
    """Send the begin of a request; send the rest while the loop stands still."""
    caller = Caller(running)
    caller.send(begin)
    await until(lambda: running.nodes[0].callers.in_flight == 1)

    def stall() -> None:
        time.sleep(STALL_SECONDS)
        caller.send(rest)

    # The connection is read in the next iteration, in which the timer of the body is due as well.
    asyncio.get_running_loop().call_soon(stall)
    return await caller.received()


@pytest.mark.parametrize(
    ("framing", "rest"),
    [
        ("Content-Length: 10", BODY[1:]),
        ("Transfer-Encoding: chunked", b"9\r\n" + BODY[1:] + b"\r\n0\r\n\r\n"),
    ],
)
async def test_body_that_arrived_during_a_stall_is_read(framing: str, rest: bytes) -> None:
    """Guards against callers that are refused as too slow because the gateway was."""
    worker = StandinWorker()
    async with world(configuration(1, ROUTES), {"p": (worker, "plain")}) as running:
        begin = BODY[:1] if framing.startswith("Content") else b"1\r\n" + BODY[:1] + b"\r\n"
        lines = (framing, "Connection: close")
        answer = await answer_after_a_stall(running, head("/plain/x", *lines) + begin, rest)
    assert answer.startswith(b"HTTP/1.1 200")
    assert [seen.body for seen in worker.seen] == [BODY]


async def test_caller_that_sends_nothing_in_a_stall_is_too_slow() -> None:
    worker = StandinWorker()
    async with world(configuration(1, ROUTES), {"p": (worker, "plain")}) as running:
        begin = head("/plain/x", "Content-Length: 10") + BODY[:1]
        answer = await answer_after_a_stall(running, begin, b"")
    assert answer.startswith(b"HTTP/1.1 408")
    assert worker.seen == []
