"""Requests prefill grants for this gateway's calls from the owners of zones' engines."""

import asyncio
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

import msgspec

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.urgency import DownstreamOrder, Rank, Urgency, downstream_urgency
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.node.engines.engine_owner import EngineOwner
from corkcrank.node.engines.held_prompts import hold_seconds
from corkcrank.node.engines.prompt_queues import PromptQueues
from corkcrank.node.limits.worker_leases import WorkerLeases
from corkcrank.node.limits.worker_limits import WorkerLimits
from corkcrank.node.peers.peer_client import PeerClient, PeerFailure, decode_answer
from corkcrank.node.peers.peer_protocol import (
    PREFILL_DONE_PATH,
    PREFILL_REQUEST_PATH,
    PrefillDone,
    PrefillGrant,
    PromptGrant,
    PromptRequest,
    PromptTerms,
    encode_request,
)
from corkcrank.node.workers.worker_availability import WorkerAvailability
from corkcrank.node.workers.worker_statements import WorkerStatements
from corkcrank.scheduling.silent_owners import SilentOwners
from corkcrank.scheduling.stated_limits import ReportedLimit, StatedLimits

GRANT_TIMEOUT_SECONDS = 0.15
"""Timeout of the owner's reply; without a reply the gateway chooses the engine itself."""

MAX_LOAD_AGE_SECONDS = 3.0
"""Maximum age of an owner's load report: one and a half heartbeats of the largest fleet."""


@dataclass(frozen=True, slots=True)
class PrefillVerdict:
    """The engine that reads a call's prompt, or the seconds until one may be available.

    ``decided`` is unset if no owner decided: none replied, or its engine cannot be used.
    ``refused`` is set if the queue of prompts cannot serve the call in time.
    """

    engine: WorkerRecord | None
    wait: float = 0.0
    decided: bool = True
    refused: bool = False


@dataclass(frozen=True, slots=True)
class PromptPatience:
    """How a call may wait for an engine; 0 seconds for the best engine without a wait.

    A call that has ``begun`` is never refused. ``stream_seconds`` is its usual stream duration.
    """

    seconds: float
    begun: bool
    stream_seconds: float


class PrefillGrantClient:
    """The requesting side of prefill grants, for all calls of this gateway.

    ``on_silence`` is called with the name of an owner that did not reply.
    """

    def __init__(
        self,
        mirror: StoreMirror,
        fleet: Fleet,
        engine_owner: EngineOwner,
        peers: PeerClient,
        availability: WorkerAvailability,
        limits: WorkerLimits,
        statements: WorkerStatements,
        leases: WorkerLeases,
        log: DecisionLog,
    ) -> None:
        self._mirror = mirror
        self._availability = availability
        self._limits = limits
        self._statements = statements
        self._leases = leases
        self._fleet = fleet
        self.engine_owner = engine_owner
        self._peers = peers
        self._log = log
        self._tasks: set[asyncio.Task[bytes | PeerFailure]] = set()
        self._owners: dict[str, str] = {}
        self._silent_owners = SilentOwners()
        self.on_silence: Callable[[str], None] = lambda owner: None
        self.queues: PromptQueues
        """The queues that this gateway keeps as owner; set once the features are known."""

    async def request_grant(
        self, call: OpaqueCall, chosen: WorkerRecord, *, long: bool, patience: PromptPatience
    ) -> PrefillVerdict:
        """Request a grant in the chosen engine's zone; return the engine to send the call to.

        ``patience`` is the allowed wait if prompts are queued. No engine is returned if the zone's
        engines are at their rate limits. The result is undecided if the owner does not reply or
        names an engine that cannot be used.
        """
        now = clock.now()
        engines = self._mirror.workers.usable_in_zone(call.service, chosen.zone)
        limited = self._limits.limited(engines, now)
        request = PromptRequest(
            call_id=call.call_id,
            service=call.service,
            zone=chosen.zone,
            prompt=call.envelope.prompt,
            excluded=(
                *call.excluded_workers,
                *(item.worker_id for item in engines if not call.allows_attempt_at(item)),
                *self._availability.unavailable_ids(engines),
                *self._availability.silent_ids(engines),
            ),
            long=long,
            repeatable=call.route.idempotent,
            limits=self._reports_for_owner(self._statements.limits, limited, now),
            brittle=self._reports_for_owner(self._statements.brittleness, limited, now),
            seconds=call.end_at - now,
            version=call.origin.version if call.origin is not None else "",
            terms=self._terms(call, patience, now),
        )
        owner, grant = await self._ask_until_decided(request)
        engine = self._mirror.workers.get(grant.worker_id) if grant is not None else None
        if grant is not None and grant.leased:
            self._leases.record(call.call_id, grant.worker_id, owner)
        self._log.write(
            LogEvent.ENGINE_GRANTED,
            call=call.call_id,
            owner=owner,
            chosen=chosen.worker_id,
            granted=grant.worker_id if grant is not None else None,
            limited=grant is not None and grant.limited,
        )
        allowed = engine is not None and call.allows_attempt_at(engine)
        if engine is not None and allowed and self._availability.may_send_call(call, engine):
            return PrefillVerdict(engine)
        if isinstance(grant, PromptGrant) and grant.refused:
            return PrefillVerdict(None, grant.wait, refused=True)
        if grant is not None and grant.limited:
            return PrefillVerdict(None, grant.wait)
        return PrefillVerdict(None, GRANT_TIMEOUT_SECONDS, decided=False)

    def _terms(self, call: OpaqueCall, patience: PromptPatience, now: float) -> PromptTerms | None:
        """Return the terms of a call's wait, ``None`` if its prompts are not queued."""
        if not self.queues.queues_prompts(call.service):
            return None
        urgency = Urgency(call.queue_rank, call.due_at - now)
        if patience.begun:
            urgency = downstream_urgency(urgency, DownstreamOrder.DUE)
        return PromptTerms(
            tenant=call.tenant,
            rank=urgency.rank,
            objective=urgency.due,
            patience=patience.seconds,
            begun=patience.begun,
            stream_seconds=patience.stream_seconds,
        )

    def wait_seconds(self, service: str, zone: str, rank: Rank) -> float:
        """Return the wait of a new prompt for a zone's engines in seconds, by the owner's report.

        Returns 0 without a queue, or if the report is too old or invalid.
        """
        if not self.queues.queues_prompts(service):
            return 0.0
        now = clock.now()
        member = self._fleet.member(self._fleet.zone_owner(zone, service, now))
        if member is None or member.heartbeat.name == self._fleet.local_name:
            load = self.queues.load(service, zone)
        elif member.received_at + MAX_LOAD_AGE_SECONDS < now:
            load = None
        else:
            loads = member.heartbeat.prompt_loads
            found = (item for item in loads if (item.service, item.zone) == (service, zone))
            load = next(found, None)
        return load.start_seconds(rank) if load is not None and load.is_valid else 0.0

    def use_without_grant(self, engines: Iterable[WorkerRecord]) -> WorkerRecord | None:
        """Return the first engine within its limit and record a send without a grant to it."""
        now = clock.now()
        for engine in engines:
            if self._limits.may_send(engine, now):
                self._limits.record_sent(engine, now)
                return engine
        return None

    def _reports_for_owner(
        self, limits: StatedLimits, engines: Collection[WorkerRecord], now: float
    ) -> tuple[ReportedLimit, ...]:
        """Return the limits of some engines as reports to their owner."""
        if not engines:
            return ()
        return limits.reports_for_peers(now, {engine.worker_id for engine in engines})

    def report_prefill_done(self, call: OpaqueCall, *, read: bool = False) -> None:
        """Report to the owner, once, that a call's prompt was read or withdrawn."""
        owner = self._owners.pop(call.call_id, None)
        if owner is None:
            return
        backoffs = self._statements.notices.backoffs_for_peers(clock.now(), call.workers_tried)
        message = PrefillDone(call.call_id, call.service, read, backoffs)
        member = self._fleet.member(owner)
        if owner == self._fleet.local_name or member is None:
            self.queues.record_done(message)
            return
        data = msgspec.msgpack.encode(message)
        sending = self._peers.request(
            member.heartbeat.address,
            PREFILL_DONE_PATH,
            data,
            timeout_seconds=GRANT_TIMEOUT_SECONDS,
            retry_on_silence=True,
        )
        task = asyncio.create_task(sending)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask_until_decided(self, request: PromptRequest) -> tuple[str, PrefillGrant | None]:
        """Request a grant from the owner, repeatedly while it holds the request; return its name.

        Each request detects an owner that became silent or was replaced. A request that is held
        until its call's deadline is refused. The name is empty if no request is sent because the
        owner is silent.
        """
        asked_at = clock.now()
        while True:
            now = clock.now()
            owner = self._fleet.zone_owner(request.zone, request.service, now)
            if request.terms is not None and not self._silent_owners.may_ask(owner, now):
                return "", None
            grant = await self._ask_owner(owner, _after(request, now - asked_at))
            if not (isinstance(grant, PromptGrant) and grant.held):
                return owner, grant
            if clock.now() - asked_at >= request.seconds:
                return owner, PromptGrant("", refused=True)

    async def _ask_owner(self, owner: str, request: PromptRequest) -> PrefillGrant | None:
        self._owners[request.call_id] = owner
        member = self._fleet.member(owner)
        if owner == self._fleet.local_name or member is None:
            return await self.queues.grant_or_wait(request)
        body = await self._peers.request(
            member.heartbeat.address,
            PREFILL_REQUEST_PATH,
            encode_request(request),
            timeout_seconds=GRANT_TIMEOUT_SECONDS + (hold_seconds(request) if request.terms else 0),
        )
        grant = decode_answer(body, PromptGrant)
        if isinstance(grant, PeerFailure):
            self._silent_owners.record_silence(owner, clock.now())
            self.on_silence(owner)
            return None
        self._silent_owners.record_reply(owner)
        return grant


def _after(request: PromptRequest, seconds: float) -> PromptRequest:
    """Return a request with its times reduced by ``seconds``."""
    terms = request.terms
    if terms is None or seconds <= 0:
        return request
    later = msgspec.structs.replace(
        terms, objective=terms.objective - seconds, patience=terms.patience - seconds
    )
    return msgspec.structs.replace(request, seconds=request.seconds - seconds, terms=later)
