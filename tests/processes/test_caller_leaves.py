"""Checks that the engine's slot is freed when the caller disconnects."""

import asyncio
from typing import Any

import msgspec

from corkcrank.contracts import clock
from corkcrank.load.local_cluster import LocalCluster
from corkcrank.standins.engine import EngineRecord
from small import small_deployment

TOKENS = 1000
LIMIT_SECONDS = 5.0
ENGINES = ("tax-llm-0", "tax-llm-1")


async def running(cluster: LocalCluster) -> int:
    total = 0
    for worker in ENGINES:
        report = await cluster.get(cluster.worker_addresses[worker], "/v1/load", dict[str, Any])
        total += int(report["running"]) + int(report["waiting"])
    return total


async def generated(cluster: LocalCluster) -> int:
    total = 0
    for worker in ENGINES:
        address = cluster.worker_addresses[worker]
        total += (await cluster.get(address, "/record", EngineRecord)).tokens
    return total


async def test_engine_work_ends_when_the_caller_leaves() -> None:
    async with LocalCluster(small_deployment(machines=1)) as cluster:
        address = cluster.gateways()[0].caller_address
        key = cluster.deployment.tenants[0].api_key
        async with cluster.session.post(
            f"http://{address}/v1/pipelines/draft-review",
            data=msgspec.json.encode({"input": "question", "max_tokens": TOKENS}),
            headers={
                "Authorization": f"Bearer {key}",
                "Accept": "text/event-stream",
                "Corkcrank-Deadline-Ms": "60000",
            },
        ) as response:
            assert response.status == 200, await response.read()
            await response.content.readline()
            while await running(cluster) == 0:
                await asyncio.sleep(0.02)
            response.close()
        left_at = clock.now()
        while await running(cluster) > 0:
            assert clock.now() - left_at < LIMIT_SECONDS, "the engine is still generating"
            await asyncio.sleep(0.02)
        assert await generated(cluster) < TOKENS / 2
        dump = await cluster.get(cluster.gateways()[0].peer_address, "/dump", dict[str, Any])
        assert dump["in_flight"] == 0
