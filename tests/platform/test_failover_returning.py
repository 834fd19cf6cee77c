"""A stream returns to an engine that it left, or did not need, without a failure of that engine.

Each engine that was sent the call counted as lost for it. A stream of a route with two attempts
that had left one engine for a silence was cut once the second one was lost, although the first one
was sound again.
"""

import asyncio
from collections import deque
from functools import cached_property

import pytest
from aiohttp import web
from node_world import configuration, until, world
from platform_standins import StandinStageWorker
from test_silent_engines import SlowEngine
from test_stream_failover import (
    EVENTS,
    EVENTS_BEFORE_SILENCE,
    HOLD,
    ROUTES,
    SILENCE_SECONDS,
    FailoverWorld,
    failover_world,
    short_silences,
    stand_still,
)

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import REJECTED_SECONDS
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.node.engines.prefill_client import PrefillGrantClient, PrefillVerdict
from corkcrank.node.peers.peer_protocol import PrefillGrant, PromptRequest
from corkcrank.node.streams.engine_turns import EngineTurns

__all__ = ["short_silences"]

PATHS = pytest.mark.parametrize("path", ["/staged/x", "/talk/x"])
SILENT = f"silent-after-{EVENTS_BEFORE_SILENCE}"
LATER = EVENTS_BEFORE_SILENCE + 2
LOST_LATER = {"is silent": f"silent-after-{LATER}", "breaks": f"break-after-{LATER}"}


class StallingEngine(SlowEngine):
    """An engine that goes on after ``hold`` for one event only."""

    async def _answer(self, request: web.BaseRequest, fault: str) -> web.StreamResponse:
        if fault != HOLD:
            return await super()._answer(request, fault)
        response = web.StreamResponse(headers=self._head(request, ""))
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(1, EVENTS_BEFORE_SILENCE + 2):
            if number == EVENTS_BEFORE_SILENCE + 1 and self.hold is not None:
                await self.hold.wait()
            await response.write(b"id: %d\ndata: e\n\n" % number)
        await asyncio.Event().wait()
        return response


def requests(failover: FailoverWorld) -> list[int]:
    return sorted(len(engine.seen) for engine in failover.engines)


@PATHS
@pytest.mark.parametrize("fault", LOST_LATER.values(), ids=LOST_LATER.keys())
async def test_a_stream_returns_to_the_engine_that_it_left_for_a_silence(
    path: str, fault: str
) -> None:
    async with failover_world(SILENT, fault) as failover:
        failover.hold.set()
        assert await failover.read_events(path) == (EVENTS, True)
        assert requests(failover) == [1, 2]


@PATHS
async def test_a_stream_is_continued_by_the_engine_that_it_did_not_need_before(path: str) -> None:
    async with failover_world(HOLD, "hang", engine_type=StallingEngine) as failover:
        stream = asyncio.create_task(failover.read_events(path))
        await until(lambda: failover.requests == 2)
        failover.hold.set()
        assert await stream == (EVENTS, True)
        assert requests(failover) == [1, 2]


@PATHS
@pytest.mark.parametrize(
    "faults", [(SILENT, "full"), ("full", SILENT)], ids=["full later", "full at first"]
)
async def test_a_stream_returns_to_an_engine_that_was_full(
    path: str, faults: tuple[str, str]
) -> None:
    async with failover_world(*faults) as failover:
        failover.hold.set()
        assert await failover.read_events(path) == (EVENTS, True)
        assert not failover.faults
        assert requests(failover) == [1, 1]


@PATHS
async def test_a_stream_returns_to_a_full_engine_after_pauses_only(path: str) -> None:
    async with failover_world(SILENT, *["full"] * 3) as failover:
        failover.hold.set()
        begun = clock.now()
        assert await failover.read_events(path) == (EVENTS, True)
        assert clock.now() - begun > 3 * REJECTED_SECONDS
        assert not failover.faults
        assert requests(failover) == [1, 1]


@PATHS
async def test_a_stream_that_lost_its_engine_returns_to_one_that_has_just_rejected_it(
    path: str,
) -> None:
    async with failover_world("full", f"break-after-{EVENTS_BEFORE_SILENCE}") as failover:
        failover.hold.set()
        assert await failover.read_events(path) == (EVENTS, True)
        assert requests(failover) == [1, 1]


async def test_a_stream_that_lost_its_engine_waits_for_one_that_stands_still() -> None:
    async with failover_world(f"break-after-{EVENTS_BEFORE_SILENCE}") as failover:
        failover.hold.set()
        services = failover.running.nodes[0].services
        standing = failover.engines[0]
        goes_on = stand_still(failover, standing)
        record = services.mirror.workers.get(standing.worker_id)
        assert record is not None
        assert not await services.liveness.is_responsive(record)
        stream = asyncio.create_task(failover.read_events("/talk/x"))
        await asyncio.wait({stream}, timeout=2 * SILENCE_SECONDS)
        assert not stream.done()
        goes_on.set()
        assert await stream == (EVENTS, True)


@PATHS
async def test_a_stream_that_lost_its_engine_waits_for_one_that_asked_for_a_pause(
    path: str,
) -> None:
    async with failover_world(f"break-after-{EVENTS_BEFORE_SILENCE}") as failover:
        failover.hold.set()
        pausing = failover.engines[0]
        pausing.retry_after = str(2 * REJECTED_SECONDS)
        stream = asyncio.create_task(failover.read_events(path))
        await until(lambda: bool(pausing.rejected_at))
        pausing.retry_after = ""
        assert await stream == (EVENTS, True)


@PATHS
async def test_a_stream_returns_to_no_engine_that_failed(path: str) -> None:
    first, second = f"break-after-{EVENTS_BEFORE_SILENCE}", f"break-after-{LATER}"
    async with failover_world(first, second) as failover:
        failover.hold.set()
        assert await failover.read_events(path) == (LATER, False)
        assert requests(failover) == [1, 1]


@PATHS
async def test_a_stream_returns_once_and_uses_no_more_engines_than_its_route_allows(
    path: str,
) -> None:
    faults, hold = (
        deque([SILENT, f"break-after-{LATER}", f"break-after-{LATER + 1}"]),
        asyncio.Event(),
    )
    hold.set()
    engines = [
        SlowEngine(zone, events=EVENTS, faults=faults, hold=hold, gap=0.01)
        for zone in ("z1", "z2", "z2", "z3")
    ]
    stage = StandinStageWorker()
    served: dict[str, tuple[SlowEngine | StandinStageWorker, str]] = {"stage": (stage, "encode")}
    served |= {f"engine {number}": (engine, "model") for number, engine in enumerate(engines)}
    async with world(configuration(1, ROUTES), served) as running:
        failover = FailoverWorld(running, (engines[0], engines[1]), stage, hold, faults)
        assert await failover.read_events(path) == (LATER + 1, False)
        assert sorted(len(engine.seen) for engine in engines) == [0, 0, 1, 2]


@PATHS
async def test_a_stream_returns_to_the_engine_that_was_overtaken(path: str) -> None:
    async with failover_world(HOLD, engine_type=StallingEngine) as failover:
        stream = asyncio.create_task(failover.read_events(path))
        await until(lambda: failover.requests == 2)
        # Both engines go on in the same turn of the event loop.
        failover.hold.set()
        assert await stream == (EVENTS, True)


async def test_a_call_is_not_sent_to_a_granted_engine_that_does_not_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    faults, hold = deque([SILENT]), asyncio.Event()
    hold.set()
    engines = [SlowEngine("z1", events=EVENTS, faults=faults, hold=hold) for _ in range(3)]
    served = {f"engine {number}": (engine, "model") for number, engine in enumerate(engines)}
    async with world(configuration(1, ROUTES), {**served}) as running:
        failover = FailoverWorld(
            running, (engines[0], engines[1]), StandinStageWorker(), hold, faults
        )
        stream = asyncio.create_task(failover.read_events("/talk/x"))
        await until(lambda: any(engine.seen for engine in engines))
        first = next(engine for engine in engines if engine.seen)
        standing, _ = (engine for engine in engines if engine is not first)
        standing.paused = asyncio.Event()
        granted = running.nodes[0].services.mirror.workers.get(standing.worker_id)
        verdicts = [PrefillVerdict(granted)]
        request_turn = EngineTurns.request_turn

        async def grant(turns: EngineTurns, chosen: WorkerRecord) -> PrefillVerdict:
            return verdicts.pop() if verdicts else await request_turn(turns, chosen)

        monkeypatch.setattr(EngineTurns, "request_turn", grant)
        assert await stream == (EVENTS, True)
        standing.paused.set()
        assert verdicts == []
        assert standing.seen == []


class LateHeadEngine(SlowEngine):
    """An engine that sends its head after ``hold``, and then resets the connection."""

    async def _answer(self, request: web.BaseRequest, fault: str) -> web.StreamResponse:
        if fault != HOLD:
            return await super()._answer(request, fault)
        assert self.hold is not None
        await self.hold.wait()
        response = web.StreamResponse(headers=self._head(request, ""))
        await response.prepare(request)
        assert request.transport is not None
        await until(lambda: self.reset_now.is_set())
        request.transport.abort()
        raise ConnectionResetError

    @cached_property
    def reset_now(self) -> asyncio.Event:
        """Return the event after which the connection is reset."""
        return asyncio.Event()


@PATHS
async def test_a_call_is_sent_again_to_the_engine_that_it_did_not_need_before_its_answer(
    path: str,
) -> None:
    async with failover_world(HOLD, "hang", engine_type=LateHeadEngine) as failover:
        stream = asyncio.create_task(failover.read_events(path))
        await until(lambda: failover.requests == 2)
        failover.hold.set()
        await until(lambda: any(engine.left for engine in failover.engines))
        for engine in failover.engines:
            assert isinstance(engine, LateHeadEngine)
            engine.reset_now.set()
        assert await stream == (EVENTS, True)
        assert requests(failover) == [1, 2]


async def test_a_call_is_not_sent_to_a_granted_engine_beyond_the_attempts_of_its_route(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    faults, hold = deque([SILENT, f"break-after-{LATER}"]), asyncio.Event()
    hold.set()
    engines = [SlowEngine("z1", events=EVENTS, faults=faults, hold=hold) for _ in range(3)]
    served = {f"engine {number}": (engine, "model") for number, engine in enumerate(engines)}
    ask, granted = PrefillGrantClient._ask_until_decided, []

    async def grant_unused(
        client: PrefillGrantClient, request: PromptRequest
    ) -> tuple[str, PrefillGrant | None]:
        unused = [engine.worker_id for engine in engines if not engine.seen]
        if len(unused) == 1:
            granted.append(unused[0])
            return "owner", PrefillGrant(unused[0])
        return await ask(client, request)

    monkeypatch.setattr(PrefillGrantClient, "_ask_until_decided", grant_unused)
    async with world(configuration(1, ROUTES), {**served}) as running:
        failover = FailoverWorld(
            running, (engines[0], engines[1]), StandinStageWorker(), hold, faults
        )
        assert await failover.read_events("/talk/x") == (EVENTS, True)
        assert granted
        assert sorted(len(engine.seen) for engine in engines) == [0, 1, 2]
