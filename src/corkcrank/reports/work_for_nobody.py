"""Reports wasted work: workers' time on calls whose callers left, from the nodes' logs."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from corkcrank.links.decision_log import LogEvent
from corkcrank.reports.log_records import LogRecord, time_of

CALLER_LEFT = "left"
"""Logged outcome of a call whose caller closed its connection."""

UNKNOWN_STEP = "unknown"
"""Step of a call whose log line names no step."""


@dataclass(slots=True)
class WastedWork:
    """Wasted work on calls whose callers left at one step; times are in seconds.

    ``stage_seconds`` is the time of stage workers on pieces with unused results.
    ``after_close`` is the part of it after the pieces were abandoned. ``worker_seconds`` is
    the time of the engine or plain worker that ran the call last.
    """

    step: str
    calls: int = 0
    stage_seconds: float = 0.0
    after_close: float = 0.0
    worker_seconds: float = 0.0


def sum_wasted_work(records: Sequence[LogRecord]) -> list[WastedWork]:
    """Return the wasted work by step; ``records`` must be sorted by time."""
    steps: dict[str, WastedWork] = {}
    work_by_call: dict[str, WastedWork] = {}
    sent_at: dict[str, float] = {}
    for record in records:
        if record["event"] == LogEvent.CALL_SENT:
            sent_at[record["call"]] = time_of(record)
        elif record["event"] == LogEvent.CALL_ENDED and record["outcome"] == CALLER_LEFT:
            step = record.get("step") or UNKNOWN_STEP
            work = steps.setdefault(step, WastedWork(step))
            work_by_call[record["call"]] = work
            work.calls += 1
            ended_at = time_of(record)
            work.worker_seconds += ended_at - sent_at.get(record["call"], ended_at)
    _add_batches(records, work_by_call)
    return [steps[step] for step in sorted(steps)]


def _add_batches(records: Iterable[LogRecord], work_by_call: dict[str, WastedWork]) -> None:
    """Add the batches of abandoned calls; a batch is divided equally among its calls."""
    for record in records:
        if record["event"] != LogEvent.BATCH_ENDED:
            continue
        seconds, calls = float(record["seconds"]), record["calls"]
        given_up = record.get("given_up", {})
        for call in calls:
            if call in work_by_call:
                after = min(seconds, float(given_up.get(call, 0.0)))
                work_by_call[call].stage_seconds += seconds / len(calls)
                work_by_call[call].after_close += after / len(calls)
