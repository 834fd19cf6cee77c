"""Tests that a stream that was read late in a drain reaches no engine, whatever way it came.

The failure: a gateway read a stream with stages 4.4 s after its signal to stop, with a grace period
of 8 s. Its stages took 2.6 s, an engine began it, and 7.6 s after the signal it was cut.
"""

import asyncio
import os
import signal
import time
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass

import pytest
from node_world import World, call_id, configuration, route, stop, until, world
from partitioned_world import partitioned_world
from platform_standins import StandinStageWorker, StandinWorker
from test_relayed_requests import partition
from test_stop_ends import head, opened
from test_stop_moments import Caller
from test_suspended_machine import Suspensions

from corkcrank.contracts import clock
from corkcrank.node.process.node_process import StopSignal

GRACE = 8.0
"""Seconds from the signal to the end of the process; streams begin in the first 2.5 of them."""

LATE_SECONDS = 4.4
"""Time from the signal to the arrival of a stream."""

SHORT_GRACE = 3.6
STALL_SECONDS = 1.9
"""Time for which the event loop stands still; streams begin in the first 1.8 s of a short grace."""

EVENTS = 4
BODY = b"0123456789"
DEADLINE = {"X-Corkcrank-Deadline-Ms": "15000"}
STAGES = [{"service": "encode", "since_revision": [], "byte_length": 1000}]
LONG = {"timeout_ms": 15_000}
ROUTES = [
    route("plain", "safe", "plain", **LONG),
    route("brief", "stream", "model", target_latency_ms=800),
    route("staged", "stream", "model", target_latency_ms=2_000, stages=STAGES, stream_resume=True),
]
TOKENS = {"X-Corkcrank-Token-Count": f"10,{EVENTS}"}
PIECES = {**TOKENS, "X-Corkcrank-Segments": "1", "X-Corkcrank-Segment-Key": "abcd"}


@dataclass
class Draining:
    """A gateway whose drain waits for a plain call, and what reached its other workers."""

    running: World
    plain: StandinWorker
    engine: StandinWorker
    encode: StandinStageWorker
    stopping: asyncio.Task[None] | None = None

    async def signal_late(self) -> None:
        """Begin the drain of a signal that was given ``LATE_SECONDS`` ago."""
        node = self.running.nodes[0]
        self.stopping = asyncio.create_task(node.stop(clock.now() - LATE_SECONDS))
        await until(lambda: node.life.draining)

    def work(self) -> tuple[int, int]:
        """Return how many requests reached the engine and the stage worker."""
        return len(self.engine.seen), len(self.encode.calls)


@asynccontextmanager
async def waiting_gateway(grace: float = GRACE) -> AsyncIterator[Draining]:
    """Run a gateway that has measured streams, with a plain call at a worker that holds it."""
    engine, plain = StandinWorker(events=EVENTS, gap=0.01), StandinWorker()
    encode = StandinStageWorker()
    served = {"m": (engine, "model"), "p": (plain, "plain"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served, grace=grace) as running:
        for _ in range(3):
            await (await running.call("/staged/x", headers=PIECES)).read()
        plain.hold = asyncio.Event()
        keeps_it_open = asyncio.create_task(running.call("/plain/x", headers=DEADLINE))
        await until(lambda: bool(plain.seen))
        played = Draining(running, plain, engine, encode)
        yield played
        plain.hold.set()
        assert (await keeps_it_open).status == 200
        if played.stopping is not None:
            await played.stopping


def staged_head(*lines: str) -> bytes:
    pieces = [f"{name}: {value}" for name, value in PIECES.items()]
    return head("/staged/x", *pieces, *(lines or ("Content-Length: 0",)))


def expect_refusal(data: bytes) -> None:
    assert data.startswith(b"HTTP/1.1 503")
    assert b"DRAINING" in data
    assert b'"ran":"no"' in data


async def test_a_stream_with_stages_on_a_new_connection_reaches_no_worker() -> None:
    async with waiting_gateway() as played:
        before = played.work()
        await played.signal_late()
        reader, writer = await opened(played.running)
        writer.write(staged_head())
        expect_refusal(await reader.read())
        assert played.work() == before
        writer.close()


async def test_a_stream_on_a_kept_connection_reaches_no_worker() -> None:
    async with waiting_gateway() as played:
        reader, writer = await opened(played.running)
        writer.write(staged_head())
        await reader.readuntil(b"0\r\n\r\n")
        before = played.work()
        writer.write(staged_head())
        # The request is in the gateway's socket, unread, when the drain begins.
        await played.signal_late()
        expect_refusal(await reader.read())
        assert played.work() == before
        writer.close()


async def test_a_stream_whose_head_was_read_before_the_signal_reaches_no_worker() -> None:
    async with waiting_gateway() as played:
        node, before = played.running.nodes[0], played.work()
        reader, writer = await opened(played.running)
        writer.write(staged_head(f"Content-Length: {len(BODY)}") + BODY[:3])
        await until(lambda: node.callers.in_flight == 2)
        await played.signal_late()
        writer.write(BODY[3:])
        expect_refusal(await reader.read())
        assert played.work() == before
        writer.close()


async def test_a_stream_pipelined_behind_one_before_the_signal_reaches_no_worker() -> None:
    async with waiting_gateway() as played:
        played.engine.gap = 0.1
        reader, writer = await opened(played.running)
        writer.write(head("/brief/x", "X-Corkcrank-Token-Count: 10,4", "Content-Length: 0"))
        first = await reader.readuntil(b"id: 1")
        before = played.work()
        writer.write(staged_head())
        await played.signal_late()
        first += await reader.readuntil(b"0\r\n\r\n")
        assert first.count(b"id: ") == EVENTS
        expect_refusal(await reader.read())
        assert played.work() == before
        writer.close()


async def test_a_stream_that_its_caller_resumes_late_reaches_no_worker() -> None:
    async with waiting_gateway() as played:
        played.engine.gap, attempt = 0.3, call_id()
        cut = await played.running.call("/staged/x", headers=PIECES, attempt=attempt)
        assert b"id: 1" in await cut.content.readany()
        cut.close()
        await until(lambda: played.engine.left == 1)
        before = played.work()
        await played.signal_late()
        headers = {**PIECES, "Last-Event-Id": "1", "Resumes": attempt}
        response = await played.running.call("/staged/x", headers=headers)
        assert response.status == 503
        assert b"DRAINING" in await response.read()
        assert played.work() == before


async def test_a_stream_read_after_a_suspension_of_the_machine_reaches_no_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    suspensions = Suspensions(monkeypatch)
    async with waiting_gateway() as played:
        before = played.work()
        played.stopping = await stop(played.running)
        suspensions.suspend(LATE_SECONDS)
        response = await played.running.call("/staged/x", headers=PIECES)
        assert response.status == 503
        assert b"DRAINING" in await response.read()
        assert played.work() == before


@pytest.mark.parametrize("name", ["talk", "staged"])
async def test_a_stream_that_a_member_would_relay_reaches_no_worker(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The member does not stop, and knows nothing of the drain of the gateway that asks it."""
    async with partitioned_world(monkeypatch, 2, grace=GRACE) as played:
        await partition(played, 0)
        assert (await played.call_once(0, name, 1)).served
        for worker in played.plain:
            worker.hold = asyncio.Event()
        seen = requests(played.plain)
        open_call = asyncio.create_task(played.call_once(0, "safe", 2))
        await until(lambda: requests(played.plain) > seen)
        before = requests(played.engines), sum(len(item.calls) for item in played.stages)
        node = played.nodes[0]
        stopping = asyncio.create_task(node.stop(clock.now() - LATE_SECONDS))
        await until(lambda: node.life.draining)
        answer = await played.call_once(0, name, 3)
        assert answer.detail.startswith("503")
        assert "DRAINING" in answer.detail
        assert before == (
            requests(played.engines),
            sum(len(item.calls) for item in played.stages),
        )
        for worker in played.plain:
            worker.hold.set()  # type: ignore[union-attr]
        assert (await open_call).served
        await stopping


def requests(workers: Iterable[StandinWorker]) -> int:
    """Return how many requests reached workers."""
    return sum(len(worker.seen) for worker in workers)


@contextmanager
def process_signals() -> Iterator[None]:
    """Restore the handlers of the signals to stop."""
    before = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT)}
    try:
        yield
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)


def stall_after_signal(then: Callable[[], None]) -> None:
    """Get a signal to stop, block the event loop, and do something at the end of that."""
    os.kill(os.getpid(), signal.SIGTERM)
    time.sleep(STALL_SECONDS)
    then()


@pytest.mark.parametrize("before_stall", [BODY[1:2], b""])
async def test_a_body_that_ends_in_a_stall_with_the_signal_begins_no_stream(
    before_stall: bytes,
) -> None:
    """The stream was begun: the loop read its body before it told the gateway of the signal."""
    loop = asyncio.get_running_loop()
    with process_signals():
        async with waiting_gateway(SHORT_GRACE) as played:
            node, before = played.running.nodes[0], played.work()
            stop_signal = StopSignal(loop)
            stop_signal.begins_drain_of(node)

            async def stop_at_signal() -> None:
                await node.stop(await stop_signal.first_at)

            played.stopping = asyncio.create_task(stop_at_signal())
            caller = Caller(played.running)
            caller.send(staged_head(f"Content-Length: {len(BODY)}") + BODY[:1])
            await until(lambda: node.callers.in_flight == 2)
            # The stall is the first callback of the turn in which the connection is read, or is
            # the turn before that, whose timers are due then.
            rest = BODY[1 + len(before_stall) :]
            loop.call_soon(stall_after_signal, lambda: caller.send(rest))
            caller.send(before_stall)
            expect_refusal(await caller.received())
            assert played.work() == before


async def test_a_second_signal_moves_no_time_of_the_drain() -> None:
    with process_signals():
        async with waiting_gateway(SHORT_GRACE) as played:
            node = played.running.nodes[0]
            stop_signal = StopSignal(asyncio.get_running_loop())
            stop_signal.begins_drain_of(node)
            os.kill(os.getpid(), signal.SIGTERM)
            first = node.services.drain
            assert first.signal_received
            played.stopping = asyncio.create_task(node.stop(await stop_signal.first_at))
            await until(lambda: node.life.draining)
            await asyncio.sleep(0.1)
            os.kill(os.getpid(), signal.SIGTERM)
            os.kill(os.getpid(), signal.SIGINT)
            await asyncio.sleep(0)
            assert node.services.drain == first
            response = await played.running.call("/staged/x", headers=PIECES)
            assert response.status == 200
            assert (await response.read()).count(b"id: ") == EVENTS


async def test_a_signal_before_the_gateway_exists_begins_its_drain() -> None:
    with process_signals():
        async with waiting_gateway(SHORT_GRACE) as played:
            node = played.running.nodes[0]
            stop_signal = StopSignal(asyncio.get_running_loop())
            os.kill(os.getpid(), signal.SIGTERM)
            signalled_at = clock.now()
            await asyncio.sleep(0.1)
            stop_signal.begins_drain_of(node)
            assert abs(node.services.drain.signalled_at - signalled_at) < 0.05
            played.stopping = asyncio.create_task(node.stop(await stop_signal.first_at))
            await until(lambda: node.life.draining)
