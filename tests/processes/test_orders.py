"""Checks with real processes that orders of a frozen, superseded lease holder are ignored."""

import asyncio
import signal
from typing import Any

import msgspec
import pytest

from corkcrank.contracts import clock
from corkcrank.contracts.configuration import ServiceKind
from corkcrank.contracts.identifiers import WorkerId
from corkcrank.contracts.plans import PlaceModels
from corkcrank.load.local_cluster import LocalCluster
from corkcrank.standins.engine import EngineRecord
from small import small_deployment

WORKER = WorkerId("tax-llm-0")
WAIT_SECONDS = 12.0


async def holder(cluster: LocalCluster, excluded: str = "") -> tuple[str, int]:
    """Wait for the controller that holds the zone; return its name and fence."""
    deadline = clock.now() + WAIT_SECONDS
    while clock.now() < deadline:
        for controller in cluster.controllers():
            if controller.name == excluded:
                continue
            dump = await cluster.get(controller.peer_address, "/dump", dict[str, Any])
            if dump["publishes"] and dump["lease_seconds_left"] > 0:
                return controller.name, int(dump["fence"])
        await asyncio.sleep(0.05)
    raise TimeoutError("no controller holds the zone")


async def wait_for_models(cluster: LocalCluster, models: tuple[str, ...]) -> None:
    address = cluster.worker_addresses[WORKER]
    deadline = clock.now() + WAIT_SECONDS
    while True:
        report = await cluster.get(address, "/v1/load", dict[str, Any])
        if tuple(report["models"]) == models:
            return
        assert clock.now() < deadline, f"the engine holds {report['models']}"
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("checks_fence", [True, False])
async def test_orders_of_a_superseded_holder_are_ignored(checks_fence: bool) -> None:
    deployment = small_deployment()
    services = tuple(
        msgspec.structs.replace(service, checks_fence=checks_fence)
        if service.kind == ServiceKind.ENGINE
        else service
        for service in deployment.services
    )
    deployment = msgspec.structs.replace(deployment, services=services)
    async with LocalCluster(deployment) as cluster:
        first, first_fence = await holder(cluster)
        await cluster.apply(PlaceModels(WORKER, ("tax-8b", "first")))
        await wait_for_models(cluster, ("tax-8b", "first"))

        cluster.signal(first, signal.SIGSTOP)
        second, second_fence = await holder(cluster, excluded=first)
        assert second != first
        assert second_fence > first_fence
        other = next(
            number for number, item in enumerate(cluster.controllers()) if item.name == second
        )
        plan = await cluster.draw_plan(PlaceModels(WORKER, ("tax-8b", "second")), other)
        await cluster.confirm_plan(plan.plan_id, other)
        await wait_for_models(cluster, ("tax-8b", "second"))

        cluster.signal(first, signal.SIGCONT)
        await wait_until_not_holding(cluster, first)
        record = await cluster.get(cluster.worker_addresses[WORKER], "/record", EngineRecord)
        fences = [order.fence for order in record.orders]
        assert fences == sorted(fences)
        assert record.orders[-1].models == ("tax-8b", "second")
        await wait_for_models(cluster, ("tax-8b", "second"))


async def wait_until_not_holding(cluster: LocalCluster, name: str) -> None:
    address = cluster.processes[name].peer_address
    deadline = clock.now() + WAIT_SECONDS
    while (await cluster.get(address, "/dump", dict[str, Any]))["publishes"]:
        assert clock.now() < deadline, "the resumed holder does not step down"
        await asyncio.sleep(0.05)
