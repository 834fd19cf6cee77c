"""Chooses the engine of a streamed call and decides whether the call is admitted."""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.contracts.urgency import DownstreamOrder, Rank, downstream_rank
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import LogEvent
from corkcrank.node.callers.refusals import Refusal
from corkcrank.node.calls.services import DEFAULT_FIRST_EVENT_SECONDS, CallServices
from corkcrank.node.stages.stage_placing import stage_placing
from corkcrank.node.streams.drain_forecast import DrainForecast
from corkcrank.scheduling.call_admission import (
    AdmissionVerdict,
    ChainForecast,
    EngineForecast,
    StageForecast,
    decide_admission,
    forecast_chain,
    latest_return_seconds,
)
from corkcrank.scheduling.engine_choice import EngineQuestion
from corkcrank.scheduling.forecast_bias import ForecastCorrection
from corkcrank.scheduling.stage_plan import StagePlan
from corkcrank.scheduling.zone_overflow import find_overflow
from corkcrank.scheduling.zone_weights import engine_weights

LIMITED_PENALTY_TOKENS = 6_000.0
"""Penalty of a rate-limited engine in the choice of a call's zone, in prompt tokens."""


class StreamAdmission:
    """Decides the admission of one call from the current views of workers and load."""

    def __init__(self, call: OpaqueCall, services: CallServices, plan: StagePlan) -> None:
        self._call = call
        self._services = services
        self._plan = plan
        self.stages_forecast = 0.0
        self.correction = 1.0
        self.spread_seconds = 0.0
        self.drain = DrainForecast(call, services)
        self._forecasts: dict[tuple[int, str, bool], StageForecast | None] = {}

    def first_event_seconds(self) -> float:
        """Return the mean time of the service's engines to a first event, in seconds."""
        return self._services.first_event_times.mean_seconds(
            self._call.service, DEFAULT_FIRST_EVENT_SECONDS
        )

    def _engine_forecast(self, wait: float) -> EngineForecast:
        """Return the forecast time to a first event after a wait, with its standard deviation."""
        spread = self._services.first_event_times.spread_seconds(self._call.service)
        return EngineForecast(wait + self.first_event_seconds(), spread)

    def _engine_wait(self, zone: str, rank: Rank) -> float:
        return self._services.prefill_grants.wait_seconds(self._call.service, zone, rank)

    def _first_in_time(self, engines: list[WorkerRecord]) -> WorkerRecord:
        """Return the first engine whose zone's queue is short enough, or that of the shortest.

        The owner of that zone's queue then grants an engine or refuses the call.
        """
        rank = self._call.queue_rank
        waits = {zone: self._engine_wait(zone, rank) for zone in {item.zone for item in engines}}
        longest = self._call.due_at - clock.now() - self.first_event_seconds()
        for engine in engines:
            if waits[engine.zone] <= longest:
                return engine
        return min(engines, key=lambda item: waits[item.zone])

    def rank_engines(self) -> list[WorkerRecord]:
        """Return the engines that the call may be sent to, best first."""
        call, services = self._call, self._services
        workers = services.mirror.workers
        engines = workers.usable_workers(call.service)
        stages = [workers.usable_workers(stage.service) for stage in call.route.stages]
        long = services.prompt_sizes.has_long_prompts(call.route.name)
        penalties = services.isolation.penalties(engines, long=long, now=clock.now())
        limited = services.limits.limited(engines, clock.now())
        if limited:
            # A rate-limited engine gets few calls and looks idle, which would attract calls to its
            # zone.
            penalties = dict(penalties)
            for engine in limited:
                known = penalties.get(engine.worker_id, 0.0)
                penalties[engine.worker_id] = known + LIMITED_PENALTY_TOKENS
        pace, configuration = services.prefill_pace, services.mirror.configuration
        question = EngineQuestion(
            prompt=call.envelope.prompt,
            excluded=call.excluded_workers,
            weights=engine_weights(engines, stages),
            penalties=penalties,
            max_consecutive_tokens=pace.max_consecutive_tokens_for_routes(
                configuration, call.service
            ),
            repeatable=call.route.idempotent,
            factors=services.paces.factors(
                [engine.worker_id for engine in engines], call.service, clock.now()
            ),
        )
        allowed = [
            engine
            for engine in engines
            if call.may_continue_at(engine) and call.allows_attempt_at(engine)
        ]
        silent = services.worker_statistics.silent_ids(
            [engine.worker_id for engine in allowed], clock.now()
        )
        allowed = [engine for engine in allowed if engine.worker_id not in silent]
        return services.engines.rank(allowed, question, services.worker_statistics, clock.now())

    def may_continue_later(self) -> bool:
        """Return whether a listed engine may continue the call's stream before the deadline.

        It may be silent now, be in backoff, or have rejected the call because it was full.
        """
        call, services, now = self._call, self._services, clock.now()
        kept = call.returnable_workers.union(call.rejected_at)
        spent = {item for item in call.workers_tried if item not in kept}
        return any(
            engine.worker_id not in spent
            and call.may_continue_at(engine)
            and call.allows_attempt_at(engine)
            and not services.worker_statistics.has_left(engine.worker_id, now)
            and now + services.availability.backoff_seconds(engine, now) < call.end_at
            for engine in services.mirror.workers.usable_workers(call.service)
        )

    def admit(self, engines: list[WorkerRecord]) -> WorkerRecord | Refusal:
        """Return the first engine whose zone can run the stages in time, or refuse the call.

        No stage has started at this point. Zones are evaluated in the order of the engines, so that
        a session stays with its engine as long as the zone meets the objective.
        """
        if not self._plan.has_pieces:
            engine = self._first_in_time(engines)
            wait = self._engine_wait(engine.zone, self._call.queue_rank)
            return self._admit_until_stop(engine, wait)
        correction = self._services.forecast_bias.for_route(self._call.route.name, clock.now())
        self.correction = correction.factor
        verdicts: dict[str, AdmissionVerdict] = {}
        self._forecasts.clear()
        for engine in engines:
            if engine.zone not in verdicts:
                verdicts[engine.zone] = self._evaluate_zone(engine.zone, correction)
            verdict = verdicts[engine.zone]
            if verdict.admitted:
                self.stages_forecast = verdict.stages_seconds
                self.spread_seconds = verdict.spread_seconds
                self._record_decision(refused=False)
                self._record_overflow(verdicts)
                wait = self._engine_wait(engine.zone, self._engine_rank())
                return self._admit_until_stop(
                    engine, verdict.stages_seconds * correction.factor + wait
                )
        self._record_decision(refused=True)
        verdict = min(verdicts.values(), key=lambda item: item.forecast_seconds)
        self._log_refusal(verdict)
        return Refusal(
            ResultCode.CAPACITY_SHORT,
            f"needs {verdict.forecast_seconds:.2f} s",
            retry_after=self._seconds_to_return(verdict, verdicts, correction),
        )

    def _admit_until_stop(
        self, engine: WorkerRecord, seconds_to_engine: float
    ) -> WorkerRecord | Refusal:
        """Return the engine, or refuse the call if its stream may begin too late in a drain."""
        self.drain.expect_ready(seconds_to_engine)
        if not self.drain.fits():
            return Refusal.draining("would outlast the drain")
        self.drain.write()
        return engine

    def _record_decision(self, *, refused: bool) -> None:
        shares, route = self._services.refusal_shares, self._call.route.name
        shares.observe_decision(route, refused=refused, now=clock.now())

    def _refused_share(self) -> float:
        """Return the share of the route's calls that are refused, 0 unless callers compete."""
        if not self._services.features.competing_callers:
            return 0.0
        return self._services.refusal_shares.for_route(self._call.route.name, clock.now())

    async def find_claim(self) -> None:
        """Look up whether the call returns on time with a claim, which gives it precedence."""
        call, services = self._call, self._services
        if services.features.return_claims and call.may_hold_claim and self._plan.has_pieces:
            call.claimed = await services.return_offers.keeper.find(call)

    def _seconds_to_return(
        self, verdict: AdmissionVerdict, zones: Iterable[str], correction: ForecastCorrection
    ) -> float:
        """Return the refused caller's retry time; create a claim if the return would be in time."""
        call = self._call
        if not self._services.features.return_claims:
            return verdict.retry_after
        objective, rank = call.due_at - clock.now(), self._engine_rank()
        latest = max(
            latest_return_seconds(
                self._forecast_zone(zone, claimed=True),
                correction,
                self._engine_forecast(self._engine_wait(zone, rank)),
                objective,
            )
            for zone in zones
        )
        return self._services.return_offers.seconds_to_return(call, self._plan, verdict, latest)

    def _engine_rank(self) -> Rank:
        return downstream_rank(self._call.queue_rank, DownstreamOrder.DUE)

    def _claimed_pieces(self, service: str) -> int:
        """Return the claimed pieces that precede a new call at a stage service."""
        if not self._services.features.return_claims:
            return 0
        return self._services.return_offers.keeper.pieces_up_to(service, self._call.queue_rank)

    def _evaluate_zone(self, zone: str, correction: ForecastCorrection) -> AdmissionVerdict:
        call = self._call
        now = clock.now()
        chain = self._forecast_zone(zone, claimed=call.claimed)
        wait = self._engine_wait(zone, self._engine_rank())
        return decide_admission(
            replace(chain, queued=max(chain.queued, wait)),
            correction,
            self._engine_forecast(wait),
            call.due_at - now,
            call.end_at - now,
            returning=call.returning or call.precedence,
            refused_share=self._refused_share(),
        )

    def _forecast_zone(self, zone: str, *, claimed: bool) -> ChainForecast:
        return forecast_chain(
            self._call.route.stages,
            self._plan.counts,
            lambda stage: self._cached_forecast(stage, zone, claimed),
        )

    def _cached_forecast(self, stage: int, zone: str, claimed: bool) -> StageForecast | None:
        """Return a stage's forecast. The zone matters only if the engine reads the results."""
        reader_zone = "" if self._plan.reader_stages(stage) else zone
        key = stage, reader_zone, claimed
        if key not in self._forecasts:
            self._forecasts[key] = self._compute_forecast(*key)
        return self._forecasts[key]

    def _compute_forecast(
        self, stage: int, reader_zone: str, claimed: bool
    ) -> StageForecast | None:
        dispatch = self._services.dispatch
        placing = stage_placing(self._plan, dispatch, self._call, stage, self._plan.counts[stage])
        return dispatch.forecast_future_pieces(
            replace(placing, reader_zone=reader_zone, next_stage_wait=None, claimed=claimed),
            self._claimed_pieces(placing.service),
        )

    def _record_overflow(self, verdicts: Mapping[str, AdmissionVerdict]) -> None:
        """Log and count an admitted call that runs outside its first zone."""
        services, call = self._services, self._call
        overflow = find_overflow(verdicts)
        names = [call.service, *(stage.service for stage in call.route.stages)]
        if overflow is None or not any(services.weighs_zones(name) for name in names):
            return
        services.log.write(
            LogEvent.CALL_LEFT_ZONE,
            call=call.call_id,
            route=call.route.name,
            left=overflow.left_zone,
            left_needed=round(overflow.left.forecast_seconds, 3),
            left_slack=round(overflow.left.slack_seconds, 3),
            taken=overflow.taken_zone,
            taken_needed=round(overflow.taken.forecast_seconds, 3),
            taken_slack=round(overflow.taken.slack_seconds, 3),
            result_bytes=self._plan.final_result_bytes(),
            news_age=round(self._oldest_news_seconds(), 3),
        )
        pair = services.zone_pairs.counted_pair(overflow.left_zone, overflow.taken_zone)
        services.metrics.calls_left_zone.labels(*pair).inc()

    def _oldest_news_seconds(self) -> float:
        """Return the age of the oldest report on the workers of the call's stages, in seconds."""
        dispatch, workers = self._services.dispatch, self._services.mirror.workers
        ages = [
            dispatch.news_age(worker)
            for stage in self._call.route.stages
            for worker in workers.usable_workers(stage.service)
        ]
        return max((age for age in ages if age is not None), default=0.0)

    def _log_refusal(self, verdict: AdmissionVerdict) -> None:
        self._services.log.write(
            LogEvent.CALL_REFUSED,
            call=self._call.call_id,
            route=self._call.route.name,
            needed=round(verdict.forecast_seconds, 3),
            slack=round(verdict.slack_seconds, 3),
            spread=round(verdict.spread_seconds, 3),
            returning=self._call.returning,
            resumes=self._call.resumes_stream,
            left=round(self._call.caller_end_at - clock.now(), 3),
            retry_after=round(verdict.retry_after, 3),
            members=self._services.fleet.share_member_count(),
        )
