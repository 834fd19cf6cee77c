"""Builders of a small deployment and its calls for tests that start processes."""

from pathlib import Path

import msgspec

from corkcrank.contracts.configuration import ServiceKind
from corkcrank.load.deployment import Deployment, load_deployment
from corkcrank.load.local_cluster import LocalCluster
from corkcrank.load.trace import Arrival, ArrivalKind
from corkcrank.standins.plain import Run, Runs

EXAMPLES = Path(__file__).parent.parent / "examples"
SERVICE = "member-portal"
OPERATION = "confirm-receipt"


def small_deployment(
    machines: int = 2, zones: int = 1, deadline: float | None = None
) -> Deployment:
    """Return the example deployment ``association`` with fewer machines, zones and workers.

    ``deadline`` in seconds replaces the pipelines' deadlines in tests that don't check time.
    """
    deployment = load_deployment(EXAMPLES / "association.toml")
    kept = tuple(
        msgspec.structs.replace(service, workers=2)
        for service in deployment.services
        if service.kind != ServiceKind.PLAIN or service.name == SERVICE
    )
    return msgspec.structs.replace(
        deployment,
        machines=machines,
        zones=deployment.zones[:zones],
        services=kept,
        pipelines=tuple(
            msgspec.structs.replace(
                pipeline, deadline_seconds=deadline or pipeline.deadline_seconds
            )
            for pipeline in deployment.pipelines
        ),
        list_lag_seconds=0.2,
        drain_linger_seconds=0.2,
    )


def unrepeatable_call(deployment: Deployment, number: int, key: str, text: str = "") -> Arrival:
    """Return a call that may run at most once."""
    return Arrival(
        number=number,
        at=0.0,
        kind=ArrivalKind.UNREPEATABLE,
        tenant=deployment.tenants[0],
        text=text or f"item {key}",
        service=SERVICE,
        operation=OPERATION,
        key=key,
    )


def pipeline_call(deployment: Deployment, number: int, streamed: bool = True) -> Arrival:
    """Return a call to the first pipeline."""
    return Arrival(
        number=number,
        at=0.0,
        kind=ArrivalKind.PIPELINE,
        tenant=deployment.tenants[number % len(deployment.tenants)],
        text=f"question {number}",
        pipeline=deployment.pipelines[0],
        streamed=streamed,
    )


async def all_runs(cluster: LocalCluster) -> list[Run]:
    """Return every run that the plain services recorded."""
    runs: list[Run] = []
    for worker, address in cluster.worker_addresses.items():
        if worker.startswith(SERVICE):
            runs += (await cluster.get(address, "/runs", Runs)).runs
    return runs


def plain_addresses(cluster: LocalCluster) -> list[str]:
    """Return the addresses of the plain service's workers."""
    return [
        address
        for worker, address in cluster.worker_addresses.items()
        if worker.startswith(SERVICE)
    ]
