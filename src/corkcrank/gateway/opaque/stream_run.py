"""A call whose answer is a stream of events: stages, relay, resume."""

import asyncio
import time
from collections.abc import Callable

from aiohttp import web

from corkcrank.contracts.opaque_call import CallStep, OpaqueCall
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.gateway.opaque.attempts import Attempt, AttemptOutcome, attempt_call
from corkcrank.gateway.opaque.drain import stopped_answer
from corkcrank.gateway.opaque.engine_assignment import EngineAssignment
from corkcrank.gateway.opaque.refusals import CallerLeftError, Refusal
from corkcrank.gateway.opaque.services import CallServices
from corkcrank.gateway.opaque.stage_run import StageFailedError, StageRun
from corkcrank.gateway.opaque.stream_admission import StreamAdmission
from corkcrank.gateway.opaque.stream_relay import RelayEnd, StreamRelay
from corkcrank.links.decision_log import LogEvent
from corkcrank.scheduling.call_admission import SHORTEST_RETRY
from corkcrank.scheduling.stage_plan import StagePlan

LEAST_FIRST_EVENT_SECONDS = 1.2
"""A resumable stream is never moved earlier for want of a first event."""

FIRST_EVENT_FACTOR = 4.0
"""It is moved after this multiple of the usual time to a first event."""

SHORT_RETRY_SECONDS = 3 * SHORTEST_RETRY
"""When to come back if no engine could be had."""


class StreamRun:
    """Serves one streamed call."""

    def __init__(self, call: OpaqueCall, services: CallServices, request: web.BaseRequest) -> None:
        self._call = call
        self._services = services
        self._plan = StagePlan(call.route.stages, call.envelope.piece_counts)
        self._admission = StreamAdmission(call, services, self._plan)
        self._assignment = EngineAssignment(call, services)
        self._relay = StreamRelay(call, services, request, self._may_move)
        self._stages: StageRun | None = None

    @property
    def answer_begun(self) -> bool:
        """Return whether the head of the answer has gone out."""
        return self._call.answer_begun

    def fits_before_stop(self) -> bool:
        """Return whether the rest of a call that no engine has had usually ends in time."""
        return self._call.may_have_run or self._admission.ends_before_stop()

    def give_up(self) -> web.StreamResponse | Refusal:
        """Return the answer of a stop; one that has just begun can only be broken off."""
        if self._relay.prepared:
            self._relay.break_off()
            raise ConnectionResetError("the gateway stops")
        return stopped_answer(self._call)

    async def run(self) -> web.StreamResponse | Refusal:
        """Return the finished answer, or why there is none."""
        if time.monotonic() > self._services.drain.streams_until:
            return Refusal.draining("read late in the drain")
        tokens = self._call.envelope.prompt.tokens_in
        self._services.prompt_sizes.learn(self._call.route.name, tokens)
        engines = self._admission.rank_engines()
        if not engines:
            return Refusal(ResultCode.NO_BACKEND, retry_after=SHORT_RETRY_SECONDS)
        engine = self._admission.admit(engines)
        if isinstance(engine, Refusal):
            return engine
        self._count_tokens(engine)
        self._assignment.assign(engine)
        try:
            return await self._run_admitted(engine)
        except StageFailedError as error:
            return self._stage_refusal(error)
        finally:
            self._services.turns.done(self._call)
            self._assignment.clear()
            if self._stages is not None:
                self._stages.close()

    async def _run_admitted(self, chosen: WorkerRecord) -> web.StreamResponse | Refusal:
        engine: WorkerRecord | None = chosen
        for number in range(self._call.route.maximum_attempts):
            assert engine is not None
            inputs = await self._run_stages(engine)
            if not self._relay.prepared and not self._admission.ends_before_stop():
                break
            self._admission.log_time_left()
            engine = self._still_usable(engine)
            if engine is None or not self._may_send(number):
                break
            engine = await self._take_turn(engine)
            end = await self._send(engine, inputs)
            if end is RelayEnd.COMPLETE:
                return self._relay.finished()
            if end is RelayEnd.CALLER_GONE:
                raise CallerLeftError
            if self._call.may_have_run and not self._call.route.idempotent:
                break
            if time.monotonic() >= self._call.end_at:
                break
            self._after_failure(engine)
        return self._give_up()

    async def _take_turn(self, chosen: WorkerRecord) -> WorkerRecord:
        """Return the engine of the chosen one's zone that reads the prompt next."""
        services = self._services
        self._call.step = CallStep.TURN
        long = services.prompt_sizes.is_long(self._call.route.name)
        engine = await services.turns.take(self._call, chosen, long=long)
        if engine.worker_id != chosen.worker_id:
            self._assignment.assign(engine)
        return engine

    def _may_send(self, number: int) -> bool:
        """Return whether there is time and, for a repeat, budget left."""
        now = time.monotonic()
        if now >= self._call.end_at:
            return False
        if number == 0:
            self._services.budget(self._call.service).record_first(now)
            return True
        return self._services.may_repeat(self._call.service)

    def _still_usable(self, engine: WorkerRecord) -> WorkerRecord | None:
        record = self._services.mirror.workers.get(engine.worker_id)
        standing = self._services.book.of(engine.worker_id)
        tried = engine.worker_id in self._call.workers_tried
        if record is not None and not record.leaving and not standing.leaving and not tried:
            return record
        other = next(iter(self._admission.rank_engines()), None)
        if other is not None:
            self._assignment.assign(other)
        return other

    async def _run_stages(self, engine: WorkerRecord) -> tuple[str, ...]:
        if not self._plan.any_work:
            return ()
        if self._stages is None:
            self._stages = StageRun(
                self._call,
                self._plan,
                self._services.dispatch,
                self._services.log,
                engine.zone,
                self._admission.engine_seconds(),
                returning=self._call.returning,
            )
        if self._plan.complete:
            return self._plan.final_handles()
        self._call.step = CallStep.STAGES
        handles, seconds = await self._timed_stages(self._stages)
        self._services.metrics.stage_wait.observe(seconds)
        self._services.log.write(
            LogEvent.STAGE_ENDED,
            call=self._call.call_id,
            seconds=round(seconds, 3),
            forecast=round(self._admission.stages_forecast, 3),
            correction=round(self._admission.correction, 2),
            results=len(handles),
        )
        return handles

    async def _timed_stages(self, stages: StageRun) -> tuple[tuple[str, ...], float]:
        """Run the stages, and learn how far their forecast was off."""
        route, forecast = self._call.route.name, self._admission.stages_forecast
        bias = self._services.forecast_bias
        started = time.monotonic()
        try:
            handles = await stages.run()
        except StageFailedError:
            now = time.monotonic()
            bias.learn_failure(route, forecast, now - started, now)
            raise
        now = time.monotonic()
        bias.learn(route, forecast, now - started, now)
        if forecast > 0:
            self._services.metrics.forecast_ratio.observe((now - started) / forecast)
        return handles, now - started

    async def _send(self, engine: WorkerRecord, inputs: tuple[str, ...]) -> RelayEnd:
        """Send the call to an engine and relay what comes."""
        self._call.step = CallStep.ENGINE
        attempt = await self._attempt(engine, inputs)
        if attempt.outcome is AttemptOutcome.ANSWERED:
            end = await self._relay.relay(attempt, self._first_event_patience())
            self._log_end(engine, end)
            return end
        if attempt.lost_inputs:
            self._services.fetch_delay(self._call.service).missed()
            self._plan.redo_all()
        return RelayEnd.BROKEN

    async def _attempt(self, engine: WorkerRecord, inputs: tuple[str, ...]) -> Attempt:
        self._note_prefix(engine)
        self._relay.on_first_event = self._first_event(time.monotonic())
        timer = self._free_after_fetch(engine)
        try:
            return await attempt_call(
                self._services,
                self._call,
                engine,
                self._first_event_patience(under_way=1),
                fresh=False,
                inputs=inputs,
                resume_after=self._relay.resume_after,
            )
        finally:
            if timer is not None:
                timer.cancel()

    def _note_prefix(self, engine: WorkerRecord) -> None:
        now = time.monotonic()
        prompt = self._call.envelope.prompt
        configuration = self._services.mirror.configuration
        profile = configuration.service(self._call.service) if configuration else None
        capacity = profile.engine.cache_tokens if profile and profile.engine else 0
        self._services.engines.sent(engine.worker_id, capacity, prompt.shared_parts, now)
        self._services.prefix_news.add(engine.worker_id, prompt, now)

    def _count_tokens(self, engine: WorkerRecord) -> None:
        prompt = self._call.envelope.prompt
        unread = self._services.engines.unread_tokens(engine.worker_id, prompt)
        tokens = self._services.metrics.prompt_tokens
        tokens.labels("read").inc(unread)
        tokens.labels("kept").inc(max(0, prompt.tokens_in - unread))

    def _free_after_fetch(self, engine: WorkerRecord) -> asyncio.TimerHandle | None:
        """Free the results once the engine has fetched them, unless it queues calls."""
        standing = self._services.book.of(engine.worker_id)
        busy = standing.in_flight + standing.peers_in_flight
        if self._stages is None or busy >= engine.slots:
            return None
        delay = self._services.fetch_delay(self._call.service).seconds
        return asyncio.get_running_loop().call_later(delay, self._stages.close)

    def _first_event(self, sent_at: float) -> Callable[[], None]:
        def note() -> None:
            now = time.monotonic()
            self._assignment.has_read()
            self._services.turns.done(self._call)
            self._services.first_event_times.learn(self._call.service, now - sent_at)
            self._services.fetch_delay(self._call.service).found()
            self._services.log.write(
                LogEvent.FIRST_EVENT,
                call=self._call.call_id,
                seconds=round(now - sent_at, 3),
                late=round(now - self._call.objective_at, 3),
            )
            if self._stages is not None:
                self._stages.close()

        return note

    def _first_event_patience(self, under_way: int = 0) -> float:
        left = self._call.end_at - time.monotonic()
        if not self._may_move(under_way):
            return left
        usual = FIRST_EVENT_FACTOR * self._admission.engine_seconds()
        return min(left, max(LEAST_FIRST_EVENT_SECONDS, usual))

    def _may_move(self, under_way: int = 0) -> bool:
        """Return whether a silent stream could be taken up at another engine."""
        call = self._call
        attempts = len(call.workers_tried) + under_way
        return (
            call.route.idempotent
            and attempts < call.route.maximum_attempts
            and self._services.could_repeat(call.service)
        )

    def _after_failure(self, engine: WorkerRecord) -> None:
        """Make results again that were freed, before another engine is tried."""
        if self._stages is not None and self._stages.closed:
            self._plan.redo_all()
            self._stages.closed = False
        self._services.log.write(
            LogEvent.STREAM_MOVED,
            call=self._call.call_id,
            worker=engine.worker_id,
            last_event=self._relay.resume_after,
        )

    def _log_end(self, engine: WorkerRecord, end: RelayEnd) -> None:
        part = self._relay.part
        assert part is not None
        self._services.log.write(
            LogEvent.STREAM_ENDED,
            call=self._call.call_id,
            worker=engine.worker_id,
            end=end.value,
            status=part.status,
            framing=part.framing.value,
            resume_after=part.resume_after,
            events=part.events,
            first_event=part.first_event,
            last_event=part.last_event,
            leftover=len(part.leftover),
            longest_pause=round(self._relay.longest_pause, 3),
            pause_objective=self._call.route.pause_objective,
        )

    def _give_up(self) -> web.StreamResponse | Refusal:
        if self._relay.prepared:
            self._relay.break_off()
            raise ConnectionResetError("the stream cannot be finished")
        if self._call.may_have_run:
            overdue = time.monotonic() >= self._call.end_at
            code = ResultCode.DEADLINE_EXCEEDED if overdue else ResultCode.WORKER_LOST
            return Refusal(code)
        if not self._admission.ends_before_stop():
            return Refusal.draining("its stream would outlast the drain")
        if self._stages is not None and self._stages.started:
            detail = "no engine after the stages"
            return Refusal(ResultCode.STAGE_NOT_MADE, detail, retry_after=SHORT_RETRY_SECONDS)
        code = ResultCode.WORKERS_FULL if self._call.workers_tried else ResultCode.NO_BACKEND
        return Refusal(code, retry_after=SHORT_RETRY_SECONDS)

    def _stage_refusal(self, error: StageFailedError) -> web.StreamResponse | Refusal:
        if self._relay.prepared:
            self._relay.break_off()
            raise ConnectionResetError("the stream cannot be finished") from error
        if self._call.may_have_run:
            return Refusal(ResultCode.STAGE_FAILED, error.detail)
        if self._services.drain.begun:
            return Refusal.draining(error.detail)
        code = ResultCode.STAGE_NOT_MADE if error.started else ResultCode.CAPACITY_SHORT
        retry = max(SHORTEST_RETRY, error.retry_after)
        return Refusal(code, error.detail, retry_after=retry)
