"""Admission of a call over its whole chain, before any work is begun.

The forecast adds, along the graph, when each stage's pieces would end at the best worker
now, and the usual time of the model engine to its first event. A call that cannot meet
its objective is refused at once and told when it could be served.
"""

from collections.abc import Callable
from dataclasses import dataclass

from corkcrank.contracts.opaque_configuration import StageDefinition
from corkcrank.scheduling.stage_lane import LaneForecast

RETURNING_MARGIN = 1.0
"""Share of the objective that the forecast of such a caller may use, never more than it."""

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
class AdmissionVerdict:
    """Whether a call may begin, the forecast behind it, and when to come back.

    ``stages_seconds`` is the forecast of the stages before its correction.
    """

    admitted: bool
    stages_seconds: float
    forecast_seconds: float
    slack_seconds: float
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
    bias: float,
    engine_seconds: float,
    objective_seconds: float,
    left_seconds: float,
    margin: float,
    *,
    returning: bool,
) -> AdmissionVerdict:
    """Return whether a call may begin.

    ``bias`` corrects the forecast of the stages by how far earlier ones were off.
    ``objective_seconds`` and ``left_seconds`` are from now. ``margin`` is the share of the
    objective that forecasts may use; a caller that has come back may use all of it, so that
    it is refused again less often. Late answers of some would make others late; where
    nothing waits, they make nobody late, so such a caller is then served by its deadline.

    >>> admit(ChainForecast(0.5, 0.1), 1.0, 0.3, 1.6, 8.0, 1.0, returning=False).admitted
    True
    >>> verdict = admit(ChainForecast(2.0, 1.5), 1.0, 0.3, 1.6, 8.0, 1.0, returning=False)
    >>> verdict.admitted, round(verdict.retry_after, 3)
    (False, 0.7)
    >>> admit(ChainForecast(2.0, 0.0), 1.0, 0.3, 1.6, 8.0, 1.0, returning=True).admitted
    True
    """
    needed = chain.end * bias + engine_seconds
    share = RETURNING_MARGIN if returning else margin
    limit = min(objective_seconds * share, left_seconds)
    slack = limit - needed
    if returning and chain.waiting <= IDLE_WAIT_SECONDS:
        slack = max(slack, left_seconds - needed)
    if slack >= 0:
        return AdmissionVerdict(True, chain.end, needed, slack)
    longest = LONGEST_RETRY_SHARE * left_seconds
    retry = min(longest, max(SHORTEST_RETRY, -slack))
    return AdmissionVerdict(False, chain.end, needed, slack, retry)
