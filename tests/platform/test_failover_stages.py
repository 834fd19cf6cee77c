"""Results that an ended search left incomplete are made again."""

import asyncio
from collections import deque

import pytest
from aiohttp import web
from node_world import configuration, until, world
from platform_standins import StandinStageWorker
from test_silent_engines import SlowEngine
from test_stream_failover import (
    EVENTS,
    HOLD,
    ROUTES,
    FailoverWorld,
    engines_by_use,
    failover_world,
    short_silences,
    stand_still,
)

from corkcrank.node.stages import stage_worker_client
from corkcrank.node.stages.stage_run import MAX_ROUNDS

__all__ = ["short_silences"]


class PartEngine(SlowEngine):
    """An engine that sends its head and a part of an event late, and then breaks off."""

    async def _answer(self, request: web.BaseRequest, fault: str) -> web.StreamResponse:
        if fault != "part":
            return await super()._answer(request, fault)
        assert self.hold is not None
        assert request.transport is not None
        response = web.StreamResponse(headers=self._head(request, ""))
        response.enable_chunked_encoding()
        await self.hold.wait()
        await response.prepare(request)
        await response.write(b"id: 1\n")
        await asyncio.sleep(0.02)
        request.transport.abort()
        raise ConnectionResetError


async def test_stages_are_made_again_after_a_search_that_made_them_was_ended() -> None:
    faults, hold = deque(["part"]), asyncio.Event()
    one, two = (PartEngine(zone, events=EVENTS, faults=faults, hold=hold) for zone in ("z1", "z2"))
    stage = StandinStageWorker()
    served = {"one": (one, "model"), "two": (two, "model"), "stage": (stage, "encode")}
    async with world(configuration(1, ROUTES), served) as running:
        failover = FailoverWorld(running, (one, two), stage, hold, faults)
        stream = asyncio.create_task(failover.read_events("/staged/x"))
        await until(lambda: failover.requests == 1)
        stage.gate = asyncio.Event()
        await until(lambda: len(stage.calls) == 2)
        hold.set()
        await asyncio.sleep(0.05)
        stage.gate.set()
        assert await stream == (EVENTS, True)


async def test_stages_of_a_begun_stream_are_placed_again_after_a_round_of_silent_attempts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(stage_worker_client, "CALL_TIME_FACTOR", 0.0)
    monkeypatch.setattr(stage_worker_client, "CALL_TIME_MARGIN", 0.1)
    async with failover_world(HOLD) as failover:
        stage = failover.stage
        stream = asyncio.create_task(failover.read_events("/staged/x"))
        silent, other = await engines_by_use(failover)
        other.hold, stage.gate = None, asyncio.Event()
        stand_still(failover, silent)
        await until(lambda: len(stage.calls) > 1 + MAX_ROUNDS)
        stage.gate.set()
        assert await stream == (EVENTS, True)
