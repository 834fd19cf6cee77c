"""Checks that a leaving back end gets no new work and planned stops interrupt no stream."""

import asyncio
import signal
from collections.abc import Sequence
from typing import Any

import msgspec
import pytest

from corkcrank.contracts import clock
from corkcrank.contracts.identifiers import Address, WorkerId
from corkcrank.contracts.messages import MachineList, WorkerEntry
from corkcrank.contracts.plans import DrainWorker
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.load.caller import Caller, CallerRecord
from corkcrank.load.invariants import check_records
from corkcrank.load.local_cluster import LocalCluster
from corkcrank.standins.engine import EngineRecord
from corkcrank.standins.machine_list import ListChange
from small import pipeline_call, small_deployment

MAX_LAST_CALL_SECONDS = 2.0
"""Maximum time from a back end's leaving mark until its last new call."""

QUIET_SECONDS = 2.0
"""Time without new calls after which a back end counts as quiet."""

LONG_DEADLINE_SECONDS = 30.0
"""Deadline of the streams, long enough for slow machines."""

STALLED_SECONDS = 3.5
"""Pause of a stalled process, longer than the deadline of the deployment's own pipelines."""


class StreamingLoad:
    """Keeps a few streams running until stopped."""

    def __init__(self, cluster: LocalCluster, callers: int) -> None:
        self.cluster = cluster
        self.gateways = [item.name for item in cluster.gateways()]
        self.records: list[CallerRecord] = []
        self.sent = 0
        self._caller = Caller(cluster.session, cluster.deployment.configuration())
        self._stopping = False
        self._tasks = [asyncio.create_task(self._run()) for _ in range(callers)]

    async def stop(self) -> None:
        self._stopping = True
        await asyncio.gather(*self._tasks)

    async def _run(self) -> None:
        while not self._stopping:
            name = self.gateways[len(self.records) % len(self.gateways)]
            address = self.cluster.processes[name].caller_address
            self.sent += 1
            call = pipeline_call(self.cluster.deployment, self.sent)
            self.records.append(await self._caller.send(call, address))


async def change_list(cluster: LocalCluster, change: ListChange) -> None:
    url = f"http://{cluster.machine_list}/machines"
    async with cluster.session.post(url, data=msgspec.json.encode(change)) as response:
        response.raise_for_status()


async def listed(cluster: LocalCluster, worker: str) -> WorkerEntry:
    machines = await cluster.get(cluster.machine_list, "/machines", MachineList)
    return next(entry for entry in machines.workers if entry.worker == worker)


async def attempts_at(cluster: LocalCluster, worker: str) -> int:
    record = await cluster.get(cluster.worker_addresses[worker], "/record", EngineRecord)
    return len(record.attempts) + record.refused


async def seconds_until_quiet(cluster: LocalCluster, worker: str) -> float:
    """Return the seconds until the last new call before a quiet period."""
    started = clock.now()
    last_change = started
    known = await attempts_at(cluster, worker)
    while clock.now() - last_change < QUIET_SECONDS:
        await asyncio.sleep(0.02)
        count = await attempts_at(cluster, worker)
        if count != known:
            known, last_change = count, clock.now()
        assert last_change - started < MAX_LAST_CALL_SECONDS, (
            "a leaving back end still gets new calls"
        )
    return last_change - started


@pytest.mark.parametrize("way", ["list", "own word", "plan"])
async def test_leaving_engine_gets_no_new_work(way: str) -> None:
    async with LocalCluster(small_deployment(deadline=LONG_DEADLINE_SECONDS)) as cluster:
        load = StreamingLoad(cluster, callers=6)
        worker = WorkerId("tax-llm-0")
        while await attempts_at(cluster, worker) < 10:
            await asyncio.sleep(0.02)
        if way == "list":
            entry = msgspec.structs.replace(await listed(cluster, worker), leaving=True)
            await change_list(cluster, ListChange(put=(entry,)))
            while not (await listed(cluster, worker)).leaving:
                await asyncio.sleep(0.01)
        elif way == "own word":
            await cluster.set_faults(cluster.worker_addresses[worker], leaving=True)
        else:
            await cluster.apply(DrainWorker(worker))
        seconds = await seconds_until_quiet(cluster, worker)
        await load.stop()
        print(f"last new work {seconds:.2f} s after leaving was shown ({way})")
        assert check_records(load.records, []) == ()
        assert {record.code for record in load.records} == {ResultCode.OK.number}


async def restart_gateway(cluster: LocalCluster, load: StreamingLoad, name: str) -> None:
    cluster.signal(name, signal.SIGTERM)
    await asyncio.sleep(
        0.1
    )  # delay of the load balancer, below the deployment's drain_linger_seconds
    load.gateways.remove(name)
    cluster.signal(name, signal.SIGTERM)  # a repeat must change nothing
    assert await cluster.wait_ended(name) == 0
    cluster.start_process(name)
    await cluster.wait_ready([name])
    load.gateways.append(name)


def stall(cluster: LocalCluster, name: str) -> None:
    """Suspend a process for a while, as on an overloaded machine."""
    cluster.signal(name, signal.SIGSTOP)
    loop = asyncio.get_running_loop()
    loop.call_later(STALLED_SECONDS, cluster.signal, name, signal.SIGCONT)


async def test_rolling_restart_of_gateways_and_controllers_interrupts_no_stream() -> None:
    async with LocalCluster(
        small_deployment(machines=3, deadline=LONG_DEADLINE_SECONDS)
    ) as cluster:
        load = StreamingLoad(cluster, callers=6)
        stall(cluster, "standin-tax-llm")
        for name in [item.name for item in cluster.gateways()]:
            await restart_gateway(cluster, load, name)
        for name in [item.name for item in cluster.controllers()]:
            cluster.signal(name, signal.SIGTERM)
            assert await cluster.wait_ended(name) == 0
            cluster.start_process(name)
        await load.stop()
        assert len(load.records) > 10
        assert check_records(load.records, []) == ()
        assert {record.code for record in load.records} == {ResultCode.OK.number}


async def restart_engine(cluster: LocalCluster, worker: str, boot: str) -> None:
    address = cluster.worker_addresses[worker]
    entry = await listed(cluster, worker)
    leaving = msgspec.structs.replace(entry, leaving=True)
    await change_list(cluster, ListChange(put=(leaving,)))
    await cluster.set_faults(address, leaving=True)
    while (await running_at(cluster, address)) > 0:
        await asyncio.sleep(0.05)
    await cluster.set_faults(address, boot=boot)
    back = msgspec.structs.replace(entry, boot=boot)
    await change_list(cluster, ListChange(put=(back,)))
    before = await attempts_at(cluster, worker)
    deadline = clock.now() + 10.0
    while await attempts_at(cluster, worker) == before:
        assert clock.now() < deadline, "a restarted engine gets no work"
        await asyncio.sleep(0.05)


async def running_at(cluster: LocalCluster, address: Address) -> int:
    report = await cluster.get(address, "/v1/load", dict[str, Any])
    return int(report["running"]) + int(report["waiting"])


async def test_rolling_restart_of_engines_interrupts_no_stream() -> None:
    async with LocalCluster(small_deployment(deadline=LONG_DEADLINE_SECONDS)) as cluster:
        load = StreamingLoad(cluster, callers=6)
        engines: Sequence[str] = cluster.deployment.services[0].worker_ids()
        for number, worker in enumerate(engines):
            await restart_engine(cluster, worker, boot=f"again-{number}")
        await load.stop()
        assert check_records(load.records, []) == ()
        assert {record.code for record in load.records} == {ResultCode.OK.number}
