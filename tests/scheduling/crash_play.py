"""Plays requests that crash engines beside ordinary streams, at several gateways with lossy news.

On a virtual clock, without a network. Streams that an engine broke off are taken up at another one
at once, so neighbours travel with the request at fault.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from corkcrank.scheduling.crash_reports import BEGINNING_SECONDS, CrashReport
from corkcrank.scheduling.request_quarantine import RequestQuarantine

HEARTBEAT = 0.25
NEWS_SECONDS = (0.005, 0.08)
NEWS_LOST = 0.05
LOOK_SECONDS = (0.001, 0.01)
RETRY_SECONDS = (0.001, 0.01)
CRASH_SECONDS = (0.002, 0.03)
FIRST_EVENT_SECONDS = (0.01, 0.2)
STREAM_SECONDS = (0.05, 2.0)
BACK_SECONDS = (0.3, 4.0)
RETURN_SECONDS = (0.3, 1.0)
CRASHER_RETURN_SECONDS = (0.05, 0.4)
CRASHER_SECONDS = 9.0
BOUND_SECONDS = 3.0
SUSPECT_SECONDS = 1.1
ATTEMPTS = 3


@dataclass(frozen=True)
class CrashLoad:
    """Engines, gateways, ordinary streams at a time, and requests that crash engines at a time.

    ``event_first`` has an engine send an event before it crashes; ``kill`` has the gateway killed
    through which a request has just ended its third engine.
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


@dataclass
class _Run:
    call: _Call
    first_event: float


@dataclass
class _Engine:
    name: str
    births: int = 0
    away_until: float = 0.0
    running: dict[int, _Run] = field(default_factory=dict)

    @property
    def incarnation(self) -> str:
        return f"{self.name} {self.births}"


@dataclass
class CrashOutcome:
    """What became of a play; ``late`` counts ends of a crashing request past its bound."""

    ordinary: int = 0
    served: int = 0
    held: set[str] = field(default_factory=set)
    held_at_end: set[str] = field(default_factory=set)
    ends: dict[str, list[float]] = field(default_factory=dict)
    quarantined_after: dict[str, int] = field(default_factory=dict)

    @property
    def most_late(self) -> int:
        """Return the most ends that one request caused later than allowed after its third."""
        late = [
            sum(at > ends[2] + BOUND_SECONDS for at in ends)
            for ends in self.ends.values()
            if len(ends) > ATTEMPTS
        ]
        return max(late, default=0)


class CrashPlay:
    """One play of some seconds."""

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
        """Play for so many seconds."""
        self._ends_at = seconds
        for _ in range(self._load.streams):
            self._after((0.0, 0.5), self._new_call)
        for number in range(self._load.crashers):
            request = f"{0xC0 + number:016x}"
            call = _Call(request, self._any_gateway(), crashing=True)
            self._after((1.0, 1.03), self._sender(call))
        for gateway in range(self._load.gateways):
            self._after((0.0, HEARTBEAT), self._beater(gateway))
        while self._events and self._events[0][0] < seconds:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self._look_at_verdicts()
        crashing = set(self.outcome.ends)
        for gateway in self.gateways:
            self.outcome.held_at_end |= set(gateway.quarantined(self.now)) - crashing
        return self.outcome

    def _at(self, when: float, event: Callable[[], None]) -> None:
        self._numbers += 1
        heapq.heappush(self._events, (when, self._numbers, event))

    def _after(self, bounds: tuple[float, float], event: Callable[[], None]) -> None:
        self._at(self.now + self._random.uniform(*bounds), event)

    def _any_gateway(self) -> int:
        return self._random.randrange(self._load.gateways)

    def _sender(self, call: _Call) -> Callable[[], None]:
        return lambda: self._send(call)

    def _beater(self, gateway: int) -> Callable[[], None]:
        def beat() -> None:
            self._tell(gateway)
            self._after((0.9 * HEARTBEAT, 1.1 * HEARTBEAT), beat)

        return beat

    def _new_call(self) -> None:
        self.outcome.ordinary += 1
        self._send(_Call(f"{self.outcome.ordinary:08x}{0:08x}", self._any_gateway()))

    def _send(self, call: _Call) -> None:
        quarantine = self.gateways[call.gateway]
        if wait := quarantine.seconds_to_wait(call.request, self.now):
            self._at(self.now + wait, self._sender(call))
            return
        if quarantine.seconds_left(call.request, self.now) > 0.0:
            self._note_held(call.request)
            self._fail(call)
            return
        usable = [engine for engine in self._engines if engine.away_until <= self.now]
        if not usable:
            self._fail(call)
            return
        call.attempts += 1
        self._run_at(self._random.choice(usable), call)

    def _run_at(self, engine: _Engine, call: _Call) -> None:
        self._numbers += 1
        number, incarnation = self._numbers, engine.incarnation
        first_event = self.now + self._random.uniform(*FIRST_EVENT_SECONDS)
        if call.crashing:
            first_event = self.now if self._load.event_first else float("inf")
        engine.running[number] = _Run(call, first_event)
        if call.crashing:
            self._after(CRASH_SECONDS, lambda: self._crash(engine, incarnation, call))
            return
        seconds = self._random.uniform(*STREAM_SECONDS)
        self._at(first_event + seconds, lambda: self._finish(engine, incarnation, number))

    def _finish(self, engine: _Engine, incarnation: str, number: int) -> None:
        if engine.incarnation != incarnation or number not in engine.running:
            return
        call = engine.running.pop(number).call
        self.gateways[call.gateway].note_sound(call.request, self.now)
        self.outcome.served += 1
        self._new_call()

    def _crash(self, engine: _Engine, incarnation: str, by: _Call) -> None:
        if engine.incarnation != incarnation:
            return
        ends = self.outcome.ends.setdefault(by.request, [])
        ends.append(self.now)
        broken = list(engine.running.values())
        engine.running, engine.births = {}, engine.births + 1
        engine.away_until = self.now + self._random.uniform(*BACK_SECONDS)
        if self._load.kill and len(ends) == ATTEMPTS:
            gateway = by.gateway
            self._after((0.0, 0.05), lambda: self._kill(gateway))
        for run in broken:
            progressed = self.now - run.first_event > BEGINNING_SECONDS
            self._after(LOOK_SECONDS, self._noter(run.call, incarnation, progressed=progressed))
            self._go_on(run.call)

    def _noter(self, call: _Call, incarnation: str, *, progressed: bool) -> Callable[[], None]:
        gateway = self.gateways[call.gateway]

        def note() -> None:
            if gateway is not self.gateways[call.gateway]:
                return
            if gateway.note_end(call.request, incarnation, self.now, progressed=progressed):
                self._after((0.0, 0.001), lambda: self._tell(call.gateway))

        return note

    def _go_on(self, call: _Call) -> None:
        if call.attempts < ATTEMPTS:
            self._after(RETRY_SECONDS, self._sender(call))
        else:
            self._fail(call)

    def _fail(self, call: _Call) -> None:
        """Have the caller send the request again, at any gateway."""
        again = _Call(call.request, self._any_gateway(), call.crashing, 0, call.sent + 1)
        if call.crashing:
            if self.now < CRASHER_SECONDS:
                self._after(CRASHER_RETURN_SECONDS, self._sender(again))
        elif call.sent < ATTEMPTS:
            self._after(RETURN_SECONDS, self._sender(again))
        else:
            self._new_call()

    def _tell(self, gateway: int) -> None:
        source = self.gateways[gateway]
        self._look_at_verdicts()
        reports = source.reported(self.now, HEARTBEAT)
        for target in range(self._load.gateways) if reports else ():
            if target != gateway and self._random.random() >= NEWS_LOST:
                self._after(NEWS_SECONDS, self._taker(target, reports))

    def _taker(self, target: int, reports: tuple[CrashReport, ...]) -> Callable[[], None]:
        def take() -> None:
            if any([self.gateways[target].take(item, self.now) for item in reports]):
                self._after((0.0, 0.05), lambda: self._tell(target))

        return take

    def _kill(self, gateway: int) -> None:
        """Have a gateway start anew; the others notice after a while, and it asks one of them."""
        last_heard_at = self.now
        self.gateways[gateway] = RequestQuarantine()
        for engine in self._engines:
            for number, run in list(engine.running.items()):
                if run.call.gateway == gateway:
                    del engine.running[number]
                    if not run.call.crashing:
                        self._fail(run.call)

        def noticed() -> None:
            for other in self.gateways:
                if other is not self.gateways[gateway]:
                    other.note_loss(last_heard_at, self.now)
            source = self.gateways[(gateway + 1) % len(self.gateways)]
            for report in source.all_reports(self.now):
                self.gateways[gateway].take(report, self.now)

        self._at(self.now + SUSPECT_SECONDS, noticed)

    def _look_at_verdicts(self) -> None:
        for quarantine in self.gateways:
            for request in quarantine.quarantined(self.now):
                self._note_held(request)

    def _note_held(self, request: str) -> None:
        if request in self.outcome.ends:
            self.outcome.quarantined_after.setdefault(request, len(self.outcome.ends[request]))
        elif request[8:] == "0" * 8:
            self.outcome.held.add(request)
