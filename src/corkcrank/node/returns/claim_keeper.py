"""Keeps claims of refused callers, and finds those that other gateways keep.

A caller returns on a new connection, mostly at another gateway. The member that rendezvous hashing
of the request's fingerprint names keeps the claim. It is sent once, by datagram: a claim that is
lost on the way, or with its keeper, leaves a caller that is served as a new one.
"""

import asyncio
from collections.abc import Callable

import msgspec

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.rendezvous import rendezvous_hash
from corkcrank.contracts.urgency import Rank
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.machines.claim_reports import decode_claim, encode_claim, is_claim
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.heartbeat import ServiceBacklog
from corkcrank.node.peers.peer_client import PeerClient, PeerFailure, decode_answer
from corkcrank.node.peers.peer_protocol import (
    RETURN_CLAIM_PATH,
    ReturnClaimAnswer,
    ReturnClaimRequest,
)
from corkcrank.node.telemetry.metrics import NodeMetrics
from corkcrank.scheduling.return_claims import ClaimState, ReturnClaim, ReturnClaims

LOOKUP_TIMEOUT_SECONDS = 0.05
"""Timeout for the keeper's answer: a caller is refused within 50 ms or served, and an answer within
the fleet takes a few milliseconds."""

NO_ANSWER = "no answer"
"""Outcome of a lookup if the keeper does not answer in time."""


class ClaimKeeper:
    """The claims that this gateway keeps, and the way to those that others keep.

    ``send`` sends a datagram to a member's address.
    """

    def __init__(
        self, fleet: Fleet, peers: PeerClient, log: DecisionLog, metrics: NodeMetrics
    ) -> None:
        self._fleet = fleet
        self._peers = peers
        self._log = log
        self._metrics = metrics
        self.claims = ReturnClaims()
        self.send: Callable[[bytes, str], None] = lambda data, address: None

    def issue(self, claim: ReturnClaim) -> str:
        """Give a claim to its keeper, without waiting; return the keeper's name."""
        now = clock.now()
        keeper = self.keeper_of(claim.key, now)
        member = self._fleet.member(keeper)
        if keeper == self._fleet.local_name:
            self.claims.record(claim, now)
        elif member is not None:
            self.send(encode_claim(claim), member.heartbeat.address)
        return keeper

    def receive(self, data: bytes) -> bool:
        """Keep the claim of a datagram; return false, and do nothing, if it is another one."""
        if not is_claim(data):
            return False
        claim = decode_claim(data)
        if claim is None or not self.claims.record(claim, clock.now()):
            self._metrics.return_claims.labels("rejected").inc()
        return True

    def take(self, key: bytes) -> ClaimState:
        """Use a claim that this gateway keeps."""
        return self.claims.take(key, clock.now())

    async def find(self, call: OpaqueCall) -> bool:
        """Return whether a call holds a claim for now, which is thereby used.

        The keeper is asked once and for a short time. Without an answer the call holds none.
        """
        started = clock.now()
        key = bytes.fromhex(call.fingerprint)
        keeper = self.keeper_of(key, started)
        state = await self._ask(keeper, key)
        self._metrics.return_claims.labels(str(state)).inc()
        self._log.write(
            LogEvent.CALL_RETURNED,
            call=call.call_id,
            rank=call.rank,
            claim=str(state),
            keeper=keeper,
            waited=round(clock.now() - started, 3),
            budget=call.envelope.budget_seconds,
        )
        return state == ClaimState.ON_TIME

    def keeper_of(self, key: bytes, now: float) -> str:
        """Return the name of the member that keeps the claim with a key."""
        text = key.hex()
        names = self._fleet.view(now).all_serving
        return max(
            names, key=lambda name: rendezvous_hash(text, name), default=self._fleet.local_name
        )

    def pieces_up_to(self, service: str, rank: Rank) -> int:
        """Return the pieces of outstanding claims up to a rank, those of other keepers included."""
        now = clock.now()
        reported = self._fleet.reported_claims(service, rank, now)
        return self.claims.pieces_up_to(service, rank, now) + reported

    def backlogs(self, now: float) -> tuple[ServiceBacklog, ...]:
        """Return the pieces of the claims kept here, for heartbeats."""
        return tuple(
            ServiceBacklog(service, rank, 0, claimed=pieces)
            for service, rank, pieces in self.claims.counts(now)
        )

    async def _ask(self, keeper: str, key: bytes) -> ClaimState | str:
        member = self._fleet.member(keeper)
        if keeper == self._fleet.local_name or member is None:
            return self.take(key)
        try:
            async with asyncio.timeout(LOOKUP_TIMEOUT_SECONDS):
                body = await self._peers.request(
                    member.heartbeat.address,
                    RETURN_CLAIM_PATH,
                    msgspec.msgpack.encode(ReturnClaimRequest(key)),
                )
        except TimeoutError:
            return NO_ANSWER
        answer = decode_answer(body, ReturnClaimAnswer)
        return NO_ANSWER if isinstance(answer, PeerFailure) else answer.state
