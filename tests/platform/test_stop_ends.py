"""Tests that at the end of a stop every request that was read gets one complete response.

Each of these requests was once closed without a response, answered twice or delayed needlessly at
the end of a drain: requests read whose handler had not started, incomplete bodies, partly written
responses, and a response started in the loop iteration in which the drain abandoned its call.
"""

import asyncio
import os
import signal
import socket
import threading
import time

import pytest
from aiohttp import web
from node_world import (
    HOST,
    KEY,
    LONG_IDLE_TIMEOUT_MS,
    World,
    call_id,
    configuration,
    route,
    until,
    world,
)
from platform_standins import StandinStageWorker, StandinWorker

from corkcrank.contracts import clock
from corkcrank.node.process.node_process import StopSignal
from corkcrank.node.streams.stream_answer import StreamAnswer

GRACE = 1.6
"""Seconds from the signal to the end of the process; the drain ends 0.4 s earlier."""

LONG_GRACE = 6.4
"""Grace in which repeatable calls are sent to workers after an idle drain may have ended."""

SIGNAL_AGE_SECONDS = 2.0
"""Time by which a signal is older than the drain that a test begins."""

STALL_SECONDS = 0.3
"""Time for which the event loop is blocked across the end of a drain."""

CONNECTED_SECONDS = 0.25
"""Time before the end of an idle drain at which a caller connects; 0.3 s would be idle."""

LARGE_BYTES = 30_000_000
"""Size of a response that exceeds all buffers of a loopback connection."""

PIECE_BYTES = 500_000
"""Number of bytes that a slow caller reads at a time."""

STAGES = [{"service": "encode", "since_revision": [], "byte_length": 1000}]
ROUTES = [
    route("plain", "safe", "plain"),
    route("brief", "stream", "model", target_latency_ms=800),
    route("staged", "stream", "model", target_latency_ms=2_000, stages=STAGES),
]
TOKENS = {"X-Corkcrank-Token-Count": "10,4"}
PIECES = {**TOKENS, "X-Corkcrank-Segments": "1", "X-Corkcrank-Segment-Key": "abcd"}


def head(path: str, *lines: str) -> bytes:
    fields = [
        f"Host: {HOST}",
        f"X-Corkcrank-Attempt-Id: {call_id()}",
        "X-Corkcrank-Deadline-Ms: 9000",
        f"X-Corkcrank-Credential: {KEY}",
        *lines,
    ]
    return "\r\n".join([f"POST {path} HTTP/1.1", *fields, "", ""]).encode()


def block_event_loop() -> None:
    time.sleep(STALL_SECONDS)


async def opened(running: World) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = running.address().rsplit(":", 1)
    return await asyncio.open_connection(host, int(port))


async def test_an_answer_that_begins_as_its_call_is_abandoned_has_one_head(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    served = {"m": (StandinWorker(events=4, gap=0.3), "model")}
    async with world(configuration(1, ROUTES), served, grace=GRACE) as running:
        open_calls = running.nodes[0].call_handler.open_calls
        original = StreamAnswer._record_pause

        def abandon_now(answer: StreamAnswer) -> None:
            if answer._call.first_byte_at is None:
                open_calls.abandon_unanswered()
            original(answer)

        monkeypatch.setattr(StreamAnswer, "_record_pause", abandon_now)
        reader, writer = await opened(running)
        writer.write(head("/brief/x", "X-Corkcrank-Token-Count: 10,4", "Content-Length: 0"))
        try:
            data = await reader.read()
        except ConnectionResetError:
            data = b""
        assert data.count(b"HTTP/1.1 ") <= 1
        assert b"OUTCOME_UNKNOWN" not in data or data.startswith(b"HTTP/1.1 504")
        writer.close()


async def test_a_request_with_an_incomplete_body_is_answered() -> None:
    served = {"p": (StandinWorker(), "plain")}
    document = configuration(1, ROUTES)
    document["limits"]["idle_timeout_ms"] = LONG_IDLE_TIMEOUT_MS
    async with world(document, served, grace=GRACE) as running:
        reader, writer = await opened(running)
        writer.write(head("/plain/x", "Content-Length: 10") + b"half")
        await until(lambda: running.nodes[0].callers.in_flight == 1)
        asyncio.get_running_loop().call_later(0.5, writer.write, b"d")
        await running.nodes[0].stop()
        data = await reader.read()
        assert data.startswith(b"HTTP/1.1 503")
        assert b"DRAINING" in data
        writer.close()


async def test_a_request_read_as_the_drain_ends_is_answered() -> None:
    """The event loop is blocked across the end while the request waits in the socket buffer."""
    model = StandinWorker(events=400, gap=0.05)
    served = {"m": (model, "model"), "p": (StandinWorker(), "plain")}
    async with world(configuration(1, ROUTES), served, grace=GRACE) as running:
        node = running.nodes[0]
        keeps_it_open = await running.call("/brief/x", headers=TOKENS)
        await keeps_it_open.content.readany()
        signalled_at = clock.now()
        stopped = asyncio.create_task(node.stop(signalled_at))
        await until(lambda: node.life.draining)
        hold_at = node.services.drain.stop_at - STALL_SECONDS / 2
        await until(lambda: clock.now() > hold_at - 0.05)
        host, port = running.address().rsplit(":", 1)
        before = len(node.callers.connections())
        caller = socket.create_connection((host, int(port)))
        caller.settimeout(5.0)
        await until(lambda: len(node.callers.connections()) > before)
        send = threading.Thread(
            target=caller.sendall, args=(head("/plain/x", "Content-Length: 0"),)
        )
        send.start()
        block_event_loop()
        await stopped
        send.join()
        assert caller.recv(12).startswith(b"HTTP/1.1 ")
        caller.close()
        keeps_it_open.close()


async def send_as_idle_drain_ends(
    running: World, plain: StandinWorker
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, asyncio.Task[None]]:
    """Stop a gateway and send a call just as its drain ends early; return once it is at work."""
    node = running.nodes[0]
    stopped = asyncio.create_task(node.stop(clock.now() - SIGNAL_AGE_SECONDS))
    await until(lambda: node.services.drain.signal_received)
    await until(lambda: clock.now() > node.services.drain.streams_until - CONNECTED_SECONDS)
    reader, writer = await opened(running)
    stop_listening = node.callers.stop_listening

    def send_then_stop() -> None:
        writer.write(head("/plain/x", "Content-Length: 0"))
        stop_listening()

    node.callers.stop_listening = send_then_stop  # type: ignore[method-assign]
    await until(lambda: bool(plain.seen))
    node.callers.stop_listening = stop_listening  # type: ignore[method-assign]
    return reader, writer, stopped


async def test_a_call_read_as_an_idle_drain_ends_is_served() -> None:
    """Calls in planned restarts were abandoned after 0.04 s, with 2.9 s of the grace period left.

    A drain that finds nothing in flight ends early; a call was read just then.
    """
    plain = StandinWorker(hold=asyncio.Event())
    served = {"p": (plain, "plain")}
    async with world(configuration(1, ROUTES), served, grace=LONG_GRACE) as running:
        reader, writer, stopped = await send_as_idle_drain_ends(running, plain)
        asyncio.get_running_loop().call_later(STALL_SECONDS, plain.hold.set)
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        await stopped
        writer.close()


async def test_an_answer_that_its_caller_reads_slowly_is_written_to_the_end() -> None:
    worker = StandinWorker()

    async def large(request: web.BaseRequest, fault: str) -> web.Response:
        return web.Response(body=b"x" * LARGE_BYTES, headers=worker._head(request, ""))

    worker._answer = large  # type: ignore[method-assign]
    served = {"p": (worker, "plain")}
    async with world(configuration(1, ROUTES), served, grace=GRACE) as running:
        node = running.nodes[0]
        reader, writer = await opened(running)
        writer.write(head("/plain/x", "Content-Length: 0"))
        await reader.readuntil(b"\r\n\r\n")
        stopped = asyncio.create_task(node.stop())
        await until(lambda: node.life.draining)
        rest = LARGE_BYTES
        while clock.now() < node.services.drain.streams_until + 0.25:
            await reader.readexactly(PIECE_BYTES)
            rest -= PIECE_BYTES
            await asyncio.sleep(0.03)
        assert not stopped.done()
        assert len(await reader.readexactly(rest)) == rest
        await stopped
        writer.close()


async def test_a_call_that_can_no_longer_end_in_time_is_not_held() -> None:
    encode = StandinStageWorker(gate=asyncio.Event())
    served = {"m": (StandinWorker(events=4), "model"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served, grace=GRACE) as running:
        node = running.nodes[0]
        node.services.stream_times.observe_stream("staged", 4, 40.0)
        call = asyncio.create_task(running.call("/staged/x", headers=PIECES))
        await until(lambda: bool(encode.calls))
        stopped = asyncio.create_task(node.stop())
        response = await call
        assert response.status == 503
        assert clock.now() < node.services.drain.streams_until
        await stopped


async def test_the_answer_that_a_worker_gave_goes_back_if_another_does_not_answer() -> None:
    failing, silent = StandinWorker(), StandinWorker()
    served = {"a": (failing, "plain"), "b": (silent, "plain")}
    async with world(configuration(1, ROUTES), served, grace=GRACE) as running:
        failing.faults.extend(["error"] * 8)
        silent.faults.extend(["hang"] * 8)
        while True:
            call = asyncio.create_task(running.call("/plain/x"))
            await until(lambda: bool(silent.seen))
            if failing.seen:
                break
            call.cancel()
            silent.seen.clear()
        await running.nodes[0].stop()
        response = await call
        assert response.status == 500
        assert await response.read() == b"answer of " + failing.worker_id.encode()


async def test_the_time_of_a_signal_does_not_depend_on_the_event_loop() -> None:
    """A signal in a stall of 1.5 s was recorded 1.5 s late: the drain exceeded its grace period."""
    loop = asyncio.get_running_loop()
    before = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT)}
    try:
        signalled = StopSignal(loop).first_at
        sent_at = clock.now()
        os.kill(os.getpid(), signal.SIGTERM)
        while clock.now() < sent_at + STALL_SECONDS:
            pass
        assert await signalled - sent_at < STALL_SECONDS / 2
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)


async def test_a_call_in_progress_is_answered_after_a_stall_past_the_end_of_the_drain() -> None:
    """The connection of a call that had been read was reset without a response."""
    plain = StandinWorker(hold=asyncio.Event())
    served = {"p": (plain, "plain")}
    async with world(configuration(1, ROUTES), served, grace=LONG_GRACE) as running:
        reader, writer, stopped = await send_as_idle_drain_ends(running, plain)
        drain = running.nodes[0].services.drain
        await until(lambda: clock.now() > drain.answer_by - STALL_SECONDS)
        for _ in range(4):
            block_event_loop()
        assert (await reader.readline()).startswith(b"HTTP/1.1 504")
        await stopped
        writer.close()
