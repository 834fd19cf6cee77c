"""Describes a deployment to run on one machine: machines, services, tenants, pipelines."""

import tomllib
from pathlib import Path

import msgspec

from corkcrank.contracts.configuration import (
    Configuration,
    Pipeline,
    Placement,
    Service,
    ServiceKind,
    Tenant,
    Tier,
    digest_api_key,
)
from corkcrank.contracts.identifiers import ServiceName, TenantName, WorkerId


class DeployedService(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service and its stand-in back ends."""

    name: ServiceName
    kind: ServiceKind
    workers: int
    slots: int = 8
    service_seconds: float = 0.01
    models: tuple[str, ...] = ()
    unrepeatable: tuple[str, ...] = ()
    checks_fence: bool = True
    cost_per_second: float = 1.0

    def worker_ids(self) -> tuple[WorkerId, ...]:
        """Return the ids of the back ends."""
        return tuple(WorkerId(f"{self.name}-{number}") for number in range(self.workers))


class DeployedTenant(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant with the API key that its callers use."""

    name: TenantName
    tier: str
    api_key: str
    requests_per_second: float
    burst: float


class Deployment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One user's deployment; each machine runs a gateway and a controller."""

    name: str
    region: str
    zones: tuple[str, ...]
    machines: int
    services: tuple[DeployedService, ...]
    tiers: tuple[Tier, ...]
    tenants: tuple[DeployedTenant, ...]
    pipelines: tuple[Pipeline, ...]
    writes_per_second: int = 300
    list_lag_seconds: float = 0.5
    drain_linger_seconds: float = 1.0

    def zone_of(self, number: int) -> str:
        """Return the zone of the machine or back end with this number."""
        return self.zones[number % len(self.zones)]

    def configuration(self) -> Configuration:
        """Return the initial shared configuration, which operators confirm first."""
        return Configuration(
            version=0,
            tiers=self.tiers,
            tenants=tuple(_tenant(item) for item in self.tenants),
            services=tuple(_service(item) for item in self.services),
            pipelines=self.pipelines,
            placements=tuple(
                Placement(worker, item.models)
                for item in self.services
                if item.kind == ServiceKind.ENGINE
                for worker in item.worker_ids()
            ),
        )


def load_deployment(path: Path) -> Deployment:
    """Read a deployment; raises ``msgspec.ValidationError``."""
    return msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), Deployment)


def _tenant(item: DeployedTenant) -> Tenant:
    return Tenant(
        name=item.name,
        tier=item.tier,
        api_key_sha256=digest_api_key(item.api_key),
        requests_per_second=item.requests_per_second,
        burst=item.burst,
    )


def _service(item: DeployedService) -> Service:
    return Service(
        name=item.name,
        kind=item.kind,
        unrepeatable=item.unrepeatable,
        checks_fence=item.checks_fence,
        cost_per_second=item.cost_per_second,
    )
