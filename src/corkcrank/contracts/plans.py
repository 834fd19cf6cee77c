"""Intents and plans, by which operators change the shared configuration.

An intent produces a plan, which lists every change and the version on which it is based.
A confirmation takes effect only while that version is still in force.
"""

from enum import StrEnum

import msgspec
from expression import Error, Ok, Result

from corkcrank.contracts.bounded_values import Revision
from corkcrank.contracts.configuration import (
    Configuration,
    Pipeline,
    Placement,
    validate_configuration,
)
from corkcrank.contracts.identifiers import TenantName, WorkerId
from corkcrank.contracts.result_codes import Failure, ResultCode


class ReplaceConfiguration(msgspec.Struct, frozen=True, tag="replace"):
    """Replace the whole configuration."""

    configuration: Configuration


class PutPipeline(msgspec.Struct, frozen=True, tag="pipeline"):
    """Add a pipeline, or replace the one of the same name."""

    pipeline: Pipeline


class SetTenantTier(msgspec.Struct, frozen=True, tag="tier"):
    """Move a tenant to another tier."""

    tenant: TenantName
    tier: str


class SetTenantQuota(msgspec.Struct, frozen=True, tag="quota"):
    """Change a tenant's quota across all gateways."""

    tenant: TenantName
    requests_per_second: float
    burst: float


class DrainWorker(msgspec.Struct, frozen=True, tag="drain"):
    """Stop giving new work to a back end, or resume if ``drained`` is false."""

    worker: WorkerId
    drained: bool = True


class PlaceModels(msgspec.Struct, frozen=True, tag="place"):
    """Set the models that an engine must have loaded."""

    worker: WorkerId
    models: tuple[str, ...]


Intent = (
    ReplaceConfiguration | PutPipeline | SetTenantTier | SetTenantQuota | DrainWorker | PlaceModels
)


class PlanState(StrEnum):
    """State of a plan."""

    DRAWN = "drawn"
    CONFIRMED = "confirmed"


class PlanRow(msgspec.Struct, frozen=True):
    """A plan as stored in the table."""

    plan_id: str
    base_version: Revision
    state: PlanState
    intent: Intent
    changes: tuple[str, ...]


class PlanView(msgspec.Struct, frozen=True):
    """A plan as shown to operators."""

    plan_id: str
    base_version: int
    state: PlanState
    changes: tuple[str, ...]


class ConfirmAnswer(msgspec.Struct, frozen=True):
    """The answer to a confirmation; for a stale plan it contains a fresh plan."""

    code: int
    name: str
    version: int
    fresh_plan: PlanView | None = None


def to_plan_view(row: PlanRow) -> PlanView:
    """Return the part of a plan that is shown to operators."""
    return PlanView(row.plan_id, row.base_version, row.state, row.changes)


def apply_intent(configuration: Configuration, intent: Intent) -> Result[Configuration, Failure]:
    """Return the next version of the configuration, or the reason why the intent is invalid."""
    changed = _changed_configuration(configuration, intent)
    if isinstance(changed, str):
        return Error(Failure(ResultCode.INTENT_INVALID, changed))
    after = msgspec.structs.replace(changed, version=configuration.version + 1)
    problems = validate_configuration(after)
    if problems:
        return Error(Failure(ResultCode.INTENT_INVALID, "; ".join(problems)))
    return Ok(after)


def _changed_configuration(before: Configuration, intent: Intent) -> Configuration | str:
    match intent:
        case ReplaceConfiguration():
            return intent.configuration
        case PutPipeline(pipeline=pipeline):
            others = tuple(item for item in before.pipelines if item.name != pipeline.name)
            return msgspec.structs.replace(before, pipelines=(*others, pipeline))
        case SetTenantTier(tenant=tenant, tier=tier):
            return _with_changed_tenant(before, tenant, tier=tier)
        case SetTenantQuota(tenant=tenant, requests_per_second=rate, burst=burst):
            return _with_changed_tenant(before, tenant, requests_per_second=rate, burst=burst)
        case DrainWorker(worker=worker, drained=drained):
            other_workers = tuple(item for item in before.drained_workers if item != worker)
            drained_workers = (*other_workers, worker) if drained else other_workers
            return msgspec.structs.replace(before, drained_workers=drained_workers)
        case PlaceModels(worker=worker, models=models):
            others_placed = tuple(item for item in before.placements if item.worker != worker)
            placement = Placement(worker, models)
            return msgspec.structs.replace(before, placements=(*others_placed, placement))


def _with_changed_tenant(
    before: Configuration, name: TenantName, **changes: str | float
) -> Configuration | str:
    if all(tenant.name != name for tenant in before.tenants):
        return f"tenant {name!r} does not exist"
    tenants = tuple(
        msgspec.structs.replace(tenant, **changes) if tenant.name == name else tenant
        for tenant in before.tenants
    )
    return msgspec.structs.replace(before, tenants=tenants)


def describe_changes(before: Configuration, after: Configuration) -> tuple[str, ...]:
    """Return one line for each difference between two configurations.

    >>> describe_changes(Configuration(version=1), Configuration(version=2))
    ()
    """
    lines: list[str] = []
    for field in ("tiers", "tenants", "services", "pipelines", "placements"):
        lines += _describe_field(field, getattr(before, field), getattr(after, field))
    for worker in sorted(set(after.drained_workers) - set(before.drained_workers)):
        lines.append(f"drain {worker}: no new work")
    for worker in sorted(set(before.drained_workers) - set(after.drained_workers)):
        lines.append(f"undrain {worker}: takes work again")
    return tuple(lines)


def _describe_field(
    field: str, before: tuple[msgspec.Struct, ...], after: tuple[msgspec.Struct, ...]
) -> list[str]:
    old = {_name_of(item): item for item in before}
    new = {_name_of(item): item for item in after}
    lines = [f"remove {field}/{name}" for name in sorted(old.keys() - new.keys())]
    lines += [
        f"add {field}/{name}: {_as_json_text(new[name])}"
        for name in sorted(new.keys() - old.keys())
    ]
    lines += [
        f"change {field}/{name}: {_as_json_text(old[name])} -> {_as_json_text(new[name])}"
        for name in sorted(old.keys() & new.keys())
        if old[name] != new[name]
    ]
    return lines


def _name_of(item: msgspec.Struct) -> str:
    return str(getattr(item, "name", None) or getattr(item, "worker", ""))


def _as_json_text(item: msgspec.Struct) -> str:
    return msgspec.json.encode(item).decode()
