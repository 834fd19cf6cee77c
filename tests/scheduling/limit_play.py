"""Simulates strategies by which many gateways together keep a worker's rate limit.

Calls arrive at random gateways in virtual time, and each call prefers the limited worker. Calls
that a strategy does not admit go to other workers. The worker states its limit in its answers, so a
gateway receives it by a call of its own or by a report. The owner may be unreachable for a while;
its successor does not know the earlier grants.
"""

import random
from abc import ABC, abstractmethod
from bisect import bisect_left
from collections import deque
from dataclasses import dataclass, field

from corkcrank.scheduling.rate_limits import GrantLog, LocalSlots, limits_for_stated_rate
from corkcrank.scheduling.stated_limits import StatedLimits

WORKER = "w"
COUNTED_WINDOW_SECONDS = 4.0
LATENCY_SECONDS = 0.005
"""Latency from a gateway to the worker, or to the owner and back."""


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Settings of a simulation: one worker with a limit of ``rate`` requests a second.

    ``members`` is the number of gateways and ``demand`` the calls a second. Each gateway has
    received the limit after ``max_notice_seconds`` at the latest; limits are checked from
    ``known_everywhere_at`` on. No owner answers between the two times of ``owner_outage``.
    """

    members: int
    rate: float
    demand: float
    seconds: float = 30.0
    max_notice_seconds: float = 1.0
    owner_outage: tuple[float, float] = (12.0, 13.5)
    known_everywhere_at: float = 3.0


class Strategy(ABC):
    """Strategy of all gateways; one object holds the state of every gateway."""

    def __init__(self, settings: LimitSettings, source: random.Random) -> None:
        self.settings = settings
        self.source = source
        self.messages = 0

    @abstractmethod
    def admits(self, member: int, now: float) -> bool:
        """Return whether a gateway that knows the limit sends a call to the worker."""


class Unlimited(Strategy):
    """No gateway applies the limit."""

    def admits(self, member: int, now: float) -> bool:
        return True


class WholeLimitEach(Strategy):
    """Each gateway applies the whole limit to its own calls."""

    share = 1.0

    def __init__(self, settings: LimitSettings, source: random.Random) -> None:
        super().__init__(settings, source)
        self.free_at = [0.0] * settings.members

    def admits(self, member: int, now: float) -> bool:
        if now < self.free_at[member]:
            return False
        self.free_at[member] = now + 1.0 / (self.settings.rate * self.share)
        return True


class EqualShares(WholeLimitEach):
    """Each gateway applies an equal share of the limit to its own calls."""

    def __init__(self, settings: LimitSettings, source: random.Random) -> None:
        super().__init__(settings, source)
        self.share = 1.0 / settings.members


class SharesByDemand(Strategy):
    """Each gateway's share of the limit is its part of the recently reported demand."""

    def __init__(self, settings: LimitSettings, source: random.Random) -> None:
        super().__init__(settings, source)
        self.asked: list[deque[float]] = [deque() for _ in range(settings.members)]
        self.tokens = [0.0] * settings.members
        self.filled_at = [0.0] * settings.members

    def admits(self, member: int, now: float) -> bool:
        horizon = now - self.settings.max_notice_seconds
        self.asked[member].append(now)
        own = max(1, sum(at > horizon - 4.0 for at in self.asked[member]))
        # The demand of other gateways is known as of their last report.
        others = sum(
            sum(horizon - 4.0 < at <= horizon for at in times)
            for number, times in enumerate(self.asked)
            if number != member
        )
        share = self.settings.rate * own / (own + others)
        gained = (now - self.filled_at[member]) * share
        self.tokens[member] = min(1.0, self.tokens[member] + gained)
        self.filled_at[member] = now
        if self.tokens[member] < 1.0:
            return False
        self.tokens[member] -= 1.0
        return True


class GatewaySlots(Strategy):
    """Each gateway has time slots of its own, for one request each."""

    def __init__(self, settings: LimitSettings, source: random.Random) -> None:
        super().__init__(settings, source)
        self.slots = [LocalSlots(f"node-{number}") for number in range(settings.members)]
        self.offsets = [source.uniform(0, 1e6) for _ in range(settings.members)]

    def admits(self, member: int, now: float) -> bool:
        rate, members, own = self.settings.rate, self.settings.members, now + self.offsets[member]
        slots = self.slots[member]
        if not slots.is_open(WORKER, rate, members, own):
            return False
        slots.record_use(WORKER, rate, members, own)
        return True


class Leases(GatewaySlots):
    """The owner leases requests of one second to each gateway that asks; unused ones expire."""

    lease_seconds = 1.0

    def __init__(self, settings: LimitSettings, source: random.Random) -> None:
        super().__init__(settings, source)
        self.leased_until = [0.0] * settings.members
        self.places = [0] * settings.members
        self.second, self.left = -1, 0

    def admits(self, member: int, now: float) -> bool:
        if now >= self.leased_until[member]:
            self._lease(member, now)
        if self.places[member] <= 0:
            return False
        self.places[member] -= 1
        return True

    def _lease(self, member: int, now: float) -> None:
        self.messages += 1
        if int(now) != self.second:
            self.second, self.left = int(now), max(1, int(self.settings.rate))
        taken = min(self.left, max(1, self.left // 2))
        self.left -= taken
        self.places[member] = taken
        self.leased_until[member] = now + self.lease_seconds


class OwnerGrants(GatewaySlots):
    """The owner grants each request; if it does not answer, the local time slots decide."""

    def __init__(self, settings: LimitSettings, source: random.Random) -> None:
        super().__init__(settings, source)
        self.owner = GrantLog()
        self.replaced = False

    def admits(self, member: int, now: float) -> bool:
        lost_at, found_at = self.settings.owner_outage
        if lost_at <= now < found_at:
            return super().admits(member, now)
        if now >= found_at and not self.replaced:
            self.owner, self.replaced = GrantLog(), True
        self.messages += 1
        if not self.owner.fits(WORKER, limits_for_stated_rate(self.settings.rate), now):
            return False
        self.owner.record_grant(WORKER, now)
        return True


@dataclass(slots=True)
class LimitOutcome:
    """Requests that reached the worker, and messages to the owner."""

    arrivals: list[float] = field(default_factory=list)
    messages: int = 0

    def max_requests(self, since: float) -> int:
        """Return the highest number of requests in any four seconds from a time on."""
        times = [at for at in self.arrivals if at >= since]
        return max(
            (
                bisect_left(times, at + COUNTED_WINDOW_SECONDS) - place
                for place, at in enumerate(times)
            ),
            default=0,
        )

    def rate(self, since: float, until: float) -> float:
        """Return the requests a second between two times."""
        return sum(since <= at < until for at in self.arrivals) / (until - since)


def simulate_limit(
    settings: LimitSettings, strategy_type: type[Strategy], seed: int
) -> LimitOutcome:
    """Simulate calls while the worker states its limit."""
    source = random.Random(seed)
    strategy, outcome = strategy_type(settings, source), LimitOutcome()
    received_at = [
        source.uniform(0.0, settings.max_notice_seconds) for _ in range(settings.members)
    ]
    limits = [StatedLimits() for _ in range(settings.members)]
    now = 0.0
    while (now := now + source.expovariate(settings.demand)) < settings.seconds:
        member = source.randrange(settings.members)
        if now >= received_at[member]:
            limits[member].record_answer(WORKER, settings.rate, now)
        limit_is_known = limits[member].rate(WORKER, now) is not None
        if limit_is_known and not strategy.admits(member, now):
            continue
        outcome.arrivals.append(now + LATENCY_SECONDS)
        limits[member].record_answer(WORKER, settings.rate, now + LATENCY_SECONDS)
    outcome.messages = strategy.messages
    return outcome
