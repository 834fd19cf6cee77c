"""Admission: refuses requests that are predicted to miss their deadline.

The prediction is the sum over the remaining stages of the measured stage time and the time in the
queue. The queue is that of the least loaded candidate of a service, because the router sends the
next call there. Requests of lower ranks (better tiers) have a shorter queue, because engines and
pools serve them first.
"""

from collections.abc import Sequence
from dataclasses import dataclass

TIME_SMOOTHING = 0.1
"""Weight of the newest sample in an exponential moving average."""

FORECAST_TOLERANCE = 1.25
"""Maximum ratio of a forecast to the budget; delayed queue lengths are usually too high."""

RANK_MARGIN = 0.1
"""Share of the budget deducted for each rank below the best while requests are queued."""

MAX_MARGIN = 0.3
"""Maximum share of the budget deducted as margin."""


@dataclass(frozen=True, slots=True)
class StageForecast:
    """Measured load of one remaining stage; times are in seconds.

    ``queue_seconds`` is the mean time of the calls queued at the stage's service, which may belong
    to other pipelines.
    """

    service_seconds: float
    min_pressure: float
    queue_seconds: float


class ServiceTimeEstimate:
    """Moving average of the time of one call without contention, for a stage or service."""

    def __init__(self, expected_seconds: float) -> None:
        self.seconds = expected_seconds

    def observe_seconds(self, seconds: float) -> None:
        """Update the average with one measured service time."""
        self.seconds += TIME_SMOOTHING * (seconds - self.seconds)


def predict_seconds(stages: Sequence[StageForecast]) -> float:
    """Return the predicted time in seconds until the last stage has answered.

    >>> predict_seconds([StageForecast(0.1, 0.0, 0.1), StageForecast(0.2, 2.0, 0.3)])
    0.6
    """
    return sum(stage.service_seconds + stage.queue_seconds * queue_ahead(stage) for stage in stages)


def queue_ahead(stage: StageForecast) -> float:
    """Return the work queued before a new call, in multiples of the service time."""
    return max(0.0, stage.min_pressure - 1.0)


def seconds_until_feasible(
    stages: Sequence[StageForecast], remaining_seconds: float, rank: int
) -> float:
    """Return zero to admit the request, or the seconds after which to retry it.

    Parameters
    ----------
    stages
        The stages still to run, in order.
    remaining_seconds
        Time left until the deadline.
    rank
        Rank of the tenant's tier; zero is served first.

    """
    margin = min(MAX_MARGIN, RANK_MARGIN * rank)
    congested = any(queue_ahead(stage) > 0.0 for stage in stages)
    budget = remaining_seconds
    if congested:
        budget *= FORECAST_TOLERANCE * (1.0 - margin)
    excess = predict_seconds(stages) - budget
    return max(0.0, excess)
