"""Reports the calls in progress or read around planned stops, and how each call ended."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from corkcrank.contracts.result_codes import ResultCode
from corkcrank.links.decision_log import LogEvent
from corkcrank.node.callers.drain import BALANCER_LAG_SECONDS
from corkcrank.reports.log_records import LogRecord


class Read(StrEnum):
    """When the gateway read a call, relative to the stop signal."""

    BEFORE = "before the signal"
    EARLY = f"up to {BALANCER_LAG_SECONDS} s after it"
    LATE = "later"


class End(StrEnum):
    """How a call ended that was affected by a stop."""

    FINISHED = "worker's answer"
    REFUSED = "refused, not run"
    FAILED = "failed, answered"
    CUT = "cut in the answer"
    UNANSWERED = "no answer"
    LEFT = "caller left"


_BY_OUTCOME = {"broken": End.CUT, "cut": End.UNANSWERED, "left": End.LEFT}


@dataclass(slots=True)
class StopReport:
    """Calls by when they were read and how they ended; ``stops`` counts the signals."""

    stops: int = 0
    calls: Counter[tuple[Read, End]] = field(default_factory=Counter)

    def count(self, read: Read, end: End) -> int:
        """Return the number of calls that were read at ``read`` and ended in ``end``."""
        return self.calls[read, end]


def report_stops(records: Iterable[LogRecord]) -> StopReport:
    """Return the report on the stops in these log records.

    >>> ended = {"event": "Call: ended.", "outcome": "DRAINING", "after_signal": 3.1}
    >>> report = report_stops([{"event": "Process: stopping."}, ended])
    >>> report.stops, report.count(Read.LATE, End.REFUSED)
    (1, 1)
    """
    report = StopReport()
    for record in records:
        if record["event"] == LogEvent.STOPPING:
            report.stops += 1
        elif record["event"] == LogEvent.CALL_ENDED and record.get("after_signal") is not None:
            report.calls[_read(float(record["after_signal"])), _end(record)] += 1
    return report


def stop_lines(report: StopReport) -> Iterator[str]:
    """Return the report line by line."""
    yield f"{report.stops} stops; calls by when they were read:"
    yield f"{'':22s}" + "".join(f"{end.value:>20s}" for end in End)
    for read in Read:
        counts = "".join(f"{report.count(read, end):20d}" for end in End)
        yield f"{read.value:22s}{counts}"


def _read(after_signal: float) -> Read:
    if after_signal < 0:
        return Read.BEFORE
    return Read.EARLY if after_signal <= BALANCER_LAG_SECONDS else Read.LATE


def _end(record: LogRecord) -> End:
    outcome = str(record["outcome"])
    if outcome.isdigit():
        return End.FINISHED
    if outcome == "cut" and record["first_byte"] < record["seconds"]:
        return End.CUT
    return _BY_OUTCOME.get(outcome) or _end_of_code(outcome)


def _end_of_code(name: str) -> End:
    """Return the end of a call that the gateway itself answered with a result code."""
    code = ResultCode.__members__.get(name)
    not_executed = code is not None and code.http_status in (408, 421, 429, 503)
    return End.REFUSED if not_executed else End.FAILED
