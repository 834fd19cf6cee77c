"""Serves a plain call: its answer is read completely before it is sent to the caller.

A large answer for which there is no memory is relayed at the pace of its caller.

A repeatable call is hedged: while its worker is silent, it is sent to another worker as well, and
the first complete answer is sent to the caller.
"""

from collections.abc import Sequence
from functools import partial

from aiohttp import web

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import CallStep, OpaqueCall
from corkcrank.contracts.opaque_configuration import CallKind
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.node.callers.drain import abandoned_call_answer
from corkcrank.node.callers.refusals import Refusal
from corkcrank.node.calls.attempts import Attempt, AttemptOutcome, attempt_call
from corkcrank.node.calls.fallback_answer import FallbackAnswer
from corkcrank.node.calls.open_attempts import AttemptAnswer, OpenAttempt, OpenAttempts
from corkcrank.node.calls.relayed_answer import RelayedAnswer, read_or_relay
from corkcrank.node.calls.services import DEFAULT_PLAIN_SECONDS, MIN_CALL_SECONDS, CallServices
from corkcrank.node.calls.worker_answers import WorkerAnswer
from corkcrank.node.workers.silence_timeout import SilenceRule
from corkcrank.node.workers.worker_health import MIN_FAULT_STATUS
from corkcrank.scheduling.worker_choice import rank_workers

SILENCE_FACTOR = 5.0
"""Silence before a repeatable call is hedged, as a multiple of the mean answer time."""

MIN_SILENCE_SECONDS = 0.15
"""Minimum silence before a repeatable call is hedged, in seconds. A lag of the event loop must not
count as silence of the worker."""

UNREPEATABLE_TIME_FACTOR = 10.0
"""Minimum time left for an unrepeatable call in a draining gateway, as a multiple of the mean time
of an answer: an interrupted call cannot be retried. A repeatable call needs the mean time."""

CALL_UNITS = 1.0
"""Units of work of a plain call: calls of one service are assumed equally long."""

NO_WORKER_RETRY_SECONDS = 0.2
"""Retry time sent to the caller when no worker could run the call, in seconds."""


class PlainRun:
    """Serves one call of a plain service."""

    def __init__(self, call: OpaqueCall, services: CallServices, request: web.BaseRequest) -> None:
        self._call = call
        self._services = services
        self._request = request
        self._relaying = False
        self.fallback = FallbackAnswer(services.client.received)
        self._limit_wait: float | None = None
        self._attempts = OpenAttempts(services, call)
        self._has_run = False

    @property
    def answer_begun(self) -> bool:
        """Return whether an answer is being relayed; others are sent once they are complete."""
        return self._relaying

    def fits_before_stop(self) -> bool:
        """Return whether a worker may have run the call, or it may be sent to one in this drain."""
        return self._call.may_have_run or self._may_be_sent()

    def answer_at_stop(self) -> web.StreamResponse | Refusal:
        """Return the last answer of a worker, or a refusal because the gateway stops."""
        return self.fallback.take() or abandoned_call_answer(self._call)

    async def run(self) -> web.StreamResponse | Refusal:
        """Return the worker's answer, or a refusal with its reason."""
        call = self._call
        call.step = CallStep.PLAIN
        if not self._may_be_sent():
            return self._drain_refusal()
        self._start_next_attempt()
        answer = await self._attempts.wait_for_answer()
        if isinstance(answer, RelayedAnswer):
            self._relaying = True
            return await answer.send(call, self._request)
        return answer if answer is not None else self._final_refusal()

    def _start_next_attempt(self) -> None:
        """Start another attempt, unless an attempt in progress is not silent."""
        if not self._attempts.any_active:
            self._attempts.start(self._run_attempt)

    async def _run_attempt(self, attempt: OpenAttempt) -> AttemptAnswer | None:
        """Return the answer of an attempt; start the next attempt if it failed.

        Without a next attempt, returns an earlier answer that states a fault.
        """
        worker = await self._choose_next_worker(attempt)
        answer = await self._try_worker(attempt, worker) if worker is not None else None
        attempt.ended = True
        if answer is not None:
            return answer
        if worker is not None and self._may_repeat():
            self._start_next_attempt()
        return None if self._attempts.any_active else self.fallback.take()

    def _may_repeat(self) -> bool:
        """Return whether the call may be sent again after a failed attempt."""
        call = self._call
        return not call.may_have_run or call.route.kind is CallKind.REPEATABLE

    async def _choose_next_worker(self, attempt: OpenAttempt) -> WorkerRecord | None:
        """Return the worker of an attempt, or ``None`` if no attempt is allowed.

        Counts the attempt in the retry budget, so the call must be sent to the worker next.
        """
        call, services = self._call, self._services
        attempts = len(call.workers_tried)
        if attempts >= call.route.maximum_attempts:
            return None
        if await services.crash_watch.wait_for_verdict(call) or clock.now() >= call.end_at:
            return None
        worker = await self._choose_worker(clock.now())
        if worker is None or services.crash_watch.quarantine_seconds_left(call):
            return None
        if not self.fits_before_stop():
            return None
        if self._attempts.any_active_besides(attempt):
            # A silent worker began to answer in the meantime.
            return None
        return worker if services.try_start_attempt(call) else None

    def _may_be_sent(self) -> bool:
        """Return whether the call may be sent before this gateway stops; true unless draining.

        The mean time of an answer says little of a single one. A call whose own time ends after
        the drain is therefore sent only in the first part of it.
        """
        drain, call = self._services.drain, self._call
        if not drain.signal_received or call.end_at <= drain.answer_by:
            return True
        mean = self._services.plain_times.mean_seconds(call.service, DEFAULT_PLAIN_SECONDS)
        sent_until, needed_seconds = drain.engines_until, mean
        if call.route.kind is CallKind.UNREPEATABLE:
            sent_until = drain.streams_until
            needed_seconds = max(call.route.objective, UNREPEATABLE_TIME_FACTOR * mean)
        now = clock.now()
        return now <= sent_until and now + needed_seconds <= drain.answer_by

    async def _choose_worker(self, now: float) -> WorkerRecord | None:
        """Return the next worker; a rate-limited one only if its owner grants the call."""
        self._limit_wait = None
        usable = self._services.mirror.workers.usable_workers(self._call.service)
        limited = self._services.limits.limited(usable, now)
        ranked = self._rank(usable, limited, now)
        if not ranked or ranked[0] not in limited:
            return ranked[0] if ranked else None
        candidates = [worker for worker in ranked if worker in limited]
        verdict = await self._services.limit_grants.request_grant(self._call, candidates)
        if verdict.worker is not None and self._services.availability.may_send(verdict.worker):
            return verdict.worker
        self._limit_wait = verdict.wait
        free = self._rank([item for item in usable if item not in limited], (), clock.now())
        if not free:
            return None
        self._services.metrics.calls_at_limits.labels("elsewhere").inc()
        return free[0]

    def _count_doubt(self, workers: Sequence[WorkerRecord]) -> float:
        """Return the calls per slot that peers begin and end between two of their reports."""
        services = self._services
        statistics = [services.worker_statistics.get_or_create(item.worker_id) for item in workers]
        peers_in_flight = sum(item.peers_in_flight for item in statistics)
        slots = max(1, sum(worker.slots for worker in workers))
        usual = services.plain_times.mean_seconds(self._call.service, DEFAULT_PLAIN_SECONDS)
        intervals = services.fleet.heartbeat_interval() / max(MIN_CALL_SECONDS, usual)
        return 2 * peers_in_flight / slots * intervals

    def _rank(
        self, workers: Sequence[WorkerRecord], limited: Sequence[WorkerRecord], now: float
    ) -> list[WorkerRecord]:
        """Return the workers that may be tried, best first."""
        ids = [worker.worker_id for worker in workers]
        factors = self._services.paces.factors(ids, self._call.service, now)
        return rank_workers(
            workers,
            self._services.worker_statistics,
            self._services.zone,
            now,
            self._call.workers_tried,
            self._services.random,
            repeatable=self._call.route.kind is CallKind.REPEATABLE,
            limited={worker.worker_id for worker in limited},
            factors=factors,
            doubt=self._count_doubt(workers) if factors else 0.0,
        )

    async def _try_worker(self, attempt: OpenAttempt, worker: WorkerRecord) -> AttemptAnswer | None:
        attempt.begin(worker)
        statistics = self._services.worker_statistics.get_or_create(worker.worker_id)
        statistics.in_flight += 1
        try:
            return await self._send_and_read(attempt, worker)
        finally:
            statistics.in_flight -= 1

    async def _send_and_read(
        self, open_attempt: OpenAttempt, worker: WorkerRecord
    ) -> AttemptAnswer | None:
        call = self._call
        started = clock.now()
        attempt = await attempt_call(
            self._services,
            call,
            worker,
            call.end_at - started,
            fresh=call.route.kind is CallKind.UNREPEATABLE,
            silence=self._silence_rule(open_attempt, worker),
        )
        self._has_run = self._has_run or not attempt.not_run
        call.may_have_run = self._has_run or self._attempts.any_sent_besides(open_attempt)
        if attempt.outcome is not AttemptOutcome.ANSWERED:
            return None
        open_attempt.record_bytes()
        answer = await self._read_answer(attempt, open_attempt)
        if answer is None:
            self._services.record_connection_failure(call, worker)
            return None
        self._services.health.record_response(worker, attempt.status)
        self._services.crash_watch.record_completed(call)
        if isinstance(answer, WorkerAnswer) and attempt.status >= MIN_FAULT_STATUS:
            statistics = self._services.worker_statistics.get_or_create(worker.worker_id)
            statistics.failures.append(clock.now())
            if self._attempts.any_active_besides(open_attempt) or self._may_try_another():
                self.fallback.keep(worker, answer)
                return None
        self._observe_times(worker, clock.now() - started, attempt.status)
        return answer.response() if isinstance(answer, WorkerAnswer) else answer

    def _observe_times(self, worker: WorkerRecord, seconds: float, status: int) -> None:
        service = self._call.service
        self._services.plain_times.observe_seconds(service, seconds)
        if status < MIN_FAULT_STATUS:
            self._services.paces.observe_work(
                worker.worker_id, service, seconds, CALL_UNITS, clock.now()
            )

    async def _read_answer(
        self, attempt: Attempt, open_attempt: OpenAttempt
    ) -> WorkerAnswer | RelayedAnswer | None:
        left = self._call.end_at - clock.now()
        return await read_or_relay(
            self._services, attempt, left, self._silence_rule(open_attempt, attempt.worker)
        )

    def _silence_rule(self, attempt: OpenAttempt, worker: WorkerRecord) -> SilenceRule | None:
        """Return the rule for hedging the call, ``None`` for unrepeatable calls.

        The timeout is scaled by the worker's current pace, so that a slow worker is not silent
        sooner than others.
        """
        if self._call.route.kind is not CallKind.REPEATABLE:
            return None
        usual = self._services.plain_times.mean_seconds(self._call.service, DEFAULT_PLAIN_SECONDS)
        usual *= self._services.paces.factor(worker.worker_id, worker.service, clock.now())
        seconds = max(MIN_SILENCE_SECONDS, SILENCE_FACTOR * usual)
        return SilenceRule(seconds, partial(self._hedge, attempt, worker))

    async def _hedge(self, attempt: OpenAttempt, worker: WorkerRecord) -> bool:
        """Try another worker beside a silent one; return false, so that the attempt continues.

        Closes idle connections to the silent worker, because they may be silent too and later calls
        would wait on them.
        """
        attempt.silent = True
        self._services.client.drop_idle(worker)
        self._start_next_attempt()
        return False

    def _may_try_another(self) -> bool:
        """Return whether another worker may be tried."""
        call = self._call
        attempts = len(call.workers_tried)
        return (
            call.route.kind is CallKind.REPEATABLE
            and attempts < call.route.maximum_attempts
            and len(self._services.mirror.workers.usable_workers(call.service)) > attempts
        )

    def _drain_refusal(self) -> Refusal:
        return Refusal.draining("may take longer than the time left in the drain")

    def _final_refusal(self) -> web.StreamResponse | Refusal:
        if (answer := self.fallback.take()) is not None:
            return answer
        call = self._call
        if clock.now() >= call.end_at and call.may_have_run:
            return Refusal(ResultCode.DEADLINE_EXCEEDED)
        if call.may_have_run:
            return Refusal(ResultCode.WORKER_LOST)
        if wait := self._services.crash_watch.quarantine_seconds_left(call):
            return Refusal.quarantined(wait)
        if not self._may_be_sent():
            return self._drain_refusal()
        if refusal := self._services.backing_off_refusal(call):
            return refusal
        if self._limit_wait is not None:
            self._services.metrics.calls_at_limits.labels("refused").inc()
            return Refusal(ResultCode.WORKERS_LIMITED, retry_after=self._limit_wait)
        if refusal := self._services.requests_full_refusal(call):
            return refusal
        code = ResultCode.WORKERS_FULL if call.workers_tried else ResultCode.NO_BACKEND
        return Refusal(code, retry_after=NO_WORKER_RETRY_SECONDS)
