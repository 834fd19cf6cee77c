"""Tests that a planned stop resets no request that was sent while its connection was open.

The failure: calls on open connections ended with a reset and no answer while a gateway stopped.
Each test sends a request by a blocking socket just before one step of the stop, in the same turn
of the event loop, so that its bytes are in the gateway's socket, unread, when the step runs.
"""

import asyncio
import select
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest
from node_world import HOST, KEY, World, call_id, configuration, route, until, world
from platform_standins import StandinWorker

GRACE = 1.2
"""Seconds from the signal to the end of the process."""

STALL_SECONDS = 0.3
"""Time for which the event loop is blocked at a step of the stop."""

IDLE_SECONDS = 60.0
"""Time by which a test moves the start of a connection's rest."""

RECEIVE_SECONDS = 5.0
LIMIT_MS = 5_000
"""Limit of a head and of a rest: longer than a stop, which alone may close connections here."""

RESET = b"reset"
ROUTES = [route("plain", "safe", "plain")]
STEPS = ("close_idle_connections", "stop_listening", "stop")
"""Methods of the callers' server that a stop calls and that close something."""


def request(*, length: int = 0, body: bytes = b"") -> bytes:
    """Return a call's request; ``length`` may declare a longer body than is sent."""
    lines = [
        "POST /plain/x HTTP/1.1",
        f"Host: {HOST}",
        f"X-Corkcrank-Attempt-Id: {call_id()}",
        "X-Corkcrank-Deadline-Ms: 4000",
        f"X-Corkcrank-Credential: {KEY}",
        f"Content-Length: {length or len(body)}",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Caller:
    """A caller with a blocking socket: what it sends is in the gateway's socket at once."""

    def __init__(self, running: World) -> None:
        host, port = running.address().rsplit(":", 1)
        self.connection = socket.create_connection((host, int(port)), timeout=RECEIVE_SECONDS)
        self.ended_before = False

    def send(self, data: bytes) -> None:
        """Send bytes; record whether the gateway's end of the connection had arrived before."""
        readable, _, _ = select.select([self.connection], [], [], 0.0)
        self.ended_before = bool(readable) and not self.connection.recv(1, socket.MSG_PEEK)
        self.connection.sendall(data)

    async def received(self) -> bytes:
        """Return every byte until the end of the connection, ``RESET`` last if it was reset."""
        return await asyncio.to_thread(self._receive)

    def _receive(self) -> bytes:
        data = b""
        try:
            while part := self.connection.recv(65_536):
                data += part
        except ConnectionResetError:
            data += RESET
        finally:
            self.connection.close()
        return data

    def read_answer(self) -> bytes:
        """Return the head of one answer, read with its body; fail if the connection ends before."""
        data = b""
        while b"\r\n\r\n" not in data:
            data += self._receive_part()
        head, _, body = data.partition(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        while len(body) < length:
            body += self._receive_part()
        return head

    def _receive_part(self) -> bytes:
        part = self.connection.recv(65_536)
        assert part, "the connection ended before the end of the answer"
        return part


async def expect_answer(caller: Caller, *, sent: int = 1) -> None:
    """Fail unless a caller gets an answer, or got a clean end before it sent its request.

    Of several requests in a row the later ones may go without: an answer may close the connection.
    """
    count = answers(await caller.received())
    assert (0 if caller.ended_before else 1) <= count <= sent


def answers(data: bytes) -> int:
    """Return how many complete answers a caller received; fail if it was reset."""
    assert not data.endswith(RESET), "the request was reset"
    count = 0
    while data:
        head, _, rest = data.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 ")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        assert len(rest) >= length, "the answer is incomplete"
        data = rest[length:]
        count += 1
    return count


_slow_callers: list[Caller] = []


@asynccontextmanager
async def gateway() -> AsyncIterator[World]:
    served = {"p": (StandinWorker(), "plain")}
    document = configuration(1, ROUTES)
    document["limits"].update(header_timeout_ms=LIMIT_MS, idle_timeout_ms=LIMIT_MS)
    async with world(document, served, grace=GRACE) as running:
        yield running
    while _slow_callers:
        _slow_callers.pop().connection.close()


async def kept_caller(running: World) -> Caller:
    """Return a caller whose connection rests after an answer."""
    caller = await connected(running)
    caller.send(request())
    head = await asyncio.to_thread(caller.read_answer)
    assert head.startswith(b"HTTP/1.1 200")
    await until(lambda: not running.nodes[0].callers.in_flight)
    return caller


async def connected(running: World) -> Caller:
    """Return a caller whose connection the gateway has accepted."""
    before = len(running.nodes[0].callers.connections())
    caller = Caller(running)
    await until(lambda: len(running.nodes[0].callers.connections()) > before)
    return caller


async def set_idle(running: World, *, long: bool) -> None:
    """Have open connections count as idle for long, or until after the stop as just used.

    With ``long`` a request in progress keeps the drain from ending before it closes idle ones.
    """
    for connection in running.nodes[0].callers.connections():
        connection.idle_since += -IDLE_SECONDS if long else IDLE_SECONDS
    if long:
        slow = await connected(running)
        slow.send(request(length=10, body=b"half"))
        _slow_callers.append(slow)
        await until(lambda: running.nodes[0].callers.in_flight == 1)


def before_step(running: World, step: str, action: Callable[[], None]) -> None:
    """Run an action once, in the turn of the loop and just before a stop takes a step."""
    callers = running.nodes[0].callers
    original = getattr(callers, step)
    done = False

    def act_first(*arguments: object) -> object:
        nonlocal done
        if not done:
            done = True
            action()
        return original(*arguments)

    setattr(callers, step, act_first)


def after_step(running: World, step: str, action: Callable[[], None]) -> None:
    """Run an action once, in the turn of the loop and just after a stop takes a step."""
    callers = running.nodes[0].callers
    original = getattr(callers, step)
    done = False

    def act_last(*arguments: object) -> object:
        nonlocal done
        result = original(*arguments)
        if not done:
            done = True
            action()
        return result

    setattr(callers, step, act_last)


@pytest.mark.parametrize("stall", [0.0, STALL_SECONDS], ids=["", "stalled"])
@pytest.mark.parametrize("step", STEPS)
async def test_a_request_that_a_kept_connection_holds_unread_at_a_step_is_answered(
    step: str, stall: float
) -> None:
    async with gateway() as running:
        caller = await kept_caller(running)
        await set_idle(running, long=step == "close_idle_connections")

        def send() -> None:
            caller.send(request())
            time.sleep(stall)

        before_step(running, step, send)
        await running.nodes[0].stop()
        await expect_answer(caller)


async def test_a_request_that_crosses_the_close_of_an_idle_connection_sees_a_clean_end() -> None:
    async with gateway() as running:
        caller = await kept_caller(running)
        await set_idle(running, long=True)
        after_step(running, "close_idle_connections", lambda: caller.send(request()))
        await running.nodes[0].stop()
        await expect_answer(caller)


@pytest.mark.parametrize("stall", [0.0, STALL_SECONDS], ids=["", "stalled"])
async def test_a_connection_in_the_accept_queue_is_served_as_the_listener_closes(
    stall: float,
) -> None:
    async with gateway() as running:
        callers: list[Caller] = []

        def connect() -> None:
            callers.append(Caller(running))
            callers[0].send(request())
            time.sleep(stall)

        before_step(running, "stop_listening", connect)
        await running.nodes[0].stop()
        await expect_answer(callers[0])


@pytest.mark.parametrize("turns", range(5))
async def test_a_connection_accepted_some_turns_before_a_stall_at_the_end_is_served(
    turns: int,
) -> None:
    """The drain waited for late requests by seconds, which a stall takes from the loop's turns."""
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


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("part", ["head", "body"])
async def test_a_request_that_is_partly_there_is_answered(part: str, step: str) -> None:
    async with gateway() as running:
        caller = await connected(running)
        await set_idle(running, long=step == "close_idle_connections")
        data = request()[:60] if part == "head" else request(length=10, body=b"half")
        before_step(running, step, lambda: caller.send(data))
        await running.nodes[0].stop()
        await expect_answer(caller)


@pytest.mark.parametrize("step", STEPS)
async def test_the_first_answer_is_whole_if_a_second_request_waits_at_the_close(step: str) -> None:
    async with gateway() as running:
        caller = await connected(running)
        await set_idle(running, long=step == "close_idle_connections")
        before_step(running, step, lambda: caller.send(request() + request()))
        await running.nodes[0].stop()
        await expect_answer(caller, sent=2)


async def test_an_answer_survives_bytes_that_arrive_as_its_connection_closes() -> None:
    """A close with unread bytes resets the connection, which discards the answer on its way."""
    hold = asyncio.Event()
    served = {"p": (StandinWorker(hold=hold), "plain")}
    async with world(configuration(1, ROUTES), served, grace=GRACE) as running:
        node = running.nodes[0]
        caller = await connected(running)
        caller.send(request())
        await until(lambda: node.callers.in_flight == 1)
        stopped = asyncio.create_task(node.stop())
        await until(lambda: node.life.draining)
        (connection,) = node.callers.connections()
        finish = connection.record_handler_end

        def send_then_finish() -> None:
            finish()
            asyncio.get_running_loop().call_soon(send_as_it_closes)

        def send_as_it_closes() -> None:
            caller.send(request())

        connection.record_handler_end = send_then_finish  # type: ignore[method-assign]
        hold.set()
        await stopped
        await expect_answer(caller, sent=2)
