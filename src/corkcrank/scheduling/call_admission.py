"""Admission control for a call, by a forecast of its whole stage graph before any work starts.

The forecast has two parts. Along the stage graph it adds the time of each stage's pieces at the
best worker now. To the result it adds the engine's usual time to the first event. A call that is
unlikely to meet its objective is refused immediately with a retry time.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from statistics import NormalDist

from corkcrank.contracts.opaque_configuration import StageDefinition
from corkcrank.scheduling.forecast_bias import ForecastCorrection

REFUSAL_COST = 1.0
"""Cost of a refusal: one lost call. It ignores that one in five refused callers that retry is still
served in time."""

LATE_COST = 2.0
"""Cost of a late answer, in refusals. A late call also takes the capacity of another call, so two
calls are lost. A higher cost refuses more calls; a lower one admits more calls that end late."""

MIN_IN_TIME_PROBABILITY = LATE_COST / (LATE_COST + REFUSAL_COST)
"""Minimum probability to be in time for admission: a refusal and an admission then cost the same.
:func:`min_in_time_probability` raises it while similar calls are refused."""

RESERVED_DEVIATIONS = NormalDist().inv_cdf(MIN_IN_TIME_PROBABILITY)
"""The same threshold in standard deviations of the forecast."""

MAX_REFUSED_SHARE = 0.75
"""Share of refused callers above which the cost of a refusal stops falling. Forecast errors make a
threshold close to 1 useless: it would leave capacity idle."""

KEPT_CLAIM_PROBABILITY = 0.9
"""Minimum forecast probability to be in time for a caller that gets a return claim. At least four
in five returning callers must be served in time, and load may rise before the return. A failed
return costs the caller its waiting time and other callers the reserved capacity."""

KEPT_CLAIM_DEVIATIONS = NormalDist().inv_cdf(KEPT_CLAIM_PROBABILITY)
"""The same probability in standard deviations of the forecast."""

SQUARE = 4.0
"""Factor of the product in the discriminant of a quadratic equation."""

MAX_OVERRUN_DEVIATIONS = 2.0
"""Standard deviations of the forecast by which a started call may overrun its objective before it
is abandoned. One call in 44 exceeds this bound."""

MAX_IDLE_WAIT_SECONDS = 0.05
"""Wait in seconds up to which the workers of a chain count as idle. It is shorter than a call at a
worker."""

MIN_RETRY_SECONDS = 0.1
"""Minimum retry time for a refused caller, in seconds."""

MAX_RETRY_SHARE = 0.3
"""Maximum retry time, as a share of the time until the caller's deadline. Callers wait for at most
a third of that time; the share is slightly lower as a margin."""


@dataclass(frozen=True, slots=True)
class StageForecast:
    """Expected start and end of a call's pieces at a future stage, in seconds from now.

    ``queued`` is the start if the pieces arrived now. It excludes the wait behind pieces that are
    only forecast to arrive.
    """

    start: float
    end: float
    queued: float


@dataclass(frozen=True, slots=True)
class ChainForecast:
    """Expected end of a call's stages, in seconds from now.

    ``waiting`` is the time spent in queues, ``working`` the time spent running. ``queued`` is
    the longest current wait at any stage, without pieces that are only forecast to arrive first.
    """

    end: float
    waiting: float
    queued: float

    @property
    def working(self) -> float:
        """Return the time spent running."""
        return self.end - self.waiting


@dataclass(frozen=True, slots=True)
class EngineForecast:
    """The usual time of an engine to its first event, and its standard deviation."""

    seconds: float
    spread: float = 0.0


@dataclass(frozen=True, slots=True)
class AdmissionVerdict:
    """An admission decision with the forecast behind it and the time after which to retry.

    ``stages_seconds`` is the forecast of the stages before its correction, ``spread_seconds``
    the standard deviation of ``forecast_seconds``. ``waiting_seconds`` is the part of the forecast
    that the call would wait. All times are in seconds.
    """

    admitted: bool
    stages_seconds: float
    forecast_seconds: float
    slack_seconds: float
    spread_seconds: float
    retry_after: float = 0.0
    waiting_seconds: float = 0.0


def forecast_chain(
    stages: tuple[StageDefinition, ...],
    counts: tuple[int, ...],
    forecast: Callable[[int], StageForecast | None],
) -> ChainForecast:
    """Return the forecast of the last stage's end, infinite if a stage has no worker.

    The part of a stage's wait that overlaps with earlier stages is counted once.
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


def min_in_time_probability(refused_share: float) -> float:
    """Return the probability to be in time below which a call is refused.

    A refused call leaves its capacity to another call. The more similar calls are refused, the more
    likely the capacity is used, so a refusal costs less. The cost of a late answer is fixed.

    >>> [round(min_in_time_probability(share), 2) for share in (0.0, 0.5, 1.0)]
    [0.67, 0.8, 0.89]
    """
    if refused_share <= 0.0:
        return MIN_IN_TIME_PROBABILITY
    refusal_cost = REFUSAL_COST * (1.0 - min(MAX_REFUSED_SHARE, refused_share))
    return LATE_COST / (LATE_COST + refusal_cost)


def reserved_deviations(refused_share: float) -> float:
    """Return the threshold of :func:`min_in_time_probability` in standard deviations.

    >>> reserved_deviations(0.0) == RESERVED_DEVIATIONS
    True
    """
    return NormalDist().inv_cdf(min_in_time_probability(refused_share))


def decide_admission(
    chain: ChainForecast,
    correction: ForecastCorrection,
    engine: EngineForecast,
    objective_seconds: float,
    remaining_seconds: float,
    *,
    returning: bool,
    refused_share: float = 0.0,
) -> AdmissionVerdict:
    """Decide whether a call may start.

    ``correction`` holds the error of earlier forecasts of the stages. ``objective_seconds`` is the
    time until the objective and ``remaining_seconds`` the time until the deadline, both from now.
    ``refused_share`` is the share of calls of its kind that are refused now.

    A call is admitted if its probability to be in time is at least
    :func:`min_in_time_probability`. A ``returning`` call, which was refused before, needs a
    probability of only one half, which reduces repeated refusals. If calls are queued, a late
    answer also delays other calls. Otherwise it delays none, so the deadline applies instead of
    the objective. Pieces that are only forecast to arrive don't count as queued, so they never
    cause a refusal while workers are idle.

    >>> sure, engine = ForecastCorrection(prior_share=0.0), EngineForecast(0.3)
    >>> decide_admission(
    ...     ChainForecast(0.5, 0.1, 0.1), sure, engine, 1.6, 8.0, returning=False
    ... ).admitted
    True
    >>> verdict = decide_admission(
    ...     ChainForecast(2.0, 1.5, 1.5), sure, engine, 1.6, 8.0, returning=False
    ... )
    >>> verdict.admitted, round(verdict.retry_after, 3)
    (False, 0.7)
    >>> decide_admission(
    ...     ChainForecast(2.0, 0.0, 0.0), sure, engine, 1.6, 8.0, returning=True
    ... ).admitted
    True
    """
    needed = chain.end * correction.factor + engine.seconds
    spread = math.hypot(correction.spread_seconds(chain.end), engine.spread)
    reserve = 0.0 if returning else reserved_deviations(refused_share) * spread
    slack = min(objective_seconds - reserve, remaining_seconds) - needed
    if chain.queued <= MAX_IDLE_WAIT_SECONDS:
        slack = max(slack, remaining_seconds - needed)
    if slack >= 0:
        return AdmissionVerdict(True, chain.end, needed, slack, spread)
    longest = MAX_RETRY_SHARE * remaining_seconds
    retry = min(longest, max(MIN_RETRY_SECONDS, -slack))
    waiting = chain.waiting * correction.factor
    return AdmissionVerdict(False, chain.end, needed, slack, spread, retry, waiting)


def latest_return_seconds(
    chain: ChainForecast,
    correction: ForecastCorrection,
    engine: EngineForecast,
    objective_seconds: float,
) -> float:
    """Return the latest time at which a refused caller may return, in seconds from now.

    The result is negative if the caller cannot be in time. ``chain`` is the forecast for a call
    that holds a claim. At the latest return, the call is in time with
    :data:`KEPT_CLAIM_PROBABILITY`. The error of a forecast grows with its horizon. The
    variance is therefore that of a chain which is longer by the time until the return.

    >>> sure, engine = ForecastCorrection(prior_share=0.0), EngineForecast(0.3)
    >>> chain = ChainForecast(0.8, 0.1, 0.1)
    >>> round(latest_return_seconds(chain, sure, engine, 1.6), 3)
    0.5
    >>> round(latest_return_seconds(chain, ForecastCorrection(), engine, 1.6), 3)
    0.141
    """
    needed = chain.end * correction.factor + engine.seconds
    slack = objective_seconds - needed - KEPT_CLAIM_DEVIATIONS * engine.spread
    if not 0.0 < slack < math.inf:
        return slack
    deviation = KEPT_CLAIM_DEVIATIONS * correction.spread_seconds(1.0)
    # Solves return + deviation * sqrt(chain + return) = slack.
    root = (math.sqrt(deviation * deviation + SQUARE * (slack + chain.end)) - deviation) / 2
    return root * root - chain.end
