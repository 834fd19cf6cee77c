"""Routing policies that choose a back end from delayed loads and local calls in flight."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from corkcrank.contracts.identifiers import WorkerId
from corkcrank.contracts.rendezvous import highest_rendezvous
from corkcrank.contracts.settings import Routing

PREFIX_BYTES = 256
"""Leading bytes of a prompt that determine its preferred engine."""

FIRST_TURN_RANGE = 65_536
"""Range of the random first turn of a round robin, so that gateways start at different turns."""

MAX_PREFERRED_LOAD_RATIO = 1.25
"""Multiple of the mean load above which a preferred engine is skipped."""


@dataclass(slots=True)
class Candidate:
    """A live back end as one gateway sees it.

    ``load`` counts the reported running and waiting calls plus the local calls sent since.
    """

    worker: WorkerId
    load: float
    slots: int
    distance: int = 0

    @property
    def pressure(self) -> float:
        """Return the load per slot."""
        return self.load / self.slots if self.slots > 1 else self.load


class RoutingPolicy(Protocol):
    """Chooses one of several candidates."""

    def choose(self, candidates: Sequence[Candidate], affinity: str) -> Candidate:
        """Return the chosen candidate; ``candidates`` is not empty."""


class RoundRobin:
    """Chooses the candidates in round-robin order, regardless of load."""

    def __init__(self, random_source: random.Random) -> None:
        self._next = random_source.randrange(FIRST_TURN_RANGE)

    def choose(self, candidates: Sequence[Candidate], affinity: str) -> Candidate:
        """Return the next candidate in round-robin order."""
        self._next += 1
        return candidates[self._next % len(candidates)]


class LeastLoaded:
    """Chooses the lowest pressure in the view. Gateways herd on one back end when the view lags."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source

    def choose(self, candidates: Sequence[Candidate], affinity: str) -> Candidate:
        """Return the candidate with the lowest pressure; breaks ties at random."""
        return min(candidates, key=lambda candidate: (candidate.pressure, self._random.random()))


class TwoChoices:
    """Chooses the better of two random candidates, which spreads the error of a delayed view.

    The two are drawn independently and may be the same. With two back ends, a pair of
    different ones would always be both, and every gateway would choose the same one.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source

    def choose(self, candidates: Sequence[Candidate], affinity: str) -> Candidate:
        """Return the better of two random candidates."""
        first = self._random.choice(candidates)
        second = self._random.choice(candidates)
        return first if first.pressure <= second.pressure else second


class PrefixAffinity:
    """Prefers the engine that holds the prefix while its load stays near the mean.

    The preferred engine has the highest rendezvous hash of prefix and worker, so every
    gateway prefers the same one. Above the bound, it falls back to two random choices.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._fallback = TwoChoices(random_source)

    def choose(self, candidates: Sequence[Candidate], affinity: str) -> Candidate:
        """Return the preferred candidate, or the better of two if its load is above the bound."""
        if not affinity:
            return self._fallback.choose(candidates, affinity)
        preferred = candidates[highest_rendezvous(affinity, [item.worker for item in candidates])]
        mean = sum(item.pressure for item in candidates) / len(candidates)
        allowance = 1.0 / max(1, preferred.slots)
        if preferred.pressure <= mean * MAX_PREFERRED_LOAD_RATIO + allowance:
            return preferred
        return self._fallback.choose(candidates, affinity)


def make_policy(routing: Routing, random_source: random.Random) -> RoutingPolicy:
    """Return the policy of this name."""
    match routing:
        case Routing.PREFIX_AFFINITY:
            return PrefixAffinity(random_source)
        case Routing.TWO_CHOICES:
            return TwoChoices(random_source)
        case Routing.LEAST_LOADED:
            return LeastLoaded(random_source)
        case Routing.ROUND_ROBIN:
            return RoundRobin(random_source)
