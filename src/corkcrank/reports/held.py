"""Reports how long calls waited that were not served, by route and cause."""

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from math import ceil
from statistics import median

from corkcrank.reports.call_story import CallSummary, Loss

HELD_BOUNDS = (0.02, 0.1, 0.5, 1.0, 2.0)
"""Exclusive upper bounds of all buckets but the last, in seconds."""

HIGH_PERCENTILE = 0.95
"""Percentile, as a share, that is reported beside the median of a group."""

LATE_LOSSES = frozenset(
    (
        Loss.PAUSED,
        Loss.LATE_STAGE_QUEUE,
        Loss.LATE_STAGE_WORK,
        Loss.LATE_ENGINE,
        Loss.LATE_OTHER,
    )
)
"""Losses of calls that were served, but later than their objective."""

SERVED_LOSSES = LATE_LOSSES | {Loss.NONE}
"""Losses of calls that received a worker's complete answer."""


@dataclass(slots=True)
class UnservedCalls:
    """Calls of one route and rank that ended for one cause without being served.

    ``seconds`` lists the time from arrival to end of each call, ``shares`` the same time as a
    share of the call's objective.
    """

    route: str
    rank: str
    cause: Loss
    seconds: list[float] = field(default_factory=list)
    shares: list[float] = field(default_factory=list)

    @property
    def calls(self) -> int:
        """Return the number of calls."""
        return len(self.seconds)

    @property
    def buckets(self) -> list[int]:
        """Return the number of calls in each bucket of ``HELD_BOUNDS``; the last has no bound.

        >>> UnservedCalls("r", "0/0", Loss.FULL, [0.0, 0.019, 0.02, 1.5, 60.0]).buckets
        [2, 1, 0, 0, 1, 1]
        """
        counts = [0] * (len(HELD_BOUNDS) + 1)
        for seconds in self.seconds:
            counts[bisect_right(HELD_BOUNDS, seconds)] += 1
        return counts

    @property
    def median_share(self) -> float:
        """Return the median time from arrival to end, as a share of the objective."""
        return median(self.shares)

    @property
    def high_share(self) -> float:
        """Return the 95th percentile of the time to the end, as a share of the objective."""
        return percentile(self.shares, HIGH_PERCENTILE)

    def add(self, summary: CallSummary) -> None:
        """Add one call to the figures."""
        self.seconds.append(summary.held)
        self.shares.append(summary.held / max(1e-9, summary.objective))


@dataclass(slots=True)
class HeldReport:
    """Calls that were not served: over all routes by cause, and by route and cause."""

    totals: list[UnservedCalls]
    routes: list[UnservedCalls]


def percentile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that is at least as large as ``share`` of all (nearest rank).

    >>> percentile([3.0, 1.0, 2.0, 4.0], 0.5), percentile([3.0, 1.0, 2.0, 4.0], 0.95)
    (2.0, 4.0)
    """
    return sorted(values)[max(1, ceil(share * len(values))) - 1]


def held_calls(summaries: Iterable[CallSummary]) -> HeldReport:
    """Return the calls that were not served; within a group, the most frequent cause first."""
    totals: dict[Loss, UnservedCalls] = {}
    routes: dict[tuple[str, str, Loss], UnservedCalls] = {}
    for summary in summaries:
        loss = summary.loss
        if loss in SERVED_LOSSES:
            continue
        totals.setdefault(loss, UnservedCalls("all routes", "", loss)).add(summary)
        key = (summary.route, summary.rank, loss)
        routes.setdefault(key, UnservedCalls(*key)).add(summary)
    return HeldReport(
        sorted(totals.values(), key=lambda item: -item.calls),
        sorted(routes.values(), key=lambda item: (item.rank, item.route, -item.calls)),
    )
