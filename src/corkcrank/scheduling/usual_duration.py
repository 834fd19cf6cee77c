"""Estimates the usual duration of a service's work by its amount, from recent calls."""

from dataclasses import dataclass

USUAL_WEIGHT = 0.02
"""Weight of the newest call in the service's usual duration, once there are enough calls."""

MIN_USUAL_SHARE = 0.2
"""Lower bound of the usual duration of a small piece of work, as a share of the mean."""


@dataclass(slots=True)
class UsualDuration:
    """Linear regression of a service's durations on the units of work, over recent calls.

    The intercept stands for work that does not grow with the units, such as fetching inputs.
    Without it a worker with few units per call would appear slow.
    """

    calls: int = 0
    units: float = 0.0
    seconds: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0

    def add(self, units: float, seconds: float) -> None:
        """Add the duration of one call in seconds."""
        self.calls += 1
        weight = max(USUAL_WEIGHT, 1.0 / self.calls)
        off_units, off_seconds = units - self.units, seconds - self.seconds
        self.units += weight * off_units
        self.seconds += weight * off_seconds
        self.variance = (1.0 - weight) * (self.variance + weight * off_units * off_units)
        self.covariance = (1.0 - weight) * (self.covariance + weight * off_units * off_seconds)

    def expected(self, units: float) -> float:
        """Return the usual duration of ``units`` of work, in seconds.

        >>> usual = UsualDuration()
        >>> for units, seconds in ((1.0, 0.2), (3.0, 0.4), (2.0, 0.3)): usual.add(units, seconds)
        >>> round(usual.expected(5.0), 3)
        0.6
        """
        slope = max(0.0, self.covariance / self.variance) if self.variance > 0.0 else 0.0
        found = self.seconds + slope * (units - self.units)
        return max(MIN_USUAL_SHARE * self.seconds, found)
