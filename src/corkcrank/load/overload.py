"""The overload experiment: policies compared on the same trace and seed in the same run."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from corkcrank.contracts.configuration import ServiceKind
from corkcrank.contracts.settings import PolicySettings, Routing
from corkcrank.load.caller import Caller, CallerRecord
from corkcrank.load.deployment import Deployment
from corkcrank.load.local_cluster import LocalCluster
from corkcrank.load.report import LoadReport, make_report, percentile
from corkcrank.load.runner import play_trace
from corkcrank.load.trace import Arrival
from corkcrank.standins.engine import EngineRecord

BASELINE = PolicySettings(routing=Routing.ROUND_ROBIN, admission=False, retry_share=1000.0)
"""Round robin, no admission, retries without limit."""

FAULT_AFTER_SECONDS = 2.0
"""When the fault of a scenario is switched on."""


@dataclass(frozen=True, slots=True)
class Scenario:
    """What goes wrong: workers that turn slow while the trace plays."""

    name: str
    workers: tuple[str, ...] = ()
    slow_factor: float = 1.0


@dataclass(frozen=True, slots=True)
class OverloadResult:
    """One variant's figures.

    ``tokens`` were generated, ``wasted_tokens`` of them for requests that missed their
    deadline; ``refusal_seconds`` is the 95th percentile until a refusal's final answer.
    """

    variant: str
    report: LoadReport
    tokens: int
    wasted_tokens: int
    refusal_seconds: float

    @property
    def waste(self) -> float:
        """Return the share of generated tokens that served nobody."""
        return self.wasted_tokens / max(1, self.tokens)


async def run_variant(
    deployment: Deployment,
    trace: Sequence[Arrival],
    scenario: Scenario,
    variant: str,
    policies: PolicySettings,
) -> OverloadResult:
    """Play a trace under one set of policies."""
    async with LocalCluster(deployment, policies=policies) as cluster:
        caller = Caller(cluster.session, deployment.configuration())
        addresses = [gateway.caller_address for gateway in cluster.gateways()]
        fault = asyncio.create_task(switch_on(cluster, scenario))
        records = await play_trace(trace, caller, lambda: addresses)
        await fault
        tokens = await generated_tokens(cluster, deployment)
    return summarize(variant, records, tokens)


async def switch_on(cluster: LocalCluster, scenario: Scenario) -> None:
    """Switch a scenario's faults on after a while."""
    await asyncio.sleep(FAULT_AFTER_SECONDS)
    for worker in scenario.workers:
        address = cluster.worker_addresses[worker]
        await cluster.set_faults(address, slow_factor=scenario.slow_factor)


async def generated_tokens(cluster: LocalCluster, deployment: Deployment) -> int:
    """Return the tokens that all engines generated."""
    total = 0
    for service in deployment.services:
        if service.kind != ServiceKind.ENGINE:
            continue
        for worker in service.worker_ids():
            address = cluster.worker_addresses[worker]
            total += (await cluster.get(address, "/record", EngineRecord)).tokens
    return total


def summarize(variant: str, records: Sequence[CallerRecord], tokens: int) -> OverloadResult:
    """Return one variant's figures."""
    useful = sum(
        record.arrival.pipeline.max_tokens
        for record in records
        if record.attained and record.arrival.pipeline is not None
    )
    refused = [record.seconds for record in records if 3000 <= record.code < 4000]
    return OverloadResult(
        variant=variant,
        report=make_report(records),
        tokens=tokens,
        wasted_tokens=max(0, tokens - useful),
        refusal_seconds=percentile(refused, 0.95),
    )


def format_overload(scenario: str, results: Sequence[OverloadResult]) -> str:
    """Return a table of the variants."""
    lines = [
        f"{scenario}:",
        f"{'variant':<12}{'attained':>10}{'by tier':>42}{'tokens':>9}{'wasted':>9}"
        f"{'per attained':>14}{'refusal p95 s':>15}",
    ]
    for result in results:
        tiers = " ".join(f"{line.tier} {line.attainment:.0%}" for line in result.report.tiers)
        per_attained = result.tokens / max(1, result.report.attained)
        lines.append(
            f"{result.variant:<12}{result.report.attainment:>10.1%}{tiers:>42}{result.tokens:>9}"
            f"{result.waste:>9.1%}{per_attained:>14.1f}{result.refusal_seconds:>15.3f}"
        )
        counts = ", ".join(f"{name} {count}" for name, count in result.report.codes)
        lines.append(f"    {counts}; wrong {result.report.wrong}")
    return "\n".join(lines)


def with_workers(deployment: Deployment, engines: int) -> Deployment:
    """Return a deployment with fewer engines and no plain services."""
    services = tuple(
        msgspec.structs.replace(item, workers=engines) if item.kind == ServiceKind.ENGINE else item
        for item in deployment.services
        if item.kind != ServiceKind.PLAIN
    )
    return msgspec.structs.replace(deployment, services=services)
