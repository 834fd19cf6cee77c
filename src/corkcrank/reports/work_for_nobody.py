"""Work done for nobody: what workers spent on calls whose callers left, from nodes' logs."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from corkcrank.links.decision_log import LogEvent
from corkcrank.reports.log_records import LogRecord, time_of

CALLER_LEFT = "left"
"""Outcome of a call whose caller closed its connection."""

UNKNOWN_STEP = "unknown"
"""Step of a call whose line names none."""


@dataclass(slots=True)
class WorkForNobody:
    """Calls that were left at one step; times are in seconds.

    ``stage_seconds`` were spent by stage workers on their pieces, whose results nobody used,
    ``after_close`` is the part of them after the pieces were given up, and
    ``worker_seconds`` were spent by the engine or plain worker that had the call last.
    """

    step: str
    calls: int = 0
    stage_seconds: float = 0.0
    after_close: float = 0.0
    worker_seconds: float = 0.0


def work_for_nobody(records: Sequence[LogRecord]) -> list[WorkForNobody]:
    """Return the work by step; ``records`` are in order of time."""
    steps: dict[str, WorkForNobody] = {}
    of_call: dict[str, WorkForNobody] = {}
    sent_at: dict[str, float] = {}
    for record in records:
        if record["event"] == LogEvent.CALL_SENT:
            sent_at[record["call"]] = time_of(record)
        elif record["event"] == LogEvent.CALL_ENDED and record["outcome"] == CALLER_LEFT:
            step = record.get("step") or UNKNOWN_STEP
            work = steps.setdefault(step, WorkForNobody(step))
            of_call[record["call"]] = work
            work.calls += 1
            ended_at = time_of(record)
            work.worker_seconds += ended_at - sent_at.get(record["call"], ended_at)
    _add_batches(records, of_call)
    return [steps[step] for step in sorted(steps)]


def _add_batches(records: Iterable[LogRecord], of_call: dict[str, WorkForNobody]) -> None:
    """Add the batches of calls that were left; a batch counts in equal parts for its calls."""
    for record in records:
        if record["event"] != LogEvent.BATCH_ENDED:
            continue
        seconds, calls = float(record["seconds"]), record["calls"]
        given_up = record.get("given_up", {})
        for call in calls:
            if call in of_call:
                after = min(seconds, float(given_up.get(call, 0.0)))
                of_call[call].stage_seconds += seconds / len(calls)
                of_call[call].after_close += after / len(calls)
