"""A call whose answer is a stream of events: admission, stages, relay, resume."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace

from aiohttp import web

from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.gateway.opaque.attempts import Attempt, AttemptOutcome, attempt_call
from corkcrank.gateway.opaque.refusals import Refusal
from corkcrank.gateway.opaque.services import FIRST_EVENT_SECONDS, CallServices
from corkcrank.gateway.opaque.stage_run import StageFailedError, StageRun, stage_placing
from corkcrank.gateway.opaque.stream_relay import RelayEnd, StreamRelay
from corkcrank.links.decision_log import LogEvent
from corkcrank.scheduling.call_admission import (
    RETURNING_SHARE,
    SHORTEST_RETRY,
    AdmissionVerdict,
    admit,
    forecast_chain,
)
from corkcrank.scheduling.engine_choice import EngineQuestion
from corkcrank.scheduling.prefill_isolation import isolation_penalties
from corkcrank.scheduling.stage_lane import LaneForecast
from corkcrank.scheduling.stage_plan import StagePlan
from corkcrank.scheduling.worker_choice import WorkerStanding
from corkcrank.scheduling.zone_weights import engine_weights

ADMISSION_MARGIN = 0.9
"""Share of the objective that a forecast may use."""

LEAST_FIRST_EVENT_SECONDS = 1.2
"""A resumable stream is never moved earlier for want of a first event."""


class StreamRun:
    """Serves one streamed call."""

    def __init__(self, call: OpaqueCall, services: CallServices, request: web.BaseRequest) -> None:
        self._call = call
        self._services = services
        self._relay = StreamRelay(call, services, request)
        self._plan = StagePlan(call.route.stages, call.envelope.piece_counts)
        self._stages: StageRun | None = None
        self._may_have_run = False
        self._assigned: WorkerStanding | None = None
        self._unread = 0

    async def run(self) -> web.StreamResponse | Refusal:
        """Return the finished answer, or why there is none."""
        tokens = self._call.envelope.prompt.tokens_in
        self._services.prompt_sizes.learn(self._call.route.name, tokens)
        engines = self._rank_engines()
        if not engines:
            return Refusal(ResultCode.NO_BACKEND, retry_after=SHORTEST_RETRY * 3)
        engine = self._admit(engines)
        if isinstance(engine, Refusal):
            return engine
        self._assign(engine)
        try:
            return await self._run_admitted(engine)
        except StageFailedError as error:
            return self._stage_refusal(error)
        finally:
            self._unassign()
            if self._stages is not None:
                self._stages.close()

    def _assign(self, engine: WorkerRecord) -> None:
        """Count the call, and what is to be read of its prompt, at an engine."""
        self._unassign()
        standing = self._services.book.of(engine.worker_id)
        unread = self._services.engines.unread_tokens(engine.worker_id, self._call.envelope.prompt)
        standing.in_flight += 1
        standing.reading += unread
        self._assigned, self._unread = standing, unread

    def _has_read(self) -> None:
        """Count the prompt as read."""
        if self._assigned is not None:
            self._assigned.reading -= self._unread
            self._unread = 0

    def _unassign(self) -> None:
        if self._assigned is not None:
            self._has_read()
            self._assigned.in_flight -= 1
            self._assigned = None

    async def _run_admitted(self, engine: WorkerRecord) -> web.StreamResponse | Refusal:
        call = self._call
        service = call.service
        for number in range(call.route.maximum_attempts):
            inputs = await self._run_stages(engine)
            current = self._still_usable(engine)
            if current is None:
                break
            if current is not engine:
                engine = current
                self._assign(engine)
            now = time.monotonic()
            if now >= call.end_at:
                break
            if number == 0:
                self._services.budget(service).record_first(now)
            elif not self._services.may_repeat(service):
                break
            attempt = await self._attempt(engine, inputs)
            if attempt.outcome is AttemptOutcome.ANSWERED:
                self._may_have_run = True
                end = await self._relay.relay(attempt, self._first_event_patience())
                if end is RelayEnd.COMPLETE:
                    self._learn(engine)
                    return self._relay.finished()
                if end is RelayEnd.CALLER_GONE:
                    raise ConnectionResetError("the caller has left")
            elif attempt.outcome is AttemptOutcome.LOST:
                self._may_have_run = True
            elif attempt.lost_inputs:
                self._services.fetch_delay(service).missed()
                self._plan.redo_all()
            if not self._may_go_on():
                break
            self._after_failure(engine)
        return self._give_up()

    def _rank_engines(self) -> list[WorkerRecord]:
        call = self._call
        workers = self._services.mirror.workers
        engines = workers.usable(call.service)
        stages = [workers.usable(stage.service) for stage in call.route.stages]
        long = self._services.prompt_sizes.is_long(call.route.name)
        question = EngineQuestion(
            prompt=call.envelope.prompt,
            excluded=call.workers_tried,
            weights=engine_weights(engines, stages),
            penalties=isolation_penalties(engines, long=long),
        )
        return self._services.engines.rank(engines, question, self._services.book, time.monotonic())

    def _still_usable(self, engine: WorkerRecord) -> WorkerRecord | None:
        record = self._services.mirror.workers.get(engine.worker_id)
        standing = self._services.book.of(engine.worker_id)
        tried = engine.worker_id in self._call.workers_tried
        if record is not None and not record.leaving and not standing.leaving and not tried:
            return record
        return next(iter(self._rank_engines()), None)

    def _admit(self, engines: list[WorkerRecord]) -> WorkerRecord | Refusal:
        """Return the first engine whose zone can feed it in time, or refuse at once.

        Nothing has been begun yet. Zones are asked in the order of the engines, so a
        session stays with its engine as long as the zone keeps the objective.
        """
        if not self._plan.any_work:
            return engines[0]
        verdicts: dict[str, AdmissionVerdict] = {}
        for engine in engines:
            if engine.zone not in verdicts:
                verdicts[engine.zone] = self._judge_zone(engine.zone)
            if verdicts[engine.zone].admitted:
                return engine
        verdict = min(verdicts.values(), key=lambda item: item.forecast_seconds)
        self._log_refusal(verdict)
        return Refusal(
            ResultCode.CAPACITY_SHORT,
            f"needs {verdict.forecast_seconds:.2f} s",
            retry_after=verdict.retry_after,
        )

    def _judge_zone(self, zone: str) -> AdmissionVerdict:
        call = self._call
        now = time.monotonic()
        chain = forecast_chain(
            call.route.stages, self._plan.counts, lambda stage: self._forecast(stage, zone)
        )
        return admit(
            chain,
            self._engine_seconds(),
            call.objective_at - now,
            call.end_at - now,
            ADMISSION_MARGIN,
            returning=self._returning(),
        )

    def _forecast(self, stage: int, zone: str) -> LaneForecast | None:
        dispatch = self._services.dispatch
        placing = stage_placing(self._plan, dispatch, self._call, stage, self._plan.counts[stage])
        reader_zone = "" if self._plan.readers(stage) else zone
        choice = dispatch.choose(replace(placing, reader_zone=reader_zone, ahead=None), ())
        if choice is None:
            return None
        coming = dispatch.coming_seconds(placing.service, self._call.rank)
        return LaneForecast(choice[1].start + coming, choice[1].end + coming)

    def _returning(self) -> bool:
        budget = self._call.envelope.budget_seconds
        return budget is not None and budget < RETURNING_SHARE * self._call.route.timeout

    def _engine_seconds(self) -> float:
        return self._services.first_event_times.of(self._call.service, FIRST_EVENT_SECONDS)

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
                self._engine_seconds(),
                returning=self._returning(),
            )
        if self._plan.complete:
            return self._plan.final_handles()
        started = time.monotonic()
        handles = await self._stages.run()
        self._services.metrics.stage_wait.observe(time.monotonic() - started)
        self._services.log.write(
            LogEvent.STAGE_ENDED,
            call=self._call.call_id,
            seconds=round(time.monotonic() - started, 3),
            results=len(handles),
        )
        return handles

    async def _attempt(self, engine: WorkerRecord, inputs: tuple[str, ...]) -> Attempt:
        call = self._call
        now = time.monotonic()
        prompt = call.envelope.prompt
        capacity = self._engine_tokens()
        self._services.engines.sent(engine.worker_id, capacity, prompt.shared_parts, now)
        self._services.prefix_news.add(engine.worker_id, prompt, now)
        self._relay.on_first_event = self._first_event(now)
        timer = self._free_after_fetch(engine)
        try:
            attempt = await attempt_call(
                self._services,
                call,
                engine,
                self._first_event_patience(),
                fresh=False,
                inputs=inputs,
                resume_after=self._relay.resume_after,
            )
        finally:
            if timer is not None:
                timer.cancel()
        head_seconds = time.monotonic() - now
        self._services.log.write(LogEvent.HEAD, call=call.call_id, seconds=round(head_seconds, 3))
        return attempt

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
            seconds = time.monotonic() - sent_at
            self._has_read()
            self._services.first_event_times.learn(self._call.service, seconds)
            self._services.fetch_delay(self._call.service).found()
            self._services.log.write(
                LogEvent.FIRST_EVENT,
                call=self._call.call_id,
                seconds=round(seconds, 3),
                late=round(time.monotonic() - self._call.objective_at, 3),
            )
            if self._stages is not None:
                self._stages.close()

        return note

    def _engine_tokens(self) -> int:
        configuration = self._services.mirror.configuration
        profile = configuration.service(self._call.service) if configuration else None
        return profile.engine.cache_tokens if profile and profile.engine else 0

    def _first_event_patience(self) -> float:
        left = self._call.end_at - time.monotonic()
        if not self._call.route.idempotent:
            return left
        return min(left, max(LEAST_FIRST_EVENT_SECONDS, 4 * self._engine_seconds()))

    def _may_go_on(self) -> bool:
        """Return whether another worker may be tried after what is known now."""
        if self._call.route.idempotent:
            return True
        return not self._may_have_run

    def _after_failure(self, engine: WorkerRecord) -> None:
        """Make results again that were freed at the first event."""
        if self._stages is not None and self._stages.closed:
            self._plan.redo_all()
            self._stages.closed = False
        self._services.log.write(
            LogEvent.STREAM_MOVED,
            call=self._call.call_id,
            worker=engine.worker_id,
            last_event=self._relay.resume_after,
        )

    def _learn(self, engine: WorkerRecord) -> None:
        self._services.log.write(
            LogEvent.STREAM_ENDED,
            call=self._call.call_id,
            worker=engine.worker_id,
            longest_pause=round(self._relay.longest_pause, 3),
        )
        self._services.book.of(engine.worker_id).avoid_until = 0.0

    def _give_up(self) -> web.StreamResponse | Refusal:
        if self._relay.prepared:
            self._relay.break_off()
            raise ConnectionResetError("the stream cannot be finished")
        now = time.monotonic()
        if now >= self._call.end_at:
            return Refusal(ResultCode.DEADLINE_EXCEEDED)
        if self._may_have_run:
            return Refusal(ResultCode.WORKER_LOST)
        code = ResultCode.WORKERS_FULL if self._call.workers_tried else ResultCode.NO_BACKEND
        return Refusal(code, retry_after=SHORTEST_RETRY * 3)

    def _stage_refusal(self, error: StageFailedError) -> web.StreamResponse | Refusal:
        if self._relay.prepared:
            self._relay.break_off()
            raise ConnectionResetError("the stream cannot be finished") from error
        if error.started or self._may_have_run:
            return Refusal(ResultCode.STAGE_FAILED, error.detail)
        retry = max(SHORTEST_RETRY, error.retry_after)
        return Refusal(ResultCode.CAPACITY_SHORT, error.detail, retry_after=retry)

    def _log_refusal(self, verdict: AdmissionVerdict) -> None:
        self._services.log.write(
            LogEvent.CALL_REFUSED,
            call=self._call.call_id,
            route=self._call.route.name,
            needed=round(verdict.forecast_seconds, 3),
            slack=round(verdict.slack_seconds, 3),
            retry_after=round(verdict.retry_after, 3),
        )
