"""Reports what happened to callers that were refused and asked to retry after a delay.

A retry has another call id, so the refused call and its retry cannot be joined by id. They
are matched by route, tenant, arrival time and the time until which the caller waits. A caller
that retries on schedule arrives within a tolerance of the refusal's time plus the retry delay,
and still waits until the same time. Pairs nearest to the scheduled time are matched first, and
each call is matched at most once as a retry and once as a refusal. Calls whose callers sent no
deadline cannot be matched, and a refusal whose retry delay is unknown is not considered; both
are counted.
"""

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from math import floor

from corkcrank.reports.call_story import CallSummary, Loss
from corkcrank.reports.held import LATE_LOSSES

EARLY_SECONDS = 0.05
"""Tolerance before the scheduled retry time: clocks of machines differ."""

LATE_SECONDS = 0.2
"""Tolerance after the scheduled retry time: the caller needs a connection first."""

CALLER_END_SECONDS = 0.05
"""Tolerance between the deadlines of a call and its retry: their network delays differ."""

LOAD_BOUNDS = (1 / 3, 2 / 3)
"""Upper bounds of all load bands but the last, as shares of calls refused."""

REFUSED_LOSSES = frozenset(
    (
        Loss.FORECAST,
        Loss.FULL,
        Loss.LIMITED,
        Loss.BACKING_OFF,
        Loss.NO_VERSION,
        Loss.STOPPING,
        Loss.STAGE_NOT_BEGUN,
        Loss.STAGE_STOPPING,
    )
)
"""Losses of calls refused for lack of capacity or by a stop: no worker has run them."""


class RetryOutcome(StrEnum):
    """The outcome of a retry."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused again"
    FAILED = "failed"


@dataclass(slots=True)
class RefusedGroup:
    """Calls refused with a retry delay, for one cause and at one load band.

    ``returns`` counts the retries at the scheduled time by their outcome, and ``early`` the
    retries before it. ``band`` is the index of the band in ``LOAD_BOUNDS``.
    """

    cause: Loss
    band: int
    refused: int = 0
    returns: Counter[RetryOutcome] = field(default_factory=Counter)
    early: Counter[RetryOutcome] = field(default_factory=Counter)


@dataclass(slots=True)
class RetryReport:
    """Outcomes of retries after a refusal, and the calls that could not be matched.

    ``unmatched`` counts the retries that match no refusal, out of ``returning`` retries;
    ``without_retry_delay`` counts refusals without a known retry delay.
    """

    groups: list[RefusedGroup]
    returning: int
    unmatched: int
    without_retry_delay: int


@dataclass(frozen=True, slots=True)
class _Pair:
    """A refusal and a call that may be its retry, by their indices in the list of calls."""

    distance: float
    refusal: int
    arrival: int


def retry_outcome(summary: CallSummary) -> RetryOutcome:
    """Return the outcome of a call."""
    loss = summary.loss
    if loss is Loss.NONE:
        return RetryOutcome.IN_TIME
    if loss in LATE_LOSSES:
        return RetryOutcome.LATE
    return RetryOutcome.REFUSED if loss in REFUSED_LOSSES else RetryOutcome.FAILED


def load_band(share: float) -> int:
    """Return the index of the load band that contains a share of refused calls.

    >>> load_band(0.0), load_band(0.5), load_band(1.0)
    (0, 1, 2)
    """
    return sum(share >= bound for bound in LOAD_BOUNDS)


def sent_back(summaries: Sequence[CallSummary]) -> RetryReport:
    """Return the report on callers that were refused with a retry delay."""
    refusals = [index for index, summary in enumerate(summaries) if _was_sent_back(summary)]
    scheduled, early = _match(summaries, refusals)
    matched = set(scheduled.values()) | set(early.values())
    returning = [index for index, summary in enumerate(summaries) if summary.returning]
    return RetryReport(
        _groups(summaries, refusals, scheduled, early),
        returning=len(returning),
        unmatched=sum(index not in matched for index in returning),
        without_retry_delay=sum(
            summary.loss in REFUSED_LOSSES and summary.retry_after is None for summary in summaries
        ),
    )


def _was_sent_back(summary: CallSummary) -> bool:
    return summary.retry_after is not None and not summary.outcome.isdigit()


def _groups(
    summaries: Sequence[CallSummary],
    refusals: Sequence[int],
    scheduled: dict[int, int],
    early: dict[int, int],
) -> list[RefusedGroup]:
    shares = _refused_shares(summaries)
    groups: dict[tuple[Loss, int], RefusedGroup] = {}
    for index in refusals:
        summary = summaries[index]
        key = (summary.loss, load_band(shares[floor(summary.began_at)]))
        group = groups.setdefault(key, RefusedGroup(*key))
        group.refused += 1
        if index in scheduled:
            group.returns[retry_outcome(summaries[scheduled[index]])] += 1
        elif index in early:
            group.early[retry_outcome(summaries[early[index]])] += 1
    causes = list(Loss)
    return sorted(groups.values(), key=lambda item: (causes.index(item.cause), item.band))


def _refused_shares(summaries: Sequence[CallSummary]) -> dict[int, float]:
    """Return, for each second, the share of the calls arriving in it that were refused."""
    calls: Counter[int] = Counter()
    refused: Counter[int] = Counter()
    for summary in summaries:
        second = floor(summary.began_at)
        calls[second] += 1
        refused[second] += summary.loss in REFUSED_LOSSES
    return {second: refused[second] / calls[second] for second in calls}


def _match(
    summaries: Sequence[CallSummary], refusals: Sequence[int]
) -> tuple[dict[int, int], dict[int, int]]:
    """Return the retry of each refusal: on schedule, and, for the other refusals, earlier."""
    arrivals = _Arrivals(summaries)
    scheduled_pairs: list[_Pair] = []
    early_pairs: list[_Pair] = []
    for index in refusals:
        summary = summaries[index]
        scheduled_at = summary.ended_at + (summary.retry_after or 0.0)
        for pair in arrivals.candidates_for(
            index, summary.ended_at - EARLY_SECONDS, scheduled_at + LATE_SECONDS
        ):
            on_schedule = summaries[pair.arrival].began_at >= scheduled_at - EARLY_SECONDS
            (scheduled_pairs if on_schedule else early_pairs).append(pair)
    scheduled = _match_nearest(scheduled_pairs, set(), set())
    early = _match_nearest(early_pairs, set(scheduled), set(scheduled.values()))
    return scheduled, early


def _match_nearest(
    pairs: list[_Pair], used_refusals: set[int], used_arrivals: set[int]
) -> dict[int, int]:
    matched: dict[int, int] = {}
    for pair in sorted(pairs, key=lambda item: item.distance):
        if pair.refusal in used_refusals or pair.arrival in used_arrivals:
            continue
        used_refusals.add(pair.refusal)
        used_arrivals.add(pair.arrival)
        matched[pair.refusal] = pair.arrival
    return matched


class _Arrivals:
    """Index of calls by route and tenant, in order of arrival."""

    def __init__(self, summaries: Sequence[CallSummary]) -> None:
        self._summaries = summaries
        self._indices: dict[tuple[str, str], list[int]] = defaultdict(list)
        for index in sorted(range(len(summaries)), key=lambda item: summaries[item].began_at):
            self._indices[self._key(summaries[index])].append(index)

    @staticmethod
    def _key(summary: CallSummary) -> tuple[str, str]:
        return summary.route, summary.tenant

    def candidates_for(self, refusal: int, since: float, until: float) -> Iterator[_Pair]:
        """Yield the calls between two times that may be retries of a refusal."""
        summary = self._summaries[refusal]
        indices = self._indices[self._key(summary)]
        scheduled_at = summary.ended_at + (summary.retry_after or 0.0)
        first = bisect_left(indices, since, key=lambda index: self._summaries[index].began_at)
        for index in indices[first:]:
            other = self._summaries[index]
            if other.began_at > until:
                return
            same_end = abs(other.caller_end_at - summary.caller_end_at) <= CALLER_END_SECONDS
            if index != refusal and same_end:
                yield _Pair(abs(other.began_at - scheduled_at), refusal, index)
