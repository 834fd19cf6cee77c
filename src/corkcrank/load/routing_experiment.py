"""Routing policies over lagged views, in virtual time.

Many gateways choose among engines with the daemons' own policies and the same view as in
production: the last report, one digest old, plus own calls sent since. Engines serve a
fixed number of calls at once and queue the rest; a call whose prefix is still cached
there takes less time.
"""

import heapq
import itertools
import random
import statistics
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from corkcrank.contracts.identifiers import WorkerId
from corkcrank.contracts.settings import Routing
from corkcrank.machines.routing import Candidate, RoutingPolicy, make_policy

REPORT_SECONDS = 1.0
"""Time between reports."""

REPORT_LAG_SECONDS = 0.5
"""Age of a report when a gateway gets it."""

MEAN_SERVICE_SECONDS = 0.8
"""Mean time of a call whose prefix is not cached."""

CACHED_SHARE = 0.7
"""Share of the time that a call with a cached prefix takes."""

CACHED_PREFIXES = 12
"""Prefixes that an engine keeps."""

DEADLINE_SECONDS = 3.0
"""Deadline of every call."""

SAMPLE_SECONDS = 0.25
"""Time between samples of the engines' loads."""


@dataclass(frozen=True, slots=True)
class Fleet:
    """Sizes and load of one comparison; ``utilisation`` is without caching."""

    name: str
    gateways: int
    engines: int
    slots: int
    prefixes: int
    utilisation: float
    seconds: float


SMALL = Fleet("8 gateways, 12 engines", 8, 12, 16, 200, 0.9, 60.0)
LARGE = Fleet("350 gateways, 120 engines", 350, 120, 16, 2000, 0.9, 20.0)


@dataclass(frozen=True, slots=True)
class RoutingResult:
    """One policy's figures; times in seconds, cost in engine seconds a call."""

    routing: Routing
    calls: int
    attainment: float
    median_seconds: float
    p95_seconds: float
    cost_per_call: float
    variation: float


@dataclass(slots=True)
class _Engine:
    slots: int
    running: int = 0
    waiting: deque["_Call"] = field(default_factory=deque)
    cached: OrderedDict[int, None] = field(default_factory=OrderedDict)

    @property
    def load(self) -> int:
        return self.running + len(self.waiting)

    def service_share(self, prefix: int) -> float:
        hit = prefix in self.cached
        self.cached[prefix] = None
        self.cached.move_to_end(prefix)
        while len(self.cached) > CACHED_PREFIXES:
            self.cached.popitem(last=False)
        return CACHED_SHARE if hit else 1.0


@dataclass(slots=True)
class _Call:
    arrived: float
    gateway: int
    engine: int
    prefix: int
    work: float


@dataclass(slots=True)
class _Gateway:
    policy: RoutingPolicy
    candidates: list[Candidate]
    own: list[int]
    reported: list[int]
    own_at_report: list[int]

    def refresh(self, loads: list[int]) -> None:
        self.reported = loads
        self.own_at_report = list(self.own)
        for number, candidate in enumerate(self.candidates):
            candidate.load = loads[number]

    def update(self, engine: int, change: int) -> None:
        self.own[engine] = max(0, self.own[engine] + change)
        self.own_at_report[engine] = min(self.own_at_report[engine], self.own[engine])
        since = self.own[engine] - self.own_at_report[engine]
        self.candidates[engine].load = self.reported[engine] + since


class _Simulation:
    def __init__(self, fleet: Fleet, routing: Routing, seed: int) -> None:
        self.fleet = fleet
        self.source = random.Random(seed)
        self.engines = [_Engine(fleet.slots) for _ in range(fleet.engines)]
        self.gateways = [self._make_gateway(routing, number) for number in range(fleet.gateways)]
        self.events: list[tuple[float, int, str, _Call | None]] = []
        self.order = itertools.count()
        self.loads_told = [0] * fleet.engines
        self.seconds: list[float] = []
        self.cost = 0.0
        self.variations: list[float] = []

    def _make_gateway(self, routing: Routing, number: int) -> _Gateway:
        count = self.fleet.engines
        return _Gateway(
            policy=make_policy(routing, random.Random(number)),
            candidates=[
                Candidate(WorkerId(f"e{engine}"), 0.0, self.fleet.slots) for engine in range(count)
            ],
            own=[0] * count,
            reported=[0] * count,
            own_at_report=[0] * count,
        )

    def run(self) -> None:
        self._push(0.0, "arrive")
        self._push(0.0, "report")
        self._push(0.0, "sample")
        while self.events:
            now, _, kind, call = heapq.heappop(self.events)
            if kind == "end":
                assert call is not None
                self._end(call, now)
            elif now < self.fleet.seconds:
                getattr(self, f"_{kind}")(now)

    def _push(self, at: float, kind: str, call: _Call | None = None) -> None:
        heapq.heappush(self.events, (at, next(self.order), kind, call))

    def _arrive(self, now: float) -> None:
        capacity = self.fleet.engines * self.fleet.slots / MEAN_SERVICE_SECONDS
        self._push(now + self.source.expovariate(capacity * self.fleet.utilisation), "arrive")
        number = self.source.randrange(self.fleet.gateways)
        gateway = self.gateways[number]
        prefix = int(self.fleet.prefixes * self.source.random() ** 2)
        chosen = gateway.policy.choose(gateway.candidates, f"prefix-{prefix}")
        engine = int(chosen.worker[1:])
        gateway.update(engine, 1)
        work = self.source.gammavariate(4.0, MEAN_SERVICE_SECONDS / 4.0)
        self._enter(_Call(now, number, engine, prefix, work), now)

    def _enter(self, call: _Call, now: float) -> None:
        engine = self.engines[call.engine]
        if engine.running < engine.slots:
            self._start(engine, call, now)
        else:
            engine.waiting.append(call)

    def _start(self, engine: _Engine, call: _Call, now: float) -> None:
        engine.running += 1
        work = call.work * engine.service_share(call.prefix)
        self.cost += work
        self._push(now + work, "end", call)

    def _end(self, call: _Call, now: float) -> None:
        engine = self.engines[call.engine]
        engine.running -= 1
        self.seconds.append(now - call.arrived)
        self.gateways[call.gateway].update(call.engine, -1)
        if engine.waiting:
            self._start(engine, engine.waiting.popleft(), now)

    def _report(self, now: float) -> None:
        self.loads_told = [engine.load for engine in self.engines]
        self._push(now + REPORT_LAG_SECONDS, "digest")
        self._push(now + REPORT_SECONDS, "report")

    def _digest(self, now: float) -> None:
        for gateway in self.gateways:
            gateway.refresh(self.loads_told)

    def _sample(self, now: float) -> None:
        loads = [engine.load for engine in self.engines]
        mean = statistics.fmean(loads)
        if mean > 0 and now > REPORT_SECONDS:
            self.variations.append(statistics.pstdev(loads) / mean)
        self._push(now + SAMPLE_SECONDS, "sample")


def run_routing(fleet: Fleet, seed: int) -> tuple[RoutingResult, ...]:
    """Return every policy's figures for the same arrivals."""
    return tuple(_run_policy(fleet, routing, seed) for routing in Routing)


def _run_policy(fleet: Fleet, routing: Routing, seed: int) -> RoutingResult:
    simulation = _Simulation(fleet, routing, seed)
    simulation.run()
    ordered = sorted(simulation.seconds)
    attained = sum(seconds <= DEADLINE_SECONDS for seconds in ordered)
    return RoutingResult(
        routing=routing,
        calls=len(ordered),
        attainment=attained / len(ordered),
        median_seconds=ordered[len(ordered) // 2],
        p95_seconds=ordered[int(0.95 * len(ordered))],
        cost_per_call=simulation.cost / len(ordered),
        variation=statistics.fmean(simulation.variations),
    )


def format_routing(fleet: Fleet, results: tuple[RoutingResult, ...]) -> str:
    """Return a table of the policies."""
    lines = [
        f"{fleet.name}:",
        f"{'policy':<18}{'calls':>8}{'attained':>10}{'median s':>10}{'p95 s':>8}"
        f"{'engine s/call':>15}{'load variation':>16}",
    ]
    lines += [
        f"{item.routing:<18}{item.calls:>8}{item.attainment:>10.2%}{item.median_seconds:>10.3f}"
        f"{item.p95_seconds:>8.3f}{item.cost_per_call:>15.4f}{item.variation:>16.3f}"
        for item in results
    ]
    return "\n".join(lines)
