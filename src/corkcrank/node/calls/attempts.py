"""Sends a call to one worker and classifies the response."""

from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus

import aiohttp

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.client_connections import is_final_status
from corkcrank.links.decision_log import LogEvent
from corkcrank.links.foreign_answers import ForeignKind
from corkcrank.links.platform_ports import AnswerHead
from corkcrank.node.calls.services import CallServices
from corkcrank.node.workers.silence_timeout import SilenceRule
from corkcrank.node.workers.worker_request import (
    SendFailure,
    SendResult,
    SendTrouble,
    WorkerRequest,
)
from corkcrank.scheduling.worker_pace import PaceBelief

FAILED_AVOID_SECONDS = 1.0
"""Time for which a worker is avoided after a failed attempt, in seconds."""

FULL_AVOID_SECONDS = 0.15
"""Time for which a full worker that did not run a call is avoided, in seconds."""

INPUTS_UNAVAILABLE_STATUS = 409
"""Status of an engine that could not fetch a stage result."""

MIN_HEAD_SECONDS = 0.01
"""Minimum wait for the head of an answer, even if the call has less time left, in seconds."""

MISDIRECTED_STATUS = 421
"""Status of a worker other than the one that the request addresses."""


class AttemptOutcome(StrEnum):
    """Outcome of an attempt for its call."""

    ANSWERED = "answered"
    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    WITHDRAWN = "withdrawn"
    """The worker was no longer available when its connection was ready."""
    LOST = "lost"
    DROPPED = "dropped"
    """Another worker answered the call first."""


_NOT_RUN_OUTCOMES = frozenset(
    (AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_RUN, AttemptOutcome.WITHDRAWN)
)


@dataclass(slots=True)
class Attempt:
    """An attempt that failed or whose answer head arrived."""

    worker: WorkerRecord
    outcome: AttemptOutcome
    detail: str = ""
    response: aiohttp.ClientResponse | None = None
    head: AnswerHead | None = None
    inputs_unavailable: bool = False
    silent: bool = False
    rejected: bool = False
    """Whether the worker rejected the call because it was full."""

    @property
    def not_run(self) -> bool:
        """Return whether the worker certainly did not begin the call."""
        return self.outcome in _NOT_RUN_OUTCOMES

    @property
    def status(self) -> int:
        """Return the status of the answer, or zero without one."""
        return self.response.status if self.response is not None else 0

    def close(self) -> None:
        """Close the connection, so that the worker stops its work."""
        if self.response is not None:
            self.response.close()


async def attempt_call(
    services: CallServices,
    call: OpaqueCall,
    worker: WorkerRecord,
    head_seconds: float,
    *,
    fresh: bool,
    inputs: tuple[str, ...] | None = None,
    resume_after: str = "",
    silence: SilenceRule | None = None,
) -> Attempt:
    """Send a call to a worker and classify the head of its response.

    Sets ``call.may_have_run`` before the first byte is sent, so that it holds if this coroutine is
    cancelled. Restores it once it is certain that the worker did not begin the call, unless the
    call was sent to another worker meanwhile.

    If the event loop stalled until the connect timeout, the gateway connects once more. A request
    that is withdrawn because its worker became unavailable does not count as an attempt.
    """
    services.crash_watch.record_sent(call)
    begun_before, sent_at = call.may_have_run, clock.now()
    belief = services.paces.belief(worker.worker_id, sent_at)
    call.may_have_run = True
    call.workers_tried.append(worker.worker_id)
    number = len(call.workers_tried)
    services.log.write(
        LogEvent.CALL_SENT,
        call=call.call_id,
        worker=worker.worker_id,
        service=worker.service,
        version=worker.version,
        in_flight=services.worker_statistics.get_or_create(worker.worker_id).in_flight,
        peers_in_flight=services.worker_statistics.get_or_create(worker.worker_id).peers_in_flight,
        remaining=round(call.end_at - clock.now(), 3),
        attempt=len(call.workers_tried),
        **_pace_fields(belief),
    )

    async def send() -> SendResult:
        remaining = call.end_at - clock.now()
        is_available = services.availability.guard(worker)
        headers = services.ports.calls.worker_headers(call, worker, remaining, inputs, resume_after)
        request = WorkerRequest(
            worker,
            call.method,
            call.target,
            headers,
            call.body,
            max(MIN_HEAD_SECONDS, min(head_seconds, remaining)),
            fresh=fresh,
            still_wanted=lambda: call.may_continue_at(worker) and is_available(),
            call_id=call.call_id,
        )
        return await services.client.send(request, silence)

    _count_request(services, call, worker)
    try:
        response = await send()
        if isinstance(response, SendFailure) and response.stalled and clock.now() < call.end_at:
            response = await send()
    finally:
        services.worker_statistics.requests.remove(worker.worker_id, len(call.body))
    attempt = _classify_response(services, call, worker, response)
    if attempt.not_run and len(call.workers_tried) == number:
        call.may_have_run = begun_before
    if attempt.outcome is AttemptOutcome.WITHDRAWN:
        call.workers_tried.remove(worker.worker_id)
    if attempt.rejected:
        call.rejected_at[worker.worker_id] = clock.now()
    else:
        call.rejected_at.pop(worker.worker_id, None)
    _record_attempt(services, call, attempt)
    _log_stated_pace(services, call, attempt, clock.now() - sent_at)
    return attempt


def _pace_fields(belief: PaceBelief | None) -> dict[str, float]:
    """Return the log fields of a worker's estimated pace."""
    if belief is None:
        return {}
    fields = {"pace": round(belief.factor, 3), "steady_pace": round(belief.steady, 3)}
    if belief.statement is not None:
        fields |= {"stated": round(belief.statement, 3), "stated_age": round(belief.age, 3)}
    return fields


def _log_stated_pace(
    services: CallServices, call: OpaqueCall, attempt: Attempt, seconds: float
) -> None:
    """Log the pace that an answer states, for comparison with the estimate at sending."""
    stated = services.paces.stated(attempt.worker.worker_id)
    if stated is None or attempt.outcome is not AttemptOutcome.ANSWERED:
        return
    services.log.write(
        LogEvent.CALL_ANSWERED,
        call=call.call_id,
        worker=attempt.worker.worker_id,
        stated=stated,
        seconds=round(seconds, 3),
    )


def _count_request(services: CallServices, call: OpaqueCall, worker: WorkerRecord) -> None:
    """Count the bytes of a request until its answer begins; log a worker that becomes full."""
    requests = services.worker_statistics.requests
    if requests.add(worker.worker_id, len(call.body)):
        services.metrics.workers_full_of_requests.inc()
        services.log.write(
            LogEvent.WORKER_REQUESTS_FULL,
            call=call.call_id,
            worker=worker.worker_id,
            bytes=requests.at(worker.worker_id),
        )


def _classify_response(
    services: CallServices,
    call: OpaqueCall,
    worker: WorkerRecord,
    response: SendResult,
) -> Attempt:
    if isinstance(response, SendFailure):
        if response.trouble is SendTrouble.WITHDRAWN:
            reason = services.availability.reason_not_to_send(worker)
            return Attempt(worker, AttemptOutcome.WITHDRAWN, reason or response.detail)
        if response.trouble is SendTrouble.REFUSED:
            services.worker_statistics.get_or_create(worker.worker_id).record_end(clock.now())
        outcome = AttemptOutcome.LOST if response.connected else AttemptOutcome.NOT_SENT
        silent = response.trouble is SendTrouble.SILENT
        return Attempt(worker, outcome, response.detail, silent=silent)
    services.worker_statistics.get_or_create(worker.worker_id).heard_at = clock.now()
    head = services.ports.calls.read_answer(response.headers)
    if head.call_id and head.call_id != call.call_id:
        services.client.drop_foreign(response, ForeignKind.OTHER_CALL)
        return Attempt(worker, AttemptOutcome.LOST, "answer to another request")
    if not is_final_status(response.status):
        response.close()
        return Attempt(
            worker,
            AttemptOutcome.LOST,
            f"status {response.status} is not the status of a final answer",
        )
    if head.call_id:
        services.statements.record_response(worker, response.status, response.headers)
    if head.not_run or response.status == MISDIRECTED_STATUS:
        _record_leaving(services, worker, response)
        status = response.status
        response.close()
        inputs_unavailable = status == INPUTS_UNAVAILABLE_STATUS
        return Attempt(
            worker,
            AttemptOutcome.NOT_RUN,
            f"status {status}",
            None,
            head,
            inputs_unavailable,
            rejected=status == HTTPStatus.SERVICE_UNAVAILABLE,
        )
    if not head.sealed or head.call_id != call.call_id:
        response.close()
        return Attempt(worker, AttemptOutcome.LOST, "answer without signature or request id")
    if head.encoded and response.status < HTTPStatus.MULTIPLE_CHOICES:
        response.close()
        return Attempt(worker, AttemptOutcome.LOST, "answer in another encoding")
    return Attempt(worker, AttemptOutcome.ANSWERED, "", response, head)


def _record_leaving(
    services: CallServices, worker: WorkerRecord, response: aiohttp.ClientResponse
) -> None:
    if response.status == MISDIRECTED_STATUS:
        services.worker_statistics.get_or_create(worker.worker_id).leaving = True


def record_dropped_attempt(
    services: CallServices, call: OpaqueCall, worker: WorkerRecord, silent_seconds: float
) -> None:
    """Record an attempt that was abandoned because another worker answered its call first.

    ``silent_seconds`` is the duration of the worker's silence, 0 if it is not silent.
    """
    if not silent_seconds:
        services.metrics.attempts.labels(AttemptOutcome.DROPPED.value).inc()
        services.leases.release(call.call_id, worker.worker_id, unanswered=True)
        return
    services.client.record_silent_worker(worker, silent_seconds)
    detail = "another worker answered first"
    _record_attempt(services, call, Attempt(worker, AttemptOutcome.LOST, detail, silent=True))


def _record_attempt(services: CallServices, call: OpaqueCall, attempt: Attempt) -> None:
    services.metrics.attempts.labels(attempt.outcome.value).inc()
    if attempt.outcome is AttemptOutcome.ANSWERED:
        return
    services.leases.release(
        call.call_id,
        attempt.worker.worker_id,
        rejected=attempt.rejected,
        unanswered=attempt.silent,
    )
    now = clock.now()
    statistics = services.worker_statistics.get_or_create(attempt.worker.worker_id)
    if attempt.outcome is AttemptOutcome.NOT_RUN:
        statistics.avoid_until = max(statistics.avoid_until, now + FULL_AVOID_SECONDS)
    elif attempt.outcome is not AttemptOutcome.WITHDRAWN:
        statistics.failures.append(now)
        sent = attempt.outcome is AttemptOutcome.LOST
        services.record_connection_failure(call, attempt.worker, silent=attempt.silent, sent=sent)
        statistics.avoid_until = max(statistics.avoid_until, now + FAILED_AVOID_SECONDS)
    services.log.write(
        LogEvent.CALL_ATTEMPT_FAILED,
        call=call.call_id,
        worker=attempt.worker.worker_id,
        outcome=attempt.outcome.value,
        detail=attempt.detail,
        failures=statistics.recent_failures(now),
        backoff=round(
            services.statements.notices.backoff_seconds(attempt.worker.worker_id, now), 3
        ),
        request=call.fingerprint if attempt.outcome is AttemptOutcome.LOST else "",
    )
