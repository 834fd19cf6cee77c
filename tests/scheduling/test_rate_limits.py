"""Number of requests that a limited worker gets from all gateways together in any second.

Guards against an overload of warming engines. The worst case is simulated: half of a fleet's
engines restart cold during a burst, their owner becomes unreachable meanwhile, and every gateway
prefers the same engine, as with a shared session.
"""

import random
from bisect import bisect_right
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corkcrank.scheduling.rate_limits import GrantLog, LocalSlots, RateLimit

RATE = 6.7
"""Requests a second that a simulated warming worker can serve."""

BOUND = RATE * 1.5 + 5
"""Requests in any second that overload it."""

WARMUP_SECONDS = 3.0
WINDOW_SECONDS = 1.0
LIMITS = (RateLimit(RATE),)
ENGINES = [f"engine-{number}" for number in range(35)]


def max_in_a_second(times: list[float]) -> int:
    return max(
        (
            position - bisect_right(times, at - WINDOW_SECONDS) + 1
            for position, at in enumerate(times)
        ),
        default=0,
    )


def arrivals(source: random.Random, rate: float, seconds: float) -> list[float]:
    times, now = [], 0.0
    while (now := now + source.expovariate(rate)) < seconds:
        times.append(now)
    return times


class Simulation:
    """Simulated gateways that all prefer the first engine of the list with capacity left."""

    def __init__(self, members: int, seed: int) -> None:
        self.source = random.Random(seed)
        self.owner = GrantLog()
        self.slots = [LocalSlots(f"node-{number}") for number in range(members)]
        # The clocks of different machines have no common origin.
        self.offsets = [self.source.uniform(0, 1e6) for _ in range(members)]
        self.sent: dict[str, list[float]] = {engine: [] for engine in ENGINES}
        self.refused = 0

    def choose_by_grant(self, now: float) -> str | None:
        engine = next((name for name in ENGINES if self.owner.fits(name, LIMITS, now)), None)
        if engine is not None:
            self.owner.record_grant(engine, now)
        return engine

    def choose_by_slot(self, now: float) -> str | None:
        number = self.source.randrange(len(self.slots))
        slots, members, own = self.slots[number], len(self.slots), now + self.offsets[number]
        engine = next((name for name in ENGINES if slots.is_open(name, RATE, members, own)), None)
        if engine is not None:
            slots.record_use(engine, RATE, members, own)
        return engine

    def send(self, now: float, choose: Callable[[float], str | None]) -> None:
        engine = choose(now)
        if engine is None:
            self.refused += 1
        else:
            self.sent[engine].append(now)

    def max_in_a_second_at_one_engine(self) -> int:
        return max(max_in_a_second(times) for times in self.sent.values())


@pytest.mark.parametrize("members", [6, 86, 195])
@pytest.mark.parametrize("seed", range(5))
def test_an_owner_grants_no_engine_more_than_its_rate(members: int, seed: int) -> None:
    simulation = Simulation(members, seed)
    for now in arrivals(simulation.source, 200.0, WARMUP_SECONDS):
        simulation.send(now, simulation.choose_by_grant)
    assert simulation.max_in_a_second_at_one_engine() <= RATE
    assert simulation.refused < 0.2 * sum(len(times) for times in simulation.sent.values())


@pytest.mark.parametrize("members", [6, 86, 195])
@pytest.mark.parametrize("seed", range(20))
def test_without_an_owner_all_gateways_together_stay_within_the_bound(
    members: int, seed: int
) -> None:
    simulation = Simulation(members, seed)
    for now in arrivals(simulation.source, 400.0, WARMUP_SECONDS):
        simulation.send(now, simulation.choose_by_slot)
    assert simulation.max_in_a_second_at_one_engine() <= BOUND


@pytest.mark.parametrize("seed", range(20))
def test_loss_and_replacement_of_an_owner_stay_within_the_bound(seed: int) -> None:
    """The owner is unreachable for a while; its successor knows none of the earlier grants."""
    simulation = Simulation(86, seed)
    lost_at, found_at = 0.8, 1.3
    for now in arrivals(simulation.source, 200.0, WARMUP_SECONDS):
        if now >= found_at and lost_at >= 0:
            simulation.owner, lost_at = GrantLog(), -1.0
        without = lost_at >= 0 and now >= lost_at
        simulation.send(now, simulation.choose_by_slot if without else simulation.choose_by_grant)
    assert simulation.max_in_a_second_at_one_engine() <= BOUND


@given(
    rate=st.floats(0.1, 50.0),
    times=st.lists(st.floats(0.0, 5.0), max_size=60).map(sorted),
)
def test_grants_in_a_window_never_exceed_the_rate(rate: float, times: list[float]) -> None:
    window, granted = GrantLog(), []
    for now in times:
        if window.fits("w", (RateLimit(rate),), now):
            window.record_grant("w", now)
            granted.append(now)
    assert max_in_a_second(granted) <= max(1, int(rate))


def test_unused_slots_expire() -> None:
    """Gateways that sent nothing for a minute must not all send at once."""
    members, source = 86, random.Random(3)
    opened = 0
    for number in range(members):
        slots, now = LocalSlots(f"node-{number}"), source.uniform(0, 1e6)
        opened += slots.is_open("w", RATE, members, now + 60.0)
    assert opened <= BOUND
