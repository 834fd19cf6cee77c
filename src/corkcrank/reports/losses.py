"""Builds the report of failed and late calls by route, cause and time, and of retries."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from corkcrank.reports.call_story import CallSummary, Loss, Step
from corkcrank.reports.held import HeldReport, held_calls
from corkcrank.reports.log_records import LogRecord
from corkcrank.reports.sent_back import RetryReport, sent_back
from corkcrank.reports.stage_work import WorkerTime, worker_times
from corkcrank.reports.work_for_nobody import WastedWork, sum_wasted_work

WINDOW_SECONDS = 2.0
"""Length of one time window in the list of losses over time."""


@dataclass(slots=True)
class RouteLosses:
    """Calls of one route and rank, by cause; ``waits`` lists the seconds spent in each step."""

    route: str
    rank: str
    objective: float
    causes: Counter[Loss] = field(default_factory=Counter)
    waits: dict[Step, list[float]] = field(default_factory=dict)
    returned: int = 0
    returned_in_time: int = 0

    @property
    def calls(self) -> int:
        """Return the number of calls."""
        return self.causes.total()

    def add(self, summary: CallSummary) -> None:
        """Add one call to the figures."""
        self.causes[summary.loss] += 1
        if summary.returning:
            self.returned += 1
            self.returned_in_time += summary.loss is Loss.NONE
        if summary.outcome == "200":
            for step, seconds in summary.steps.items():
                self.waits.setdefault(step, []).append(seconds)


@dataclass(slots=True)
class WindowLosses:
    """Calls that began in one window, by cause; ``begins`` counts seconds from the first call."""

    begins: float
    causes: Counter[Loss] = field(default_factory=Counter)


@dataclass(slots=True)
class LossReport:
    """All figures that ``corkcrank losses`` prints."""

    routes: list[RouteLosses]
    windows: list[WindowLosses]
    workers: list[WorkerTime]
    held: HeldReport
    sent_back: RetryReport
    wasted_work: list[WastedWork]


def make_report(summaries: Sequence[CallSummary], records: Sequence[LogRecord]) -> LossReport:
    """Return the report on calls, with the log records from which they were rebuilt."""
    return LossReport(
        routes=_by_route(summaries),
        windows=_by_window(summaries),
        workers=worker_times(records),
        held=held_calls(summaries),
        sent_back=sent_back(summaries),
        wasted_work=sum_wasted_work(records),
    )


def _by_route(summaries: Sequence[CallSummary]) -> list[RouteLosses]:
    routes: dict[str, RouteLosses] = {}
    for summary in summaries:
        key = f"{summary.route} {summary.rank}"
        known = routes.get(key)
        if known is None:
            known = routes[key] = RouteLosses(summary.route, summary.rank, summary.objective)
        known.add(summary)
    return sorted(routes.values(), key=lambda item: (item.rank, item.route))


def _by_window(summaries: Sequence[CallSummary]) -> list[WindowLosses]:
    first = min((summary.began_at for summary in summaries), default=0.0)
    windows: dict[int, WindowLosses] = {}
    for summary in summaries:
        number = int((summary.began_at - first) / WINDOW_SECONDS)
        window = windows.setdefault(number, WindowLosses(number * WINDOW_SECONDS))
        window.causes[summary.loss] += 1
    return [windows[number] for number in sorted(windows)]
