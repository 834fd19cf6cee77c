"""Admission: refuse at once what cannot finish before its deadline.

The prediction is the sum over the remaining stages of the measured stage time and of the
queue ahead. Queues are judged by the least pressed candidates of a service, because that
is where the router sends the next call. Lower ranks (better tiers) see a shorter queue,
as the engines and pools serve them first.
"""

from collections.abc import Sequence
from dataclasses import dataclass

SMOOTHING = 0.1
"""Weight of the newest sample in a moving mean."""

OPTIMISM = 1.25
"""The forecast may exceed the budget by this factor: a queue seen late has mostly drained."""

RANK_MARGIN = 0.1
"""Share of the budget that each rank below the best gives up while there is a queue."""

MAXIMUM_MARGIN = 0.3
"""Largest share of the budget taken as margin."""


@dataclass(frozen=True, slots=True)
class StageForecast:
    """What is known of one remaining stage; times are in seconds.

    ``queue_seconds`` is the mean time of the calls queued at the stage's service, which
    may belong to other pipelines.
    """

    service_seconds: float
    least_pressure: float
    queue_seconds: float


class StageTimes:
    """Moving mean of a stage's or a service's uncontended time of one call."""

    def __init__(self, expected_seconds: float) -> None:
        self.seconds = expected_seconds

    def record(self, seconds: float) -> None:
        """Take one measured service time."""
        self.seconds += SMOOTHING * (seconds - self.seconds)


def predict_seconds(stages: Sequence[StageForecast]) -> float:
    """Return the predicted time until the last stage has answered.

    >>> predict_seconds([StageForecast(0.1, 0.0, 0.1), StageForecast(0.2, 2.0, 0.3)])
    0.6
    """
    return sum(stage.service_seconds + stage.queue_seconds * queue_ahead(stage) for stage in stages)


def queue_ahead(stage: StageForecast) -> float:
    """Return the rounds of work queued before a new call, in service times."""
    return max(0.0, stage.least_pressure - 1.0)


def seconds_until_feasible(
    stages: Sequence[StageForecast], remaining_seconds: float, rank: int
) -> float:
    """Return zero to admit, or the seconds after which to come back.

    Parameters
    ----------
    stages
        The stages still to run, in order.
    remaining_seconds
        Time left until the deadline.
    rank
        Rank of the tenant's tier; zero is served first.

    """
    margin = min(MAXIMUM_MARGIN, RANK_MARGIN * rank)
    congested = any(queue_ahead(stage) > 0.0 for stage in stages)
    budget = remaining_seconds
    if congested:
        budget *= OPTIMISM * (1.0 - margin)
    excess = predict_seconds(stages) - budget
    return max(0.0, excess)
