"""Checks with real processes that failures cause at most one run per idempotency key."""

import asyncio
import signal
from collections import Counter

from corkcrank.contracts.result_codes import Ran, ResultCode
from corkcrank.load.caller import Caller, CallerRecord
from corkcrank.load.invariants import check_records
from corkcrank.load.local_cluster import LocalCluster
from small import all_runs, plain_addresses, small_deployment, unrepeatable_call

KEYS = 12


async def send_keys(
    cluster: LocalCluster, caller: Caller, prefix: str, gateway: int
) -> list[CallerRecord]:
    address = cluster.gateways()[gateway].caller_address
    calls = [
        unrepeatable_call(cluster.deployment, number, f"{prefix}-{number}")
        for number in range(KEYS)
    ]
    return list(await asyncio.gather(*(caller.send(call, address) for call in calls)))


async def test_table_and_back_end_faults() -> None:
    deployment = small_deployment()
    async with LocalCluster(deployment) as cluster:
        caller = Caller(cluster.session, deployment.configuration())
        records: list[CallerRecord] = []

        await cluster.set_faults(cluster.table, lose_answers=8)
        lost = await send_keys(cluster, caller, "lost", 0)
        assert {record.code for record in lost} == {ResultCode.OK.number}

        await cluster.set_faults(cluster.table, outage=True)
        outage = await send_keys(cluster, caller, "outage", 0)
        assert {record.ran for record in outage} == {str(Ran.UNKNOWN)}
        assert Counter(run.key.split("-")[0] for run in await all_runs(cluster))["outage"] == 0
        await cluster.set_faults(cluster.table)
        again = await send_keys(cluster, caller, "outage", 1)
        assert {record.code for record in again} == {ResultCode.OK.number}

        for address in plain_addresses(cluster):
            await cluster.set_faults(address, lose_answers=-1)
        dropped = await send_keys(cluster, caller, "dropped", 0)
        assert {record.code for record in dropped} == {ResultCode.OUTCOME_UNKNOWN.number}
        for address in plain_addresses(cluster):
            await cluster.set_faults(address)
        repeated = await send_keys(cluster, caller, "dropped", 1)
        assert {record.code for record in repeated} == {ResultCode.OUTCOME_UNKNOWN.number}

        both = await asyncio.gather(
            send_keys(cluster, caller, "both", 0), send_keys(cluster, caller, "both", 1)
        )
        assert {record.code for side in both for record in side} == {ResultCode.OK.number}

        for batch in (lost, outage, again, dropped, repeated, *both):
            records += batch
        runs = await all_runs(cluster)
        assert check_records(records, runs) == ()
        assert len(runs) == 4 * KEYS


async def test_key_reused_with_another_body_is_refused() -> None:
    deployment = small_deployment(machines=1)
    async with LocalCluster(deployment) as cluster:
        caller = Caller(cluster.session, deployment.configuration())
        address = cluster.gateways()[0].caller_address
        first = await caller.send(unrepeatable_call(deployment, 0, "k", "one"), address)
        other = await caller.send(unrepeatable_call(deployment, 1, "k", "two"), address)
        assert first.code == ResultCode.OK.number
        assert other.code == ResultCode.IDEMPOTENCY_KEY_REUSED.number
        assert len(await all_runs(cluster)) == 1


async def test_gateway_killed_or_frozen_between_claim_and_answer() -> None:
    deployment = small_deployment()
    async with LocalCluster(deployment) as cluster:
        caller = Caller(cluster.session, deployment.configuration())
        records: list[CallerRecord] = []

        # With a slow table, the freeze occurs between the claim and its answer.
        await cluster.set_faults(cluster.table, delay_seconds=0.3)
        frozen = asyncio.create_task(send_keys(cluster, caller, "frozen", 0))
        await asyncio.sleep(0.15)
        cluster.signal("gateway-0", signal.SIGSTOP)
        records += await send_keys(cluster, caller, "frozen", 1)
        records += await frozen
        cluster.signal("gateway-0", signal.SIGCONT)
        await cluster.set_faults(cluster.table)
        records += await send_keys(cluster, caller, "frozen", 1)

        # With slow back ends, the kill occurs between the call and its answer.
        for address in plain_addresses(cluster):
            await cluster.set_faults(address, slow_factor=50.0)
        killed = asyncio.create_task(send_keys(cluster, caller, "killed", 0))
        await wait_for_runs(cluster, "killed")
        cluster.signal("gateway-0", signal.SIGKILL)
        records += await killed
        records += await send_keys(cluster, caller, "killed", 1)

        runs = await all_runs(cluster)
        assert check_records(records, runs) == ()
        assert any(run.key.startswith("killed") for run in runs)


async def wait_for_runs(cluster: LocalCluster, prefix: str) -> None:
    while not any(run.key.startswith(prefix) for run in await all_runs(cluster)):
        await asyncio.sleep(0.02)
