"""A stream leaves its silent engine only once another engine has begun to continue it.

An engine was left once another one was possible. The results it needed, its grant or the request
itself then failed, and the stream was cut although the first engine went on a moment later.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import aiohttp
import pytest
from aiohttp import web
from core_clock import core_clock
from node_world import World, configuration, route, until, world
from platform_standins import NOT_RUN, StandinStageWorker
from test_silent_engines import SlowEngine

from corkcrank.contracts import clock
from corkcrank.node.streams import engine_exchange, stream_relay

SILENCE_SECONDS = 0.2
LONG_SECONDS = 10.0
EVENTS = 6
EVENTS_BEFORE_SILENCE = 2
HOLD = f"hold-after-{EVENTS_BEFORE_SILENCE}"
REJECTS_LATER = "reject-after-hold"
PIECES = {"X-Corkcrank-Segments": "1", "X-Corkcrank-Segment-Key": "7c1e07a291bd"}
STAGES = [{"service": "encode", "since_revision": [], "byte_length": 1000}]

ROUTES = [
    route(
        "staged",
        "stream",
        "model",
        stream_resume=True,
        timeout_ms=20_000,
        target_latency_ms=300,
        target_gap_ms=20,
        stages=STAGES,
    ),
    route("talk", "stream", "model", stream_resume=True, timeout_ms=20_000, target_gap_ms=20),
]

SUCCESSOR_FAULTS = {
    "rejects": "full",
    "lacks inputs": "gone",
    "resets": "reset",
    "is silent": "hang",
    "is silent after its head": f"silent-after-{EVENTS_BEFORE_SILENCE}",
}


@pytest.fixture(autouse=True)
def short_silences(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(engine_exchange, "MIN_FIRST_EVENT_SECONDS", SILENCE_SECONDS)
    monkeypatch.setattr(engine_exchange, "FIRST_EVENT_FACTOR", 0.0)
    monkeypatch.setattr(stream_relay, "MIN_SILENCE_SECONDS", SILENCE_SECONDS)


@dataclass
class FailoverWorld:
    """Two engines that take the faults of one list in turn, and a worker of their stage."""

    running: World
    engines: tuple[SlowEngine, SlowEngine]
    stage: StandinStageWorker
    hold: asyncio.Event
    faults: deque[str]

    @property
    def requests(self) -> int:
        return sum(len(engine.seen) for engine in self.engines)

    async def read_events(self, path: str) -> tuple[int, bool]:
        """Return how many events arrived, and whether the answer ended as complete."""
        headers = {"X-Corkcrank-Deadline-Ms": "20000", **PIECES}
        response = await self.running.call(path, headers=headers)
        assert response.status == 200
        body = b""
        try:
            async for data in response.content.iter_any():
                body += data
        except aiohttp.ClientError:
            return body.count(b"id:"), False
        finally:
            response.close()
        return body.count(b"id:"), True


@asynccontextmanager
async def failover_world(
    *faults: str,
    routes: list[dict[str, Any]] = ROUTES,
    engine_type: type[SlowEngine] = SlowEngine,
) -> AsyncIterator[FailoverWorld]:
    taken, hold = deque(faults), asyncio.Event()
    one, two = (
        engine_type(zone, events=EVENTS, faults=taken, hold=hold, gap=0.01) for zone in ("z1", "z2")
    )
    stage = StandinStageWorker()
    served = {"one": (one, "model"), "two": (two, "model"), "stage": (stage, "encode")}
    async with core_clock(), world(configuration(1, routes), served) as running:
        yield FailoverWorld(running, (one, two), stage, hold, taken)


async def pass_silence(task: asyncio.Task[tuple[int, bool]]) -> None:
    await asyncio.wait({task}, timeout=5 * SILENCE_SECONDS)


@pytest.mark.parametrize("path", ["/staged/x", "/talk/x"])
@pytest.mark.parametrize("fault", SUCCESSOR_FAULTS.values(), ids=SUCCESSOR_FAULTS.keys())
async def test_a_stream_is_not_cut_where_the_engine_that_should_continue_it_fails(
    path: str, fault: str
) -> None:
    async with failover_world(HOLD, fault) as failover:
        stream = asyncio.create_task(failover.read_events(path))
        await pass_silence(stream)
        await until(lambda: not failover.faults)
        failover.hold.set()
        assert await stream == (EVENTS, True)


async def test_a_stream_is_not_cut_where_its_stages_are_rejected_after_a_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A search that a stall of the loop begins before the first event would have the results still.
    monkeypatch.setattr(engine_exchange, "MIN_FIRST_EVENT_SECONDS", LONG_SECONDS)
    async with failover_world(HOLD) as failover:
        stream = asyncio.create_task(failover.read_events("/staged/x"))
        await until(lambda: failover.requests == 1)
        failover.stage.faults.extend(["full"] * 1000)
        await pass_silence(stream)
        await until(lambda: len(failover.stage.faults) < 1000)
        failover.hold.set()
        assert await stream == (EVENTS, True)
        assert failover.requests == 1


def stand_still(failover: FailoverWorld, *engines: SlowEngine) -> asyncio.Event:
    """Let engines answer nothing; return the event that lets them go on."""
    goes_on = asyncio.Event()
    for engine in engines:
        engine.paused = goes_on
    return goes_on


async def engines_by_use(failover: FailoverWorld) -> tuple[SlowEngine, SlowEngine]:
    """Return the engine that was sent the call, and the other one."""
    await until(lambda: failover.requests == 1)
    one, two = failover.engines
    return (one, two) if one.seen else (two, one)


@pytest.mark.parametrize("path", ["/staged/x", "/talk/x"])
async def test_a_stream_whose_engine_stays_silent_is_continued_as_soon_as_the_silence_allows(
    path: str,
) -> None:
    async with failover_world(HOLD) as failover:
        stream = asyncio.create_task(failover.read_events(path))
        silent, other = await engines_by_use(failover)
        begun = clock.now()
        other.hold = None
        stand_still(failover, silent)
        assert await stream == (EVENTS, True)
        assert clock.now() - begun < 3 * SILENCE_SECONDS
        assert failover.requests == 2


async def test_engines_that_are_all_silent_are_sent_nothing_and_make_no_stage_again() -> None:
    async with failover_world(HOLD) as failover:
        stream = asyncio.create_task(failover.read_events("/staged/x"))
        await until(lambda: failover.requests == 1)
        goes_on = stand_still(failover, *failover.engines)
        await pass_silence(stream)
        failover.hold.set()
        assert await stream == (EVENTS, True)
        goes_on.set()
        assert failover.requests == 1
        assert len(failover.stage.calls) == 1


async def test_a_stream_is_continued_where_its_engine_fails_while_another_one_is_sought() -> None:
    async with failover_world(HOLD, "hang") as failover:
        stream = asyncio.create_task(failover.read_events("/talk/x"))
        silent, other = await engines_by_use(failover)
        other.faults = deque()
        other.hold = asyncio.Event()
        await until(lambda: len(other.seen) == 1)
        await silent.server.stop()
        other.hold.set()
        assert await stream == (EVENTS, True)
        assert failover.requests == 2


async def test_a_caller_that_leaves_ends_the_attempts_at_both_engines() -> None:
    async with failover_world(HOLD, "hang") as failover:
        stream = asyncio.create_task(failover.read_events("/talk/x"))
        await until(lambda: failover.requests == 2)
        stream.cancel()
        await until(lambda: sum(engine.left for engine in failover.engines) == 2)


class LateRejectingEngine(SlowEngine):
    """An engine that says after ``hold`` that it has not run the call."""

    async def _answer(self, request: web.BaseRequest, fault: str) -> web.StreamResponse:
        if fault != REJECTS_LATER:
            return await super()._answer(request, fault)
        assert self.hold is not None
        await self.hold.wait()
        return web.Response(
            status=HTTPStatus.SERVICE_UNAVAILABLE, headers={NOT_RUN: "1", **self._ids(request)}
        )


@pytest.mark.parametrize("first", ["hang", REJECTS_LATER])
async def test_a_call_that_a_second_engine_may_have_run_is_not_said_not_to_have_run(
    first: str,
) -> None:
    async with failover_world(first, "hang", engine_type=LateRejectingEngine) as failover:
        headers = {"X-Corkcrank-Deadline-Ms": "1500"}
        call = asyncio.create_task(failover.running.call("/talk/x", headers=headers))
        await until(lambda: failover.requests == 2)
        failover.hold.set()
        response = await call
        assert response.status == HTTPStatus.GATEWAY_TIMEOUT


@pytest.mark.parametrize("path", ["/staged/x", "/talk/x"])
async def test_a_begun_stream_is_continued_where_a_repeat_is_free_later(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with failover_world(f"break-after-{EVENTS_BEFORE_SILENCE}") as failover:
        full = asyncio.get_running_loop().time() + SILENCE_SECONDS
        services = failover.running.nodes[0].services
        spend = services.try_spend_repeat
        monkeypatch.setattr(
            type(services),
            "try_spend_repeat",
            lambda _, service: asyncio.get_running_loop().time() > full and spend(service),
        )
        failover.hold.set()
        assert await failover.read_events(path) == (EVENTS, True)


async def test_a_silent_engines_stream_is_continued_once_the_retry_budget_has_recovered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with failover_world(HOLD) as failover:
        stream = asyncio.create_task(failover.read_events("/talk/x"))
        silent, other = await engines_by_use(failover)
        other.hold = None
        stand_still(failover, silent)
        spent_until = clock.now() + 5 * SILENCE_SECONDS
        services = type(failover.running.nodes[0].services)
        monkeypatch.setattr(
            services, "can_spend_repeat", lambda _, service: clock.now() > spent_until
        )
        assert await stream == (EVENTS, True)
        assert len(other.seen) == 1
