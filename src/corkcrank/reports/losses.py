"""Where calls were lost or late: by route, cause and second, and how returning callers fared."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from corkcrank.reports.call_story import CallStory, Loss, Step
from corkcrank.reports.held import HeldReport, held_calls
from corkcrank.reports.log_records import LogRecord
from corkcrank.reports.sent_back import SentBackReport, sent_back
from corkcrank.reports.stage_work import WorkerTime, worker_times
from corkcrank.reports.work_for_nobody import WorkForNobody, work_for_nobody

WINDOW_SECONDS = 2.0
"""Length of the windows in which losses are shown over time."""


@dataclass(slots=True)
class RouteLosses:
    """Calls of one route and rank, by cause; ``waits`` holds the seconds of each step."""

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

    def add(self, story: CallStory) -> None:
        """Take one call."""
        self.causes[story.loss] += 1
        if story.returning:
            self.returned += 1
            self.returned_in_time += story.loss is Loss.NONE
        if story.outcome == "200":
            for step, seconds in story.steps.items():
                self.waits.setdefault(step, []).append(seconds)


@dataclass(slots=True)
class WindowLosses:
    """Calls that began in one window, by cause; ``begins`` is in seconds from the first."""

    begins: float
    causes: Counter[Loss] = field(default_factory=Counter)


@dataclass(slots=True)
class LossReport:
    """Everything that ``corkcrank losses`` shows."""

    routes: list[RouteLosses]
    windows: list[WindowLosses]
    workers: list[WorkerTime]
    held: HeldReport
    sent_back: SentBackReport
    for_nobody: list[WorkForNobody]


def make_report(stories: Sequence[CallStory], records: Sequence[LogRecord]) -> LossReport:
    """Return the report over calls and the log lines that they were told from."""
    return LossReport(
        routes=_by_route(stories),
        windows=_by_window(stories),
        workers=worker_times(records),
        held=held_calls(stories),
        sent_back=sent_back(stories),
        for_nobody=work_for_nobody(records),
    )


def _by_route(stories: Sequence[CallStory]) -> list[RouteLosses]:
    routes: dict[str, RouteLosses] = {}
    for story in stories:
        key = f"{story.route} {story.rank}"
        known = routes.get(key)
        if known is None:
            known = routes[key] = RouteLosses(story.route, story.rank, story.objective)
        known.add(story)
    return sorted(routes.values(), key=lambda item: (item.rank, item.route))


def _by_window(stories: Sequence[CallStory]) -> list[WindowLosses]:
    first = min((story.began_at for story in stories), default=0.0)
    windows: dict[int, WindowLosses] = {}
    for story in stories:
        number = int((story.began_at - first) / WINDOW_SECONDS)
        window = windows.setdefault(number, WindowLosses(number * WINDOW_SECONDS))
        window.causes[story.loss] += 1
    return [windows[number] for number in sorted(windows)]
