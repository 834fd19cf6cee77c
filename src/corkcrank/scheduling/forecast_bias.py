"""How far the forecasts of a route's stages were off lately.

Stated capacities do not know slow workers, lost owners or results that hold room for
longer than usual. The measured time over the forecast one corrects the next forecasts. The
correction fades by itself: a route whose calls are all refused measures nothing.
"""

import math
from dataclasses import dataclass, field

WEIGHT = 0.2
"""Weight of the newest measurement."""

FADE_SECONDS = 4.0
"""Time constant by which a correction fades towards none."""

BOUNDS = (0.7, 3.0)
"""Bounds of a correction."""

FAILED_RATIO = 1.5
"""Least ratio that a call counts as whose stages could not be finished."""


@dataclass(slots=True)
class _Bias:
    value: float = 1.0
    at: float = 0.0

    def current(self, now: float) -> float:
        fade = math.exp(-max(0.0, now - self.at) / FADE_SECONDS)
        return 1.0 + (self.value - 1.0) * fade


@dataclass(slots=True)
class ForecastBias:
    """The correction of each route."""

    _biases: dict[str, _Bias] = field(default_factory=dict)

    def learn(self, route: str, forecast: float, measured: float, now: float) -> None:
        """Take how long the stages of a call took and had been forecast to take.

        >>> bias = ForecastBias()
        >>> for _ in range(30): bias.learn("r", 1.0, 2.0, 0.0)
        >>> round(bias.of("r", 0.0), 1), round(bias.of("r", 60.0), 1)
        (2.0, 1.0)
        """
        if forecast <= 0:
            return
        low, high = BOUNDS
        ratio = min(high, max(low, measured / forecast))
        known = self._biases.setdefault(route, _Bias())
        current = known.current(now)
        known.value = current + WEIGHT * (ratio - current)
        known.at = now

    def learn_failure(self, route: str, forecast: float, spent: float, now: float) -> None:
        """Take a call whose stages could not be finished after ``spent`` seconds."""
        self.learn(route, forecast, max(spent, FAILED_RATIO * forecast), now)

    def of(self, route: str, now: float) -> float:
        """Return the factor for a route's forecasts."""
        known = self._biases.get(route)
        return known.current(now) if known is not None else 1.0
