"""Generates seeded traces: the time, tenant and content of each request."""

import random
from dataclasses import dataclass
from enum import StrEnum

from corkcrank.contracts.configuration import Pipeline, ServiceKind
from corkcrank.load.deployment import DeployedTenant, Deployment

STREAMED_SHARE = 0.5
"""Share of pipeline requests whose callers ask for a stream."""

COMMON_QUESTIONS = 50
"""Recurring questions, so that prompts share prefixes."""


class ArrivalKind(StrEnum):
    """The kind of call that a caller makes."""

    PIPELINE = "pipeline"
    PLAIN = "plain"
    UNREPEATABLE = "unrepeatable"


@dataclass(frozen=True, slots=True)
class TraceShape:
    """The load: rates per second, a burst factor, and shares of plain calls."""

    requests_per_second: float
    seconds: float
    burst_factor: float = 1.0
    burst_from: float = 0.0
    burst_to: float = 0.0
    plain_share: float = 0.2
    unrepeatable_share: float = 0.1


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a trace; ``at`` is in seconds from the start."""

    number: int
    at: float
    kind: ArrivalKind
    tenant: DeployedTenant
    text: str
    pipeline: Pipeline | None = None
    service: str = ""
    operation: str = ""
    key: str = ""
    streamed: bool = False


def make_trace(deployment: Deployment, shape: TraceShape, seed: int) -> tuple[Arrival, ...]:
    """Return the same arrivals for the same seed."""
    source = random.Random(seed)
    arrivals: list[Arrival] = []
    at = 0.0
    while True:
        bursting = shape.burst_from <= at < shape.burst_to
        rate = shape.requests_per_second * (shape.burst_factor if bursting else 1.0)
        at += source.expovariate(rate)
        if at >= shape.seconds:
            return tuple(arrivals)
        arrivals.append(_make_arrival(deployment, shape, source, len(arrivals), at))


def _make_arrival(
    deployment: Deployment, shape: TraceShape, source: random.Random, number: int, at: float
) -> Arrival:
    weights = [tenant.requests_per_second for tenant in deployment.tenants]
    tenant = source.choices(deployment.tenants, weights)[0]
    draw = source.random()
    if draw < shape.unrepeatable_share:
        return _unrepeatable(deployment, source, number, at, tenant)
    if draw < shape.unrepeatable_share + shape.plain_share:
        return _plain(deployment, source, number, at, tenant)
    return Arrival(
        number=number,
        at=at,
        kind=ArrivalKind.PIPELINE,
        tenant=tenant,
        text=f"question {source.randrange(COMMON_QUESTIONS)} of {tenant.name}",
        pipeline=source.choice(deployment.pipelines),
        streamed=source.random() < STREAMED_SHARE,
    )


def _unrepeatable(
    deployment: Deployment,
    source: random.Random,
    number: int,
    at: float,
    tenant: DeployedTenant,
) -> Arrival:
    services = [service for service in deployment.services if service.unrepeatable]
    service = source.choice(services)
    return Arrival(
        number=number,
        at=at,
        kind=ArrivalKind.UNREPEATABLE,
        tenant=tenant,
        text=f"item {number}",
        service=service.name,
        operation=service.unrepeatable[0],
        key=f"key-{source.getrandbits(64):x}",
    )


def _plain(
    deployment: Deployment,
    source: random.Random,
    number: int,
    at: float,
    tenant: DeployedTenant,
) -> Arrival:
    services = [item for item in deployment.services if item.kind == ServiceKind.PLAIN]
    return Arrival(
        number=number,
        at=at,
        kind=ArrivalKind.PLAIN,
        tenant=tenant,
        text=f"status {number}",
        service=source.choice(services).name,
        operation="status",
    )
