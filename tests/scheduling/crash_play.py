"""Simulates requests that crash engines among ordinary streams, at gateways that lose reports.

It runs on a virtual clock, without a network. Streams that an engine interrupted are resumed at
another engine at once, so the same streams keep sharing engines with the crashing request.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from corkcrank.scheduling.crash_reports import EARLY_RUN_SECONDS, CrashReport
from corkcrank.scheduling.request_quarantine import RequestQuarantine

HEARTBEAT = 0.25
REPORT_DELAY_SECONDS = (0.005, 0.08)
REPORT_LOSS = 0.05
DETECTION_SECONDS = (0.001, 0.01)
RETRY_SECONDS = (0.001, 0.01)
CRASH_SECONDS = (0.002, 0.03)
FIRST_EVENT_SECONDS = (0.01, 0.2)
STREAM_SECONDS = (0.05, 2.0)
RECOVERY_SECONDS = (0.3, 4.0)
RESEND_SECONDS = (0.3, 1.0)
CRASHER_RESEND_SECONDS = (0.05, 0.4)
CRASHER_SECONDS = 9.0
BOUND_SECONDS = 3.0
SUSPECT_SECONDS = 1.1
ATTEMPTS = 3


@dataclass(frozen=True)
class CrashLoad:
    """Numbers of engines, gateways, concurrent ordinary streams and concurrent crashing requests.

    With ``event_first`` an engine sends an event before it crashes. With ``kill`` the gateway is
    killed through which a request has just crashed its third engine.
    """

    engines: int = 3
    gateways: int = 4
    streams: int = 12
    crashers: int = 1
    event_first: bool = False
    kill: bool = False


@dataclass(eq=False)
class _Call:
    request: str
    gateway: int
    crashing: bool = False
    attempts: int = 0
    sent: int = 1
    parts: tuple[str, ...] = ()


@dataclass
class _Run:
    call: _Call
    first_event: float


@dataclass
class _Engine:
    name: str
    restarts: int = 0
    unavailable_until: float = 0.0
    running: dict[int, _Run] = field(default_factory=dict)

    @property
    def incarnation(self) -> str:
        return f"{self.name} {self.restarts}"


@dataclass
class CrashOutcome:
    """Results of one simulation: requests by outcome, and the crash times of crashing requests."""

    ordinary: int = 0
    served: int = 0
    quarantined_ordinary: set[str] = field(default_factory=set)
    quarantined_at_end: set[str] = field(default_factory=set)
    ends: dict[str, list[float]] = field(default_factory=dict)
    quarantined_after: dict[str, int] = field(default_factory=dict)

    @property
    def max_late_crashes(self) -> int:
        """Return the maximum number of crashes by one request past the bound after its third."""
        late = [
            sum(at > ends[2] + BOUND_SECONDS for at in ends)
            for ends in self.ends.values()
            if len(ends) > ATTEMPTS
        ]
        return max(late, default=0)


class CrashSimulation:
    """One simulation with several gateways that exchange crash reports."""

    def __init__(self, load: CrashLoad, seed: int) -> None:
        self._load = load
        self._random = random.Random(seed)
        self._engines = [_Engine(f"e{number}") for number in range(load.engines)]
        self.gateways = [RequestQuarantine() for _ in range(load.gateways)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = 0
        self._ends_at = 0.0
        self.now = 0.0
        self.outcome = CrashOutcome()

    def run(self, seconds: float = 15.0) -> CrashOutcome:
        """Simulate for a number of seconds."""
        self._ends_at = seconds
        for _ in range(self._load.streams):
            self._schedule_within((0.0, 0.5), self._start_call)
        for number in range(self._load.crashers):
            request = f"{0xC0 + number:016x}"
            call = _Call(request, self._random_gateway(), crashing=True)
            self._schedule_within((1.0, 1.03), self._sender(call))
        for gateway in range(self._load.gateways):
            self._schedule_within((0.0, HEARTBEAT), self._heartbeat_sender(gateway))
        while self._events and self._events[0][0] < seconds:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self._record_verdicts()
        crashing = set(self.outcome.ends)
        for gateway in self.gateways:
            self.outcome.quarantined_at_end |= set(gateway.blamed_requests(self.now)) - crashing
        return self.outcome

    def _schedule(self, when: float, event: Callable[[], None]) -> None:
        self._numbers += 1
        heapq.heappush(self._events, (when, self._numbers, event))

    def _schedule_within(self, bounds: tuple[float, float], event: Callable[[], None]) -> None:
        self._schedule(self.now + self._random.uniform(*bounds), event)

    def _random_gateway(self) -> int:
        return self._random.randrange(self._load.gateways)

    def _sender(self, call: _Call) -> Callable[[], None]:
        return lambda: self._send(call)

    def _heartbeat_sender(self, gateway: int) -> Callable[[], None]:
        def send_heartbeat() -> None:
            self._send_reports(gateway)
            self._schedule_within((0.9 * HEARTBEAT, 1.1 * HEARTBEAT), send_heartbeat)

        return send_heartbeat

    def _start_call(self) -> None:
        self.outcome.ordinary += 1
        self._send(_Call(f"{self.outcome.ordinary:08x}{0:08x}", self._random_gateway()))

    def _send(self, call: _Call) -> None:
        quarantine = self.gateways[call.gateway]
        suspects = (call.request, *call.parts)
        left = max(quarantine.seconds_left(suspect, self.now) for suspect in suspects)
        wait = max(quarantine.seconds_to_wait(suspect, self.now) for suspect in suspects)
        if wait and not left:
            self._schedule(self.now + wait, self._sender(call))
            return
        if left > 0.0:
            self._record_refused(call)
            self._resend_later(call)
            return
        for suspect in suspects:
            quarantine.record_sent(suspect, self.now)
        usable = [engine for engine in self._engines if engine.unavailable_until <= self.now]
        if not usable:
            self._resend_later(call)
            return
        call.attempts += 1
        self._run_at(self._random.choice(usable), call)

    def _record_refused(self, call: _Call) -> None:
        """Record that a call was refused for a quarantine."""
        self._record_quarantined(call.request)

    def _run_at(self, engine: _Engine, call: _Call) -> None:
        self._numbers += 1
        number, incarnation = self._numbers, engine.incarnation
        first_event = self.now + self._random.uniform(*self._first_event_seconds())
        if call.crashing:
            first_event = self.now if self._load.event_first else float("inf")
        engine.running[number] = _Run(call, first_event)
        if call.crashing:
            self._schedule_within(CRASH_SECONDS, lambda: self._crash(engine, incarnation, call))
            return
        seconds = self._random.uniform(*STREAM_SECONDS)
        self._schedule(first_event + seconds, lambda: self._finish(engine, incarnation, number))
        if call.parts:
            progressed_at = first_event + min(seconds, EARLY_RUN_SECONDS + 0.01)
            self._schedule(progressed_at, lambda: self._progress(engine, incarnation, number))

    def _first_event_seconds(self) -> tuple[float, float]:
        """Return the bounds of the time from the begin of a run to its first event."""
        return FIRST_EVENT_SECONDS

    def _progress(self, engine: _Engine, incarnation: str, number: int) -> None:
        if engine.incarnation != incarnation or number not in engine.running:
            return
        run = engine.running[number]
        gateway = run.call.gateway
        if self.gateways[gateway].record_progress(run.call.parts, run.first_event, self.now):
            self._schedule_within((0.0, 0.001), lambda: self._send_reports(gateway))

    def _finish(self, engine: _Engine, incarnation: str, number: int) -> None:
        if engine.incarnation != incarnation or number not in engine.running:
            return
        call = engine.running.pop(number).call
        self.gateways[call.gateway].record_success(call.request, self.now)
        self.outcome.served += 1
        self._start_call()

    def _crash(self, engine: _Engine, incarnation: str, by: _Call) -> None:
        if engine.incarnation != incarnation:
            return
        ends = self.outcome.ends.setdefault(by.request, [])
        ends.append(self.now)
        broken = list(engine.running.values())
        engine.running, engine.restarts = {}, engine.restarts + 1
        engine.unavailable_until = self.now + self._random.uniform(*RECOVERY_SECONDS)
        if self._load.kill and len(ends) == ATTEMPTS:
            gateway = by.gateway
            self._schedule_within((0.0, 0.05), lambda: self._restart_gateway(gateway))
        for run in broken:
            progressed = self.now - run.first_event > EARLY_RUN_SECONDS
            self._schedule_within(
                DETECTION_SECONDS,
                self._crash_recorder(run.call, incarnation, progressed=progressed),
            )
            self._retry(run.call)

    def _crash_recorder(
        self, call: _Call, incarnation: str, *, progressed: bool
    ) -> Callable[[], None]:
        gateway = self.gateways[call.gateway]

        def record() -> None:
            if gateway is not self.gateways[call.gateway]:
                return
            if gateway.record_crash(
                call.request, incarnation, self.now, progressed=progressed, parts=call.parts
            ):
                self._schedule_within((0.0, 0.001), lambda: self._send_reports(call.gateway))

        return record

    def _retry(self, call: _Call) -> None:
        if call.attempts < ATTEMPTS:
            self._schedule_within(RETRY_SECONDS, self._sender(call))
        else:
            self._resend_later(call)

    def _resend_later(self, call: _Call) -> None:
        """Let the caller send the request again, at any gateway."""
        again = _Call(
            call.request, self._random_gateway(), call.crashing, 0, call.sent + 1, call.parts
        )
        if call.crashing:
            if self.now < CRASHER_SECONDS:
                self._schedule_within(CRASHER_RESEND_SECONDS, self._sender(again))
        elif call.sent < ATTEMPTS:
            self._schedule_within(RESEND_SECONDS, self._sender(again))
        else:
            self._start_call()

    def _send_reports(self, gateway: int) -> None:
        source = self.gateways[gateway]
        self._record_verdicts()
        reports = source.crash_reports(self.now, HEARTBEAT)
        for target in range(self._load.gateways) if reports else ():
            if target != gateway and self._random.random() >= REPORT_LOSS:
                self._schedule_within(REPORT_DELAY_SECONDS, self._report_receiver(target, reports))

    def _report_receiver(self, target: int, reports: tuple[CrashReport, ...]) -> Callable[[], None]:
        def receive() -> None:
            if any([self.gateways[target].apply_report(item, self.now) for item in reports]):
                self._schedule_within((0.0, 0.05), lambda: self._send_reports(target))

        return receive

    def _restart_gateway(self, gateway: int) -> None:
        """Restart a gateway; later the others detect that, and it reads the history of one."""
        last_heard_at = self.now
        self.gateways[gateway] = RequestQuarantine()
        for engine in self._engines:
            for number, run in list(engine.running.items()):
                if run.call.gateway == gateway:
                    del engine.running[number]
                    if not run.call.crashing:
                        self._resend_later(run.call)

        def detect_failure() -> None:
            for other in self.gateways:
                if other is not self.gateways[gateway]:
                    other.record_gateway_failure(last_heard_at, self.now)
            source = self.gateways[(gateway + 1) % len(self.gateways)]
            for report in source.all_crash_reports(self.now):
                self.gateways[gateway].apply_report(report, self.now)

        self._schedule(self.now + SUSPECT_SECONDS, detect_failure)

    def _record_verdicts(self) -> None:
        for quarantine in self.gateways:
            for request in quarantine.blamed_requests(self.now):
                self._record_quarantined(request)

    def _record_quarantined(self, request: str) -> None:
        if request in self.outcome.ends:
            self.outcome.quarantined_after.setdefault(request, len(self.outcome.ends[request]))
        elif request[8:] == "0" * 8:
            self.outcome.quarantined_ordinary.add(request)
