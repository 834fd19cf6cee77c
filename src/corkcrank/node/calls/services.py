"""What the runs of calls share: views, clients, budgets, logs, measured times."""

import math
import random
from dataclasses import dataclass, field

from corkcrank.contracts import clock
from corkcrank.contracts.node_settings import NodeBoundSettings
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import DecisionLog
from corkcrank.links.platform_ports import PlatformPorts
from corkcrank.links.silence import SilenceListener, ignore_silence
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.node.callers.drain import DrainSchedule
from corkcrank.node.engines.engine_owner import PrefillGrantClient
from corkcrank.node.limits.limit_grants import LimitGrantClient
from corkcrank.node.limits.worker_limits import WorkerLimits
from corkcrank.node.stages.stage_dispatch import StageDispatch
from corkcrank.node.telemetry.metrics import NodeMetrics
from corkcrank.node.workers.crash_watch import CrashWatch
from corkcrank.node.workers.worker_client import WorkerClient
from corkcrank.node.workers.worker_health import WorkerHealth
from corkcrank.node.workers.worker_statements import WorkerStatements
from corkcrank.scheduling.engine_choice import EngineChooser
from corkcrank.scheduling.fetch_delay import FetchDelay
from corkcrank.scheduling.fleet_retry_budget import FleetRetryBudget
from corkcrank.scheduling.forecast_bias import ForecastBias
from corkcrank.scheduling.prefill_isolation import PrefillIsolation, PromptSizes
from corkcrank.scheduling.prefill_pace import PrefillPace
from corkcrank.scheduling.recent_prefixes import RecentPrefixes
from corkcrank.scheduling.stream_times import StreamTimes
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable
from corkcrank.scheduling.worker_outcomes import CallOutcome

TIME_WEIGHT = 0.15
"""Weight of the newest measurement in a mean time."""

FIRST_EVENT_SECONDS = 0.25
"""Time to a first event assumed before one was measured."""

PLAIN_SECONDS = 0.1
"""Time of a plain answer assumed before one was measured."""


@dataclass(slots=True)
class MeanTimes:
    """Exponentially weighted means by service, in seconds, and their standard deviations."""

    _means: dict[str, float] = field(default_factory=dict)
    _variances: dict[str, float] = field(default_factory=dict)

    def learn(self, service: str, seconds: float) -> None:
        """Take a measurement."""
        known = self._means.get(service, seconds)
        off = seconds - known
        self._means[service] = known + TIME_WEIGHT * off
        variance = self._variances.get(service, 0.0)
        self._variances[service] = (1.0 - TIME_WEIGHT) * (variance + TIME_WEIGHT * off * off)

    def of(self, service: str, default: float) -> float:
        """Return the mean, or the default where nothing was measured yet."""
        return self._means.get(service, default)

    def spread_of(self, service: str) -> float:
        """Return the standard deviation, 0 where nothing was measured yet."""
        return math.sqrt(self._variances.get(service, 0.0))


@dataclass(slots=True)
class CallServices:
    """Everything that serving one call needs.

    ``drain`` is the schedule of a planned stop. ``cutting`` says that this gateway is closing
    connections on which calls may still wait.
    """

    ports: PlatformPorts
    mirror: StoreMirror
    fleet: Fleet
    worker_statistics: WorkerStatisticsTable
    engines: EngineChooser
    dispatch: StageDispatch
    prefill_grants: PrefillGrantClient
    prefill_pace: PrefillPace
    health: WorkerHealth
    crash_watch: CrashWatch
    limits: WorkerLimits
    limit_grants: LimitGrantClient
    statements: WorkerStatements
    client: WorkerClient
    log: DecisionLog
    metrics: NodeMetrics
    random: random.Random
    zone: str
    bounds: NodeBoundSettings
    drain: DrainSchedule = field(default_factory=DrainSchedule)
    cutting: bool = False
    note_silence: SilenceListener = ignore_silence
    first_event_times: MeanTimes = field(default_factory=MeanTimes)
    stream_times: StreamTimes = field(default_factory=StreamTimes)
    plain_times: MeanTimes = field(default_factory=MeanTimes)
    forecast_bias: ForecastBias = field(default_factory=ForecastBias)
    recent_prefixes: RecentPrefixes = field(default_factory=RecentPrefixes)
    prompt_sizes: PromptSizes = field(default_factory=PromptSizes)
    isolation: PrefillIsolation = field(default_factory=PrefillIsolation)
    _fetch_delays: dict[str, FetchDelay] = field(default_factory=dict)
    _budgets: dict[str, FleetRetryBudget] = field(default_factory=dict)

    def fetch_delay(self, service: str) -> FetchDelay:
        """Return when results that a service's engines read may be freed."""
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

    def take_bounds(self, bounds: NodeBoundSettings) -> None:
        """Put changed bounds in force; repeats that were spent stay spent."""
        self.bounds = bounds
        for budget in self._budgets.values():
            budget.ratio = bounds.retry_ratio
            budget.allowance = bounds.retry_allowance
            budget.window = bounds.retry_window

    def repeats_left(self, now: float) -> dict[str, float]:
        """Return by service how many repeats this gateway's share has left."""
        members = self.fleet.share_members()
        return {
            service: round(budget.remaining(now, members), 2)
            for service, budget in self._budgets.items()
        }

    def note_broken(
        self,
        call: OpaqueCall,
        worker: WorkerRecord,
        *,
        silent: bool = False,
        progressed: bool = False,
        sent: bool = True,
    ) -> None:
        """Take that a worker's connection broke, or was ``silent`` for too long.

        ``progressed`` says that the call had been at work there for a while, ``sent`` that the
        worker may have had it at all: one that never had a call has not ended under it.
        """
        if clock.now() < call.end_at:
            self.health.record_outcome(worker, CallOutcome.CONNECTION_FAILED)
        if sent and not silent:
            self.crash_watch.record_connection_failure(call, worker, progressed=progressed)

    def could_repeat(self, service: str) -> bool:
        """Return whether a repeat could be spent now."""
        now = clock.now()
        return self.budget(service).remaining(now, self.fleet.share_members()) >= 1.0

    def may_repeat(self, service: str) -> bool:
        """Spend one repeat of the fleet's budget, if this gateway's share allows it."""
        return self.budget(service).try_spend(clock.now(), self.fleet.share_members())
