"""Simulates ordinary calls at workers that crash on their own, and counts calls that are blamed."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from corkcrank.scheduling.crash_records import MAX_SETTLE_SECONDS
from corkcrank.scheduling.crash_reports import EARLY_RUN_SECONDS
from corkcrank.scheduling.request_quarantine import RequestQuarantine, RequestState

ATTEMPTS = 3
"""Maximum number of workers tried for a call, and of times that its caller sends it."""

RETRY_SECONDS = 0.005
FIRST_EVENT_SECONDS = (0.05, 1.0)
STREAM_SECONDS = (0.0, 3.0)
RECOVERY_SECONDS = 3.0
"""Time after which a crashed worker is available again."""

RESEND_SECONDS = (0.3, 2.0)
"""Pause of a caller before it resends a failed call, drawn from this range."""


@dataclass(frozen=True)
class Load:
    """Calls and worker crashes a second; a mass crash stops a share of all workers at once."""

    calls: float = 28.0
    ends: float = 0.0
    mass_ends: float = 0.0
    mass_share: float = 0.0
    workers: int = 9


@dataclass
class _Call:
    request: str
    attempts: int = 0
    sent: int = 1


@dataclass
class _Worker:
    name: str
    restarts: int = 0
    unavailable_until: float = 0.0
    running: dict[int, tuple[_Call, float]] = field(default_factory=dict)

    @property
    def incarnation(self) -> str:
        return f"{self.name} {self.restarts}"


@dataclass
class Outcome:
    """Counts of one simulation: ``broken`` of interrupted calls, ``ends`` of worker crashes."""

    calls: int = 0
    broken: int = 0
    ends: int = 0
    blamed: set[str] = field(default_factory=set)


class QuarantineSimulation:
    """A simulation on a virtual clock, with one gateway that observes everything immediately."""

    def __init__(self, load: Load, seed: int) -> None:
        self._load = load
        self._random = random.Random(seed)
        self._workers = [_Worker(f"w{number}") for number in range(load.workers)]
        self._quarantine = RequestQuarantine()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = 0
        self.now = 0.0
        self.outcome = Outcome()

    def run(self, seconds: float) -> Outcome:
        """Simulate arriving calls and crashes for a number of seconds, then finish all calls."""
        self._schedule_events(seconds, self._load.calls, self._start_call)
        self._schedule_events(seconds, self._load.ends, self._crash_one)
        self._schedule_events(seconds, self._load.mass_ends, self._crash_many)
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            event()
        return self.outcome

    def _schedule(self, when: float, event: Callable[[], None]) -> None:
        self._numbers += 1
        heapq.heappush(self._events, (when, self._numbers, event))

    def _schedule_events(self, seconds: float, rate: float, event: Callable[[], None]) -> None:
        when = self._random.expovariate(rate) if rate else seconds
        while when < seconds:
            self._schedule(when, event)
            when += self._random.expovariate(rate)

    def _start_call(self) -> None:
        self.outcome.calls += 1
        self._send(_Call(f"request-{self.outcome.calls}"))

    def _send(self, call: _Call) -> None:
        if wait := self._quarantine.seconds_to_wait(call.request, self.now):
            self._schedule(self.now + wait, lambda: self._send(call))
            return
        if self._quarantine.seconds_left(call.request, self.now) > 0.0:
            return
        usable = [worker for worker in self._workers if worker.unavailable_until <= self.now]
        if not usable:
            self._resend_later(call)
            return
        call.attempts += 1
        worker = self._random.choice(usable)
        self._numbers += 1
        number = self._numbers
        first_event = self.now + self._random.uniform(*FIRST_EVENT_SECONDS)
        worker.running[number] = (call, first_event)
        incarnation = worker.incarnation
        ends_at = first_event + self._random.uniform(*STREAM_SECONDS)
        self._schedule(ends_at, lambda: self._finish(worker, incarnation, number))

    def _finish(self, worker: _Worker, incarnation: str, number: int) -> None:
        if worker.incarnation == incarnation:
            call, _ = worker.running.pop(number)
            self._quarantine.record_success(call.request, self.now)

    def _crash_one(self) -> None:
        self._crash(self._random.choice(self._workers))

    def _crash_many(self) -> None:
        count = max(1, round(self._load.mass_share * len(self._workers)))
        for worker in self._random.sample(self._workers, count):
            self._crash(worker)

    def _crash(self, worker: _Worker) -> None:
        if worker.unavailable_until > self.now:
            return
        self.outcome.ends += 1
        broken, incarnation = worker.running, worker.incarnation
        worker.running, worker.restarts = {}, worker.restarts + 1
        worker.unavailable_until = self.now + RECOVERY_SECONDS
        for call, first_event in broken.values():
            self.outcome.broken += 1
            progressed = self.now - first_event > EARLY_RUN_SECONDS
            self._quarantine.record_crash(
                call.request, incarnation, self.now, progressed=progressed
            )
            self._schedule(self.now + MAX_SETTLE_SECONDS, self._blame_check(call))
        for call, _ in broken.values():
            self._retry(call)

    def _blame_check(self, call: _Call) -> Callable[[], None]:
        """Return a check, run once the crash is decidable, of whether a failed call is blamed."""

        def record_blame() -> None:
            state = self._quarantine.state(call.request, self.now)
            if state in (RequestState.QUARANTINED, RequestState.PROBATION):
                self.outcome.blamed.add(call.request)

        return record_blame

    def _retry(self, call: _Call) -> None:
        if call.attempts < ATTEMPTS:
            self._schedule(self.now + RETRY_SECONDS, lambda: self._send(call))
        else:
            self._resend_later(call)

    def _resend_later(self, call: _Call) -> None:
        """Let the caller send the call again after a pause."""
        if call.sent < ATTEMPTS:
            call.sent += 1
            call.attempts = 0
            pause = self._random.uniform(*RESEND_SECONDS)
            self._schedule(self.now + pause, lambda: self._send(call))
