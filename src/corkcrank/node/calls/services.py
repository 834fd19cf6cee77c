"""Services shared by all calls of a node: views, clients, budgets, logs and measured times."""

import math
import random
from collections import Counter
from dataclasses import dataclass, field

from corkcrank.contracts import clock
from corkcrank.contracts.node_settings import NodeBoundSettings, NodeLimitSettings
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.contracts.scheduling_features import SchedulingFeatures
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.platform_ports import PlatformPorts
from corkcrank.links.silence import SilenceListener, ignore_silence
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.node.callers.body_admission import BodyAdmission
from corkcrank.node.callers.drain import DrainSchedule
from corkcrank.node.callers.reader_watch import ReaderWatch
from corkcrank.node.callers.refusals import Refusal
from corkcrank.node.engines.prefill_client import PrefillGrantClient
from corkcrank.node.engines.prompt_queues import PromptQueues
from corkcrank.node.engines.prompt_reports import PromptReports
from corkcrank.node.limits.limit_grants import LimitGrantClient
from corkcrank.node.limits.worker_leases import WorkerLeases
from corkcrank.node.limits.worker_limits import WorkerLimits
from corkcrank.node.origins.origin_directory import OriginDirectory
from corkcrank.node.returns.return_offers import ReturnOffers
from corkcrank.node.stages.stage_dispatch import StageDispatch
from corkcrank.node.telemetry.metrics import NodeMetrics
from corkcrank.node.workers.crash_watch import CrashWatch
from corkcrank.node.workers.link_monitor import LinkMonitor
from corkcrank.node.workers.liveness import LivenessProbes
from corkcrank.node.workers.worker_availability import WorkerAvailability
from corkcrank.node.workers.worker_client import WorkerClient
from corkcrank.node.workers.worker_health import WorkerHealth
from corkcrank.node.workers.worker_statements import WorkerStatements
from corkcrank.scheduling.answer_budget import AnswerBudget, answers_bound_bytes
from corkcrank.scheduling.engine_choice import EngineChooser
from corkcrank.scheduling.fetch_delay import FetchDelay
from corkcrank.scheduling.fleet_retry_budget import FleetRetryBudget
from corkcrank.scheduling.forecast_bias import ForecastBias
from corkcrank.scheduling.prefill_isolation import PrefillIsolation, PromptSizes
from corkcrank.scheduling.prefill_pace import PrefillPace
from corkcrank.scheduling.recent_prefixes import RecentPrefixes
from corkcrank.scheduling.refusal_shares import RefusalShares
from corkcrank.scheduling.resumption_share import ResumptionShare
from corkcrank.scheduling.return_times import ReturnTimes
from corkcrank.scheduling.stream_times import StreamTimes
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable
from corkcrank.scheduling.worker_outcomes import CallOutcome
from corkcrank.scheduling.worker_pace import WorkerPaces
from corkcrank.scheduling.zone_overflow import CountedZonePairs

TIME_WEIGHT = 0.15
"""Weight of the newest measurement in an exponentially weighted mean time."""

DEFAULT_FIRST_EVENT_SECONDS = 0.25
"""Time to a first event assumed before the first measurement, in seconds."""

DEFAULT_PLAIN_SECONDS = 0.1
"""Time of a plain answer assumed before the first measurement, in seconds."""


MAX_LOGGED_WORKERS = 8
"""Maximum number of workers in one log line."""

REQUESTS_FULL_RETRY_SECONDS = 1.0
"""Retry time in seconds while every worker is at its bound of unanswered request bytes. Workers
that read so slowly rarely answer sooner."""

REQUESTS_FULL_DETAIL = "the unanswered requests at every worker are at their bound in bytes"

MIN_CALL_SECONDS = 0.001
"""Lower bound of the mean call duration when rates are computed, in seconds."""


@dataclass(slots=True)
class MeanTimes:
    """Exponentially weighted means by service, in seconds, and their standard deviations."""

    _means: dict[str, float] = field(default_factory=dict)
    _variances: dict[str, float] = field(default_factory=dict)

    def observe_seconds(self, service: str, seconds: float) -> None:
        """Update the mean and the variance of a service with a measured time."""
        known = self._means.get(service, seconds)
        off = seconds - known
        self._means[service] = known + TIME_WEIGHT * off
        variance = self._variances.get(service, 0.0)
        self._variances[service] = (1.0 - TIME_WEIGHT) * (variance + TIME_WEIGHT * off * off)

    def mean_seconds(self, service: str, default: float) -> float:
        """Return the mean, or the default before the first measurement."""
        return self._means.get(service, default)

    def spread_seconds(self, service: str) -> float:
        """Return the standard deviation, 0 before the first measurement."""
        return math.sqrt(self._variances.get(service, 0.0))


@dataclass(slots=True)
class CallServices:
    """The services that calls use.

    ``drain`` is the schedule of a planned stop. ``closing_connections`` is set while this gateway
    closes connections on which calls may still wait.
    """

    ports: PlatformPorts
    mirror: StoreMirror
    fleet: Fleet
    worker_statistics: WorkerStatisticsTable
    availability: WorkerAvailability
    engines: EngineChooser
    dispatch: StageDispatch
    prefill_grants: PrefillGrantClient
    prefill_pace: PrefillPace
    health: WorkerHealth
    crash_watch: CrashWatch
    limits: WorkerLimits
    limit_grants: LimitGrantClient
    leases: WorkerLeases
    statements: WorkerStatements
    client: WorkerClient
    links: LinkMonitor
    origins: OriginDirectory
    return_offers: ReturnOffers
    log: DecisionLog
    metrics: NodeMetrics
    random: random.Random
    zone: str
    bounds: NodeBoundSettings
    features: SchedulingFeatures = field(default_factory=SchedulingFeatures)
    paces: WorkerPaces = field(default_factory=WorkerPaces)
    drain: DrainSchedule = field(default_factory=DrainSchedule)
    closing_connections: bool = False
    record_silence: SilenceListener = ignore_silence
    first_event_times: MeanTimes = field(default_factory=MeanTimes)
    stream_times: StreamTimes = field(default_factory=StreamTimes)
    plain_times: MeanTimes = field(default_factory=MeanTimes)
    forecast_bias: ForecastBias = field(default_factory=ForecastBias)
    refusal_shares: RefusalShares = field(default_factory=RefusalShares)
    resumption_share: ResumptionShare = field(default_factory=ResumptionShare)
    zone_pairs: CountedZonePairs = field(default_factory=CountedZonePairs)
    recent_prefixes: RecentPrefixes = field(default_factory=RecentPrefixes)
    prompt_sizes: PromptSizes = field(default_factory=PromptSizes)
    isolation: PrefillIsolation = field(default_factory=PrefillIsolation)
    silent_engines: Counter[str] = field(default_factory=Counter)
    """Number of streams with a search for another engine, by silent engine."""
    prompt_queues: PromptQueues = field(init=False)
    readers: ReaderWatch = field(init=False)
    bodies: BodyAdmission = field(default_factory=BodyAdmission)
    answers: AnswerBudget = field(default_factory=AnswerBudget)
    liveness: LivenessProbes = field(init=False)
    _fetch_delays: dict[str, FetchDelay] = field(default_factory=dict)
    _budgets: dict[str, FleetRetryBudget] = field(default_factory=dict)
    _backoff_returns: ReturnTimes = field(default_factory=ReturnTimes)

    def __post_init__(self) -> None:
        """Create the parts that depend on the current features."""
        self.prompt_queues = PromptQueues(
            self.prefill_grants.engine_owner,
            self.paces,
            PromptReports(
                self.log, self.metrics.count_prompt_outcome, self.metrics.observe_prompt_wait
            ),
            self.queues_prompts,
        )
        self.prefill_grants.queues = self.prompt_queues

        self.liveness = LivenessProbes(self.client, self.ports.stages, self.worker_statistics)
        self.dispatch.weighs_zones = self.weighs_zones
        self.metrics.body_bytes.set_function(lambda: self.bodies.budget.kept_bytes)
        self.metrics.answer_bytes.set_function(lambda: self.answers.kept_bytes)
        self.readers = ReaderWatch(self.log, self.metrics, lambda: self.drain.signal_received)
        self._sum_accounts()

    def _sum_accounts(self) -> None:
        """Let all accounts of what is kept for callers share the bound of their sum."""
        memory = self.client.received.memory
        self.bodies.budget.memory = self.answers.memory = self.readers.budget.memory = memory
        memory.add_account(lambda: self.bodies.budget.kept_bytes)
        memory.add_account(lambda: self.answers.kept_bytes)
        memory.add_account(lambda: self.readers.budget.kept_bytes)
        self.metrics.kept_bytes.set_function(lambda: memory.kept_bytes)

    def queues_prompts(self, service: str) -> bool:
        """Return whether prompts of a service wait in the queue of the engines' owner."""
        features = self.features
        stated = features.follows_paces and self.paces.has_stated(service)
        return features.competing_callers or stated

    def weighs_zones(self, service: str) -> bool:
        """Return whether choices for a service depend on the state of zones.

        They do if callers compete or workers of the service state their pace.
        """
        return self.features.competing_callers or self.paces.has_stated(service)

    def fetch_delay(self, service: str) -> FetchDelay:
        """Return the delay after which results fetched by a service's engines may be freed."""
        return self._fetch_delays.setdefault(service, FetchDelay())

    def budget(self, service: str) -> FleetRetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.bounds
            budget = FleetRetryBudget(
                bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window
            )
            self._budgets[service] = budget
        return budget

    def apply_limits(self, limits: NodeLimitSettings) -> None:
        """Set the bounds of kept bytes, which follow from the limits of the process."""
        self.readers.apply_limits(limits)
        self.bodies.apply_limits(limits)
        self.answers.bound_bytes = answers_bound_bytes(limits.memory_mb)
        self.client.received.apply_limits(limits)

    def apply_bounds(self, bounds: NodeBoundSettings) -> None:
        """Apply changed bounds; spent retries stay counted."""
        self.bounds = bounds
        for budget in self._budgets.values():
            budget.ratio = bounds.retry_ratio
            budget.allowance = bounds.retry_allowance
            budget.window = bounds.retry_window

    def begin_drain(self, signalled_at: float) -> DrainSchedule:
        """Set and return the schedule of a planned stop; safe in a signal handler."""
        self.drain = DrainSchedule.after_signal(signalled_at, self.bounds.grace)
        return self.drain

    def repeats_left(self, now: float) -> dict[str, float]:
        """Return the remaining retries in this gateway's share of each service's budget."""
        members = self.fleet.share_member_count()
        return {
            service: round(budget.remaining(now, members), 2)
            for service, budget in self._budgets.items()
        }

    def no_worker_reachable(self) -> bool:
        """Return whether neither this gateway nor any member reaches a worker.

        A gateway without members cannot distinguish failed links from failed workers, so it tries
        the workers.
        """
        return self.links.health.partitioned and self.fleet.all_partitioned(clock.now())

    def record_connection_failure(
        self,
        call: OpaqueCall,
        worker: WorkerRecord,
        *,
        silent: bool = False,
        progressed: bool = False,
        sent: bool = True,
    ) -> None:
        """Record that a worker's connection failed, or was ``silent`` for too long.

        ``progressed`` is set if the worker had run the call for a while, ``sent`` if the worker may
        have received it: a call that was not received cannot have crashed the worker.
        """
        if clock.now() < call.end_at:
            self.health.record_outcome(worker, CallOutcome.CONNECTION_FAILED)
        if sent and not silent:
            self.crash_watch.record_connection_failure(call, worker, progressed=progressed)

    def backing_off_refusal(self, call: OpaqueCall) -> Refusal | None:
        """Return the refusal of a call if all workers of its service are in backoff, and log it.

        Returns ``None`` if a worker is available. Retry times begin at the end of the first backoff
        and are spread over the rate at which this gateway's share of the workers serves calls.
        """
        now = clock.now()
        workers = self.availability.workers_in_backoff(call.service, now)
        if not workers:
            return None
        wait = min(self.availability.backoff_seconds(worker, now) for worker in workers)
        first_event = self.first_event_times.mean_seconds(call.service, DEFAULT_FIRST_EVENT_SECONDS)
        seconds = self.plain_times.mean_seconds(call.service, first_event)
        slots = sum(worker.slots for worker in workers)
        rate = slots / max(seconds, MIN_CALL_SECONDS) / self.fleet.share_member_count()
        retry = self._backoff_returns.next_return_seconds(call.service, wait, rate, now)
        self.log.write(
            LogEvent.CALL_AWAITS_BACKOFFS,
            call=call.call_id,
            service=call.service,
            workers=[worker.worker_id for worker in workers[:MAX_LOGGED_WORKERS]],
            wait=round(wait, 3),
            retry_after=round(retry, 3),
        )
        return Refusal.backing_off(retry)

    def requests_full_refusal(self, call: OpaqueCall) -> Refusal | None:
        """Return the refusal of a call if every worker has reached its bound of request bytes."""
        workers = self.mirror.workers.usable_workers(call.service)
        if not workers or not self.availability.all_full_of_requests(workers):
            return None
        return Refusal(
            ResultCode.WORKERS_FULL, REQUESTS_FULL_DETAIL, retry_after=REQUESTS_FULL_RETRY_SECONDS
        )

    def try_start_attempt(self, call: OpaqueCall) -> bool:
        """Record a call's first attempt, or spend a retry; return whether it may be sent."""
        if call.workers_tried:
            return self.try_spend_repeat(call)
        if not call.first_attempt_recorded:
            call.first_attempt_recorded = True
            self.budget(call.service).record_first_attempt(clock.now())
        return True

    def can_spend_repeat(self, call: OpaqueCall) -> bool:
        """Return whether this gateway's share allows a retry of a call, without spending it."""
        members = self.fleet.share_member_count()
        return self.budget(call.service).can_spend(clock.now(), members, call.begun_stream)

    def try_spend_repeat(self, call: OpaqueCall) -> bool:
        """Spend one retry if this gateway's share of the fleet's retry budget allows it.

        Returns whether it was spent.
        """
        members = self.fleet.share_member_count()
        return self.budget(call.service).try_spend(clock.now(), members, call.begun_stream)
