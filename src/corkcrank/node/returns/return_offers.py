"""Tells refused callers when to return, and gives a claim to those that will meet room then."""

import math
from enum import StrEnum

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.machines.fleet import Fleet
from corkcrank.node.peers.peer_client import PeerClient
from corkcrank.node.returns.claim_keeper import ClaimKeeper
from corkcrank.node.stages.stage_dispatch import StageDispatch
from corkcrank.node.telemetry.metrics import NodeMetrics
from corkcrank.scheduling.call_admission import (
    MAX_RETRY_SHARE,
    MIN_RETRY_SECONDS,
    AdmissionVerdict,
)
from corkcrank.scheduling.return_claims import MAX_WAIT_SECONDS, ClaimedPieces, ReturnClaim
from corkcrank.scheduling.return_slots import ReturnSlots, SlotDemand
from corkcrank.scheduling.stage_plan import StagePlan

ROOM_SHARE = 0.25
"""Share of a rank's room that is assigned to returning callers. The rest serves new ones: with
more, claims would only turn callers who are served at once into callers who come twice."""


class ReturnOffer(StrEnum):
    """What a refused caller is given besides the time after which it may return."""

    ISSUED = "issued"
    WITHOUT_SLOT = "without slot"
    HOPELESS = "hopeless"


class ReturnOffers:
    """Assigns this gateway's share of the room that frees to the callers that it refuses."""

    def __init__(
        self,
        fleet: Fleet,
        dispatch: StageDispatch,
        peers: PeerClient,
        log: DecisionLog,
        metrics: NodeMetrics,
    ) -> None:
        self._fleet = fleet
        self._dispatch = dispatch
        self._log = log
        self._metrics = metrics
        self.keeper = ClaimKeeper(fleet, peers, log, metrics)
        self.slots = ReturnSlots()

    def seconds_to_return(
        self, call: OpaqueCall, plan: StagePlan, verdict: AdmissionVerdict, latest: float
    ) -> float:
        """Return the seconds after which a refused call may return, and issue its claim.

        ``latest`` is when a call with a claim may return at the latest to be in time. Callers
        return after half of that time, so that as much is left to them if the load rises, and no
        later than their place in the queue would have been reached. A caller without a free slot
        is told the latest time and holds no claim; nor does one that could not be in time with a
        claim, or that has already used one.
        """
        now = clock.now()
        limit = min(MAX_WAIT_SECONDS, MAX_RETRY_SHARE * (call.caller_end_at - now))
        latest = min(limit, latest)
        if latest < MIN_RETRY_SECONDS:
            return self._tell(call, ReturnOffer.HOPELESS, verdict.retry_after, latest)
        earliest = max(MIN_RETRY_SECONDS, min(latest / 2, verdict.waiting_seconds))
        demands = self._demands(call, plan)
        seconds = None
        if not call.claimed:
            seconds = self.slots.assign(demands, call.queue_rank, earliest, latest, now)
        if seconds is None:
            return self._tell(call, ReturnOffer.WITHOUT_SLOT, latest, latest)
        pieces = tuple(ClaimedPieces(item.service, item.pieces) for item in demands)
        key = bytes.fromhex(call.fingerprint)
        keeper = self.keeper.issue(ReturnClaim(key, call.tenant, call.queue_rank, pieces, seconds))
        call.claim_issued = True
        return self._tell(call, ReturnOffer.ISSUED, seconds, latest, keeper)

    def _tell(
        self, call: OpaqueCall, offer: ReturnOffer, seconds: float, latest: float, keeper: str = ""
    ) -> float:
        self._metrics.return_claims.labels(offer.value).inc()
        self._log.write(
            LogEvent.CALL_RETURN_TOLD,
            call=call.call_id,
            rank=call.queue_rank,
            claim=offer.value,
            keeper=keeper,
            seconds=round(seconds, 3),
            latest=round(latest, 3) if math.isfinite(latest) else None,
        )
        return seconds

    def _demands(self, call: OpaqueCall, plan: StagePlan) -> list[SlotDemand]:
        """Return the pieces that a call needs of each stage service, with this gateway's share."""
        pieces: dict[str, int] = {}
        for stage, count in enumerate(plan.counts):
            if count:
                service = plan.definition(stage).service
                pieces[service] = pieces.get(service, 0) + count
        share = ROOM_SHARE / max(1, len(self._fleet.view(clock.now()).all_serving))
        return [
            SlotDemand(service, count, share * self._dispatch.free_rate(service, call.queue_rank))
            for service, count in pieces.items()
        ]
