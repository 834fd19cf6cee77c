"""Keeps a stream at the software version that began it, across engines and attempts."""

from enum import StrEnum

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.contracts.stream_origin import StreamOrigin
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import LogEvent
from corkcrank.node.callers.refusals import Refusal
from corkcrank.node.calls.services import CallServices

UNKNOWN_ORIGIN_RETRY_SECONDS = 0.5
"""Retry time in seconds sent to a caller if no reachable gateway knows its stream's origin. A
gateway that is temporarily unreachable may know it."""


class ResumedBy(StrEnum):
    """The party that resumed a stream; the value is a metric label."""

    CALLER = "caller"
    GATEWAY = "gateway"


class SoftwareMatch(StrEnum):
    """Comparison of the continuing software with the stream's origin; a metric label."""

    SAME = "same"
    OTHER = "other"
    UNKNOWN = "unknown"


class StreamContinuity:
    """The origin of one call's stream, and the engines that may continue it."""

    def __init__(self, call: OpaqueCall, services: CallServices) -> None:
        self._call = call
        self._services = services
        self._relayed = False
        self._preceded_at = 0.0

    async def find_origin(self) -> Refusal | None:
        """Find the origin of a stream that the caller resumes; refuse the call if it is unknown.

        The stream stays at the service that began it. If the route no longer leads there, no worker
        may continue the stream.
        """
        call, share = self._call, self._services.resumption_share
        if not call.resumes_stream:
            return None
        origin = await self._services.origins.find(call)
        if origin is None or not origin.version:
            self._log_resumption(None)
            return Refusal(
                ResultCode.STREAM_ORIGIN_UNKNOWN, retry_after=UNKNOWN_ORIGIN_RETRY_SECONDS
            )
        call.origin = origin
        gateways, self._preceded_at = self._services.fleet.share_member_count(), clock.now()
        call.precedence = share.may_precede(call.tenant, gateways, self._preceded_at)
        self._log_resumption(origin)
        if call.route.leads_to(origin.service):
            call.service = origin.service
        return None

    def give_back_precedence(self) -> None:
        """Take a call that was not admitted out of the share, unless a claim keeps room for it."""
        call = self._call
        if call.precedence and not call.claim_issued:
            share = self._services.resumption_share
            share.give_back(call.tenant, self._preceded_at, clock.now())

    def has_engine(self) -> bool:
        """Return whether the stream is new or a usable engine may continue it."""
        engines = self._services.mirror.workers.usable_workers(self._call.service)
        return self._call.origin is None or any(map(self._call.may_continue_at, engines))

    def record_first_event(self, engine: WorkerRecord) -> None:
        """Record that an engine's first event is about to be relayed to the caller."""
        call = self._call
        if self._relayed or call.envelope.resume_after:
            resumed_by = ResumedBy.GATEWAY if self._relayed else ResumedBy.CALLER
            match = _compare(call.origin, engine)
            self._services.metrics.continued_streams.labels(resumed_by.value, match.value).inc()
        elif call.origin is None:
            call.origin = StreamOrigin.of(engine)
            self._services.origins.record(call, call.origin)
            self._services.resumption_share.observe_begun(call.tenant, clock.now())
        self._relayed = True

    def _log_resumption(self, origin: StreamOrigin | None) -> None:
        call = self._call
        self._services.log.write(
            LogEvent.STREAM_RESUMED_BY_CALLER,
            call=call.call_id,
            tenant=call.tenant,
            last_event=call.envelope.resume_after,
            service=origin.service if origin is not None else "",
            version=origin.version if origin is not None else "",
            outcome="known" if origin is not None else "unknown",
            precedence=call.precedence,
        )


def _compare(origin: StreamOrigin | None, engine: WorkerRecord) -> SoftwareMatch:
    if origin is None or not origin.version or not engine.version:
        return SoftwareMatch.UNKNOWN
    return SoftwareMatch.SAME if origin.is_software_of(engine) else SoftwareMatch.OTHER
