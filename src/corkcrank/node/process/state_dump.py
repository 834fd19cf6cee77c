"""Builds the state dump of one gateway for opaque calls, as ``/dump`` returns it."""

import msgspec

from corkcrank.contracts import clock
from corkcrank.links.platform_ports import StoreTable
from corkcrank.links.received_bytes import Purpose
from corkcrank.node.calls.services import CallServices
from corkcrank.node.engines.zone_prompts import ZonePrompts
from corkcrank.node.process.claims_dump import ReturnClaimsDump, dump_claims
from corkcrank.node.process.worker_dump import WorkerDump, dump_workers
from corkcrank.node.process.zone_capacity_dump import ZoneCapacityDump, dump_zone_capacities
from corkcrank.node.stages.stage_owner import StageOwner
from corkcrank.scheduling.request_quarantine import RequestQuarantine


class RouteDump(msgspec.Struct, frozen=True):
    """A configured route: its services and stages; objective and timeout are in seconds."""

    name: str
    host: str
    path_prefix: str
    kind: str
    services: tuple[str, ...]
    stages: tuple[str, ...]
    rank: int
    objective: float
    timeout: float


class QueueDump(msgspec.Struct, frozen=True):
    """The queue of a stage worker that this gateway owns; ``room`` is result memory in bytes."""

    worker_id: str
    waiting: int
    at_work: int
    room_used: float
    room_wanted: float
    room: float


class PromptQueueDump(msgspec.Struct, frozen=True):
    """A queue of prompts that this gateway owns.

    ``waiting`` has the number and the tokens of the prompts by rank, ``pace`` is in tokens a second
    of a mean engine, ``delay`` the seconds from a prompt's end to its first event. ``engines`` has
    for each engine the seconds of reading left and the tokens held.
    """

    service: str
    zone: str
    waiting: dict[str, tuple[int, int]]
    pace: float
    delay: float
    engines: dict[str, tuple[float, int]]


class RequestDump(msgspec.Struct, frozen=True):
    """A request during which workers crashed; it is not sent to workers for ``seconds`` more.

    ``rival`` is the request that was at most of these workers too, if this one is blamed.
    """

    request: str
    state: str
    ended_workers: tuple[str, ...]
    seconds: float
    rival: str = ""


class PromptPartDump(msgspec.Struct, frozen=True):
    """A prompt part under which workers crashed; no request with it is sent for ``seconds`` more.

    ``requests`` is the number of different requests that had it at these crashes.
    """

    part: str
    state: str
    ended_workers: tuple[str, ...]
    requests: int
    seconds: float


class MemberDump(msgspec.Struct, frozen=True):
    """Another gateway; ``silent`` is the seconds since its last heartbeat was received."""

    name: str
    zone: str
    phase: int
    silent: float


class ReadersDump(msgspec.Struct, frozen=True):
    """Callers that have not read their answers; ``bound_bytes`` is 0 without a bound."""

    waiting: int
    kept_bytes: int
    bound_bytes: int


class OriginRowDump(msgspec.Struct, frozen=True):
    """The row with origins of streams: whether it was read after the start, its streams, failures.

    ``streams`` counts those that would be written if versions differed.
    """

    restored: bool
    streams: int
    failures: int


class BodiesDump(msgspec.Struct, frozen=True):
    """Large request bodies of calls in progress, and how many wait unread for room."""

    bodies: int
    kept_bytes: int
    bound_bytes: int
    waiting: int


class ReceivedDump(msgspec.Struct, frozen=True):
    """Bytes kept of incomplete messages, by purpose; ``bound_bytes`` is 0 without a bound."""

    kept_bytes: dict[str, int]
    bound_bytes: int


class NodeDump(msgspec.Struct, frozen=True):
    """The state that determines how this gateway handles a call.

    ``unreadable_entries`` has the reason for each row that could not be read as a worker, for
    rows that this gateway read from the store itself. ``partitioned_seconds`` is the time for
    which this gateway has reached no worker, ``None`` if it reaches workers. ``stream_origins`` is
    the number of streams whose origin it keeps, ``return_claims`` the claims of refused callers.
    ``silent_engines`` holds by engine how many of its streams wait for the first one to go on.
    """

    name: str
    state: str
    configuration_version: int
    configuration_age: float
    workers_revision: int
    evacuated_zones: tuple[str, ...]
    in_flight: int
    partitioned_seconds: float | None
    routes: tuple[RouteDump, ...]
    workers: tuple[WorkerDump, ...]
    unreadable_entries: dict[str, str]
    queues: tuple[QueueDump, ...]
    prompt_queues: tuple[PromptQueueDump, ...]
    requests: tuple[RequestDump, ...]
    prompt_parts: tuple[PromptPartDump, ...]
    members: tuple[MemberDump, ...]
    refusals: dict[str, int]
    repeats_left: dict[str, float]
    store_calls: dict[str, int]
    stream_origins: int
    silent_engines: dict[str, int]
    readers: ReadersDump
    received: ReceivedDump
    bodies: BodiesDump
    origin_row: OriginRowDump
    return_claims: ReturnClaimsDump
    zone_capacities: tuple[ZoneCapacityDump, ...]


def build_dump(
    services: CallServices, stage_owner: StageOwner, state: str, in_flight: int
) -> NodeDump:
    """Return the current state."""
    now = clock.now()
    mirror = services.mirror
    return NodeDump(
        name=services.fleet.local_name,
        state=state,
        configuration_version=mirror.version,
        configuration_age=mirror.answer_age(StoreTable.CONFIGURATION, now),
        workers_revision=mirror.workers.revision,
        evacuated_zones=tuple(sorted(mirror.workers.evacuated)),
        in_flight=in_flight,
        partitioned_seconds=_partitioned_seconds(services, now),
        routes=_routes(services),
        workers=dump_workers(services, now),
        unreadable_entries=dict(mirror.entry_reader.unreadable),
        queues=_queues(stage_owner),
        prompt_queues=tuple(_prompt_queue(item, now) for item in services.prompt_queues.zones()),
        requests=_requests(services.crash_watch.quarantine, now),
        prompt_parts=_prompt_parts(services.crash_watch.quarantine, now),
        members=_members(services, now),
        refusals=services.metrics.refusals_by_cause(),
        repeats_left=services.repeats_left(now),
        store_calls=dict(mirror.call_counts),
        stream_origins=len(services.origins.origins),
        silent_engines=dict(services.silent_engines),
        readers=_readers(services),
        received=_received(services),
        bodies=_bodies(services),
        origin_row=_origin_row(services),
        return_claims=dump_claims(services.return_offers, now),
        zone_capacities=dump_zone_capacities(services, now),
    )


def _readers(services: CallServices) -> ReadersDump:
    budget = services.readers.budget
    return ReadersDump(len(budget), budget.kept_bytes, budget.bound_bytes)


def _origin_row(services: CallServices) -> OriginRowDump:
    row = services.origins.rows
    return OriginRowDump(row.restored, len(row), row.failures)


def _bodies(services: CallServices) -> BodiesDump:
    budget = services.bodies.budget
    return BodiesDump(len(budget), budget.kept_bytes, budget.bound_bytes, budget.waiting)


def _received(services: CallServices) -> ReceivedDump:
    received = services.client.received
    kept = {purpose.value: received.kept[purpose] for purpose in Purpose}
    return ReceivedDump(kept, received.bound_bytes)


def _partitioned_seconds(services: CallServices, now: float) -> float | None:
    since = services.links.health.partitioned_since
    return None if since is None else round(now - since, 3)


def _routes(services: CallServices) -> tuple[RouteDump, ...]:
    configuration = services.mirror.configuration
    if configuration is None:
        return ()
    return tuple(
        RouteDump(
            name=route.name,
            host=route.host,
            path_prefix=route.path_prefix,
            kind=route.kind.value,
            services=tuple(item.service for item in route.services),
            stages=tuple(stage.service for stage in route.stages),
            rank=route.rank,
            objective=route.objective,
            timeout=route.timeout,
        )
        for route in configuration.routes
    )


def _queues(stage_owner: StageOwner) -> tuple[QueueDump, ...]:
    return tuple(
        QueueDump(
            worker_id=worker_id,
            waiting=queue.waiting,
            at_work=queue.at_work,
            room_used=queue.room_used,
            room_wanted=queue.room_wanted,
            room=queue.capacity.room_bytes,
        )
        for worker_id, queue in stage_owner.queues()
    )


def _prompt_queue(zone: ZonePrompts, now: float) -> PromptQueueDump:
    reading, memory = zone.engines.reading, zone.engines.memory
    waiting: dict[str, tuple[int, int]] = {}
    for prompt in zone.queue.waiting():
        rank = ".".join(str(place) for place in prompt.rank)
        count, tokens = waiting.get(rank, (0, 0))
        waiting[rank] = count + 1, tokens + prompt.tokens
    return PromptQueueDump(
        service=zone.service,
        zone=zone.zone,
        waiting=waiting,
        pace=round(reading.tokens_per_second, 1),
        delay=round(reading.delay_seconds, 3),
        engines={
            engine: (
                round(reading.seconds_left(engine, now), 3),
                memory.held_tokens(engine, now),
            )
            for engine in zone.engines.open_ids(now)
        },
    )


def _requests(quarantine: RequestQuarantine, now: float) -> tuple[RequestDump, ...]:
    verdicts = quarantine.verdicts(now)
    return tuple(
        RequestDump(
            request=request,
            state=quarantine.state(request, now).value,
            ended_workers=tuple(
                sorted(record.worker_id for record in quarantine.records.for_request(request))
            ),
            seconds=round(quarantine.seconds_left(request, now), 3),
            rival=verdicts[request].rival if request in verdicts else "",
        )
        for request in quarantine.records.requests()
    )


def _prompt_parts(quarantine: RequestQuarantine, now: float) -> tuple[PromptPartDump, ...]:
    dumps = []
    for part in quarantine.blamed_parts(now):
        crashes = quarantine.records.suspected_crashes(part)
        dumps.append(
            PromptPartDump(
                part=part,
                state=quarantine.state(part, now).value,
                ended_workers=tuple(sorted(record.worker_id for record in crashes)),
                requests=len({key for record in crashes for key in record.parts[part].holders}),
                seconds=round(quarantine.seconds_left(part, now), 3),
            )
        )
    return tuple(dumps)


def _members(services: CallServices, now: float) -> tuple[MemberDump, ...]:
    return tuple(
        MemberDump(
            name=member.heartbeat.name,
            zone=member.heartbeat.zone,
            phase=member.heartbeat.phase,
            silent=round(now - member.received_at, 3),
        )
        for member in services.fleet.live_members(now)
    )
