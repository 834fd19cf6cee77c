"""Checks with real processes that faulty back ends cause no incomplete or foreign answers."""

import asyncio
import signal

from corkcrank.contracts.result_codes import ResultCode
from corkcrank.load.caller import Caller, CallerRecord
from corkcrank.load.invariants import check_records
from corkcrank.load.local_cluster import LocalCluster
from small import pipeline_call, small_deployment

CALLS = 8


async def send_calls(cluster: LocalCluster, caller: Caller) -> list[CallerRecord]:
    addresses = [gateway.caller_address for gateway in cluster.gateways()]
    calls = [
        pipeline_call(cluster.deployment, number, streamed=number % 2 == 0)
        for number in range(CALLS)
    ]
    return list(
        await asyncio.gather(
            *(caller.send(call, addresses[call.number % len(addresses)]) for call in calls)
        )
    )


def codes(records: list[CallerRecord]) -> set[int]:
    return {record.code for record in records}


async def test_one_faulty_back_end_of_two_corrupts_no_answer() -> None:
    deployment = small_deployment()
    async with LocalCluster(deployment) as cluster:
        caller = Caller(cluster.session, deployment.configuration())
        for worker, faults in (
            ("tax-llm-0", {"cut_after_tokens": 5}),
            ("tax-llm-0", {"duplicate_chunks": True}),
            ("tax-llm-0", {"crossed": True}),
            ("dossier-encoder-0", {"crossed": True}),
            ("dossier-retriever-0", {"foreign_passages": True}),
            ("dossier-reranker-0", {"lose_answers": -1}),
        ):
            await cluster.set_faults(cluster.worker_addresses[worker], **faults)
            records = await send_calls(cluster, caller)
            await cluster.set_faults(cluster.worker_addresses[worker])
            assert check_records(records, []) == (), faults
            assert codes(records) <= {ResultCode.OK.number, ResultCode.STAGE_FAILED.number}
            assert sum(record.whole for record in records) >= CALLS - 1, faults


async def test_every_retriever_returning_foreign_passages_gives_no_answer() -> None:
    deployment = small_deployment(machines=1)
    async with LocalCluster(deployment) as cluster:
        caller = Caller(cluster.session, deployment.configuration())
        for worker in ("dossier-retriever-0", "dossier-retriever-1"):
            address = cluster.worker_addresses[worker]
            await cluster.set_faults(address, foreign_passages=True)
        records = await send_calls(cluster, caller)
        assert codes(records) == {ResultCode.STAGE_FAILED.number}


async def test_engine_process_killed_during_streams() -> None:
    deployment = small_deployment()
    async with LocalCluster(deployment) as cluster:
        caller = Caller(cluster.session, deployment.configuration())
        sending = asyncio.create_task(send_calls(cluster, caller))
        await asyncio.sleep(0.4)
        cluster.signal("standin-tax-llm", signal.SIGKILL)
        records = await sending
        assert check_records(records, []) == ()
        assert all(record.code != 0 for record in records), "a call ended without a result code"
        assert codes(records) <= {
            ResultCode.STAGE_FAILED.number,
            ResultCode.DEADLINE_EXCEEDED.number,
            ResultCode.NO_BACKEND.number,
            ResultCode.OK.number,
        }
