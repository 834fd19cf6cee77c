"""Which engine a streamed call goes to, and whether it may begin at all."""

from dataclasses import replace

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import LogEvent
from corkcrank.node.callers.refusals import Refusal
from corkcrank.node.calls.services import FIRST_EVENT_SECONDS, CallServices
from corkcrank.node.stages.stage_placing import stage_placing
from corkcrank.scheduling.call_admission import (
    AdmissionVerdict,
    EngineForecast,
    StageForecast,
    decide_admission,
    forecast_chain,
)
from corkcrank.scheduling.engine_choice import EngineQuestion
from corkcrank.scheduling.forecast_bias import ForecastCorrection
from corkcrank.scheduling.stage_plan import StagePlan
from corkcrank.scheduling.zone_weights import engine_weights

LIMITED_TOKENS = 6_000.0
"""Tokens that an engine's rate limit counts as where a call's zone is chosen."""


class StreamAdmission:
    """Decides for one call from the views of this moment."""

    def __init__(self, call: OpaqueCall, services: CallServices, plan: StagePlan) -> None:
        self._call = call
        self._services = services
        self._plan = plan
        self.stages_forecast = 0.0
        self.correction = 1.0
        self.spread_seconds = 0.0
        self._forecasts: dict[tuple[int, str], StageForecast | None] = {}

    def engine_seconds(self) -> float:
        """Return the usual time of the service's engines to a first event."""
        return self._services.first_event_times.of(self._call.service, FIRST_EVENT_SECONDS)

    def _engine_forecast(self) -> EngineForecast:
        """Return the same with its spread."""
        spread = self._services.first_event_times.spread_of(self._call.service)
        return EngineForecast(self.engine_seconds(), spread)

    def ends_before_stop(self, stages_seconds: float = 0.0) -> bool:
        """Return whether the stream would end before this gateway, if it is stopping, does.

        ``stages_seconds`` is what the stages still take.
        """
        drain = self._services.drain
        if not drain.begun:
            return True
        needed = stages_seconds + self.engine_seconds() + self._stream_seconds()
        return clock.now() + needed <= drain.stop_at

    def _stream_seconds(self) -> float:
        call = self._call
        return self._services.stream_times.usual_seconds(
            call.route.name, call.envelope.prompt.tokens_out
        )

    def log_time_left(self, stages_seconds: float = 0.0) -> None:
        """Log what is foreseen for a call that goes on although this gateway stops."""
        drain = self._services.drain
        if not drain.begun:
            return
        self._services.log.write(
            LogEvent.CALL_ADMITTED_STOPPING,
            call=self._call.call_id,
            route=self._call.route.name,
            stages=round(stages_seconds, 3),
            engine=round(self.engine_seconds(), 3),
            stream=round(self._stream_seconds(), 3),
            tokens=self._call.envelope.prompt.tokens_out,
            left=round(drain.stop_at - clock.now(), 3),
        )

    def rank_engines(self) -> list[WorkerRecord]:
        """Return the engines that may be tried, the best first."""
        call, services = self._call, self._services
        workers = services.mirror.workers
        engines = workers.usable(call.service)
        stages = [workers.usable(stage.service) for stage in call.route.stages]
        long = services.prompt_sizes.has_long_prompts(call.route.name)
        penalties = services.isolation.penalties(engines, long=long)
        limited = services.limits.limited(engines, clock.now())
        if limited:
            # An engine that is sent little looks idle, and draws calls to its zone.
            penalties = dict(penalties)
            for engine in limited:
                known = penalties.get(engine.worker_id, 0.0)
                penalties[engine.worker_id] = known + LIMITED_TOKENS
        pace, configuration = services.prefill_pace, services.mirror.configuration
        question = EngineQuestion(
            prompt=call.envelope.prompt,
            excluded=call.workers_tried,
            weights=engine_weights(engines, stages),
            penalties=penalties,
            max_consecutive_tokens=pace.max_consecutive_tokens_for_routes(
                configuration, call.service
            ),
            repeatable=call.route.idempotent,
        )
        return services.engines.rank(engines, question, services.worker_statistics, clock.now())

    def admit(self, engines: list[WorkerRecord]) -> WorkerRecord | Refusal:
        """Return the first engine whose zone can feed it in time, or refuse at once.

        Nothing has been begun yet. Zones are asked in the order of the engines, so a
        session stays with its engine as long as the zone keeps the objective.
        """
        if not self._plan.has_pieces:
            if not self.ends_before_stop():
                return _outlasts_drain()
            self.log_time_left()
            return engines[0]
        correction = self._services.forecast_bias.for_route(self._call.route.name, clock.now())
        self.correction = correction.factor
        verdicts: dict[str, AdmissionVerdict] = {}
        self._forecasts.clear()
        for engine in engines:
            if engine.zone not in verdicts:
                verdicts[engine.zone] = self._judge_zone(engine.zone, correction)
            verdict = verdicts[engine.zone]
            if verdict.admitted:
                self.stages_forecast = verdict.stages_seconds
                self.spread_seconds = verdict.spread_seconds
                if not self.ends_before_stop(verdict.stages_seconds * correction.factor):
                    return _outlasts_drain()
                self.log_time_left(verdict.stages_seconds * correction.factor)
                return engine
        verdict = min(verdicts.values(), key=lambda item: item.forecast_seconds)
        self._log_refusal(verdict)
        return Refusal(
            ResultCode.CAPACITY_SHORT,
            f"needs {verdict.forecast_seconds:.2f} s",
            retry_after=verdict.retry_after,
        )

    def _judge_zone(self, zone: str, correction: ForecastCorrection) -> AdmissionVerdict:
        call = self._call
        now = clock.now()
        chain = forecast_chain(
            call.route.stages, self._plan.counts, lambda stage: self._forecast(stage, zone)
        )
        return decide_admission(
            chain,
            correction,
            self._engine_forecast(),
            call.objective_at - now,
            call.end_at - now,
            returning=self._call.returning,
        )

    def _forecast(self, stage: int, zone: str) -> StageForecast | None:
        """Return the forecast of a stage; zones matter where the engine reads its results."""
        reader_zone = "" if self._plan.reader_stages(stage) else zone
        if (stage, reader_zone) not in self._forecasts:
            self._forecasts[stage, reader_zone] = self._expected(stage, reader_zone)
        return self._forecasts[stage, reader_zone]

    def _expected(self, stage: int, reader_zone: str) -> StageForecast | None:
        dispatch = self._services.dispatch
        placing = stage_placing(self._plan, dispatch, self._call, stage, self._plan.counts[stage])
        return dispatch.expected(replace(placing, reader_zone=reader_zone, next_stage_wait=None))

    def _log_refusal(self, verdict: AdmissionVerdict) -> None:
        self._services.log.write(
            LogEvent.CALL_REFUSED,
            call=self._call.call_id,
            route=self._call.route.name,
            needed=round(verdict.forecast_seconds, 3),
            slack=round(verdict.slack_seconds, 3),
            spread=round(verdict.spread_seconds, 3),
            returning=self._call.returning,
            retry_after=round(verdict.retry_after, 3),
            members=self._services.fleet.share_members(),
        )


def _outlasts_drain() -> Refusal:
    return Refusal.draining("would outlast the drain")
