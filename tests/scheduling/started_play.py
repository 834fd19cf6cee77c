"""Simulates gateways that have just started and know no success of any prompt part.

It extends ``part_play``. Each ordinary stream has one of several usual parts. Engines crash under
requests that crash each of them, sent with another usual part each time, under requests with a bad
part beside a usual one, and for no reason that a request gives. Engines are slow at first, so that
few runs progress.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from crash_play import CRASHER_SECONDS, FIRST_EVENT_SECONDS, _Call
from part_play import PartLoad, PartSimulation, part

BEGIN_SECONDS = (0.1, 4.0)
SLOW_FIRST_EVENT_SECONDS = (0.2, 1.5)


@dataclass(frozen=True)
class StartedLoad(PartLoad):
    """A load at gateways that have just started.

    ``crash_rate`` is how many engines a second crash for no reason that a request gives. Engines
    send their first events late until ``slow_until``.
    """

    others: int = 6
    crashers: int = 2
    bad_rate: float = 3.0
    crash_rate: float = 0.3
    slow_until: float = 2.5


@dataclass
class StartedOutcome:
    """What gateways made of parts and requests, and how many engines those to blame crashed.

    ``usual_held`` are the usual parts that any gateway held, ``sound_held`` the ordinary requests.
    ``bad_part_crashes`` is the number of engines that the bad part crashed, ``until_held`` those
    before each gateway held it, if all did. ``late_crashes`` are those later than the bound.
    """

    usual_held: set[str]
    sound_held: set[str]
    bad_part_crashes: int
    until_held: int | None
    late_crashes: int
    request_crashes: list[int]


@dataclass
class _Holds:
    gateways: set[int] = field(default_factory=set)
    crashes: int | None = None


class StartedSimulation(PartSimulation):
    """A simulation of gateways that start together while engines crash for several reasons."""

    def __init__(self, load: StartedLoad, seed: int) -> None:
        super().__init__(load, seed)
        self._load_at_start = load
        self._usual = [part(f"usual{number}") for number in range(load.others)]
        self._crashers = [f"{0xC0 + number:016x}" for number in range(load.crashers)]
        self._holds = _Holds()

    def run_started(self, seconds: float = 10.0) -> StartedOutcome:
        """Simulate for a number of seconds."""
        load = self._load_at_start
        for bad in self._bad:
            self._schedule_within(BEGIN_SECONDS, self._bad_sender(bad))
        for request in self._crashers:
            self._schedule_within(BEGIN_SECONDS, self._crasher_starter(request))
        if load.crash_rate:
            self._schedule(self._random.expovariate(load.crash_rate), self._crash_any)
        self.run(seconds)
        times = self.parts.crashes.get(self._bad[0], []) if self._bad else []
        return StartedOutcome(
            self.parts.held - self.bad_parts,
            set(self.outcome.quarantined_ordinary),
            len(times),
            self._holds.crashes,
            self.parts.max_late_crashes,
            [len(self.outcome.ends.get(request, [])) for request in self._crashers],
        )

    def _bad_sender(self, bad: str) -> Callable[[], None]:
        return lambda: self._send_bad(bad)

    def _crasher_starter(self, request: str) -> Callable[[], None]:
        return lambda: self._send(self._with_usual_part(request, crashing=True))

    def _with_usual_part(self, request: str, *, crashing: bool = False) -> _Call:
        parts = (self._random.choice(self._usual),)
        return _Call(request, self._random_gateway(), crashing=crashing, parts=parts)

    def _send_bad(self, bad: str) -> None:
        self._bad_requests += 1
        call = self._with_usual_part(f"{0xBAD:08x}{self._bad_requests:08x}", crashing=True)
        call.parts = (*call.parts, bad)
        self._sent_once.add(call.request)
        self._send(call)
        rate = self._load_at_start.bad_rate
        self._schedule(self.now + self._random.expovariate(rate), self._bad_sender(bad))

    def _start_call(self) -> None:
        self.outcome.ordinary += 1
        self._send(self._with_usual_part(f"{self.outcome.ordinary:08x}{0:08x}"))

    def _crash_any(self) -> None:
        rate = self._load_at_start.crash_rate
        self._schedule(self.now + self._random.expovariate(rate), self._crash_any)
        usable = [engine for engine in self._engines if engine.unavailable_until <= self.now]
        if usable:
            engine = self._random.choice(usable)
            self._crash(engine, engine.incarnation, _Call("crash", 0))

    def _resend_later(self, call: _Call) -> None:
        if call.request in self._crashers:
            if self.now < CRASHER_SECONDS:
                again = self._with_usual_part(call.request, crashing=True)
                self._schedule_within((0.05, 0.4), self._sender(again))
            return
        super()._resend_later(call)

    def _crash(self, engine, incarnation, by) -> None:  # type: ignore[no-untyped-def]
        if by.request in self._crashers:
            by = _Call(by.request, by.gateway, crashing=True)
        super()._crash(engine, incarnation, by)

    def _first_event_seconds(self) -> tuple[float, float]:
        slow = self.now < self._load_at_start.slow_until
        return SLOW_FIRST_EVENT_SECONDS if slow else FIRST_EVENT_SECONDS

    def _record_verdicts(self) -> None:
        for number, gateway in enumerate(self.gateways):
            if self.bad_parts & set(gateway.blamed_parts(self.now)):
                self._holds.gateways.add(number)
        if self._holds.crashes is None and len(self._holds.gateways) == len(self.gateways):
            self._holds.crashes = len(self.parts.crashes.get(self._bad[0], []))
        super()._record_verdicts()
