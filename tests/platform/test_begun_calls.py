"""Order of pieces at a stage that reads the results of an earlier one.

Guards against begun calls that starve: in a simulated day 54 calls of the least urgent route were
cancelled after their first stage, because more urgent calls overtook them at the scarce second
stage until they were late.
"""

import asyncio
from typing import Any

from node_world import KEY, configuration, route, until, world
from platform_standins import StandinStageWorker, StandinWorker

ENCODE = {"service": "encode", "since_revision": [], "byte_length": 1000}
RERANK = {"service": "rerank", "since_revision": [0], "byte_length": 500}
STAGES = [ENCODE, RERANK]
ROUTES = [
    route("urgent", "stream", "model", priority=0, stages=STAGES, target_latency_ms=3_500),
    route("patient", "stream", "model", priority=2, stages=STAGES, target_latency_ms=3_500),
    route("due", "stream", "model", priority=2, stages=STAGES, target_latency_ms=2_500),
]
PIECES = {"X-Corkcrank-Segments": "4,4", "X-Corkcrank-Segment-Key": "abcd"}
"""A full batch of pieces for each call, so that calls do not share a batch."""

PAYING_KEY = "key-of-a-tenant-who-pays"
TENANTS = [
    {"name": "paying", "api_keys": [PAYING_KEY], "priority": 0},
    {"name": "tenant", "api_keys": [KEY], "priority": 1},
]


async def order_at_the_second_stage(*calls: tuple[str, str]) -> list[int]:
    """Start calls (route, key) one by one; return their order at the second stage.

    An additional first call occupies the second stage's worker until the others are queued.
    """
    gate = asyncio.Event()
    encode, rerank = StandinStageWorker(), StandinStageWorker(gate=gate)
    served: dict[str, Any] = {
        "m": (StandinWorker(events=2), "model"),
        "e": (encode, "encode"),
        "r": (rerank, "rerank"),
    }
    async with world(configuration(1, ROUTES, tenants=TENANTS), served) as running:
        tasks = []
        for number, (path, key) in enumerate([("urgent", KEY), *calls]):
            headers = {**PIECES, "X-Corkcrank-Credential": key}
            call = running.call(f"/{path}/x", headers=headers, attempt=f"{number:016x}")
            tasks.append(asyncio.create_task(call))
            await until(lambda count=number + 1: len(encode.calls) == count)  # type: ignore[misc]
        queues = running.nodes[0].stage_owner.queues
        await until(lambda: any(queue.waiting == 4 * len(calls) for _, queue in queues()))
        gate.set()
        for task in tasks:
            response = await task
            assert response.status == 200
            await response.read()
    return [int(pieces[0]["id"], 16) for pieces in rerank.calls[1:]]


async def test_begun_call_near_its_objective_precedes_a_more_urgent_route() -> None:
    assert await order_at_the_second_stage(("due", KEY), ("urgent", KEY)) == [1, 2]


async def test_more_urgent_route_goes_first_among_calls_with_similar_objectives() -> None:
    assert await order_at_the_second_stage(("patient", KEY), ("urgent", KEY)) == [2, 1]


async def test_call_of_a_tenant_with_higher_priority_goes_first() -> None:
    order = await order_at_the_second_stage(("due", KEY), ("patient", PAYING_KEY))
    assert order == [2, 1]
