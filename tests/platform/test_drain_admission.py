"""Tests that a draining gateway admits only calls that can end before it stops."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import msgspec
import pytest
from core_clock import core_clock
from node_world import World, configuration, route, stage_service, stop, until, world
from platform_standins import StandinStageWorker, StandinWorker
from test_pieces_in_stops import waiting_piece

from corkcrank.contracts import clock
from corkcrank.links.platform_ports import PieceOutcome
from corkcrank.node.peers.peer_protocol import PIECES_PATH, StageAnswer
from corkcrank.node.workers.crash_watch import CrashWatch

GRACE = 2.4
"""Grace period of the gateway, in seconds."""

SHORT_EVENTS, LONG_EVENTS = 4, 140
EVENT_GAP = 0.02
"""Interval of events in seconds; the streams take 0.1 s and 3 s."""

LONG_TIMEOUT_MS = 9_000
"""Three times the time of a long stream, so that a slow machine does not cut it."""

ROUTES = [
    route("plain", "safe", "plain"),
    route("short", "stream", "brief", target_latency_ms=800),
    route("long", "stream", "model", target_latency_ms=800, timeout_ms=LONG_TIMEOUT_MS),
    route(
        "staged",
        "stream",
        "model",
        target_latency_ms=2_000,
        timeout_ms=LONG_TIMEOUT_MS,
        stages=[{"service": "encode", "since_revision": [], "byte_length": 1000}],
    ),
]
PLAIN_SECONDS = 1.0
"""Usual time of a plain call, more than half of the drain."""

PLAIN_ROUTES = [route("plain", "safe", "plain"), route("unsafe", "unsafe", "plain")]
TOKENS = {"X-Corkcrank-Token-Count": f"10,{LONG_EVENTS}"}
PIECES = {**TOKENS, "X-Corkcrank-Segments": "1", "X-Corkcrank-Segment-Key": "abcd"}


@asynccontextmanager
async def stopping_soon() -> AsyncIterator[tuple[World, StandinWorker, StandinStageWorker]]:
    """Run a gateway that has measured one stream of each kind and is not draining yet."""
    model = StandinWorker(events=LONG_EVENTS, gap=EVENT_GAP)
    brief = StandinWorker(events=SHORT_EVENTS, gap=EVENT_GAP)
    encode = StandinStageWorker()
    served = {
        "m": (model, "model"),
        "b": (brief, "brief"),
        "e": (encode, "encode"),
        "p": (StandinWorker(), "plain"),
    }
    document = configuration(1, ROUTES)
    document["services"].append({"name": "brief", "engine": {"slots": 8, "kv_capacity": 1000}})
    async with core_clock(), world(document, served, grace=GRACE) as running:
        paths = ("/short/x", "/long/x", "/staged/x")
        headers = {**PIECES, "X-Corkcrank-Deadline-Ms": str(LONG_TIMEOUT_MS)}
        answers = [running.call(path, headers=headers) for path in paths]
        for response in await asyncio.gather(*answers):
            await response.read()
        yield running, model, encode


async def test_a_stream_that_outlasts_the_grace_is_refused_at_once() -> None:
    async with stopping_soon() as (running, model, _):
        stopped = await stop(running)
        before = len(model.seen)
        response = await running.call("/long/x", headers=TOKENS)
        assert response.status == 503
        assert b"DRAINING" in await response.read()
        assert float(response.headers["Retry-After"]) < 1.0
        assert response.headers["Connection"] == "close"
        assert len(model.seen) == before
        await stopped


async def test_short_answers_are_still_served_whole_and_close_their_connection() -> None:
    async with stopping_soon() as (running, _, _):
        stopped = await stop(running)
        for path in ("/short/x", "/plain/x"):
            response = await running.call(path, headers=TOKENS)
            assert response.status == 200
            assert await response.read()
            assert response.headers["Connection"] == "close"
        await stopped


async def test_a_stream_that_began_before_the_stop_ends_whole() -> None:
    async with stopping_soon() as (running, _, _):
        response = await running.call("/short/x", headers=TOKENS)
        stopped = await stop(running)
        assert (await response.read()).count(b"id:") == SHORT_EVENTS
        await stopped


async def test_a_call_whose_stages_end_too_late_for_its_stream_has_not_run() -> None:
    async with stopping_soon() as (running, model, encode):
        encode.gate = asyncio.Event()
        before = len(model.seen)
        call = asyncio.create_task(running.call("/staged/x", headers=PIECES))
        await until(lambda: bool(encode.calls))
        stopped = await stop(running)
        encode.gate.set()
        response = await call
        assert response.status == 503
        body = await response.read()
        assert b"DRAINING" in body
        assert b'"ran":"no"' in body
        assert float(response.headers["Retry-After"]) < 1.0
        assert len(model.seen) == before
        await stopped


async def test_a_kept_connection_gets_an_answer_late_in_the_drain() -> None:
    async with stopping_soon() as (running, model, _):
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as kept:
            running.session = kept
            first = await running.call("/plain/x")
            await first.read()
            stopped = await stop(running)
            await asyncio.sleep(0)
            before = len(model.seen)
            response = await running.call("/long/x", headers=TOKENS)
            assert response.status == 503
            await response.read()
            assert len(model.seen) == before
            await stopped


@pytest.mark.parametrize("name", ["plain", "unsafe"])
async def test_a_plain_call_that_waits_too_long_in_a_drain_reaches_no_worker(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def wait(*_: object) -> float:
        await asyncio.sleep(GRACE / 2)
        return 0.0

    plain = StandinWorker()
    async with world(configuration(1, PLAIN_ROUTES), {"p": (plain, "plain")}, grace=GRACE) as run:
        run.nodes[0].services.plain_times.observe_seconds("plain", PLAIN_SECONDS)
        monkeypatch.setattr(CrashWatch, "wait_for_verdict", wait)
        call = asyncio.create_task(run.call(f"/{name}/x"))
        await until(lambda: run.nodes[0].callers.in_flight == 1)
        stopped = await stop(run)
        response = await call
        body = await response.read()
        assert response.status == 503
        assert b"DRAINING" in body
        assert b'"ran":"no"' in body
        assert clock.now() < run.nodes[0].services.drain.signalled_at + GRACE / 2
        assert plain.seen == []
        await stopped


async def test_a_piece_of_a_peer_that_would_outlast_the_drain_is_refused_at_once() -> None:
    encode = StandinStageWorker()
    document = configuration(1, ROUTES, services=[stage_service("encode", call_ms=1000 * GRACE)])
    async with (
        world(document, {"e": (encode, "encode")}, grace=GRACE) as running,
        aiohttp.ClientSession() as peers,
    ):
        url = f"http://{running.nodes[0].fleet.local_address}{PIECES_PATH}"
        stopped = await stop(running)
        async with peers.post(url, data=waiting_piece(encode, 1)) as response:
            answer = msgspec.msgpack.decode(await response.read(), type=StageAnswer)
        assert [result.outcome for result in answer.results] == [PieceOutcome.REFUSED]
        assert encode.calls == []
        await stopped
