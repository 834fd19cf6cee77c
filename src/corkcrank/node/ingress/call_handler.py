"""Handles callers' requests: reads a call, finds its route and tenant, and serves it."""

import asyncio
from functools import partial

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import CallStep, OpaqueCall
from corkcrank.contracts.opaque_configuration import CallKind, RequestLimits
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.links.closed_connections import closed_by_peer
from corkcrank.links.decision_log import LogEvent
from corkcrank.node.callers.caller_connection import (
    has_request_behind,
    reader_was_cut,
    seconds_since_close,
)
from corkcrank.node.callers.drain import OpenCalls
from corkcrank.node.callers.refusals import CallerDisconnectedError, Refusal
from corkcrank.node.calls.plain_run import PlainRun
from corkcrank.node.calls.services import CallServices
from corkcrank.node.ingress.call_reading import (
    build_call,
    check_head,
    claim_room,
    find_route,
    find_tenant,
)
from corkcrank.node.ingress.request_body import BodyRead
from corkcrank.node.streams.stream_run import StreamRun

NO_CONFIGURATION_RETRY_SECONDS = 0.3
"""Retry delay sent by a gateway that has no configuration yet, in seconds."""

UNREACHABLE_RETRY_SECONDS = 1.0
"""Retry delay sent while no gateway reaches a worker, in seconds: about the time after which the
end of that is known."""

MAX_LOGGED_PATH_LENGTH = 120
"""Maximum logged length of a refused request's path, in characters."""

MAX_LOGGED_ID_LENGTH = 64
"""Maximum logged length of the attempt id and event id that a caller names, in characters."""

LEFT_OUTCOME = "left"
"""Outcome of a call whose caller closed its connection."""

CUT_OUTCOME = "cut"
"""Outcome of a call whose connection this gateway closed when it stopped."""

CONTINUED_OUTCOME = "continued"
"""Outcome, in metrics, of a call that resumes a stream and brought its caller more of it."""

UNREAD_OUTCOME = "unread"
"""Outcome of a call whose connection this gateway closed because its caller did not read."""


class CallHandler:
    """Handles every request of every caller."""

    def __init__(self, services: CallServices) -> None:
        self._services = services
        self.open_calls = OpenCalls()

    def limits(self) -> RequestLimits:
        """Return the limits of the configuration in force."""
        configuration = self._services.mirror.configuration
        return configuration.limits if configuration is not None else RequestLimits()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request; send a final answer on any error except a failed connection."""
        arrived_at = clock.now()
        try:
            outcome = await self._serve(request, arrived_at)
        except asyncio.CancelledError:
            raise
        except ConnectionError:
            raise
        except HttpProcessingError as error:
            outcome = Refusal(ResultCode.MALFORMED_REQUEST, str(error), close=True)
        except Exception as error:
            self._services.log.write(LogEvent.INTERNAL_FAULT, error=repr(error), path=request.path)
            outcome = Refusal(ResultCode.INTERNAL_ERROR, type(error).__name__, close=True)
        response = self._count_refusal(outcome) if isinstance(outcome, Refusal) else outcome
        stopping = self._services.drain.signal_received
        if stopping and not response.prepared and not has_request_behind(request):
            response.force_close()
        return response

    def _count_refusal(self, refusal: Refusal) -> web.Response:
        self._services.metrics.refusals.labels(refusal.code.name).inc()
        return refusal.to_response()

    async def _serve(
        self, request: web.BaseRequest, arrived_at: float
    ) -> web.StreamResponse | Refusal:
        configuration = self._services.mirror.configuration
        if configuration is None:
            return Refusal(
                ResultCode.CONFIGURATION_UNKNOWN,
                retry_after=NO_CONFIGURATION_RETRY_SECONDS,
                close=True,
            )
        problem = check_head(request, configuration.limits)
        if problem is not None:
            return problem
        read = BodyRead(
            request,
            configuration.limits,
            self._services.bodies,
            partial(claim_room, request, configuration, self._services.ports.calls),
        )
        try:
            body = await self.open_calls.serve(read)
            if isinstance(body, bytes):
                return await self._serve_call(request, body, arrived_at)
        finally:
            read.release()
        if isinstance(body, Refusal):
            self._log_refusal(request, body)
        return body

    async def _serve_call(
        self, request: web.BaseRequest, body: bytes, arrived_at: float
    ) -> web.StreamResponse | Refusal:
        """Serve a request whose body was read."""
        call = self._read_call(request, body, arrived_at)
        if isinstance(call, Refusal):
            self._log_refusal(request, call)
            return call
        self._record_reserved_headers(call)
        if self._services.no_worker_reachable():
            self._record_end(
                call, ResultCode.WORKERS_UNREACHABLE.name, "", UNREACHABLE_RETRY_SECONDS
            )
            return Refusal(ResultCode.WORKERS_UNREACHABLE, retry_after=UNREACHABLE_RETRY_SECONDS)
        call.end_at = min(call.end_at, self._services.drain.stop_at)
        return await self._run(call, request)

    async def _run(
        self, call: OpaqueCall, request: web.BaseRequest
    ) -> web.StreamResponse | Refusal:
        outcome, detail = "", ""
        retry_after: float | None = None
        try:
            if closed_by_peer(request.transport):
                raise CallerDisconnectedError
            answer = await self._serve_run(self._create_run(call, request))
            if isinstance(answer, Refusal):
                outcome, detail = answer.code.name, answer.detail
                retry_after = answer.retry_after
            else:
                outcome = str(answer.status)
            return answer
        except CallerDisconnectedError:
            raise
        except ConnectionError as error:
            outcome, detail = "broken", str(error)
            raise
        except Exception as error:
            outcome, detail = ResultCode.INTERNAL_ERROR.name, type(error).__name__
            raise
        finally:
            self._services.leases.release_call(call.call_id)
            outcome = outcome or self._unanswered_outcome(request)
            if outcome == LEFT_OUTCOME:
                self._record_caller_left(call, request)
            self._record_end(call, outcome, detail, retry_after)

    async def _serve_run(self, run: PlainRun | StreamRun) -> web.StreamResponse | Refusal:
        with run.fallback:
            return await self.open_calls.serve(run)

    def _create_run(self, call: OpaqueCall, request: web.BaseRequest) -> PlainRun | StreamRun:
        if call.route.kind is CallKind.STREAM:
            return StreamRun(call, self._services, request)
        return PlainRun(call, self._services, request)

    def _unanswered_outcome(self, request: web.BaseRequest) -> str:
        """Return the outcome of an unanswered call: cut by this gateway, or the caller left."""
        if reader_was_cut(request):
            return UNREAD_OUTCOME
        return CUT_OUTCOME if self._services.closing_connections else LEFT_OUTCOME

    def _record_caller_left(self, call: OpaqueCall, request: web.BaseRequest) -> None:
        """Record how long this gateway worked for a caller that had left.

        The time of a call that was waiting for its stages is recorded by the owner of their queues.
        """
        if call.step is not CallStep.STAGES:
            seconds = seconds_since_close(request)
            self._services.metrics.record_release(call.step.value, seconds)

    def _record_end(
        self, call: OpaqueCall, outcome: str, detail: str, retry_after: float | None
    ) -> None:
        """Count and log the outcome of a call.

        ``outcome`` is a status, the name of a result code, or the reason for no answer.
        ``retry_after`` is the retry delay that was sent to the caller, in seconds.
        """
        metrics = self._services.metrics
        now = clock.now()
        first_byte_seconds = (call.first_byte_at or now) - call.arrived_at
        metrics.calls.labels(call.route.kind.value, str(call.rank), outcome).inc()
        metrics.time_to_first_byte.labels(call.route.kind.value).observe(first_byte_seconds)
        if call.resumes_stream:
            continued = call.first_byte_at is not None
            metrics.resumed_calls.labels(CONTINUED_OUTCOME if continued else outcome).inc()
        if not outcome.isdigit():
            metrics.unserved_call_seconds.labels(outcome).observe(now - call.arrived_at)
        self._services.log.write(
            LogEvent.CALL_ENDED,
            call=call.call_id,
            route=call.route.name,
            rank=call.rank,
            tenant=call.tenant,
            outcome=outcome,
            detail=detail,
            seconds=round(now - call.arrived_at, 3),
            first_byte=round(first_byte_seconds, 3),
            objective=call.route.objective,
            returning=call.returning,
            resumes=call.envelope.resumed_attempt[:MAX_LOGGED_ID_LENGTH],
            resume_after=call.envelope.resume_after[:MAX_LOGGED_ID_LENGTH],
            left=round(call.caller_end_at - now, 3),
            step=call.step.value if outcome == LEFT_OUTCOME else "",
            workers=call.workers_tried,
            configuration=call.configuration_version,
            after_signal=self._after_signal(call),
            retry_after=None if retry_after is None else round(retry_after, 3),
        )

    def _after_signal(self, call: OpaqueCall) -> float | None:
        """Return the time from the stop signal to the arrival of a call, in seconds.

        Negative for a call that arrived before the signal, ``None`` without a signal.
        """
        drain = self._services.drain
        return round(call.arrived_at - drain.signalled_at, 3) if drain.signal_received else None

    def _read_call(
        self, request: web.BaseRequest, body: bytes, arrived_at: float
    ) -> OpaqueCall | Refusal:
        # The configuration may have changed while the body was read.
        configuration = self._services.mirror.configuration
        assert configuration is not None
        envelope = self._services.ports.calls.read_envelope(request.headers)
        if isinstance(envelope, str):
            return Refusal(ResultCode.MALFORMED_REQUEST, envelope)
        route = find_route(configuration, request)
        if route is None:
            return Refusal(ResultCode.UNKNOWN_ROUTE, f"version {configuration.version}")
        tenant = find_tenant(configuration, route, envelope)
        if isinstance(tenant, Refusal):
            return tenant
        return build_call(request, body, arrived_at, configuration, envelope, route, tenant)

    def _record_reserved_headers(self, call: OpaqueCall) -> None:
        reserved = call.envelope.reserved_headers
        if not reserved:
            return
        for name in reserved:
            self._services.metrics.reserved_headers.labels(name).inc()
        self._services.log.write(
            LogEvent.HEADERS_DROPPED, call=call.call_id, tenant=call.tenant, headers=reserved
        )

    def _log_refusal(self, request: web.BaseRequest, refusal: Refusal) -> None:
        self._services.log.write(
            LogEvent.CALL_REFUSED,
            path=request.path[:MAX_LOGGED_PATH_LENGTH],
            code=refusal.code.name,
            detail=refusal.detail,
            version=self._services.mirror.version,
        )
