"""Tests that a stream that was read in time in a drain reaches no engine late in it.

The failure: the stages of a stream outlasted their forecast. It went to an engine seconds after the
signal, because its usual time still fitted, took longer than that, and was cut at the end.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import aiohttp
import pytest
from node_world import World, call_id, configuration, route, until, world
from platform_standins import StandinStageWorker, StandinWorker

from corkcrank.contracts import clock
from corkcrank.node.callers.drain import DrainSchedule
from corkcrank.node.engines.prefill_client import PrefillGrantClient, PrefillVerdict
from corkcrank.node.streams.engine_turns import EngineTurns

GRACE = 8.0
"""Seconds from the signal to the end of the process; streams go to engines in the first 3.8."""

EVENTS = 4
MANY_EVENTS = 100
USUAL_GAP, SLOW_GAP = 0.01, 1.2
"""Seconds between events when the time of streams is measured, and later."""

USUAL_SECONDS = 2.0
"""Usual time of a stream that must end within the last seconds of a drain."""

SLOW_FIRST_EVENT_SECONDS = 1.0

SHORT_GRACE = 1.6
"""Grace in which a stream of many events that begins after a third of it does not end."""

STAGES = [{"service": "encode", "since_revision": [], "byte_length": 1000}]
LONG = {"target_latency_ms": 6_000, "timeout_ms": 15_000}
ROUTES = [
    route("staged", "stream", "model", stages=STAGES, **LONG),
    route("staged-resumable", "stream", "model", stages=STAGES, stream_resume=True, **LONG),
    route("brief", "stream", "model", **LONG),
    route("resumable", "stream", "model", stream_resume=True, **LONG),
]
READ_AFTER = 2.3
LATE = 4.4
"""Times after the signal at which a stream is read, and at which it would reach an engine."""

SLOW_TURN_SECONDS = LATE - READ_AFTER
HEADERS = {
    "X-Corkcrank-Token-Count": f"10,{EVENTS}",
    "X-Corkcrank-Segments": "1",
    "X-Corkcrank-Segment-Key": "abcd",
    "X-Corkcrank-Deadline-Ms": "15000",
}


@dataclass
class Staged:
    """A draining gateway with a stream whose stage is at work, and the workers of both."""

    running: World
    engine: StandinWorker
    encode: StandinStageWorker
    call: asyncio.Task[aiohttp.ClientResponse]
    stopped: asyncio.Task[None]
    gate: asyncio.Event

    @property
    def schedule(self) -> DrainSchedule:
        return self.running.nodes[0].services.drain

    async def end_stages_at(self, when: float) -> None:
        """End the stage at a time of the drain, or leave it if the call was answered before."""
        await until(lambda: clock.now() >= when or self.call.done())
        self.gate.set()


@asynccontextmanager
async def staged_stream(read_after: float, *, measured: int = 3) -> AsyncIterator[Staged]:
    """Drain a gateway that reads a stream ``read_after`` seconds after its signal."""
    engine, encode = StandinWorker(events=EVENTS, gap=USUAL_GAP), StandinStageWorker()
    served = {"m": (engine, "model"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served, grace=GRACE) as running:
        for _ in range(measured):
            await (await running.call("/staged/x", headers=HEADERS)).read()
        engine.gap, encode.gate = SLOW_GAP, asyncio.Event()
        node, seen = running.nodes[0], len(encode.calls)
        engine.seen.clear()
        stopped = asyncio.create_task(node.stop(clock.now() - read_after))
        await until(lambda: node.life.draining)
        call = asyncio.create_task(running.call("/staged/x", headers=HEADERS))
        await until(lambda: len(encode.calls) > seen)
        yield Staged(running, engine, encode, call, stopped, encode.gate)
        await stopped


@asynccontextmanager
async def draining_gateway(signalled_ago: float) -> AsyncIterator[tuple[World, StandinWorker]]:
    """Drain a gateway that has measured streams; yield it with its engine."""
    engine, encode = StandinWorker(events=EVENTS, gap=USUAL_GAP), StandinStageWorker()
    served = {"m": (engine, "model"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served, grace=GRACE) as running:
        node = running.nodes[0]
        for path in ("/staged/x", "/brief/x"):
            await (await running.call(path, headers=HEADERS)).read()
        engine.seen.clear()
        stopped = asyncio.create_task(node.stop(clock.now() - signalled_ago))
        await until(lambda: node.life.draining)
        yield running, engine
        await stopped


async def expect_not_run(response: aiohttp.ClientResponse) -> None:
    body = await response.read()
    assert response.status == 503
    assert b"DRAINING" in body
    assert b'"ran":"no"' in body


@pytest.mark.parametrize("measured", [0, 3])
async def test_a_stream_whose_stages_end_late_in_the_drain_is_not_cut(measured: int) -> None:
    async with staged_stream(READ_AFTER, measured=measured) as played:
        await played.end_stages_at(played.schedule.signalled_at + LATE)
        await expect_not_run(await played.call)
        assert played.engine.seen == []


async def test_a_stream_whose_stages_last_too_long_is_refused_before_they_end() -> None:
    async with staged_stream(READ_AFTER) as played:
        await expect_not_run(await played.call)
        assert clock.now() < played.schedule.signalled_at + LATE
        assert not played.gate.is_set()
        assert played.engine.seen == []


async def test_a_stream_whose_stages_end_in_time_is_served() -> None:
    async with staged_stream(READ_AFTER) as played:
        played.engine.gap = USUAL_GAP
        await played.end_stages_at(played.schedule.streams_until + 0.2)
        response = await played.call
        assert response.status == 200
        assert (await response.read()).count(b"id: ") == EVENTS


async def test_a_stream_that_waits_too_long_for_an_engine_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = EngineTurns.wait_for_turn

    async def wait(turns: EngineTurns, *args: Any, **options: Any) -> PrefillVerdict:
        await asyncio.sleep(SLOW_TURN_SECONDS)
        return await original(turns, *args, **options)

    async with draining_gateway(READ_AFTER) as (running, engine):
        monkeypatch.setattr(EngineTurns, "wait_for_turn", wait)
        await expect_not_run(await running.call("/brief/x", headers=HEADERS))
        assert engine.seen == []


async def test_a_stream_behind_a_long_queue_of_prompts_is_refused_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(PrefillGrantClient, "wait_seconds", lambda *_: SLOW_TURN_SECONDS)
    async with draining_gateway(READ_AFTER) as (running, engine):
        schedule = running.nodes[0].services.drain
        for path in ("/staged/x", "/brief/x"):
            await expect_not_run(await running.call(path, headers=HEADERS))
        assert clock.now() < schedule.engines_until
        assert engine.seen == []


async def test_a_stream_whose_engine_breaks_late_is_continued_at_another() -> None:
    """An engine may have run it, so that it cannot be refused as not run."""
    engines = [StandinWorker(events=EVENTS, hold=asyncio.Event()) for _ in range(2)]
    served = {f"m{number}": (engine, "model") for number, engine in enumerate(engines)}
    async with world(configuration(1, ROUTES), served, grace=GRACE) as running:
        node = running.nodes[0]
        # No other engine is sought for the silence of the first one before it breaks.
        node.services.first_event_times.observe_seconds("model", SLOW_FIRST_EVENT_SECONDS)
        stopped = asyncio.create_task(node.stop(clock.now() - READ_AFTER))
        await until(lambda: node.life.draining)
        call = asyncio.create_task(running.call("/resumable/x", headers=HEADERS))
        await until(lambda: any(engine.seen for engine in engines))
        first, second = sorted(engines, key=lambda engine: not engine.seen)
        await until(lambda: clock.now() > node.services.drain.engines_until)
        assert second.seen == []
        second.hold = None
        await first.server.stop()
        response = await call
        assert response.status == 200
        assert (await response.read()).count(b"id: ") == EVENTS
        assert len(second.seen) == 1
        await stopped


@pytest.mark.parametrize(("read", "status"), [(95, 200), (5, 503)])
async def test_a_resumed_stream_is_judged_by_what_is_left_of_it(read: int, status: int) -> None:
    """The rest of a stream, five events of a hundred, was refused as if all were left."""
    engine = StandinWorker(events=MANY_EVENTS, gap=USUAL_GAP)
    document = configuration(1, ROUTES)
    async with world(document, {"m": (engine, "model")}, grace=SHORT_GRACE) as running:
        headers = {**HEADERS, "X-Corkcrank-Token-Count": f"10,{MANY_EVENTS}"}
        await (await running.call("/resumable/x", headers=headers)).read()
        attempt = call_id()
        cut = await running.call("/resumable/x", headers=headers, attempt=attempt)
        await cut.content.readuntil(f"id: {read}\n".encode())
        cut.close()
        node = running.nodes[0]
        stopped = asyncio.create_task(node.stop(clock.now() - SHORT_GRACE / 3))
        await until(lambda: node.life.draining)
        resumed = {**headers, "Last-Event-Id": str(read), "Resumes": attempt}
        response = await running.call("/resumable/x", headers=resumed)
        assert response.status == status
        body = await response.read()
        assert body.count(b"id: ") == (MANY_EVENTS - read if status == 200 else 0)
        await stopped


async def test_a_stream_whose_stages_run_again_too_long_goes_to_no_second_engine() -> None:
    engines = [StandinWorker(events=EVENTS, hold=asyncio.Event()) for _ in range(2)]
    encode, path = StandinStageWorker(), "/staged-resumable/x"
    served = {f"m{number}": (engine, "model") for number, engine in enumerate(engines)}
    workers = {**served, "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), workers, grace=GRACE) as running:
        node = running.nodes[0]
        node.services.stream_times.observe_stream("staged-resumable", EVENTS, USUAL_SECONDS)
        stopped = asyncio.create_task(node.stop(clock.now() - READ_AFTER))
        await until(lambda: node.life.draining)
        call = asyncio.create_task(running.call(path, headers=HEADERS))
        await until(lambda: any(engine.seen for engine in engines))
        encode.gate = asyncio.Event()
        await until(lambda: len(encode.calls) == 2)
        latest = node.services.drain.stop_at - USUAL_SECONDS
        await until(lambda: clock.now() > latest)
        encode.gate.set()
        response = await call
        assert response.status == 504
        assert b'"ran":"unknown"' in await response.read()
        assert [len(engine.seen) for engine in engines] in ([0, 1], [1, 0])
        await stopped
