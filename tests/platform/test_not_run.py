"""A call whose stages fail is answered as not run, so that its caller may retry it.

Guards against answering 502, which leaves open whether a call has run. Callers of an unrepeatable
stream could not retry after that, although no engine had received the call. The pieces of stages
only produce inputs: they may be rerun and do none of the call's own work.
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


async def test_a_later_stage_that_fails_repeatedly() -> None:
    engine, encode = StandinWorker(events=2), StandinStageWorker()
    rerank = StandinStageWorker(faults=deque(["reset"] * 20))
    served = {"m": (engine, "model"), "e": (encode, "encode"), "r": (rerank, "rerank")}
    async with world(configuration(1, ROUTES), served) as running:
        await assert_not_run(running, engine)
        await until(lambda: encode.held == set())


async def test_engines_that_leave_while_the_stages_run() -> None:
    engine, encode = StandinWorker(events=2), StandinStageWorker(gate=asyncio.Event())
    rerank = StandinStageWorker()
    served = {"m": (engine, "model"), "e": (encode, "encode"), "r": (rerank, "rerank")}
    async with world(configuration(1, ROUTES), served) as running:
        call = asyncio.create_task(assert_not_run(running, engine))
        await until(lambda: bool(encode.calls))
        running.store.remove("servers", engine.worker_id)
        workers = running.nodes[0].mirror.workers
        await until(lambda: not workers.usable_workers("model"))
        assert encode.gate is not None
        encode.gate.set()
        await call
