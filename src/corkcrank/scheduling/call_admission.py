"""Admission of a call over its whole chain, before any work is begun.

The forecast adds, along the graph, when each stage's pieces would end at the best worker
now, and the usual time of the model engine to its first event. A call that cannot meet
its objective is refused at once and told when it could be served.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from statistics import NormalDist

from corkcrank.contracts.opaque_configuration import StageDefinition
from corkcrank.scheduling.forecast_bias import ForecastCorrection

REFUSAL_COST = 1.0
"""What a refusal costs: its caller's call. One in five that come back is still served in time."""

LATE_COST = 2.0
"""What a late answer costs, in refusals: its own caller's call, and that of another, whose turn it
took. Where it costs more, more are refused; less, and more are held for nothing."""

LEAST_CHANCE = LATE_COST / (LATE_COST + REFUSAL_COST)
"""Chance to be in time below which a call is refused: where both choices cost the same."""

RESERVED_DEVIATIONS = NormalDist().inv_cdf(LEAST_CHANCE)
"""The same in standard deviations of the forecast."""

OVERRUN_DEVIATIONS = 2.0
"""Standard deviations of the forecast by which a call that was begun may overrun its objective
before it is given up: one in 44 ends later."""

IDLE_WAIT_SECONDS = 0.05
"""Longest wait of a chain's stages, in seconds, below which workers count as idle: less than a call
at one of them takes."""

SHORTEST_RETRY = 0.1
"""Shortest time after which a refused caller is told to come back, in seconds."""

LONGEST_RETRY_SHARE = 0.3
"""Callers wait at most a third of the time that they have left; a little less is told."""


@dataclass(frozen=True, slots=True)
class StageForecast:
    """When pieces of a call that is not yet at a stage would start and end, in seconds from now.

    ``queued`` is when they would start if they were there now: the part of the wait that is
    for pieces which wait or are at work already, not for those that are foreseen.
    """

    start: float
    end: float
    queued: float


@dataclass(frozen=True, slots=True)
class ChainForecast:
    """When the stages of a call would end, in seconds from now.

    ``waiting`` is the part spent in queues, ``working`` the part at work. ``queued`` is the
    longest wait that a stage has now, without what is foreseen to come before the call.
    """

    end: float
    waiting: float
    queued: float

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
    forecast: Callable[[int], StageForecast | None],
) -> ChainForecast:
    """Return when the last stage would end; a stage nobody serves ends never.

    A queue that is waited for while an earlier stage works is not waited for again.
    """
    ends: dict[int, ChainForecast] = {}
    queued = 0.0
    for number, stage in enumerate(stages):
        sources = [ends[source] for source in stage.after]
        before = max(sources, key=lambda item: item.end, default=ChainForecast(0.0, 0.0, 0.0))
        if counts[number] == 0:
            ends[number] = before
            continue
        expected = forecast(number)
        if expected is None:
            return ChainForecast(float("inf"), float("inf"), float("inf"))
        wait = max(0.0, expected.start - before.end)
        work = expected.end - expected.start
        queued = max(queued, expected.queued)
        ends[number] = ChainForecast(before.end + wait + work, before.waiting + wait, queued)
    last = max(ends.values(), key=lambda item: item.end, default=ChainForecast(0.0, 0.0, 0.0))
    return replace(last, queued=queued)


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
    waits now, they make nobody late, so whoever comes then is served by its deadline. What
    is only foreseen to come before a call does not count there: nobody is refused beside free
    workers and empty queues for it (test_free_workers.py).

    >>> sure, engine = ForecastCorrection(prior_share=0.0), EngineForecast(0.3)
    >>> admit(ChainForecast(0.5, 0.1, 0.1), sure, engine, 1.6, 8.0, returning=False).admitted
    True
    >>> verdict = admit(ChainForecast(2.0, 1.5, 1.5), sure, engine, 1.6, 8.0, returning=False)
    >>> verdict.admitted, round(verdict.retry_after, 3)
    (False, 0.7)
    >>> admit(ChainForecast(2.0, 0.0, 0.0), sure, engine, 1.6, 8.0, returning=True).admitted
    True
    """
    needed = chain.end * correction.factor + engine.seconds
    spread = math.hypot(correction.spread_seconds(chain.end), engine.spread)
    reserve = 0.0 if returning else RESERVED_DEVIATIONS * spread
    slack = min(objective_seconds - reserve, left_seconds) - needed
    if chain.queued <= IDLE_WAIT_SECONDS:
        slack = max(slack, left_seconds - needed)
    if slack >= 0:
        return AdmissionVerdict(True, chain.end, needed, slack, spread)
    longest = LONGEST_RETRY_SHARE * left_seconds
    retry = min(longest, max(SHORTEST_RETRY, -slack))
    return AdmissionVerdict(False, chain.end, needed, slack, spread, retry)
