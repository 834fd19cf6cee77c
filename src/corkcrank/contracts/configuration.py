"""The shared configuration, which operators confirm and every daemon enforces.

A configuration is an immutable document with an increasing version number. It is stored
in the platform's table. Daemons adopt only a higher version (see
:mod:`corkcrank.contracts.adoption`).
"""

import hashlib
from enum import StrEnum

import msgspec

from corkcrank.contracts.bounded_values import Revision, WholeNumber
from corkcrank.contracts.identifiers import PipelineName, ServiceName, TenantName, WorkerId


class ServiceKind(StrEnum):
    """The kind of work that the back ends of a service do."""

    ENGINE = "engine"
    ENCODER = "encoder"
    RETRIEVER = "retriever"
    RERANKER = "reranker"
    PLAIN = "plain"


class Tier(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A paid priority level of tenants; a lower ``rank`` is served first."""

    name: str
    rank: WholeNumber


class Tenant(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer organisation with its tier and its quota across all gateways."""

    name: TenantName
    tier: str
    api_key_sha256: str
    requests_per_second: float
    burst: float


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A named group of interchangeable back ends.

    ``unrepeatable`` names the operations of a plain service that may run at most once.
    ``cost_per_second`` is the price of one second of a back end's work.
    """

    name: ServiceName
    kind: ServiceKind
    unrepeatable: tuple[str, ...] = ()
    checks_fence: bool = True
    cost_per_second: float = 1.0


class Stage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One step of a pipeline; ``expected_seconds`` is the initial estimate for admission."""

    service: ServiceName
    expected_seconds: float
    model: str = ""


class Pipeline(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An ordered chain of stages with one default deadline in seconds."""

    name: PipelineName
    stages: tuple[Stage, ...]
    deadline_seconds: float
    max_tokens: WholeNumber = 64


class Placement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The models that one engine must have loaded."""

    worker: WorkerId
    models: tuple[str, ...]


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One complete version of the shared configuration."""

    version: Revision
    tiers: tuple[Tier, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    services: tuple[Service, ...] = ()
    pipelines: tuple[Pipeline, ...] = ()
    placements: tuple[Placement, ...] = ()
    drained_workers: tuple[WorkerId, ...] = ()


class ConfigurationIndex:
    """Lookup tables for one configuration, built once at adoption."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._tenants = {tenant.api_key_sha256: tenant for tenant in configuration.tenants}
        self._tiers = {tier.name: tier for tier in configuration.tiers}
        self._services = {service.name: service for service in configuration.services}
        self._pipelines = {pipeline.name: pipeline for pipeline in configuration.pipelines}
        self.drained_workers = frozenset(configuration.drained_workers)

    def tenant_for_key(self, api_key: str) -> Tenant | None:
        """Return the tenant that owns ``api_key``, or ``None``."""
        return self._tenants.get(digest_api_key(api_key))

    def tenant_rank(self, tenant: Tenant) -> int:
        """Return the rank of the tenant's tier; zero is served first."""
        return self._tiers[tenant.tier].rank

    def get_service(self, name: str) -> Service | None:
        """Return the service called ``name``, or ``None``."""
        return self._services.get(ServiceName(name))

    def get_pipeline(self, name: str) -> Pipeline | None:
        """Return the pipeline called ``name``, or ``None``."""
        return self._pipelines.get(PipelineName(name))


class ConfigurationDecodeError(ValueError):
    """A document that is no configuration."""


def digest_api_key(api_key: str) -> str:
    """Return the SHA-256 hex digest under which an API key is stored.

    >>> digest_api_key("k")[:8]
    '8254c329'
    """
    return hashlib.sha256(api_key.encode()).hexdigest()


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the JSON form that is stored in the table and sent between peers."""
    return msgspec.json.encode(configuration)


def decode_configuration(data: bytes) -> Configuration:
    """Return the configuration encoded in ``data``; raises :class:`ConfigurationDecodeError`."""
    try:
        return msgspec.json.decode(data, type=Configuration)
    except (ValueError, RecursionError) as error:
        raise ConfigurationDecodeError(str(error)) from error


def validate_configuration(configuration: Configuration) -> tuple[str, ...]:
    """Return every inconsistency found, as one sentence each; empty when valid.

    >>> validate_configuration(Configuration(version=1))
    ()
    """
    problems: list[str] = []
    problems += _duplicates("tenant", [tenant.name for tenant in configuration.tenants])
    problems += _duplicates("service", [service.name for service in configuration.services])
    problems += _duplicates("pipeline", [pipeline.name for pipeline in configuration.pipelines])
    problems += _tenant_problems(configuration)
    problems += _pipeline_problems(configuration)
    return tuple(problems)


def _duplicates(kind: str, names: list[str]) -> list[str]:
    repeated = sorted({name for name in names if names.count(name) > 1})
    return [f"{kind} {name!r} is defined more than once" for name in repeated]


def _tenant_problems(configuration: Configuration) -> list[str]:
    tiers = {tier.name for tier in configuration.tiers}
    problems = [
        f"tenant {tenant.name!r} refers to the unknown tier {tenant.tier!r}"
        for tenant in configuration.tenants
        if tenant.tier not in tiers
    ]
    problems += [
        f"tenant {tenant.name!r} needs requests_per_second above 0 and burst of at least 1"
        for tenant in configuration.tenants
        if tenant.requests_per_second <= 0 or tenant.burst < 1
    ]
    return problems


def _pipeline_problems(configuration: Configuration) -> list[str]:
    kinds = {service.name: service.kind for service in configuration.services}
    problems: list[str] = []
    for pipeline in configuration.pipelines:
        if not pipeline.stages:
            problems.append(f"pipeline {pipeline.name!r} has no stages")
        if pipeline.deadline_seconds <= 0:
            problems.append(f"pipeline {pipeline.name!r} needs a positive deadline")
        for stage in pipeline.stages:
            if kinds.get(stage.service) in (None, ServiceKind.PLAIN):
                problems.append(
                    f"pipeline {pipeline.name!r} refers to {stage.service!r}, "
                    "which is not an encoder, retriever, reranker or engine service"
                )
    return problems
