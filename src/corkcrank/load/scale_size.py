"""Sizes of the scale run, and the configuration that goes with each."""

import msgspec

from corkcrank.contracts.configuration import (
    Configuration,
    Pipeline,
    Placement,
    Service,
    ServiceKind,
    Stage,
    Tenant,
    Tier,
    digest_api_key,
)
from corkcrank.contracts.identifiers import (
    PipelineName,
    ServiceName,
    TenantName,
    WorkerId,
)


class ScaleSize(msgspec.Struct, frozen=True):
    """One size; half of the daemons are gateways."""

    daemons: int
    workers: int
    tenants: int
    pipelines: int


def size_for(daemons: int) -> ScaleSize:
    """Return the planned ratio of workers and tenants to daemons: 670 of each at 350."""
    return ScaleSize(daemons, round(daemons * 670 / 350), round(daemons * 670 / 350), 35)


def scale_configuration(size: ScaleSize, engines: tuple[WorkerId, ...]) -> Configuration:
    """Return a configuration of the given size: 4 models, pipelines of 3 to 6 stages."""
    models = ("model-a", "model-b", "model-c", "model-d")
    services = [Service(ServiceName("llm"), ServiceKind.ENGINE)]
    services += [
        Service(ServiceName(name), kind)
        for name, kind in (
            ("encoder", ServiceKind.ENCODER),
            ("retriever", ServiceKind.RETRIEVER),
            ("reranker", ServiceKind.RERANKER),
        )
    ]
    pool = tuple(Stage(service.name, 0.02) for service in services[1:])
    return Configuration(
        version=0,
        tiers=(Tier("gold", 0), Tier("silver", 1), Tier("bronze", 2)),
        tenants=tuple(
            Tenant(
                TenantName(f"tenant-{number}"),
                ("gold", "silver", "bronze")[number % 3],
                digest_api_key(f"key-{number}"),
                10.0,
                20.0,
            )
            for number in range(size.tenants)
        ),
        services=tuple(services),
        pipelines=tuple(
            Pipeline(
                PipelineName(f"pipeline-{number}"),
                (*(pool * 2)[: 2 + number % 4], Stage(ServiceName("llm"), 0.8, models[number % 4])),
                3.0,
            )
            for number in range(size.pipelines)
        ),
        placements=tuple(
            Placement(worker, (models[number % 4],)) for number, worker in enumerate(engines)
        ),
    )
