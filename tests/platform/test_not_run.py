"""A call whose inputs cannot be made is told that it has not run, so that it may come back.

Calls whose stages were begun and then failed were answered 502, which promises nothing: their
callers could not come back with an unrepeatable stream, although no engine had had it. Pieces
of stages are inputs; they may be made again and do no work of the call.
"""

import asyncio
from collections import deque

from node_world import World, configuration, route, until, world
from platform_standins import StandinStageWorker, StandinWorker

CHAIN = [
    {"service": "encode", "since_revision": [], "byte_length": 1000},
    {"service": "rerank", "since_revision": [0], "byte_length": 1000},
]
ROUTES = [route("chain", "stream", "model", stages=CHAIN)]
PIECES = {"X-Corkcrank-Segments": "1,1", "X-Corkcrank-Segment-Key": "abcd"}


async def assert_not_run(running: World, engine: StandinWorker) -> None:
    response = await running.call("/chain/x", headers=PIECES)
    body = await response.read()
    assert response.status == 503
    assert b"STAGE_NOT_MADE" in body
    assert b'"ran":"no"' in body
    assert float(response.headers["Retry-After"]) > 0
    assert engine.seen == []


async def test_a_later_stage_that_is_lost_again_and_again() -> None:
    engine, encode = StandinWorker(events=2), StandinStageWorker()
    rerank = StandinStageWorker(faults=deque(["reset"] * 20))
    served = {"m": (engine, "model"), "e": (encode, "encode"), "r": (rerank, "rerank")}
    async with world(configuration(1, ROUTES), served) as running:
        await assert_not_run(running, engine)
        await until(lambda: encode.held == set())


async def test_engines_that_leave_while_the_stages_are_made() -> None:
    engine, encode = StandinWorker(events=2), StandinStageWorker(gate=asyncio.Event())
    rerank = StandinStageWorker()
    served = {"m": (engine, "model"), "e": (encode, "encode"), "r": (rerank, "rerank")}
    async with world(configuration(1, ROUTES), served) as running:
        call = asyncio.create_task(assert_not_run(running, engine))
        await until(lambda: bool(encode.calls))
        running.store.remove("servers", engine.worker_id)
        workers = running.nodes[0].mirror.workers
        await until(lambda: not workers.usable("model"))
        assert encode.gate is not None
        encode.gate.set()
        await call
