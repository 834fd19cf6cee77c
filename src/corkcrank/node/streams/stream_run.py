"""Serves a streamed call: runs its stages, sends it to engines, and fails over if one fails."""

from aiohttp import web

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import CallStep, OpaqueCall
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import LogEvent
from corkcrank.node.callers.drain import abandoned_call_answer
from corkcrank.node.callers.refusals import CallerDisconnectedError, Refusal
from corkcrank.node.calls.services import CallServices
from corkcrank.node.stages.stage_failures import StageFailedError
from corkcrank.node.stages.stage_run import StageRun
from corkcrank.node.streams.engine_assignment import EngineAssignment
from corkcrank.node.streams.engine_exchange import EngineExchanges
from corkcrank.node.streams.engine_failover import EngineFailover
from corkcrank.node.streams.engine_turns import EngineTurns
from corkcrank.node.streams.stream_admission import StreamAdmission
from corkcrank.node.streams.stream_answer import StreamAnswer
from corkcrank.node.streams.stream_continuity import StreamContinuity
from corkcrank.node.streams.stream_relay import RelayEnd
from corkcrank.scheduling.call_admission import MIN_RETRY_SECONDS
from corkcrank.scheduling.stage_plan import StagePlan

NO_ENGINE_RETRY_SECONDS = 3 * MIN_RETRY_SECONDS
"""Retry time sent to the caller when no engine is available, in seconds."""


class StreamRun:
    """Serves one streamed call."""

    def __init__(self, call: OpaqueCall, services: CallServices, request: web.BaseRequest) -> None:
        self._call = call
        self._services = services
        self._request = request
        self._plan = StagePlan(call.route.stages, call.envelope.piece_counts)
        self._admission = StreamAdmission(call, services, self._plan)
        self._assignment = EngineAssignment(call, services)
        self._turns = EngineTurns(call, services, self._admission)
        self._answer = StreamAnswer(call, services, request)
        self._continuity = StreamContinuity(call, services)
        self._exchanges = EngineExchanges(
            call,
            services,
            self._plan,
            self._admission,
            self._assignment,
            self._answer,
            self._continuity,
        )
        self.fallback = self._exchanges.failure
        self._failover = EngineFailover(
            call,
            services,
            self._plan,
            self._admission,
            self._turns,
            self._answer,
            self._exchanges,
        )
        self._limit_wait: float | None = None
        self._refused_by_queue = False

    @property
    def answer_begun(self) -> bool:
        """Return whether the head of the answer was sent to the caller."""
        return self._call.answer_begun

    def fits_before_stop(self) -> bool:
        """Return whether the call may have run, or is expected to end before the stop."""
        return self._call.may_have_run or self._admission.drain.fits()

    def answer_at_stop(self) -> web.StreamResponse | Refusal:
        """Return the answer to send when the gateway stops; abort an answer that has begun."""
        if self._answer.prepared:
            self._answer.abort()
            raise ConnectionResetError("the gateway stops before the stream is complete")
        return self.fallback.take() or abandoned_call_answer(self._call)

    async def run(self) -> web.StreamResponse | Refusal:
        """Return the finished answer, or a refusal with its reason."""
        if clock.now() > self._services.drain.streams_until:
            return Refusal.draining("request arrived too late in the drain")
        if refusal := await self._continuity.find_origin():
            return refusal
        engine = await self._choose_engine()
        if isinstance(engine, Refusal):
            self._continuity.give_back_precedence()
            return engine
        self._assignment.count_tokens(engine)
        self._assignment.assign(engine)
        try:
            return await self._run_admitted(engine)
        except StageFailedError as error:
            return self._stage_refusal(error)
        finally:
            self._failover.cancel()
            self._services.prefill_grants.report_prefill_done(self._call)
            self._assignment.clear()
            if self._exchanges.stages is not None:
                self._exchanges.stages.close()

    async def _choose_engine(self) -> WorkerRecord | Refusal:
        """Return the engine that the call is admitted for, or the refusal of the call."""
        if wait := await self._services.crash_watch.wait_for_verdict(self._call):
            return self._quarantine_refusal(wait)
        tokens = self._call.envelope.prompt.tokens_in
        self._services.prompt_sizes.observe_prompt_size(self._call.route.name, tokens)
        engines = self._admission.rank_engines()
        if not engines:
            return self._no_engine_refusal(ResultCode.NO_BACKEND)
        return await self._admit(engines)

    async def _admit(self, engines: list[WorkerRecord]) -> WorkerRecord | Refusal:
        """Return the engine that the stages are run for, or refuse the call immediately.

        If every engine is rate-limited, one must grant the call before its stages start. Otherwise
        a later rejection by all engines would waste the stage results and the caller's time.
        """
        limited = self._services.limits.limited(engines, clock.now())
        if len(limited) == len(engines):
            grants = self._services.limit_grants
            verdict = await grants.request_grant(self._call, engines, begins=True)
            if verdict.worker is None:
                self._services.metrics.calls_at_limits.labels("refused").inc()
                return Refusal(ResultCode.WORKERS_LIMITED, retry_after=verdict.wait)
            engines = [verdict.worker]
        await self._admission.find_claim()
        return self._admission.admit(engines)

    async def _run_admitted(self, chosen: WorkerRecord) -> web.StreamResponse | Refusal:
        engine: WorkerRecord | None = chosen
        while self._call.has_attempt_left:
            assert engine is not None
            inputs = await self._run_stages(engine)
            engine = await self._confirm_engine(engine)
            if engine is None:
                break
            end = await self._exchanges.send(engine, inputs)
            end = await self._continue_elsewhere(engine, end)
            if end is RelayEnd.COMPLETE:
                self._services.crash_watch.record_completed(self._call)
                return self._answer.finished()
            if end is RelayEnd.CALLER_GONE:
                raise CallerDisconnectedError
            failed = engine
            engine = await self._next_engine(failed)
            if engine is None:
                break
            self._prepare_next_engine(failed)
        return self._final_refusal()

    async def _continue_elsewhere(self, engine: WorkerRecord, end: RelayEnd) -> RelayEnd:
        """Continue a stream at the engines that the failover finds after a silence or failure."""
        while end in (RelayEnd.BROKEN, RelayEnd.FAILED):
            if (begun := await self._failover.take(begins=self._answer.prepared)) is None:
                break
            self._log_resumption(engine, begun.attempt.worker.worker_id)
            engine = begun.attempt.worker
            end = await self._exchanges.continue_at(begun)
        return end

    async def _next_engine(self, failed: WorkerRecord) -> WorkerRecord | None:
        """Return the engine to prepare next, or ``None`` if the call must not be sent again."""
        if clock.now() >= self._call.end_at or not self._exchanges.may_try_another:
            return None
        if engine := self._usable_or_other(failed):
            return engine
        return self._usable_or_other(failed) if await self._turns.wait_for_room() else None

    async def _confirm_engine(self, chosen: WorkerRecord) -> WorkerRecord | None:
        """Return the engine to send the call to now, or ``None`` if it must not be sent."""
        crash_watch = self._services.crash_watch
        if await crash_watch.wait_for_verdict(self._call):
            return None
        self._admission.drain.record_ready()
        if not self._fits_drain():
            return None
        self._admission.drain.write()
        engine = self._usable_or_other(chosen)
        if engine is None or clock.now() >= self._call.end_at:
            return None
        if not self._services.try_start_attempt(self._call):
            return None
        engine = await self._wait_for_turn(engine)
        if clock.now() >= self._call.end_at or not self._fits_drain():
            return None
        return None if crash_watch.quarantine_seconds_left(self._call) else engine

    def _fits_drain(self) -> bool:
        return self._answer.prepared or self._admission.drain.fits()

    async def _wait_for_turn(self, chosen: WorkerRecord) -> WorkerRecord | None:
        """Wait for a turn to read the prompt; return the engine of the grant."""
        self._call.step = CallStep.ENGINE_GRANT
        turn = await self._turns.wait_for_turn(chosen, has_results=self._plan.has_pieces)
        engine = turn.engine
        self._limit_wait = turn.wait if engine is None else None
        self._refused_by_queue = turn.refused
        if engine is not None and engine.worker_id != chosen.worker_id:
            self._assignment.assign(engine)
        return engine

    def _may_send(self, engine: WorkerRecord) -> bool:
        return self._services.availability.may_send_call(self._call, engine)

    def _usable_or_other(self, engine: WorkerRecord) -> WorkerRecord | None:
        tried = engine.worker_id in self._call.workers_tried
        if not tried and self._may_send(engine):
            return engine
        other = next(iter(self._admission.rank_engines()), None)
        if other is not None:
            self._assignment.assign(other)
        return other

    async def _run_stages(self, engine: WorkerRecord) -> tuple[str, ...]:
        if not self._plan.has_pieces:
            return ()
        if self._exchanges.stages is None:
            self._exchanges.stages = StageRun(
                self._call,
                self._plan,
                self._services.dispatch,
                self._services.crash_watch,
                self._services.log,
                engine.zone,
                self._admission.first_event_seconds(),
                self._admission.spread_seconds,
                self._answer.check_caller,
                returning=self._call.returning or self._call.precedence,
            )
        if self._plan.complete:
            return self._plan.final_handles()
        self._call.step = CallStep.STAGES
        handles, seconds = await self._timed_stages(self._exchanges.stages)
        self._services.metrics.stage_seconds.observe(seconds)
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
        """Run the stages and update the estimate of their forecast's error."""
        route, forecast = self._call.route.name, self._admission.stages_forecast
        bias = self._services.forecast_bias
        started = clock.now()
        try:
            handles = await stages.run()
        except StageFailedError:
            now = clock.now()
            bias.observe_failed_call(route, forecast, now - started, now)
            raise
        now = clock.now()
        bias.observe_call(route, forecast, now - started, now)
        if forecast > 0:
            self._services.metrics.forecast_ratio.observe((now - started) / forecast)
        return handles, now - started

    def _prepare_next_engine(self, engine: WorkerRecord) -> None:
        """Schedule a rerun of freed stage results for the next engine, and log the failover."""
        stages = self._exchanges.stages
        # A search that was cancelled while it reran the stages leaves the results incomplete.
        if stages is not None and (stages.closed or not self._plan.complete):
            self._plan.reset_results()
            stages.reopen(promised=self._answer.prepared)
        self._log_resumption(engine)

    def _log_resumption(self, left: WorkerRecord, taken: str | None = None) -> None:
        self._services.log.write(
            LogEvent.STREAM_RESUMED,
            call=self._call.call_id,
            worker=left.worker_id,
            taken=taken,
            last_event=self._exchanges.resume_after,
        )

    def _final_refusal(self) -> web.StreamResponse | Refusal:
        if self._answer.prepared:
            raise self._cut_stream("deadline" if clock.now() >= self._call.end_at else "engine")
        if (failure := self.fallback.take()) is not None:
            return failure
        if self._call.may_have_run:
            overdue = clock.now() >= self._call.end_at
            code = ResultCode.DEADLINE_EXCEEDED if overdue else ResultCode.WORKER_LOST
            return Refusal(code)
        if wait := self._services.crash_watch.quarantine_seconds_left(self._call):
            return self._quarantine_refusal(wait)
        if not self._admission.drain.fits():
            return Refusal.draining("its stream would outlast the drain")
        if self._exchanges.stages is not None and self._exchanges.stages.started:
            return self._no_engine_refusal(ResultCode.STAGE_NOT_MADE, "no engine after the stages")
        if self._call.workers_tried:
            return self._no_engine_refusal(ResultCode.WORKERS_FULL)
        if self._limit_wait is not None:
            retry = max(MIN_RETRY_SECONDS, self._limit_wait)
            queued = self._refused_by_queue
            code = ResultCode.CAPACITY_SHORT if queued else ResultCode.WORKERS_LIMITED
            return Refusal(code, retry_after=retry)
        return self._no_engine_refusal(ResultCode.NO_BACKEND)

    def _cut_stream(self, failed: str, detail: str = "") -> ConnectionResetError:
        """Close the caller's connection in the middle of the answer; return the error to raise."""
        self._services.metrics.cut_streams.labels(failed).inc()
        self._services.log.write(
            LogEvent.STREAM_CUT,
            call=self._call.call_id,
            failed=failed,
            detail=detail,
            workers=self._call.workers_tried,
            resume_after=self._exchanges.resume_after,
            left=round(self._call.end_at - clock.now(), 3),
        )
        self._answer.abort()
        return ConnectionResetError("no engine is left to complete the stream")

    def _quarantine_refusal(self, wait: float) -> Refusal:
        return Refusal.quarantined(wait, self._services.crash_watch.quarantined_parts(self._call))

    def _no_engine_refusal(self, code: ResultCode, detail: str = "") -> Refusal:
        """Return the refusal of a call without an engine; common backoffs have precedence."""
        if refusal := self._services.backing_off_refusal(self._call):
            return refusal
        if refusal := self._services.requests_full_refusal(self._call):
            return refusal
        if not self._continuity.has_engine():
            code = ResultCode.STREAM_VERSION_UNAVAILABLE
        return Refusal(code, detail, retry_after=NO_ENGINE_RETRY_SECONDS)

    def _stage_refusal(self, error: StageFailedError) -> web.StreamResponse | Refusal:
        if self._answer.prepared:
            raise self._cut_stream("stages", error.detail) from error
        if (failure := self.fallback.take()) is not None:
            return failure
        if self._call.may_have_run:
            return Refusal(ResultCode.STAGE_FAILED, error.detail)
        if wait := self._services.crash_watch.quarantine_seconds_left(self._call):
            return self._quarantine_refusal(wait)
        if self._services.drain.signal_received:
            return Refusal.draining(error.detail)
        code = ResultCode.STAGE_NOT_MADE if error.started else ResultCode.CAPACITY_SHORT
        retry = max(MIN_RETRY_SECONDS, error.retry_after)
        return Refusal(code, error.detail, retry_after=retry)
