"""Injects seeded random failures under mixed load and checks callers' and back ends' records."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec

from corkcrank.contracts.configuration import ServiceKind
from corkcrank.contracts.identifiers import Address, TenantName
from corkcrank.contracts.plans import SetTenantQuota
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.load.caller import Caller, CallerRecord
from corkcrank.load.deployment import Deployment
from corkcrank.load.invariants import Violation, check_records
from corkcrank.load.local_cluster import LocalCluster
from corkcrank.load.trace import Arrival, ArrivalKind, TraceShape, make_trace
from corkcrank.standins.plain import Run, Runs

PAUSE_SECONDS = (0.3, 1.5)
"""Minimum and maximum pause between failures."""

FAILURE_SECONDS = (0.5, 6.0)
"""Minimum and maximum duration of a failure."""

REPEATS = 4
"""Maximum number of times that a caller sends an unrepeatable call until it is answered."""

REPEAT_PAUSE_SECONDS = 1.0
"""Pause of a caller before each retry."""

END_SECONDS = 20.0
"""Maximum wait, after the last failure, until all nodes have adopted one version."""


@dataclass(frozen=True, slots=True)
class ChaosResult:
    """The result of one run."""

    seed: int
    failures: tuple[str, ...]
    records: tuple[CallerRecord, ...]
    violations: tuple[Violation, ...]
    versions: tuple[int, ...]


class ChaosRun:
    """One run of random failures and mixed load on one cluster."""

    def __init__(self, deployment: Deployment, seed: int, shape: TraceShape) -> None:
        self._deployment = deployment
        self._seed = seed
        self._source = random.Random(seed)
        self._trace = make_trace(deployment, shape, seed)
        self._shape = shape
        self._failures: list[str] = []
        self._down: set[str] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._confirmed = 0

    async def run(self) -> ChaosResult:
        """Run the trace under the schedule, undo all failures, and check the records."""
        async with LocalCluster(self._deployment) as cluster:
            caller = Caller(cluster.session, self._deployment.configuration())
            trace_task = asyncio.create_task(self._send_trace(cluster, caller))
            await self._fail_at_random(cluster)
            await asyncio.gather(*self._tasks)
            records = await trace_task
            versions = await self._wait_for_one_version(cluster)
            runs = await _all_runs(cluster, self._deployment)
        violations = list(check_records(records, runs))
        if len(set(versions)) != 1 or versions[0] < self._confirmed:
            violations.append(Violation("one version everywhere", f"{versions}"))
        return ChaosResult(
            self._seed, tuple(self._failures), tuple(records), tuple(violations), versions
        )

    async def _send_trace(self, cluster: LocalCluster, caller: Caller) -> list[CallerRecord]:
        loop = asyncio.get_running_loop()
        started = loop.time()
        tasks: list[asyncio.Task[list[CallerRecord]]] = []
        for arrival in self._trace:
            await asyncio.sleep(max(0.0, arrival.at - (loop.time() - started)))
            tasks.append(asyncio.create_task(self._send(cluster, caller, arrival)))
        return [record for batch in await asyncio.gather(*tasks) for record in batch]

    async def _send(
        self, cluster: LocalCluster, caller: Caller, arrival: Arrival
    ) -> list[CallerRecord]:
        records: list[CallerRecord] = []
        for repeat in range(REPEATS):
            gateways = cluster.gateways()
            gateway = gateways[(arrival.number + repeat) % len(gateways)]
            records.append(await caller.send(arrival, gateway.caller_address))
            answered = records[-1].code == ResultCode.OK.number
            if answered or arrival.kind != ArrivalKind.UNREPEATABLE:
                break
            await asyncio.sleep(REPEAT_PAUSE_SECONDS)
        return records

    async def _fail_at_random(self, cluster: LocalCluster) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + self._shape.seconds
        actions: Sequence[Callable[[LocalCluster], Awaitable[None]]] = (
            self._kill,
            self._freeze,
            self._fault_table,
            self._fault_back_end,
            self._race_operators,
        )
        while loop.time() < end:
            action = self._source.choice(actions)
            self._tasks.append(asyncio.create_task(_run(action, cluster)))
            await asyncio.sleep(self._source.uniform(*PAUSE_SECONDS))

    def _pick_daemon(self, cluster: LocalCluster) -> str | None:
        daemons = [item.name for item in (*cluster.gateways(), *cluster.controllers())]
        running = sorted(set(daemons) - self._down)
        return self._source.choice(running) if len(running) > 2 else None

    async def _kill(self, cluster: LocalCluster) -> None:
        name = self._pick_daemon(cluster)
        if name is None:
            return
        self._record_failure(f"kill {name}")
        self._down.add(name)
        seconds = self._source.uniform(0.1, 2.0)
        cluster.signal(name, signal.SIGKILL)
        await cluster.wait_ended(name)
        await asyncio.sleep(seconds)
        cluster.start_process(name)
        self._down.discard(name)

    async def _freeze(self, cluster: LocalCluster) -> None:
        name = self._pick_daemon(cluster)
        if name is None:
            return
        seconds = self._source.uniform(*FAILURE_SECONDS)
        self._record_failure(f"freeze {name} for {seconds:.1f} s")
        self._down.add(name)
        cluster.signal(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        cluster.signal(name, signal.SIGCONT)
        self._down.discard(name)

    async def _fault_table(self, cluster: LocalCluster) -> None:
        faults: dict[str, Any] = self._source.choice(
            ({"outage": True}, {"lose_answers": -1}, {"delay_seconds": 0.4})
        )
        await self._fault(cluster, "table", cluster.table, faults)

    async def _fault_back_end(self, cluster: LocalCluster) -> None:
        worker = self._source.choice(sorted(cluster.worker_addresses))
        faults: dict[str, Any] = self._source.choice(
            (
                {"lose_answers": -1},
                {"slow_factor": 10.0},
                {"crossed": True},
                {"cut_after_tokens": 3},
                {"duplicate_chunks": True},
                {"foreign_passages": True},
                {"outage": True},
            )
        )
        await self._fault(cluster, worker, cluster.worker_addresses[worker], faults)

    async def _fault(
        self, cluster: LocalCluster, name: str, address: Address, faults: dict[str, Any]
    ) -> None:
        if name in self._down:
            return
        seconds = self._source.uniform(*FAILURE_SECONDS)
        self._record_failure(f"{name} {faults} for {seconds:.1f} s")
        self._down.add(name)
        await cluster.set_faults(address, **faults)
        await asyncio.sleep(seconds)
        await cluster.set_faults(address)
        self._down.discard(name)

    async def _race_operators(self, cluster: LocalCluster) -> None:
        self._record_failure("two operators race")
        await asyncio.gather(self._operate(cluster, 0), self._operate(cluster, 1))

    async def _operate(self, cluster: LocalCluster, controller: int) -> None:
        tenant = self._source.choice(self._deployment.tenants).name
        rate = 100.0 + self._source.randrange(100)
        intent = SetTenantQuota(TenantName(tenant), rate, rate)
        plan = await cluster.draw_plan(intent, controller)
        answer = await cluster.confirm_plan(plan.plan_id, controller)
        if answer.code == ResultCode.OK.number:
            self._confirmed = max(self._confirmed, answer.version)

    def _record_failure(self, failure: str) -> None:
        self._failures.append(failure)

    async def _wait_for_one_version(self, cluster: LocalCluster) -> tuple[int, ...]:
        loop = asyncio.get_running_loop()
        timeout_at = loop.time() + END_SECONDS
        while True:
            versions = await _versions(cluster)
            if versions and len(set(versions)) == 1 and versions[0] >= self._confirmed:
                return versions
            if loop.time() > timeout_at:
                return versions
            await asyncio.sleep(0.2)


async def _run(action: Callable[[LocalCluster], Awaitable[None]], cluster: LocalCluster) -> None:
    # A suspended or killed controller, or a table outage, can leave an action unanswered.
    try:
        await action(cluster)
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
        return


async def _versions(cluster: LocalCluster) -> tuple[int, ...]:
    versions: list[int] = []
    for daemon in (*cluster.gateways(), *cluster.controllers()):
        try:
            dump = await cluster.get(daemon.peer_address, "/dump", dict[str, Any])
        except (aiohttp.ClientError, TimeoutError, OSError):
            return ()
        versions.append(dump["member"]["configuration_version"])
    return tuple(versions)


async def _all_runs(cluster: LocalCluster, deployment: Deployment) -> list[Run]:
    runs: list[Run] = []
    for service in deployment.services:
        if service.kind != ServiceKind.PLAIN:
            continue
        for worker in service.worker_ids():
            runs += (await cluster.get(cluster.worker_addresses[worker], "/runs", Runs)).runs
    return runs
