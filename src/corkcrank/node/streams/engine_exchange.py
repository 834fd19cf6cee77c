"""Sends a streamed call to an engine, relays its answer and records the outcome."""

import asyncio
import weakref
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import CallStep, OpaqueCall
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import LogEvent
from corkcrank.links.received_bytes import Purpose, forget_readers
from corkcrank.node.calls.attempts import Attempt, AttemptOutcome, attempt_call
from corkcrank.node.calls.fallback_answer import FallbackAnswer
from corkcrank.node.calls.services import CallServices
from corkcrank.node.calls.worker_answers import read_whole_answer
from corkcrank.node.stages.stage_run import StageRun
from corkcrank.node.streams.engine_assignment import EngineAssignment
from corkcrank.node.streams.events import EventReader
from corkcrank.node.streams.result_release import ResultRelease
from corkcrank.node.streams.stream_admission import StreamAdmission
from corkcrank.node.streams.stream_answer import StreamAnswer
from corkcrank.node.streams.stream_continuity import StreamContinuity
from corkcrank.node.streams.stream_part import SUCCESS_STATUSES, StreamPart
from corkcrank.node.streams.stream_relay import (
    MIN_SILENCE_SECONDS,
    EngineSearch,
    RelayEnd,
    StreamRelay,
)
from corkcrank.node.streams.upstream_buffer import UpstreamBuffer
from corkcrank.node.workers.silence_timeout import SilenceRule
from corkcrank.node.workers.worker_health import MIN_FAULT_STATUS
from corkcrank.scheduling.stage_plan import StagePlan
from corkcrank.scheduling.worker_outcomes import CallOutcome

MIN_FIRST_EVENT_SECONDS = 1.2
"""Minimum wait for a first event before a resumable stream fails over, in seconds."""

FIRST_EVENT_FACTOR = 4.0
"""Timeout of a first event for a resumable stream, as a multiple of the mean time to it."""


@dataclass(frozen=True, slots=True)
class BegunExchange:
    """An answer whose next event has arrived, and the callback for its first relayed event."""

    attempt: Attempt
    waiting: UpstreamBuffer
    record_first_event: Callable[[], None]

    def close(self) -> None:
        """Close the connection, because another engine continues the stream."""
        self.attempt.close()


class EngineExchanges:
    """The consecutive exchanges of one call with engines.

    ``stages`` holds the results that engines fetch. ``failure`` is the most recent complete answer
    in which an engine reported a failure instead of a stream.
    """

    def __init__(
        self,
        call: OpaqueCall,
        services: CallServices,
        plan: StagePlan,
        admission: StreamAdmission,
        assignment: EngineAssignment,
        answer: StreamAnswer,
        continuity: StreamContinuity,
    ) -> None:
        self._call = call
        self._services = services
        self._plan = plan
        self._admission = admission
        self._assignment = assignment
        self._answer = answer
        self._continuity = continuity
        self._relay = StreamRelay(call, services, answer)
        self._release: ResultRelease | None = None
        self.stages: StageRun | None = None
        self.failure = FallbackAnswer(services.client.received)

    def set_search(self, search: EngineSearch) -> None:
        """Set the search for another engine, weakly: it refers to these exchanges and the call."""
        self._relay.search = weakref.proxy(search)

    @property
    def resume_after(self) -> str:
        """Return the id of the last event that the caller received, empty before the first."""
        return self._relay.resume_after

    @property
    def may_try_another(self) -> bool:
        """Return whether another attempt may succeed and the retry budget allows it."""
        return self.has_attempt_left and self._services.can_spend_repeat(self._call)

    @property
    def has_attempt_left(self) -> bool:
        """Return whether another attempt may succeed, regardless of the retry budget."""
        call = self._call
        may_repeat = call.route.idempotent or not call.may_have_run
        refused = 0 < self.failure.status < MIN_FAULT_STATUS
        return may_repeat and not refused and call.has_attempt_left

    async def send(self, engine: WorkerRecord, inputs: tuple[str, ...]) -> RelayEnd:
        """Send the call to an engine and relay its answer."""
        self._call.step = CallStep.ENGINE
        attempt = await self._attempt(engine, inputs)
        if attempt.outcome is AttemptOutcome.ANSWERED:
            return await self._relay_answer(attempt)
        if attempt.silent:
            self._call.left_workers.add(engine.worker_id)
        self._record_missed_inputs(attempt)
        return RelayEnd.BROKEN

    async def begin(self, engine: WorkerRecord, inputs: tuple[str, ...]) -> BegunExchange | None:
        """Send the call to another engine during a failover.

        Returns once the engine has sent the next event, or ``None`` if it fails. Closes the
        connection if this coroutine is cancelled.
        """
        self._record_prefix(engine)
        self._cancel_release()
        record_first_event = self._first_event_recorder(engine, clock.now())
        attempt = await attempt_call(
            self._services,
            self._call,
            engine,
            self._call.end_at - clock.now(),
            fresh=False,
            inputs=inputs,
            resume_after=self._relay.resume_after,
        )
        if attempt.response is None:
            self._record_missed_inputs(attempt)
            return None
        begun = BegunExchange(attempt, UpstreamBuffer(attempt.response), record_first_event)
        try:
            if await self._has_begun(begun):
                return begun
        except asyncio.CancelledError:
            begun.close()
            raise
        begun.close()
        return None

    async def continue_at(self, begun: BegunExchange) -> RelayEnd:
        """Relay the answer of an engine that continues the stream."""
        attempt = begun.attempt
        assert attempt.response is not None
        self._assignment.assign(attempt.worker)
        self._relay.on_first_event = begun.record_first_event
        part = self._relay.start_part(attempt.response)
        first = self._first_event_rule(attempt.worker)
        end = await self._relay.relay(attempt, part, first, begun.waiting)
        self._log_end(attempt.worker, part, end)
        return end

    async def _has_begun(self, begun: BegunExchange) -> bool:
        """Wait for an engine's next event or end; return whether it continues the stream."""
        attempt = begun.attempt
        if attempt.status not in SUCCESS_STATUSES:
            statistics = self._services.worker_statistics.get_or_create(attempt.worker.worker_id)
            statistics.failures.append(clock.now())
            self._services.health.record_response(attempt.worker, attempt.status)
            return False
        try:
            async with asyncio.timeout(
                clock.clamp_remaining_seconds(self._call.end_at - clock.now())
            ):
                if await self._peek_next_event(begun):
                    return True
        except (TimeoutError, aiohttp.ClientError, ConnectionError, ValueError) as error:
            forget_readers(error)
            self._services.record_connection_failure(self._call, attempt.worker)
        return False

    async def _peek_next_event(self, begun: BegunExchange) -> bool:
        """Return whether an engine sends the stream's next event, or its end without an event."""
        assert begun.attempt.response is not None
        response, worker = begun.attempt.response, begun.attempt.worker
        part, reader = self._relay.start_part(response), EventReader()
        received = self._services.client.received
        with received.open(Purpose.EVENT, worker.worker_id, response) as kept:
            while piece := await begun.waiting.peek():
                kept.add(len(piece))
                for event in reader.feed(piece):
                    if event.dispatched:
                        return part.accept_event(event)
        part.leftover = reader.remainder
        return part.is_stream_end()

    def _record_missed_inputs(self, attempt: Attempt) -> None:
        if attempt.inputs_unavailable:
            self._services.fetch_delay(self._call.service).record_miss()
            self._plan.reset_results()

    async def _relay_answer(self, attempt: Attempt) -> RelayEnd:
        upstream = attempt.response
        assert upstream is not None
        part = self._relay.start_part(upstream)
        if part.succeeded:
            self._relay.search.cancel()
            end = await self._relay.relay(attempt, part, self._first_event_rule(attempt.worker))
        else:
            end = await self._read_failure(attempt)
        self._log_end(attempt.worker, part, end)
        return end

    async def _read_failure(self, attempt: Attempt) -> RelayEnd:
        """Read an engine's failure and store it as the answer if no engine succeeds.

        A failure is never relayed into a stream that another engine began: the end of its body must
        not end the caller's answer.
        """
        if attempt.status >= MIN_FAULT_STATUS:
            statistics = self._services.worker_statistics.get_or_create(attempt.worker.worker_id)
            statistics.failures.append(clock.now())
        self._services.health.record_response(attempt.worker, attempt.status)
        failure = await read_whole_answer(
            self._services, attempt, self._failure_read_seconds(attempt.worker)
        )
        if failure is not None:
            self._services.crash_watch.record_completed(self._call)
            self.failure.keep(attempt.worker, failure)
            if self._answer.prepared:
                self.failure.discard()
        return RelayEnd.FAILED

    def _failure_read_seconds(self, engine: WorkerRecord) -> float:
        """Return the maximum time to read the body of a failure, in seconds.

        Without the limit, a body that never ends would delay a failover until the caller's
        deadline. A stream that has begun does not need this body.
        """
        if not self._answer.prepared:
            return self._max_failure_seconds(engine)
        return min(self._call.end_at - clock.now(), MIN_SILENCE_SECONDS)

    async def _attempt(self, engine: WorkerRecord, inputs: tuple[str, ...]) -> Attempt:
        self._record_prefix(engine)
        self._relay.on_first_event = self._first_event_recorder(engine, clock.now())
        self._release = self._schedule_release(engine)
        try:
            return await attempt_call(
                self._services,
                self._call,
                engine,
                self._call.end_at - clock.now(),
                fresh=False,
                inputs=inputs,
                resume_after=self._relay.resume_after,
                silence=self._first_event_rule(engine),
            )
        finally:
            self._cancel_release()

    def _record_prefix(self, engine: WorkerRecord) -> None:
        now = clock.now()
        prompt = self._call.envelope.prompt
        profile = self._services.mirror.profile(self._call.service)
        capacity = profile.engine.cache_tokens if profile and profile.engine else 0
        self._services.engines.record_sent(engine.worker_id, capacity, prompt.shared_parts, now)
        self._services.recent_prefixes.record_prefix(engine.worker_id, prompt, now)

    def _cancel_release(self) -> None:
        """Cancel the scheduled release: results are kept until an engine's first event."""
        if self._release is not None:
            self._release.cancel()

    def _schedule_release(self, engine: WorkerRecord) -> ResultRelease | None:
        """Schedule the release of results after the usual fetch time, unless the engine queues."""
        statistics = self._services.worker_statistics.get_or_create(engine.worker_id)
        busy = statistics.in_flight + statistics.peers_in_flight
        if self.stages is None or busy >= engine.slots:
            return None
        delay = self._services.fetch_delay(self._call.service).seconds
        return ResultRelease(self.stages.close, statistics, delay)

    def _first_event_recorder(self, engine: WorkerRecord, sent_at: float) -> Callable[[], None]:
        statistics = self._services.worker_statistics.get_or_create(engine.worker_id)
        tokens = statistics.reading + statistics.peers_reading

        def record_first_event() -> None:
            now = clock.now()
            self.failure.discard()
            self._services.paces.observe_work(
                engine.worker_id, engine.service, now - sent_at, tokens, now
            )
            self._continuity.record_first_event(engine)
            self._assignment.record_prompt_read()
            self._services.health.record_outcome(engine, CallOutcome.SERVED)
            self._services.prefill_grants.report_prefill_done(self._call, read=True)
            self._services.first_event_times.observe_seconds(self._call.service, now - sent_at)
            self._services.fetch_delay(self._call.service).record_hit()
            self._services.log.write(
                LogEvent.FIRST_EVENT,
                call=self._call.call_id,
                seconds=round(now - sent_at, 3),
                late=round(now - self._call.objective_at, 3),
            )
            if self.stages is not None:
                self.stages.close()

        return record_first_event

    def _first_event_rule(self, engine: WorkerRecord) -> SilenceRule | None:
        """Return the rule for an engine without a first event, ``None`` to wait indefinitely."""
        if not self._call.route.idempotent:
            return None
        return self._relay.search.rule(engine, self.first_event_seconds(engine))

    def first_event_seconds(self, engine: WorkerRecord) -> float:
        """Return the timeout of an engine's first event before a failover, in seconds."""
        usual = FIRST_EVENT_FACTOR * self._admission.first_event_seconds()
        usual *= self._services.paces.factor(engine.worker_id, engine.service, clock.now())
        return max(MIN_FIRST_EVENT_SECONDS, usual)

    def _max_failure_seconds(self, engine: WorkerRecord) -> float:
        """Return the maximum time to read a failure before an answer has begun, in seconds."""
        call = self._call
        left = call.end_at - clock.now()
        may_move = call.route.idempotent and call.has_attempt_left
        if may_move and self._services.can_spend_repeat(call):
            return min(left, self.first_event_seconds(engine))
        return left

    def _log_end(self, engine: WorkerRecord, part: StreamPart, end: RelayEnd) -> None:
        self._services.log.write(
            LogEvent.STREAM_ENDED,
            call=self._call.call_id,
            worker=engine.worker_id,
            version=engine.version,
            end=end.value,
            status=part.status,
            framing=part.framing.value,
            resume_after=part.resume_after,
            events=part.events,
            first_event=part.first_event,
            last_event=part.last_event,
            leftover=len(part.leftover),
            longest_pause=round(self._answer.longest_pause, 3),
            pause_objective=self._call.route.pause_objective,
            request=self._call.fingerprint if end is RelayEnd.BROKEN else "",
        )
