"""Simulates gateways that send calls to workers, some of which fail a share of them.

There is no network; times are in seconds of a virtual clock. A run with the same seed gives the
same result. Calls arrive at random times at random gateways and end after a random time. A failed
call is not repeated.
"""

import heapq
import random
from dataclasses import dataclass, field

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.scheduling.outlier_detection import OutlierDetector, Verdict
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable, choose_worker
from corkcrank.scheduling.worker_outcomes import CallOutcome, OutcomeTable

JUDGE_SECONDS = 0.25
SLOTS = 8


@dataclass(frozen=True)
class Settings:
    """Settings of a simulation; ``share`` of the calls at each of the ``failing`` workers fail.

    ``noise`` is the share that every worker fails at any time, ``rate`` the calls a second of the
    fleet, ``interval`` the time between a gateway's heartbeats. ``bad_link`` is the number of
    gateways whose calls to the first worker all fail. With ``one_zone`` the failing workers fail
    only the callers of the first zone. If ``detects`` is false, only recent failures
    count. If ``ejects`` is false, the excess counts and verdicts do not. If ``sends_reports`` is
    false, gateways send no reports to each other.
    """

    gateways: int = 6
    zones: int = 3
    workers: int = 6
    failing: int = 0
    share: float = 0.5
    noise: float = 0.01
    rate: float = 18.0
    seconds: float = 60.0
    fails_at: float = 10.0
    fails_until: float = 40.0
    interval: float = 0.25
    call_seconds: float = 0.4
    unrepeatable: float = 0.0
    bad_link: int = 0
    one_zone: bool = False
    detects: bool = True
    ejects: bool = True
    sends_reports: bool = True
    seed: int = 1


@dataclass
class SimulationResult:
    """Result of a simulation.

    ``ejections`` and ``restorations`` hold the time, the gateway and the worker of each.
    """

    calls: list[tuple[float, str, bool]] = field(default_factory=list)
    ejections: list[tuple[float, int, str]] = field(default_factory=list)
    restorations: list[tuple[float, int, str]] = field(default_factory=list)
    probes_unrepeatable: int = 0
    max_reported: int = 0

    def failed_share(self, begin: float, end: float) -> float:
        """Return the share of failed calls between two times."""
        outcomes = [failed for at, _, failed in self.calls if begin <= at < end]
        return sum(outcomes) / max(1, len(outcomes))

    def sent_share(self, workers: set[str], begin: float, end: float) -> float:
        """Return the share of the calls between two times that went to some workers."""
        had = [worker in workers for at, worker, _ in self.calls if begin <= at < end]
        return sum(had) / max(1, len(had))


class _Gateway:
    def __init__(self, number: int, settings: Settings) -> None:
        self.zone = f"z{number % settings.zones}"
        self.random = random.Random(settings.seed * 1000 + number)
        self.worker_statistics = WorkerStatisticsTable()
        self.outcomes = OutcomeTable(self.zone)
        self.detector = OutlierDetector(self.outcomes, self.random)


class OutlierSimulation:
    """Simulation of one set of settings."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._random = random.Random(settings.seed)
        self._gateways = [_Gateway(number, settings) for number in range(settings.gateways)]
        self._workers = [
            WorkerRecord(f"w{number}", "s", "", f"z{number % settings.zones}", SLOTS)
            for number in range(settings.workers)
        ]
        self._events: list[tuple[float, int, str, tuple[object, ...]]] = []
        self._count = 0
        self.result = SimulationResult()

    def run(self) -> SimulationResult:
        """Run the simulation to its end and return the result."""
        settings = self._settings
        self._schedule(self._random.expovariate(settings.rate), "call")
        for number in range(settings.gateways):
            self._schedule(self._random.uniform(0.0, settings.interval), "beat", number)
            self._schedule(self._random.uniform(0.0, JUDGE_SECONDS), "judge", number)
        while self._events and self._events[0][0] < settings.seconds:
            now, _, kind, arguments = heapq.heappop(self._events)
            getattr(self, f"_{kind}")(now, *arguments)
        return self.result

    def _schedule(self, at: float, kind: str, *arguments: object) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, kind, arguments))

    def _call(self, now: float) -> None:
        self._schedule(now + self._random.expovariate(self._settings.rate), "call")
        number = self._random.randrange(len(self._gateways))
        gateway = self._gateways[number]
        repeatable = self._random.random() >= self._settings.unrepeatable
        worker = choose_worker(
            self._workers,
            gateway.worker_statistics,
            gateway.zone,
            now,
            (),
            gateway.random,
            repeatable=repeatable,
        )
        assert worker is not None
        statistics = gateway.worker_statistics.get_or_create(worker.worker_id)
        statistics.in_flight += 1
        if statistics.verdict is Verdict.HALF_OPEN and not repeatable:
            self.result.probes_unrepeatable += 1
        failed = self._fails(number, worker, now)
        seconds = 0.01 if failed else self._random.expovariate(1.0 / self._settings.call_seconds)
        self._schedule(now + seconds, "end", number, worker, failed)

    def _fails(self, number: int, worker: WorkerRecord, now: float) -> bool:
        settings = self._settings
        index = self._workers.index(worker)
        if number < settings.bad_link and index == 0:
            return True
        bad = index < settings.failing and settings.fails_at <= now < settings.fails_until
        if settings.one_zone and number % settings.zones:
            bad = False
        return self._random.random() < (settings.share if bad else settings.noise)

    def _end(self, now: float, number: int, worker: WorkerRecord, failed: bool) -> None:
        gateway = self._gateways[number]
        statistics = gateway.worker_statistics.get_or_create(worker.worker_id)
        statistics.in_flight -= 1
        if failed:
            statistics.failures.append(now)
        outcome = CallOutcome.FAULT if failed else CallOutcome.SERVED
        gateway.outcomes.record_outcome(worker.worker_id, outcome, now)
        self.result.calls.append((now, worker.worker_id, failed))
        if failed:
            self._judge_now(now, number)

    def _beat(self, now: float, number: int) -> None:
        settings, gateway = self._settings, self._gateways[number]
        self._schedule(now + settings.interval, "beat", number)
        if not settings.sends_reports:
            return
        reports = gateway.outcomes.report_for_peers(now)
        self.result.max_reported = max(self.result.max_reported, len(reports))
        for other in self._gateways:
            if other is not gateway:
                other.outcomes.apply_peer_report(f"g{number}", gateway.zone, reports, now)

    def _judge(self, now: float, number: int) -> None:
        self._schedule(now + JUDGE_SECONDS, "judge", number)
        self._judge_now(now, number)

    def _judge_now(self, now: float, number: int) -> None:
        gateway = self._gateways[number]
        if not self._settings.detects:
            return
        if not gateway.outcomes.failing_workers(now) and not gateway.detector.unhealthy_workers():
            return
        changes = gateway.detector.update_verdicts(self._workers, now)
        for worker in self._workers:
            excess = gateway.detector.excess(worker.worker_id)
            gateway.worker_statistics.get_or_create(worker.worker_id).excess = excess
        for change in changes if self._settings.ejects else ():
            worker_id = change.worker.worker_id
            gateway.worker_statistics.get_or_create(worker_id).verdict = change.after
            if change.after is Verdict.EJECTED:
                self.result.ejections.append((now, number, worker_id))
            if change.after is Verdict.HEALTHY:
                self.result.restorations.append((now, number, worker_id))


def simulate(settings: Settings) -> SimulationResult:
    """Run a simulation and return its result."""
    return OutlierSimulation(settings).run()
