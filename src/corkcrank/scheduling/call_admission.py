"""Admission of a call over its whole chain, before any work is begun.

The forecast adds, along the graph, when each stage's pieces would end at the best worker
now, and the usual time of the model engine to its first event. A call that cannot meet
its objective is refused at once and told when it could be served.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from statistics import NormalDist

from corkcrank.contracts.opaque_configuration import StageDefinition
from corkcrank.scheduling.forecast_bias import ForecastCorrection
from corkcrank.scheduling.stage_lane import LaneForecast

REFUSAL_COST = 1.0
"""What a refusal costs: its caller's call. One in five that come back is still served in time."""

LATE_COST = 2.0
"""What a late answer costs, in refusals: its own caller's call, and that of another, whose turn it
took. Costs of 1 to 5 (a chance of 0.5 to 0.84 to be in time) earn the same credit within 0.01 in
plays of bursts, heavy loads and slow workers on 6 and 36 nodes; callers are held for nothing 63 s
a play at 1, 40 s at 2 and 26 s at 5, where the most urgent are refused more often (0.974 served
in time at 2, 0.956 at 5; trials on test_fleet_play.py's load, six seeds)."""

LEAST_CHANCE = LATE_COST / (LATE_COST + REFUSAL_COST)
"""Chance to be in time below which a call is refused: where both choices cost the same."""

RESERVED_DEVIATIONS = NormalDist().inv_cdf(LEAST_CHANCE)
"""The same in standard deviations of the forecast."""

OVERRUN_DEVIATIONS = 1.0
"""Standard deviations of the forecast by which a call that was begun may overrun its objective
before it is given up: one in six ends later. At 0 callers are held for nothing half as long
again, and earn 0.003 more credit (68 s and 45 s a play; heavy loads, bursts and slow workers on 6
and 36 nodes, six seeds; trials on test_fleet_play.py's load)."""

IDLE_WAIT_SECONDS = 0.05
"""Wait of a whole chain, in seconds, below which its workers count as idle: a quarter of the
fixed time of one stage call on the measured fleets (0.2 s)."""

SHORTEST_RETRY = 0.1
"""Shortest time after which a refused caller is told to come back, in seconds."""

LONGEST_RETRY_SHARE = 0.3
"""Callers wait at most a third of the time that they have left; a little less is told."""


@dataclass(frozen=True, slots=True)
class ChainForecast:
    """When the stages of a call would end, in seconds from now.

    ``waiting`` is the part spent in queues, ``working`` the part at work.
    """

    end: float
    waiting: float

    @property
    def working(self) -> float:
        """Return the part spent at work."""
        return self.end - self.waiting


@dataclass(frozen=True, slots=True)
class EngineForecast:
    """The usual time of an engine to its first event, and its standard deviation."""

    seconds: float
    spread: float = 0.0


@dataclass(frozen=True, slots=True)
class AdmissionVerdict:
    """Whether a call may begin, the forecast behind it, and when to come back.

    ``stages_seconds`` is the forecast of the stages before its correction, ``spread_seconds``
    the standard deviation of ``forecast_seconds``.
    """

    admitted: bool
    stages_seconds: float
    forecast_seconds: float
    slack_seconds: float
    spread_seconds: float
    retry_after: float = 0.0


def forecast_chain(
    stages: tuple[StageDefinition, ...],
    counts: tuple[int, ...],
    forecast: Callable[[int], LaneForecast | None],
) -> ChainForecast:
    """Return when the last stage would end; a stage nobody serves ends never.

    A queue that is waited for while an earlier stage works is not waited for again.
    """
    ends: dict[int, ChainForecast] = {}
    for number, stage in enumerate(stages):
        sources = [ends[source] for source in stage.after]
        before = max(sources, key=lambda item: item.end, default=ChainForecast(0.0, 0.0))
        if counts[number] == 0:
            ends[number] = before
            continue
        expected = forecast(number)
        if expected is None:
            return ChainForecast(float("inf"), float("inf"))
        wait = max(0.0, expected.start - before.end)
        work = expected.end - expected.start
        ends[number] = ChainForecast(before.end + wait + work, before.waiting + wait)
    return max(ends.values(), key=lambda item: item.end, default=ChainForecast(0.0, 0.0))


def admit(
    chain: ChainForecast,
    correction: ForecastCorrection,
    engine: EngineForecast,
    objective_seconds: float,
    left_seconds: float,
    *,
    returning: bool,
) -> AdmissionVerdict:
    """Return whether a call may begin.

    ``correction`` tells how far earlier forecasts of the stages were off. ``objective_seconds``
    and ``left_seconds`` are from now. A call is admitted whose chance to be in time is at least
    :data:`LEAST_CHANCE`; one that has come back, if that is an even chance, so that it is
    refused again less often. Late answers of some would make others late; where nothing
    waits, they make nobody late, so who came back is then served by its deadline.

    >>> sure, engine = ForecastCorrection(prior_share=0.0), EngineForecast(0.3)
    >>> admit(ChainForecast(0.5, 0.1), sure, engine, 1.6, 8.0, returning=False).admitted
    True
    >>> verdict = admit(ChainForecast(2.0, 1.5), sure, engine, 1.6, 8.0, returning=False)
    >>> verdict.admitted, round(verdict.retry_after, 3)
    (False, 0.7)
    >>> admit(ChainForecast(2.0, 0.0), sure, engine, 1.6, 8.0, returning=True).admitted
    True
    """
    needed = chain.end * correction.factor + engine.seconds
    spread = math.hypot(correction.spread_seconds(chain.end), engine.spread)
    reserve = 0.0 if returning else RESERVED_DEVIATIONS * spread
    slack = min(objective_seconds - reserve, left_seconds) - needed
    if returning and chain.waiting <= IDLE_WAIT_SECONDS:
        slack = max(slack, left_seconds - needed)
    if slack >= 0:
        return AdmissionVerdict(True, chain.end, needed, slack, spread)
    longest = LONGEST_RETRY_SHARE * left_seconds
    retry = min(longest, max(SHORTEST_RETRY, -slack))
    return AdmissionVerdict(False, chain.end, needed, slack, spread, retry)
