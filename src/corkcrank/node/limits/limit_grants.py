"""Grants for requests to rate-limited workers, issued by a zone's owner to all gateways."""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.node.limits.worker_leases import WorkerLeases
from corkcrank.node.limits.worker_limits import WorkerLimits
from corkcrank.node.peers.peer_client import PeerClient, PeerFailure, decode_answer
from corkcrank.node.peers.peer_protocol import (
    LIMIT_GRANT_PATH,
    LeaseRelease,
    LimitGrant,
    LimitGrantRequest,
)
from corkcrank.node.workers.worker_availability import WorkerAvailability
from corkcrank.node.workers.worker_statements import WorkerStatements
from corkcrank.scheduling.concurrency_caps import PLACE_WAIT_SECONDS
from corkcrank.scheduling.return_times import ReturnTimes

GRANT_TIMEOUT_SECONDS = 0.15
"""Timeout of the owner's reply; without a reply the gateway's local send slots decide."""

MAX_PLACE_WAIT_SECONDS = 0.2
"""Maximum total wait of a call for slots at brittle workers: a few usual calls."""


class LimitOwner:
    """The owner's side of grants.

    It serves requests even if it does not consider itself the owner: gateways may disagree about
    the owner for a short time.
    """

    def __init__(
        self,
        mirror: StoreMirror,
        availability: WorkerAvailability,
        limits: WorkerLimits,
        statements: WorkerStatements,
    ) -> None:
        self._mirror = mirror
        self._availability = availability
        self._limits = limits
        self._statements = statements
        self._waiting: deque[asyncio.Future[None]] = deque()
        limits.on_release = self._wake_first

    async def grant_or_wait(self, request: LimitGrantRequest) -> LimitGrant:
        """Grant a request as :meth:`grant_request` does; wait for up to ``request.patience``."""
        give_up_at = clock.now() + request.patience
        grant = self.grant_request(request)
        while not grant.worker_id and 0 < grant.wait < give_up_at - clock.now():
            await self._wait_for_release(grant.wait)
            grant = self.grant_request(request)
        return grant

    async def _wait_for_release(self, seconds: float) -> None:
        """Wait up to ``seconds`` for a released lease; waiters are served in order of arrival."""
        released = asyncio.get_running_loop().create_future()
        self._waiting.append(released)
        try:
            await asyncio.wait({released}, timeout=seconds)
        finally:
            if not released.done():
                self._waiting.remove(released)

    def release_lease(self, message: LeaseRelease) -> None:
        """Release the lease of a call that has ended or was rejected by its worker."""
        self._limits.release_lease(message)

    def _wake_first(self) -> None:
        while self._waiting:
            released = self._waiting.popleft()
            if not released.done():
                released.set_result(None)
                return

    def grant_request(self, request: LimitGrantRequest) -> LimitGrant:
        """Grant a request to the first candidate whose limit allows one more now."""
        now = clock.now()
        self._statements.apply_reports(request.limits, "asker")
        self._statements.apply_brittleness_reports(request.brittle, "asker")
        found = (self._mirror.workers.get(worker_id) for worker_id in request.workers)
        workers = [
            worker
            for worker in found
            if worker is not None and self._availability.accepts_work(worker)
        ]
        begins = request.begins
        waits = [self._limits.seconds_until_grant(worker, now, begins=begins) for worker in workers]
        for worker, wait in zip(workers, waits, strict=True):
            if wait <= 0:
                self._limits.record_grant(worker, now, begins=begins)
                leased = not begins and self._limits.grant_lease(
                    worker, request.call_id, request.seconds, now
                )
                return LimitGrant(worker.worker_id, leased=leased)
        rates = [self._limits.call_rate(worker, now) for worker in workers]
        return LimitGrant("", min(waits, default=0.0), sum(rates))


@dataclass(frozen=True, slots=True)
class LimitVerdict:
    """The worker granted to a call, or the seconds after which its caller should retry."""

    worker: WorkerRecord | None
    wait: float = 0.0


class LimitGrantClient:
    """The requesting side of grants, for all calls of this gateway.

    ``on_silence`` is called with the name of an owner that did not reply.
    """

    def __init__(
        self,
        fleet: Fleet,
        owner: LimitOwner,
        limits: WorkerLimits,
        statements: WorkerStatements,
        leases: WorkerLeases,
        peers: PeerClient,
        log: DecisionLog,
    ) -> None:
        self._fleet = fleet
        self._owner = owner
        self._limits = limits
        self._statements = statements
        self._leases = leases
        self._peers = peers
        self._log = log
        self._return_times = ReturnTimes()
        self.on_silence: Callable[[str], None] = lambda owner: None

    async def request_grant(
        self, call: OpaqueCall, workers: Sequence[WorkerRecord], *, begins: bool = False
    ) -> LimitVerdict:
        """Request a grant for a call to one of some limited workers, given best first.

        The owner of each zone gets one request, in the order of the zones' best workers. With
        ``begins``, the grant only allows the call to start its stages, and another grant is
        requested before the call is sent to a worker. If brittle workers have no free slot, the
        owner of the zone with the shortest wait gets a second request. The call waits there for the
        rest of its :data:`MAX_PLACE_WAIT_SECONDS`.
        """
        by_id = {worker.worker_id: worker for worker in workers}
        zones = list(dict.fromkeys(worker.zone for worker in workers))
        grants = []
        for zone in zones:
            candidates = [worker for worker in workers if worker.zone == zone]
            grant = await self._request_zone_grant(zone, call, candidates, begins=begins)
            if grant.worker_id in by_id:
                return LimitVerdict(by_id[grant.worker_id])
            grants.append(grant)
        shortest = min(range(len(zones)), key=lambda place: grants[place].wait, default=None)
        patience = MAX_PLACE_WAIT_SECONDS - call.place_wait_seconds
        may_wait = shortest is not None and 0 < grants[shortest].wait <= PLACE_WAIT_SECONDS
        if shortest is not None and may_wait and patience > 0:
            candidates = [worker for worker in workers if worker.zone == zones[shortest]]
            started = clock.now()
            grant = await self._request_zone_grant(
                zones[shortest], call, candidates, begins=begins, patience=patience
            )
            call.place_wait_seconds += clock.now() - started
            if grant.worker_id in by_id:
                return LimitVerdict(by_id[grant.worker_id])
            grants[shortest] = grant
        now = clock.now()
        wait = min((grant.wait for grant in grants), default=0.0)
        # Each gateway assigns retry times only to its own callers, but a caller may retry at any
        # gateway. Each gateway therefore assigns its share of the rate.
        rate = sum(grant.rate for grant in grants) / self._fleet.share_member_count()
        return LimitVerdict(
            None, self._return_times.next_return_seconds(call.service, wait, rate, now)
        )

    async def _request_zone_grant(
        self,
        zone: str,
        call: OpaqueCall,
        candidates: Sequence[WorkerRecord],
        *,
        begins: bool,
        patience: float = 0.0,
    ) -> LimitGrant:
        now = clock.now()
        ids = tuple(worker.worker_id for worker in candidates)
        request = LimitGrantRequest(
            call.call_id,
            call.service,
            zone,
            ids,
            self._statements.limits.reports_for_peers(now, ids),
            begins,
            self._statements.brittleness.reports_for_peers(now, ids),
            call.end_at - now,
            min(patience, call.end_at - now),
        )
        owner = self._fleet.zone_owner(zone, call.service, now)
        grant = await self._ask_owner(owner, request)
        if grant is None:
            grant = self._grant_locally(candidates, clock.now())
        if grant.leased:
            self._leases.record(call.call_id, grant.worker_id, owner)
        self._log.write(
            LogEvent.LIMIT_GRANTED if grant.worker_id else LogEvent.LIMIT_DEFERRED,
            call=call.call_id,
            owner=owner,
            zone=zone,
            granted=grant.worker_id,
            candidates=len(candidates),
            wait=round(grant.wait, 3),
        )
        return grant

    def _grant_locally(self, candidates: Sequence[WorkerRecord], now: float) -> LimitGrant:
        """Choose a worker by the local send slots, because the owner did not reply.

        The time until the next slot is not computed. Without an open slot, the returned wait is the
        timeout of a request to the owner; :meth:`request_grant` spaces further retries by the rate.
        """
        for worker in candidates:
            if self._limits.may_send(worker, now):
                self._limits.record_sent(worker, now)
                return LimitGrant(worker.worker_id)
        rates = [self._limits.call_rate(worker, now) for worker in candidates]
        return LimitGrant("", GRANT_TIMEOUT_SECONDS, sum(rates))

    async def _ask_owner(self, owner: str, request: LimitGrantRequest) -> LimitGrant | None:
        member = self._fleet.member(owner)
        if owner == self._fleet.local_name or member is None:
            return await self._owner.grant_or_wait(request)
        data = msgspec.msgpack.encode(request)
        address = member.heartbeat.address
        body = await self._peers.request(
            address,
            LIMIT_GRANT_PATH,
            data,
            timeout_seconds=GRANT_TIMEOUT_SECONDS + request.patience,
        )
        grant = decode_answer(body, LimitGrant)
        if isinstance(grant, PeerFailure):
            self.on_silence(owner)
            return None
        return grant
