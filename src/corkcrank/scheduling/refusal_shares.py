"""Tracks the recent share of refused calls by route, at one gateway.

Does no I/O: callers pass the time.
"""

import math
from dataclasses import dataclass

DECAY_SECONDS = 2.5
"""Time constant of the exponential decay of a decision's weight: a few times the wait of a call at
the stages, so that the share follows a burst."""

PRIOR_WEIGHT = 3.0
"""Weight of the prior (no call is refused), in number of new decisions."""

MIN_WEIGHT = 0.05
"""Weight below which a route's decisions are removed."""


@dataclass(slots=True)
class _Decisions:
    weight: float
    refused: float
    at: float

    def decayed(self, now: float) -> "_Decisions":
        decay = math.exp(-max(0.0, now - self.at) / DECAY_SECONDS)
        return _Decisions(self.weight * decay, self.refused * decay, now)


class RefusalShares:
    """Exponentially decaying numbers of decided and refused calls by route."""

    def __init__(self) -> None:
        self._routes: dict[str, _Decisions] = {}

    def observe_decision(self, route: str, *, refused: bool, now: float) -> None:
        """Record that a call was admitted or refused.

        >>> shares = RefusalShares()
        >>> for number in range(27): shares.observe_decision("r", refused=number % 3 > 0, now=0.0)
        >>> round(shares.for_route("r", 0.0), 2), round(shares.for_route("r", 9.0), 2)
        (0.6, 0.13)
        """
        known = self._routes.get(route, _Decisions(0.0, 0.0, now)).decayed(now)
        self._routes[route] = _Decisions(known.weight + 1.0, known.refused + refused, now)

    def for_route(self, route: str, now: float) -> float:
        """Return the share of a route's calls that were refused, from 0 to 1."""
        known = self._routes.get(route)
        if known is None:
            return 0.0
        decayed = known.decayed(now)
        if decayed.weight < MIN_WEIGHT:
            del self._routes[route]
            return 0.0
        return decayed.refused / (decayed.weight + PRIOR_WEIGHT)
