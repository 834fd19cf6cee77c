"""Measures the demand of each rank in tokens a second, of admitted and refused calls."""

import math

from corkcrank.contracts.urgency import Rank

TIME_CONSTANT_SECONDS = 2.0
"""Time constant of the mean: longer than the gaps between calls, shorter than a burst."""


class DemandRates:
    """Exponentially decaying means of the requested tokens, by rank."""

    def __init__(self) -> None:
        self._rates: dict[Rank, tuple[float, float]] = {}

    def observe(self, rank: Rank, tokens: int, now: float) -> None:
        """Count the tokens of one call.

        >>> rates = DemandRates()
        >>> for number in range(100):
        ...     rates.observe((0, 0), 2_000, now=0.1 * number)
        >>> 18_000 < rates.more_urgent((0, 1), now=9.9) < 22_000, rates.more_urgent((0, 0), 9.9)
        (True, 0)
        """
        self._rates[rank] = self._rate(rank, now) + tokens / TIME_CONSTANT_SECONDS, now

    def more_urgent(self, rank: Rank, now: float) -> float:
        """Return the demand of more urgent ranks in tokens a second."""
        return sum(self._rate(other, now) for other in self._rates if other < rank)

    def _rate(self, rank: Rank, now: float) -> float:
        rate, at = self._rates.get(rank, (0.0, now))
        return rate * math.exp((at - now) / TIME_CONSTANT_SECONDS)
