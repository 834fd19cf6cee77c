"""The rest of a stream waits for a place where the only engine of its version is full for a moment.

Guards against resumed streams that were refused at once: a new call has all engines to begin at,
the rest of a stream only those of its version.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from node_world import World, call_id, configuration, route, stop, until, world
from platform_standins import StandinStageWorker, StandinWorker

from corkcrank.contracts import clock

EVENTS = 6
STAGES = [{"service": "encode", "since_revision": [], "byte_length": 1000}]
ROUTES = [
    route("talk", "stream", "model", stream_resume=True, timeout_ms=8_000),
    route("staged", "stream", "model", stream_resume=True, timeout_ms=8_000, stages=STAGES),
]
PIECES = {"X-Corkcrank-Segments": "1", "X-Corkcrank-Segment-Key": "k"}
Served = dict[str, tuple[StandinWorker | StandinStageWorker, str]]
LONG_MS = 6_000
SHORT_MS = 600


@asynccontextmanager
async def gateway(engine: StandinWorker, **bounds: float) -> AsyncIterator[World]:
    async with world(configuration(1, ROUTES), {"m": (engine, "model")}, **bounds) as running:
        yield running


async def begin(running: World, path: str = "/talk/x") -> str:
    """Begin a stream; return the attempt's id."""
    attempt = call_id()
    response = await running.call(path, headers=PIECES, attempt=attempt)
    assert (await response.read()).count(b"id:") == EVENTS
    return attempt


async def resume(
    running: World, attempt: str, left_ms: int = LONG_MS, path: str = "/talk/x"
) -> tuple[int, bytes]:
    """Resume a stream; return the status and the body."""
    headers = {
        **PIECES,
        "Last-Event-Id": "2",
        "Resumes": attempt,
        "X-Corkcrank-Deadline-Ms": str(left_ms),
    }
    response = await running.call(path, headers=headers)
    return response.status, await response.read()


@pytest.mark.parametrize("path", ["/talk/x", "/staged/x"])
@pytest.mark.parametrize("rejections", [1, 2])
async def test_a_stream_goes_on_once_the_only_engine_of_its_version_has_a_place(
    rejections: int, path: str
) -> None:
    engines = [StandinWorker(events=EVENTS, told={"version": name}) for name in ("v1", "v2")]
    served: Served = {engine.worker_id: (engine, "model") for engine in engines}
    served["e"] = (StandinStageWorker(), "encode")
    async with world(configuration(1, ROUTES), served) as running:
        attempt = await begin(running, path)
        first, other = engines if engines[0].seen else reversed(engines)
        first.faults.extend(["full"] * rejections)
        status, body = await resume(running, attempt, path=path)
        assert (status, body.count(b"id:")) == (200, EVENTS - 2), body
        assert not first.faults
        assert not other.seen


async def test_a_stream_whose_time_does_not_suffice_for_a_wait_is_refused_at_once() -> None:
    engine = StandinWorker(events=EVENTS)
    async with gateway(engine) as running:
        attempt = await begin(running)
        engine.faults.append("full")
        asked_at = clock.now()
        status, body = await resume(running, attempt, SHORT_MS)
        assert (status, b"WORKERS_FULL" in body) == (503, True)
        assert clock.now() - asked_at < SHORT_MS / 1000


async def test_a_resumed_stream_beyond_the_share_is_refused_at_full_engines_as_new_calls_are() -> (
    None
):
    engine = StandinWorker(events=EVENTS)
    async with gateway(engine) as running:
        attempt = await begin(running)
        share = running.nodes[0].services.resumption_share
        while share.may_precede("tenant", 1, clock.now()):
            pass
        engine.faults.extend(["full"] * 2)
        status, body = await resume(running, attempt)
        assert (status, b"WORKERS_FULL" in body) == (503, True)
        response = await running.call("/talk/x")
        assert response.status == 503
        assert b"WORKERS_FULL" in await response.read()


async def test_a_full_engine_gets_nothing_for_a_caller_that_left_while_waiting() -> None:
    engine = StandinWorker(events=EVENTS)
    async with gateway(engine) as running:
        attempt = await begin(running)
        before = len(engine.seen)
        engine.faults.append("full")
        call = asyncio.create_task(resume(running, attempt))
        await until(lambda: not engine.faults)
        call.cancel()
        await until(lambda: running.nodes[0].callers.in_flight == 0)
        assert len(engine.seen) == before


async def test_a_wait_for_a_place_ends_with_an_answer_when_the_gateway_stops() -> None:
    engine = StandinWorker(events=EVENTS)
    async with gateway(engine, grace=1.0) as running:
        attempt = await begin(running)
        engine.faults.extend(["full"] * EVENTS)
        call = asyncio.create_task(resume(running, attempt))
        await until(lambda: len(engine.faults) < EVENTS)
        stopping = await stop(running)
        status, body = await call
        assert (status, b'"ran":"no"' in body) == (503, True)
        await stopping
