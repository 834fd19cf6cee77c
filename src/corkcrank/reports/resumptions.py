"""Reports how many streams that callers resumed went on, beside new ones of the same routes."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from statistics import median

from corkcrank.links.decision_log import LogEvent
from corkcrank.reports.log_records import LogRecord


@dataclass(slots=True)
class Refusals:
    """Resumed calls that were refused for one reason.

    ``left`` lists the seconds that each caller would still have waited. ``fitting`` counts
    refusals although the forecast at admission was shorter than that.
    """

    left: list[float] = field(default_factory=list)
    fitting: int = 0


@dataclass(slots=True)
class RouteResumptions:
    """Streams of one route: those that callers resumed, and new ones.

    ``continued`` and ``begun`` count the streams that brought at least one event.
    """

    resumed: int = 0
    continued: int = 0
    new: int = 0
    begun: int = 0
    refused: dict[str, Refusals] = field(default_factory=dict)

    @property
    def continued_share(self) -> float:
        """Return the share of the resumed streams that went on, 1 if there is none."""
        return self.continued / self.resumed if self.resumed else 1.0

    @property
    def begun_share(self) -> float:
        """Return the share of the new streams that began, 1 if there is none."""
        return self.begun / self.new if self.new else 1.0


def report_resumptions(records: Iterable[LogRecord]) -> dict[str, RouteResumptions]:
    """Return the figures of each route with resumed streams; ``records`` are sorted by time.

    >>> ended = {"event": "Call: ended.", "route": "talk", "left": 9.0, "outcome": "200"}
    >>> lost = {"call": "b", "resume_after": "3", "outcome": "CAPACITY_SHORT"}
    >>> found = report_resumptions([
    ...     {"event": "Call: first event.", "call": "a"},
    ...     ended | {"call": "a", "resume_after": ""},
    ...     {"event": "Call: refused.", "call": "b", "needed": 2.0, "left": 9.0},
    ...     ended | lost,
    ... ])["talk"]
    >>> found.begun_share, found.continued_share, found.refused["CAPACITY_SHORT"].fitting
    (1.0, 0.0, 1)
    """
    begun: set[str] = set()
    fitting: Counter[str] = Counter()
    routes: dict[str, RouteResumptions] = {}
    for record in records:
        event, call = record["event"], str(record.get("call", ""))
        if event == LogEvent.FIRST_EVENT:
            begun.add(call)
        elif event == LogEvent.CALL_REFUSED and "needed" in record:
            fitting[call] = record["needed"] <= record.get("left", 0.0)
        elif event == LogEvent.CALL_ENDED and "resume_after" in record:
            route = routes.setdefault(record["route"], RouteResumptions())
            _add(route, record, begun=call in begun, fitting=fitting.pop(call, 0))
            begun.discard(call)
    return {name: route for name, route in sorted(routes.items()) if route.resumed}


def resumption_lines(routes: dict[str, RouteResumptions]) -> Iterator[str]:
    """Return the report line by line."""
    for name, route in routes.items():
        yield (
            f"{name}: {route.continued} of {route.resumed} resumed streams went on"
            f" ({route.continued_share:.2f}), {route.begun} of {route.new} new ones began"
            f" ({route.begun_share:.2f})"
        )
        for reason, refusals in sorted(route.refused.items(), key=lambda item: -len(item[1].left)):
            yield (
                f"    {reason:30s}{len(refusals.left):6d}, {median(refusals.left):.1f} s left to"
                f" half of the callers, {refusals.fitting} with a shorter forecast"
            )


def _add(route: RouteResumptions, record: LogRecord, *, begun: bool, fitting: int) -> None:
    if not record["resume_after"]:
        route.new += 1
        route.begun += begun
        return
    route.resumed += 1
    route.continued += begun
    if not begun:
        refusals = route.refused.setdefault(str(record["outcome"]), Refusals())
        refusals.left.append(float(record["left"]))
        refusals.fitting += fitting
