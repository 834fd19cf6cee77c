"""Correction of stage forecasts by route, from the recent forecast errors of the whole fleet.

Configured capacities don't account for slow workers, unreachable owners or results that occupy
memory for longer than usual. The ratio of measured to forecast time corrects later forecasts, and
the scatter of calls around it gives the uncertainty of a corrected forecast. A single gateway
observes too few calls, so gateways exchange their measurements. A correction decays exponentially,
because a route whose calls are all refused produces no new measurements.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

DECAY_SECONDS = 2.5
"""Time constant of the exponential decay of a measurement's weight."""

PRIOR_WEIGHT = 3.0
"""Weight of the prior (the forecast is right), in number of new measurements."""

PRIOR_VARIANCE = 1.0 / 12.0
"""Variance of a ratio before the first measurement: that of a uniform distribution of width 1. A
piece arrives at a random point of the worker's running call and waits for the end of that call. All
calls are assumed equally long, so the wait is uniform over one call."""

RATIO_BOUNDS = (0.7, 3.0)
"""Bounds of one measured ratio."""

MIN_FAILED_RATIO = 1.5
"""Minimum ratio recorded for a call whose stages did not complete."""

MIN_WEIGHT = 0.05
"""Weight below which a route's measurements are removed."""

WIRE_SCALE = 100
"""Weights and totals are reported in hundredths."""


class ForecastRatio(msgspec.Struct, frozen=True, array_like=True):
    """A gateway's local measurements of a route, decayed to the time of the report.

    ``weight`` is their number, ``total`` the sum of their ratios. ``scatter`` is the sum of their
    squared errors in seconds for each second of forecast. All are in hundredths. Older versions
    report no scatter.
    """

    route: str
    weight: int
    total: int
    scatter: int = 0


@dataclass(frozen=True, slots=True)
class ForecastCorrection:
    """Recent mean error of a route's forecasts, and the scatter of calls around that mean.

    ``factor`` is the mean of measured time over forecast time. ``scatter`` is the mean squared
    error of corrected forecasts for each second of forecast. ``prior_share`` is the share of the
    prior in both, from 0 to 1.
    """

    factor: float = 1.0
    scatter: float = 0.0
    prior_share: float = 1.0

    def spread_seconds(self, forecast: float) -> float:
        """Return the standard deviation in seconds of a call with this forecast in seconds.

        A chain is a sum of waits and calls, so its variance, not its standard deviation, grows
        in proportion to its length.

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

    def decayed(self, now: float) -> "_Measurements":
        decay = math.exp(-max(0.0, now - self.at) / DECAY_SECONDS)
        return _Measurements(self.weight * decay, self.total * decay, self.scatter * decay, now)

    def add(self, ratio: float, scatter: float, now: float) -> None:
        decayed = self.decayed(now)
        self.weight = decayed.weight + 1.0
        self.total = decayed.total + ratio
        self.scatter = decayed.scatter + scatter
        self.at = now


class ForecastBias:
    """Forecast corrections by route, from local measurements and those of peers."""

    def __init__(self) -> None:
        self._local: dict[str, _Measurements] = {}
        self._peers: dict[str, dict[str, _Measurements]] = {}

    def observe_call(self, route: str, forecast: float, measured: float, now: float) -> None:
        """Record the measured and the forecast seconds of a call's stages.

        >>> bias = ForecastBias()
        >>> for _ in range(30): bias.observe_call("r", 1.0, 2.0, 0.0)
        >>> round(bias.for_route("r", 0.0).factor, 1), round(bias.for_route("r", 60.0).factor, 1)
        (1.9, 1.0)
        """
        if forecast <= 0:
            return
        low, high = RATIO_BOUNDS
        ratio = min(high, max(low, measured / forecast))
        error = forecast * (ratio - self.for_route(route, now).factor)
        self._local.setdefault(route, _Measurements()).add(ratio, error * error / forecast, now)

    def observe_failed_call(self, route: str, forecast: float, spent: float, now: float) -> None:
        """Record a call whose stages did not complete, after ``spent`` seconds."""
        self.observe_call(route, forecast, max(spent, MIN_FAILED_RATIO * forecast), now)

    def measurements_to_report(self, now: float) -> tuple[ForecastRatio, ...]:
        """Return the local measurements to report to other gateways; removes negligible ones."""
        ratios = []
        for route, own in list(self._local.items()):
            decayed = own.decayed(now)
            if decayed.weight < MIN_WEIGHT:
                del self._local[route]
                continue
            sums = (decayed.weight, decayed.total, decayed.scatter)
            ratios.append(ForecastRatio(route, *(round(item * WIRE_SCALE) for item in sums)))
        return tuple(ratios)

    def apply_peer_report(self, peer: str, ratios: Iterable[ForecastRatio], now: float) -> None:
        """Replace the measurements that a peer reported before.

        >>> one, two = ForecastBias(), ForecastBias()
        >>> for _ in range(9): one.observe_call("r", 1.0, 3.0, 0.0)
        >>> two.apply_peer_report(
        ...     "one", one.measurements_to_report(0.0), 0.0
        ... ); two.apply_peer_report("one", one.measurements_to_report(0.1), 0.1)
        >>> round(two.for_route("r", 0.1).factor, 1), two.for_route("other", 0.1).factor
        (2.5, 1.0)
        """
        self._peers[peer] = {item.route: _decode_ratio(item, now) for item in ratios}

    def discard_peer(self, peer: str) -> None:
        """Remove the measurements of a peer that stopped reporting."""
        self._peers.pop(peer, None)

    def for_route(self, route: str, now: float) -> ForecastCorrection:
        """Return the correction of a route's forecasts."""
        weight = total = PRIOR_WEIGHT
        scatter = 0.0
        known = [
            self._local.get(route),
            *(reported.get(route) for reported in self._peers.values()),
        ]
        for item in known:
            if item is not None:
                decayed = item.decayed(now)
                weight += decayed.weight
                total += decayed.total
                scatter += decayed.scatter
        return ForecastCorrection(total / weight, scatter / weight, PRIOR_WEIGHT / weight)


def _decode_ratio(ratio: ForecastRatio, now: float) -> _Measurements:
    """Decode measurements that a peer reported just now."""
    return _Measurements(
        ratio.weight / WIRE_SCALE, ratio.total / WIRE_SCALE, ratio.scatter / WIRE_SCALE, now
    )
