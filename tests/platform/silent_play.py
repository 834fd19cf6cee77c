"""A seeded play of streams whose engines fall silent: all, some of them, or one for good."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import aiohttp
from aiohttp import web
from core_clock import core_clock
from node_world import LONG_IDLE_TIMEOUT_MS, World, configuration, route, world
from platform_standins import NOT_RUN, StandinStageWorker, StandinWorker

from corkcrank.contracts import clock
from corkcrank.contracts.node_settings import NodeBoundSettings

ENGINES = 5
ROOM = 10
EVENTS = 14
GAP_SECONDS = 0.02
STREAMS = 40
STREAM_INTERVAL_SECONDS = 0.015
SILENCE_AT_SECONDS = 0.35
SILENCE_SECONDS = (0.15, 0.5)
RETRY_ALLOWANCE = 1_000.0
"""Repeats for all streams of a silent engine: what the budget forbids is no cut by the gateway."""

USUAL_RETRY_ALLOWANCE = NodeBoundSettings().retry_allowance
MAX_ATTEMPTS = 4
SECOND_SILENCE_SECONDS = 0.3
"""Time from the end of a silence until an engine falls silent for good, in plays of two."""

LONG_EVENTS = 60
"""Events of streams that outlast two silences."""

DEADLINE_SECONDS = 8.0
MAX_RETURNS = 3
MAX_PAUSE_SHARE = 1 / 3
"""Share of its remaining time that a refused caller waits at most before it returns."""

MORE_THAN_ALL_CALLS = 10_000
REJECTING_SECONDS = 0.4
"""Time for which a stage worker rejects every call, in some plays. A caller that returns
``MAX_RETURNS`` times outlasts it, even if it is refused at once and told the shortest time."""

PIECES = {"X-Corkcrank-Segments": "1", "X-Corkcrank-Segment-Key": "7c1e07a291bd"}
FIELDS = {
    "stream_resume": True,
    "timeout_ms": int(DEADLINE_SECONDS * 1000),
    "target_latency_ms": 400,
    "target_gap_ms": 20,
}
STAGES = [{"service": "encode", "since_revision": [], "byte_length": 1000}]


def routes(max_attempts: int) -> list[dict[str, Any]]:
    fields = {**FIELDS, "max_attempts": max_attempts}
    return [
        route("staged", "stream", "model", stages=STAGES, **fields),
        route("talk", "stream", "model", **fields),
    ]


class PausingEngine(StandinWorker):
    """An engine with room for some requests that may stand still for a while."""

    def __init__(self, events: int, room: int) -> None:
        super().__init__(events=events, gap=GAP_SECONDS)
        self.room = room
        self.goes_on = asyncio.Event()
        self.goes_on.set()
        self.running = 0

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        await self.goes_on.wait()
        if request.path != "/report" and self.running >= self.room:
            return web.Response(status=503, headers={NOT_RUN: "1", **self._ids(request)})
        self.running += 1
        try:
            return await super()._handle(request)
        finally:
            self.running -= 1

    async def _stream(self, request: web.BaseRequest, fault: str) -> web.StreamResponse:
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        response = web.StreamResponse(headers=self._head(request, fault))
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(first, self.events + 1):
            await self.goes_on.wait()
            await response.write(b"id: %d\ndata: e\n\n" % number)
            await asyncio.sleep(self.gap)
        await response.write_eof()
        return response


Silences = Callable[[random.Random, list[PausingEngine]], Coroutine[Any, Any, None]]


@dataclass
class Outcomes:
    """What callers got: whole streams, refusals, and the events of streams that were cut.

    ``whole`` counts the streams of first attempts, ``returned`` those of callers that were refused
    before and came back, ``refused`` the callers that were refused for good. ``lost`` holds the
    statuses of other answers that are no stream.
    """

    whole: int = 0
    returned: int = 0
    refused: int = 0
    lost: list[int] = field(default_factory=list)
    cut: list[int] = field(default_factory=list)
    moved: int = 0
    stage_calls: int = 0

    @property
    def served(self) -> int:
        """Return how many callers got their whole stream, at once or after a return."""
        return self.whole + self.returned


@dataclass(frozen=True, slots=True)
class _Answer:
    """An answer as a caller received it; ``ended`` tells whether it ended as complete."""

    status: int
    body: bytes
    ended: bool
    retry_after: float | None


async def _read_answer(running: World, path: str, seconds: float) -> _Answer:
    headers = {"X-Corkcrank-Deadline-Ms": f"{seconds * 1000:.0f}", **PIECES}
    response = await running.call(path, headers=headers)
    told = response.headers.get("Retry-After")
    body, ended = b"", False
    try:
        async for data in response.content.iter_any():
            body += data
        ended = True
    except aiohttp.ClientError:
        pass
    finally:
        response.close()
    return _Answer(response.status, body, ended, float(told) if told else None)


async def _serve_caller(
    running: World, path: str, events: int, max_returns: int, outcomes: Outcomes
) -> None:
    """Call as a client does: one that is refused comes back at the time told, a few times."""
    end_at = clock.now() + DEADLINE_SECONDS
    answer, returns = await _read_answer(running, path, DEADLINE_SECONDS), 0
    while answer.retry_after is not None and returns < max_returns:
        left = end_at - clock.now()
        await asyncio.sleep(min(answer.retry_after, MAX_PAUSE_SHARE * left))
        answer, returns = await _read_answer(running, path, end_at - clock.now()), returns + 1
    if not answer.ended:
        outcomes.cut.append(answer.body.count(b"id:"))
    elif answer.retry_after is not None:
        outcomes.refused += 1
    elif answer.status != HTTPStatus.OK:
        outcomes.lost.append(answer.status)
    else:
        ids = [int(part.split(b"\n")[0]) for part in answer.body.split(b"id: ")[1:]]
        assert ids == [*range(1, events + 1)]
        outcomes.whole += not returns
        outcomes.returned += bool(returns)


async def _fall_silent(source: random.Random, engines: list[PausingEngine]) -> None:
    share = source.choice(["all", "some", "one for good"])
    silent = {"all": ENGINES, "some": source.randint(1, ENGINES - 1), "one for good": 1}[share]
    chosen = source.sample(engines, silent)
    await asyncio.sleep(SILENCE_AT_SECONDS)
    for engine in chosen:
        engine.goes_on.clear()
    if share == "one for good":
        return
    await asyncio.sleep(source.uniform(*SILENCE_SECONDS))
    for engine in chosen:
        engine.goes_on.set()


async def _reject_calls(stage: StandinStageWorker) -> None:
    """Let a stage worker reject every call for a while."""
    stage.faults.extend(["full"] * MORE_THAN_ALL_CALLS)
    await asyncio.sleep(REJECTING_SECONDS)
    stage.faults.clear()


async def _fall_silent_twice(source: random.Random, engines: list[PausingEngine]) -> None:
    """Let some engines stand still together, then one of all for good."""
    chosen = source.sample(engines, source.randint(1, ENGINES - 1))
    await asyncio.sleep(SILENCE_AT_SECONDS)
    for engine in chosen:
        engine.goes_on.clear()
    await asyncio.sleep(SILENCE_SECONDS[1])
    for engine in chosen:
        engine.goes_on.set()
    await asyncio.sleep(SECOND_SILENCE_SECONDS)
    source.choice(engines).goes_on.clear()


async def play(seed: int) -> Outcomes:
    """Play streams before engines that fall silent; some plays' stage worker rejects meanwhile."""
    return await _play(seed, _fall_silent, events=EVENTS, room=ROOM, max_attempts=MAX_ATTEMPTS)


async def play_usual(seed: int) -> Outcomes:
    """Play the same with two attempts, the usual share of repeats, and callers that call once."""
    return await _play(
        seed,
        _fall_silent,
        events=EVENTS,
        room=ROOM,
        max_attempts=2,
        retry_allowance=USUAL_RETRY_ALLOWANCE,
        max_returns=0,
    )


async def play_two_silences(seed: int) -> Outcomes:
    """Play streams of two attempts that outlast two silences; no engine lacks room."""
    return await _play(
        seed, _fall_silent_twice, events=LONG_EVENTS, room=STREAMS * ENGINES, max_attempts=2
    )


async def _play(
    seed: int,
    fall_silent: Silences,
    *,
    events: int,
    room: int,
    max_attempts: int,
    retry_allowance: float = RETRY_ALLOWANCE,
    max_returns: int = MAX_RETURNS,
) -> Outcomes:
    source = random.Random(seed)
    engines = [PausingEngine(events, room) for _ in range(ENGINES)]
    stage = StandinStageWorker()
    served: dict[str, Any] = {engine.worker_id: (engine, "model") for engine in engines}
    served["stage"] = (stage, "encode")
    outcomes = Outcomes()
    rejects = source.random() < 0.5
    document = configuration(1, routes(max_attempts))
    document["limits"]["idle_timeout_ms"] = LONG_IDLE_TIMEOUT_MS
    async with (
        core_clock(),
        world(document, served, retry_allowance=retry_allowance) as running,
    ):
        silence = asyncio.create_task(fall_silent(source, engines))
        streams = []
        for number in range(STREAMS):
            path = f"/{source.choice(['staged', 'talk'])}/{number}"
            caller = _serve_caller(running, path, events, max_returns, outcomes)
            streams.append(asyncio.create_task(caller))
            await asyncio.sleep(STREAM_INTERVAL_SECONDS)
        if rejects:
            await _reject_calls(stage)
        await asyncio.gather(*streams)
        await silence
        for engine in engines:
            engine.goes_on.set()
    outcomes.moved = sum(len(engine.seen) for engine in engines) - outcomes.served
    outcomes.stage_calls = len(stage.calls)
    return outcomes
