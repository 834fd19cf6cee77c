"""Plays gateways that send calls to workers, some of which fail a share of them, without a network.

Times in seconds on a clock of the play's own; a play with the same seed repeats. Calls come at
random times to random gateways and end after a random time; a failed call is not repeated.
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
class Scene:
    """What is played; ``share`` of the calls at each of the ``failing`` workers fail.

    ``noise`` is the share that every worker fails at any time, ``rate`` calls a second of the
    fleet, ``interval`` the time between a gateway's heartbeats. ``bad_link`` counts gateways
    whose every call to the first worker fails, ``one_zone`` has the failing workers fail only
    the callers of the first zone. Without ``detecting`` only remembered failures count, without
    ``ejecting`` the excess counts and verdicts do not, without ``telling`` each gateway learns
    alone.
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
    detecting: bool = True
    ejecting: bool = True
    telling: bool = True
    seed: int = 1


@dataclass
class Played:
    """What came of it.

    ``ejections`` are times with gateway and worker; ``ends`` are those of restorations.
    """

    calls: list[tuple[float, str, bool]] = field(default_factory=list)
    ejections: list[tuple[float, int, str]] = field(default_factory=list)
    ends: list[tuple[float, int, str]] = field(default_factory=list)
    probes_unrepeatable: int = 0
    told_most: int = 0

    def failed_share(self, begin: float, end: float) -> float:
        """Return the share of the calls of a span that failed."""
        failed = [lost for at, _, lost in self.calls if begin <= at < end]
        return sum(failed) / max(1, len(failed))

    def sent_share(self, workers: set[str], begin: float, end: float) -> float:
        """Return the share of the calls of a span that some workers had."""
        had = [worker in workers for at, worker, _ in self.calls if begin <= at < end]
        return sum(had) / max(1, len(had))


class _Gateway:
    def __init__(self, number: int, scene: Scene) -> None:
        self.zone = f"z{number % scene.zones}"
        self.random = random.Random(scene.seed * 1000 + number)
        self.worker_statistics = WorkerStatisticsTable()
        self.outcomes = OutcomeTable(self.zone)
        self.detector = OutlierDetector(self.outcomes, self.random)


class OutlierPlay:
    """Runs one scene."""

    def __init__(self, scene: Scene) -> None:
        self._scene = scene
        self._random = random.Random(scene.seed)
        self._gateways = [_Gateway(number, scene) for number in range(scene.gateways)]
        self._workers = [
            WorkerRecord(f"w{number}", "s", "", f"z{number % scene.zones}", SLOTS)
            for number in range(scene.workers)
        ]
        self._events: list[tuple[float, int, str, tuple[object, ...]]] = []
        self._count = 0
        self.played = Played()

    def run(self) -> Played:
        """Play to the end."""
        scene = self._scene
        self._at(self._random.expovariate(scene.rate), "call")
        for number in range(scene.gateways):
            self._at(self._random.uniform(0.0, scene.interval), "beat", number)
            self._at(self._random.uniform(0.0, JUDGE_SECONDS), "judge", number)
        while self._events and self._events[0][0] < scene.seconds:
            now, _, kind, arguments = heapq.heappop(self._events)
            getattr(self, f"_{kind}")(now, *arguments)
        return self.played

    def _at(self, at: float, kind: str, *arguments: object) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, kind, arguments))

    def _call(self, now: float) -> None:
        self._at(now + self._random.expovariate(self._scene.rate), "call")
        number = self._random.randrange(len(self._gateways))
        gateway = self._gateways[number]
        repeatable = self._random.random() >= self._scene.unrepeatable
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
        statistics = gateway.worker_statistics.of(worker.worker_id)
        statistics.in_flight += 1
        if statistics.verdict is Verdict.HALF_OPEN and not repeatable:
            self.played.probes_unrepeatable += 1
        failed = self._fails(number, worker, now)
        seconds = 0.01 if failed else self._random.expovariate(1.0 / self._scene.call_seconds)
        self._at(now + seconds, "end", number, worker, failed)

    def _fails(self, number: int, worker: WorkerRecord, now: float) -> bool:
        scene = self._scene
        index = self._workers.index(worker)
        if number < scene.bad_link and index == 0:
            return True
        bad = index < scene.failing and scene.fails_at <= now < scene.fails_until
        if scene.one_zone and number % scene.zones:
            bad = False
        return self._random.random() < (scene.share if bad else scene.noise)

    def _end(self, now: float, number: int, worker: WorkerRecord, failed: bool) -> None:
        gateway = self._gateways[number]
        statistics = gateway.worker_statistics.of(worker.worker_id)
        statistics.in_flight -= 1
        if failed:
            statistics.failures.append(now)
        outcome = CallOutcome.FAULT if failed else CallOutcome.SERVED
        gateway.outcomes.note(worker.worker_id, outcome, now)
        self.played.calls.append((now, worker.worker_id, failed))
        if failed:
            self._judge_now(now, number)

    def _beat(self, now: float, number: int) -> None:
        scene, gateway = self._scene, self._gateways[number]
        self._at(now + scene.interval, "beat", number)
        if not scene.telling:
            return
        told = gateway.outcomes.reported(now)
        self.played.told_most = max(self.played.told_most, len(told))
        for other in self._gateways:
            if other is not gateway:
                other.outcomes.take(f"g{number}", gateway.zone, told, now)

    def _judge(self, now: float, number: int) -> None:
        self._at(now + JUDGE_SECONDS, "judge", number)
        self._judge_now(now, number)

    def _judge_now(self, now: float, number: int) -> None:
        gateway = self._gateways[number]
        if not self._scene.detecting:
            return
        if not gateway.outcomes.failing(now) and not gateway.detector.judged():
            return
        changes = gateway.detector.judge(self._workers, now)
        for worker in self._workers:
            excess = gateway.detector.excess(worker.worker_id)
            gateway.worker_statistics.of(worker.worker_id).excess = excess
        for change in changes if self._scene.ejecting else ():
            worker_id = change.worker.worker_id
            gateway.worker_statistics.of(worker_id).verdict = change.after
            if change.after is Verdict.EJECTED:
                self.played.ejections.append((now, number, worker_id))
            if change.after is Verdict.SOUND:
                self.played.ends.append((now, number, worker_id))


def play(scene: Scene) -> Played:
    """Return what came of a scene."""
    return OutlierPlay(scene).run()
