"""Tests that a gateway closes no connection over bytes that it has not read.

The failure: a close with unread bytes resets the connection, and the caller loses its answer.
"""

import asyncio
import time

import pytest
from test_stop_moments import (
    Caller,
    answers,
    before_step,
    connected,
    expect_answer,
    gateway,
    kept_caller,
    request,
    set_idle,
)

from corkcrank.contracts import clock

PART_BYTES = 60_000
"""Size of one header field: the parser accepts it, and two are above the limit of all headers."""

STALL_SECONDS = 0.6
"""Time for which the event loop is blocked: longer than a drain's time for late answers."""


async def test_the_refusal_of_a_large_head_survives_bytes_that_are_unread() -> None:
    """The refusal was lost in a reset if more of the head arrived as its limit was found."""
    async with gateway() as running:
        caller = await connected(running)
        (connection,) = running.nodes[0].callers.connections()
        receive = connection.data_received
        sent = False

        def send_then_receive(data: bytes) -> None:
            nonlocal sent
            if not sent:
                sent = True
                caller.send(b"b" * 10)
            receive(data)

        connection.data_received = send_then_receive  # type: ignore[method-assign]
        field = b"a" * PART_BYTES
        caller.send(b"POST /plain/x HTTP/1.1\r\nX-First: " + field + b"\r\nX-Second: " + field)
        assert answers(await caller.received()) == 1


async def test_the_limit_of_connections_resets_no_request_that_is_unread() -> None:
    """At its limit the listener closed a resting connection over a request it had not read."""
    async with gateway() as running:
        caller = await kept_caller(running)
        now = clock.now()  # later callers have not waited at this time
        await set_idle(running, long=True)
        caller.send(request())
        listener = running.nodes[0].callers._listener
        assert not listener._close_waiting_connections(now)
        head = await asyncio.to_thread(caller.read_answer)
        assert head.startswith(b"HTTP/1.1 200")


async def test_the_limit_of_connections_closes_a_resting_connection() -> None:
    async with gateway() as running:
        caller = await kept_caller(running)
        await set_idle(running, long=True)
        listener = running.nodes[0].callers._listener
        assert listener._close_waiting_connections(clock.now())
        assert await caller.received() == b""


@pytest.mark.parametrize("turns", range(5))
async def test_a_stall_as_the_listener_closes_leaves_time_to_answer(turns: int) -> None:
    """The time for answers passed in a stall before any accepted connection had been read."""
    async with gateway() as running:
        node = running.nodes[0]
        callers: list[Caller] = []

        def connect() -> None:
            callers.append(Caller(running))
            callers[0].send(request())
            node.callers._listener._accept()
            stall_after(turns)

        before_step(running, "stop_listening", connect)
        await node.stop()
        await expect_answer(callers[0])


def stall_after(turns: int) -> None:
    """Block the event loop once, after some of its turns."""
    if turns:
        asyncio.get_running_loop().call_soon(stall_after, turns - 1)
    else:
        time.sleep(STALL_SECONDS)
