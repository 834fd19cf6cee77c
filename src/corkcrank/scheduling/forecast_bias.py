"""How far the forecasts of a route's stages were off lately, as the whole fleet measured.

Stated capacities do not know slow workers, lost owners or results that hold room for
longer than usual. The measured time over the forecast one corrects the next forecasts, and
the scatter of calls about it tells how sure a corrected forecast is. One gateway of many sees
too few calls to learn from, so each tells the others what it measured. A correction fades by
itself: a route whose calls are all refused measures nothing.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

FADE_SECONDS = 2.5
"""Time constant by which a measurement loses its weight."""

PRIOR_WEIGHT = 3.0
"""Weight of the belief that a forecast is right, in new measurements."""

PRIOR_VARIANCE = 1.0 / 12.0
"""Variance of a ratio before anything was measured: a piece comes at any moment of a worker's
call, which is as long as its own, so its wait is uniform over one such call."""

RATIO_BOUNDS = (0.7, 3.0)
"""Bounds of one measured ratio."""

FAILED_RATIO = 1.5
"""Least ratio that a call counts as whose stages could not be finished."""

LEAST_WEIGHT = 0.05
"""Weight below which a route's measurements are forgotten."""

UNIT = 100
"""Weights and totals are told in hundredths."""


class ForecastRatio(msgspec.Struct, frozen=True, array_like=True):
    """A gateway's own measurements of a route, faded to the moment of telling.

    ``weight`` is their number, ``total`` the sum of their ratios and ``scatter`` that of their
    squared errors in seconds for each second of forecast, all in hundredths. Older versions
    tell no scatter.
    """

    route: str
    weight: int
    total: int
    scatter: int = 0


@dataclass(frozen=True, slots=True)
class ForecastCorrection:
    """How far a route's forecasts were off lately, and how far calls strayed from that.

    ``factor`` is the mean of measured time over forecast time. ``scatter`` is the mean squared
    error of corrected forecasts for each second of forecast; ``prior_share`` is the weight of
    what is believed before anything was measured.
    """

    factor: float = 1.0
    scatter: float = 0.0
    prior_share: float = 1.0

    def spread_seconds(self, forecast: float) -> float:
        """Return the standard deviation of the time that a forecast of so many seconds becomes.

        A chain is a sum of waits and calls, so its variance grows with its length, and not its
        standard deviation.

        >>> round(ForecastCorrection().spread_seconds(1.0), 2)
        0.29
        """
        prior = self.prior_share * PRIOR_VARIANCE * forecast
        return math.sqrt(forecast * (prior + self.scatter))


@dataclass(slots=True)
class _Measurements:
    weight: float = 0.0
    total: float = 0.0
    scatter: float = 0.0
    at: float = 0.0

    def faded(self, now: float) -> "_Measurements":
        fade = math.exp(-max(0.0, now - self.at) / FADE_SECONDS)
        return _Measurements(self.weight * fade, self.total * fade, self.scatter * fade, now)

    def add(self, ratio: float, scatter: float, now: float) -> None:
        faded = self.faded(now)
        self.weight = faded.weight + 1.0
        self.total = faded.total + ratio
        self.scatter = faded.scatter + scatter
        self.at = now


class ForecastBias:
    """The correction of each route."""

    def __init__(self) -> None:
        self._own: dict[str, _Measurements] = {}
        self._peers: dict[str, dict[str, _Measurements]] = {}

    def learn(self, route: str, forecast: float, measured: float, now: float) -> None:
        """Take how long the stages of a call took and had been forecast to take.

        >>> bias = ForecastBias()
        >>> for _ in range(30): bias.learn("r", 1.0, 2.0, 0.0)
        >>> round(bias.of("r", 0.0).factor, 1), round(bias.of("r", 60.0).factor, 1)
        (1.9, 1.0)
        """
        if forecast <= 0:
            return
        low, high = RATIO_BOUNDS
        ratio = min(high, max(low, measured / forecast))
        error = forecast * (ratio - self.of(route, now).factor)
        self._own.setdefault(route, _Measurements()).add(ratio, error * error / forecast, now)

    def learn_failure(self, route: str, forecast: float, spent: float, now: float) -> None:
        """Take a call whose stages could not be finished after ``spent`` seconds."""
        self.learn(route, forecast, max(spent, FAILED_RATIO * forecast), now)

    def reported(self, now: float) -> tuple[ForecastRatio, ...]:
        """Return the own measurements as the other gateways are told."""
        ratios = []
        for route, own in list(self._own.items()):
            faded = own.faded(now)
            if faded.weight < LEAST_WEIGHT:
                del self._own[route]
                continue
            sums = (faded.weight, faded.total, faded.scatter)
            ratios.append(ForecastRatio(route, *(round(item * UNIT) for item in sums)))
        return tuple(ratios)

    def take(self, peer: str, ratios: Iterable[ForecastRatio], now: float) -> None:
        """Replace what a peer told before.

        >>> one, two = ForecastBias(), ForecastBias()
        >>> for _ in range(9): one.learn("r", 1.0, 3.0, 0.0)
        >>> two.take("one", one.reported(0.0), 0.0); two.take("one", one.reported(0.1), 0.1)
        >>> round(two.of("r", 0.1).factor, 1), two.of("other", 0.1).factor
        (2.5, 1.0)
        """
        self._peers[peer] = {item.route: _taken(item, now) for item in ratios}

    def forget(self, peer: str) -> None:
        """Drop a peer that is silent."""
        self._peers.pop(peer, None)

    def of(self, route: str, now: float) -> ForecastCorrection:
        """Return the correction of a route's forecasts."""
        weight = total = PRIOR_WEIGHT
        scatter = 0.0
        known = [self._own.get(route), *(told.get(route) for told in self._peers.values())]
        for item in known:
            if item is not None:
                faded = item.faded(now)
                weight += faded.weight
                total += faded.total
                scatter += faded.scatter
        return ForecastCorrection(total / weight, scatter / weight, PRIOR_WEIGHT / weight)


def _taken(told: ForecastRatio, now: float) -> _Measurements:
    """Return what a peer has just told."""
    return _Measurements(told.weight / UNIT, told.total / UNIT, told.scatter / UNIT, now)
