"""Decodes the operator's configuration and the workers' entries from rows of the store."""

from collections.abc import Sequence
from typing import Annotated

import msgspec

from corkcrank.contracts.bounded_values import WholeNumber
from corkcrank.contracts.opaque_configuration import (
    CallKind,
    EngineCapacity,
    KeyedTenant,
    OpaqueConfiguration,
    OpaqueRoute,
    RequestLimits,
    ServiceProfile,
    StageCapacity,
    StageDefinition,
    WeightedService,
)
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.contracts.zone_evacuations import ZoneState
from corkcrank.links.platform_ports import StoreRow, Unreadable
from corkcrank.links.strict_json import decode_strictly
from corkcrank.platform import names
from corkcrank.platform.call_headers import MILLISECONDS_PER_SECOND
from corkcrank.platform.worker_entries import read_worker

BYTES_PER_MEGABYTE = 1_000_000

_KINDS = {
    "safe": CallKind.REPEATABLE,
    "unsafe": CallKind.UNREPEATABLE,
    "stream": CallKind.STREAM,
}


class _Stage(msgspec.Struct):
    service: str
    since_revision: tuple[WholeNumber, ...] = ()
    byte_length: Annotated[float, msgspec.Meta(ge=0, le=1 << 53)] = 0


class _Weighted(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    hostname: str
    path_prefix: str
    route_type: str
    timeout_ms: float = 30_000
    target_latency_ms: float = 1_000
    max_attempts: WholeNumber = 1
    priority: WholeNumber = 0
    service: str = ""
    weighted_services: tuple[_Weighted, ...] = ()
    anonymous: bool = False
    session_affinity: bool = False
    stream_resume: bool = False
    target_gap_ms: float | None = None
    stages: tuple[_Stage, ...] = ()


class _Segments(msgspec.Struct):
    slots: WholeNumber = 1
    queue: WholeNumber = 0
    batch: WholeNumber = 1
    call_ms: float = 0
    item_ms: float = 0
    headroom_mb: float = 0
    handle_s: float = 1


class _Engine(msgspec.Struct):
    slots: WholeNumber = 1
    kv_capacity: WholeNumber = 0


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/"
    max_connections: WholeNumber = 0
    warmup_s: float = 0
    warmup_per_s: float = 0
    segments: _Segments | None = None
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: WholeNumber = 16_384
    max_body_bytes: WholeNumber = 4 << 20
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: WholeNumber = 0


class _Configuration(msgspec.Struct):
    version: WholeNumber
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Tenant, ...] = ()


class PlatformDocumentCodec:
    """Converts rows of the store into corkcrank's own types."""

    def configuration(self, rows: Sequence[StoreRow]) -> OpaqueConfiguration | str | None:
        """Return the newest configuration among rows, or the reason why it is unreadable.

        ``None`` if no row holds one. One answer of the feed may contain several changes of the
        same row.
        """
        newest = max(
            (row for row in rows if row.key == names.CONFIGURATION_KEY and row.value is not None),
            key=lambda row: row.revision,
            default=None,
        )
        if newest is None or newest.value is None:
            return None
        document = decode_strictly(newest.value, _Configuration)
        if isinstance(document, Unreadable):
            return document.reason
        try:
            return _to_configuration(document)
        except KeyError as error:
            return str(error)

    def zone_states(self, rows: Sequence[StoreRow]) -> tuple[ZoneState, ...]:
        """Return the state of each zone with a row among these; its last row counts.

        A zone is evacuated while its row exists, even if the value of the row is unreadable.
        """
        states = {}
        for row in rows:
            zone = row.key.removeprefix(names.EVACUATION_PREFIX)
            if zone and zone != row.key:
                states[zone] = ZoneState(zone, row.revision, evacuated=row.value is not None)
        return tuple(states.values())

    def worker(self, row: StoreRow) -> WorkerRecord | Unreadable | None:
        """Return the worker of a row, ``None`` if the row was removed, or why it is invalid."""
        return read_worker(row)


def _to_configuration(document: _Configuration) -> OpaqueConfiguration:
    return OpaqueConfiguration(
        version=document.version,
        routes=tuple(_to_route(route) for route in document.routes),
        services=tuple(_to_service(service) for service in document.services),
        limits=_to_limits(document.limits),
        tenants=tuple(
            KeyedTenant(tenant.name, tenant.api_keys, tenant.priority)
            for tenant in document.tenants
        ),
    )


def _to_route(route: _Route) -> OpaqueRoute:
    weighted = tuple(WeightedService(item.service, item.weight) for item in route.weighted_services)
    pause = route.target_gap_ms
    return OpaqueRoute(
        name=route.name,
        host=route.hostname,
        path_prefix=route.path_prefix,
        kind=_KINDS[route.route_type],
        services=weighted or (WeightedService(route.service, 1.0),),
        timeout=route.timeout_ms / MILLISECONDS_PER_SECOND,
        objective=route.target_latency_ms / MILLISECONDS_PER_SECOND,
        maximum_attempts=max(1, route.max_attempts),
        rank=route.priority,
        needs_key=not route.anonymous,
        resumable=route.stream_resume,
        session_affinity=route.session_affinity,
        pause_objective=None if pause is None else pause / MILLISECONDS_PER_SECOND,
        stages=tuple(
            StageDefinition(stage.service, stage.since_revision, int(stage.byte_length))
            for stage in route.stages
        ),
    )


def _to_service(service: _Service) -> ServiceProfile:
    stage = service.segments
    engine = service.engine
    return ServiceProfile(
        name=service.name,
        health_path=service.health_path,
        connections=service.max_connections,
        warmup_seconds=max(0.0, service.warmup_s),
        warmup_rate=max(0.0, service.warmup_per_s),
        stage=None if stage is None else _to_stage(stage),
        engine=None if engine is None else EngineCapacity(engine.slots, engine.kv_capacity),
    )


def _to_stage(stage: _Segments) -> StageCapacity:
    return StageCapacity(
        slots=max(1, stage.slots),
        queue=max(0, stage.queue),
        batch=max(1, stage.batch),
        call_seconds=stage.call_ms / MILLISECONDS_PER_SECOND,
        piece_seconds=stage.item_ms / MILLISECONDS_PER_SECOND,
        room_bytes=stage.headroom_mb * BYTES_PER_MEGABYTE,
        result_seconds=stage.handle_s,
    )


def _to_limits(limits: _Limits) -> RequestLimits:
    return RequestLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_seconds=limits.header_timeout_ms / MILLISECONDS_PER_SECOND,
        idle_seconds=limits.idle_timeout_ms / MILLISECONDS_PER_SECOND,
    )
