"""Confirmed configuration is in force at all processes within seconds and never reverts."""

import asyncio
import signal
from typing import Any

import msgspec

from corkcrank.contracts import clock
from corkcrank.contracts.adoption import CONFIRMATION_LIMIT_SECONDS
from corkcrank.contracts.configuration import Pipeline
from corkcrank.contracts.identifiers import PipelineName
from corkcrank.contracts.plans import DrainWorker, PutPipeline
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.load.caller import Caller
from corkcrank.load.local_cluster import LocalCluster
from small import pipeline_call, small_deployment

IN_FORCE_LIMIT_SECONDS = 7.0
CHANGES = 5
OUTAGE_SECONDS = 0.5
FROZEN_SECONDS = CONFIRMATION_LIMIT_SECONDS + 1.0


async def version_at(cluster: LocalCluster, name: str) -> int:
    dump = await cluster.get(cluster.processes[name].peer_address, "/dump", dict[str, Any])
    return int(dump["member"]["configuration_version"])


async def wait_in_force(cluster: LocalCluster, names: list[str], version: int) -> float:
    started = clock.now()
    for name in names:
        while await version_at(cluster, name) < version:
            assert clock.now() - started < IN_FORCE_LIMIT_SECONDS, name
            await asyncio.sleep(0.02)
    return clock.now() - started


def daemons(cluster: LocalCluster) -> list[str]:
    return [item.name for item in (*cluster.gateways(), *cluster.controllers())]


def new_pipeline(cluster: LocalCluster, name: str) -> Pipeline:
    first = cluster.deployment.pipelines[0]
    return msgspec.structs.replace(first, name=PipelineName(name), max_tokens=2)


async def test_changes_are_in_force_at_eight_machines() -> None:
    deployment = small_deployment(machines=8, zones=2)
    async with LocalCluster(deployment, cuttable=("gateway-0",)) as cluster:
        longest = 0.0
        for number in range(CHANGES):
            version = await cluster.apply(PutPipeline(new_pipeline(cluster, f"p{number}")))
            longest = max(longest, await wait_in_force(cluster, daemons(cluster), version))
        print(f"longest time to be in force at 16 daemons: {longest:.2f} s")

        first = await cluster.draw_plan(PutPipeline(new_pipeline(cluster, "race-a")), 0)
        second = await cluster.draw_plan(PutPipeline(new_pipeline(cluster, "race-b")), 1)
        answers = await asyncio.gather(
            cluster.confirm_plan(first.plan_id, 0), cluster.confirm_plan(second.plan_id, 1)
        )
        names = sorted(answer.name for answer in answers)
        assert names == [ResultCode.OK.name, ResultCode.PLAN_STALE.name]

        plan = await cluster.draw_plan(PutPipeline(new_pipeline(cluster, "lost")))
        await cluster.set_faults(cluster.table, lose_answers=2)
        answer = await cluster.confirm_plan(plan.plan_id)
        await cluster.set_faults(cluster.table)
        assert answer.name == ResultCode.OK.name

        cluster.table_links["gateway-0"].cut()
        version = await cluster.apply(PutPipeline(new_pipeline(cluster, "cut")))
        elapsed = await wait_in_force(cluster, ["gateway-0"], version)
        print(f"received from peers while cut off from the table: {elapsed:.2f} s")

        others = [name for name in daemons(cluster) if name != "gateway-0"]
        for name in others:
            cluster.signal(name, signal.SIGSTOP)
        await wait_until_refused(cluster, "gateway-0")
        for name in others:
            cluster.signal(name, signal.SIGCONT)


async def wait_until_refused(cluster: LocalCluster, name: str) -> None:
    """Wait until a daemon without connection to table and peers refuses requests."""
    caller = Caller(cluster.session, cluster.deployment.configuration())
    address = cluster.processes[name].caller_address
    started = clock.now()
    while True:
        record = await caller.send(pipeline_call(cluster.deployment, 0), address)
        if record.code == ResultCode.CONFIGURATION_NOT_CONFIRMED.number:
            return
        assert clock.now() - started < IN_FORCE_LIMIT_SECONDS


async def test_resumed_process_never_serves_an_old_version() -> None:
    deployment = small_deployment()
    async with LocalCluster(deployment) as cluster:
        cluster.signal("gateway-0", signal.SIGSTOP)
        waiting = asyncio.create_task(request_code(cluster, "gateway-0", "after-freeze"))
        version = await cluster.apply(PutPipeline(new_pipeline(cluster, "after-freeze")))
        await wait_in_force(cluster, ["gateway-1", "controller-0"], version)
        await asyncio.sleep(FROZEN_SECONDS)
        cluster.signal("gateway-0", signal.SIGCONT)
        code = await waiting
        assert code in (ResultCode.OK.number, ResultCode.CONFIGURATION_NOT_CONFIRMED.number)
        assert await wait_in_force(cluster, ["gateway-0"], version) < IN_FORCE_LIMIT_SECONDS


async def request_code(cluster: LocalCluster, gateway: str, pipeline: str) -> int:
    address = cluster.processes[gateway].caller_address
    key = cluster.deployment.tenants[0].api_key
    async with cluster.session.post(
        f"http://{address}/v1/pipelines/{pipeline}",
        data=msgspec.json.encode({"input": "question"}),
        headers={"Authorization": f"Bearer {key}"},
    ) as response:
        body = msgspec.json.decode(await response.read())
    return int(body["code"])


async def test_new_process_starts_from_its_peers_during_an_outage() -> None:
    deployment = small_deployment()
    async with LocalCluster(deployment) as cluster:
        version = await cluster.apply(DrainWorker(cluster.deployment.services[0].worker_ids()[0]))
        await wait_in_force(cluster, daemons(cluster), version)
        await cluster.set_faults(cluster.table, outage=True)
        cluster.signal("gateway-0", signal.SIGKILL)
        await cluster.wait_ended("gateway-0")
        cluster.start_process("gateway-0")
        await cluster.wait_ready(["gateway-0"])
        assert await version_at(cluster, "gateway-0") == version
        assert await request_code(cluster, "gateway-0", deployment.pipelines[0].name) == 1000


async def test_a_plan_is_applied_after_a_table_outage() -> None:
    async with LocalCluster(small_deployment()) as cluster:
        await cluster.set_faults(cluster.table, outage=True)
        applying = asyncio.create_task(cluster.apply(PutPipeline(new_pipeline(cluster, "later"))))
        await asyncio.sleep(OUTAGE_SECONDS)
        assert not applying.done()
        await cluster.set_faults(cluster.table)
        await wait_in_force(cluster, daemons(cluster), await applying)
