"""Rebuilds each call from the logs of all machines: where its time went and how it ended."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from corkcrank.links.decision_log import LogEvent
from corkcrank.reports.log_records import LogRecord, time_of


class Step(StrEnum):
    """The parts of a call's time up to its first byte."""

    STAGE_QUEUE = "stage queue"
    STAGE_WORK = "stage work"
    ENGINE = "engine"
    OTHER = "other"


class Loss(StrEnum):
    """The reason why a call failed or was served late; ``NONE`` for one served in time."""

    NONE = "in time"
    FORECAST = "refused: forecast"
    FULL = "refused: workers full or none"
    LIMITED = "refused: workers at their limits"
    BACKING_OFF = "refused: workers in backoff"
    NO_VERSION = "refused: stream's version unknown or gone"
    STOPPING = "refused: gateway stopping"
    CUT_BY_STOP = "cut: gateway stopped"
    INVALID = "refused: request or key"
    STAGE_WAIT = "stages: too long a wait"
    STAGE_LOST = "stages: worker or owner lost"
    STAGE_NOT_BEGUN = "stages: none begun"
    STAGE_STOPPING = "stages: given up in a drain"
    NO_ENGINE = "no engine after the stages"
    WORKER_LOST = "worker's answer lost"
    WORKER_ERROR = "worker's own error"
    DEADLINE = "deadline or timeout passed"
    BROKEN = "stream broken off"
    CALLER_LEFT = "caller left"
    PAUSED = "late: pause in the stream"
    LATE_STAGE_QUEUE = "late: stage queue"
    LATE_STAGE_WORK = "late: stage work"
    LATE_ENGINE = "late: engine"
    LATE_OTHER = "late: other"


_BY_CODE = {
    "CAPACITY_SHORT": Loss.FORECAST,
    "WORKERS_FULL": Loss.FULL,
    "NO_BACKEND": Loss.FULL,
    "WORKERS_LIMITED": Loss.LIMITED,
    "WORKERS_BACKING_OFF": Loss.BACKING_OFF,
    "STREAM_ORIGIN_UNKNOWN": Loss.NO_VERSION,
    "STREAM_VERSION_UNAVAILABLE": Loss.NO_VERSION,
    "CONFIGURATION_UNKNOWN": Loss.FULL,
    "DRAINING": Loss.STOPPING,
    "DEADLINE_EXCEEDED": Loss.DEADLINE,
    "WORKER_LOST": Loss.WORKER_LOST,
    "broken": Loss.BROKEN,
    "left": Loss.CALLER_LEFT,
    "OUTCOME_UNKNOWN": Loss.CUT_BY_STOP,
    "cut": Loss.CUT_BY_STOP,
}

_STAGE_CODES = ("STAGE_FAILED", "STAGE_NOT_MADE")

_BY_CODE_AFTER_STAGES = {
    "CAPACITY_SHORT": Loss.STAGE_NOT_BEGUN,
    "DRAINING": Loss.STAGE_STOPPING,
}
"""Losses of calls that were refused after their stages had failed, not on arrival."""

_STAGE_DETAILS = ("stage ", "owner ", "worker is ", "too long a wait")
"""Prefixes of the log details that give the reason of a stage failure."""

_LATE_BY_STEP = {
    Step.STAGE_QUEUE: Loss.LATE_STAGE_QUEUE,
    Step.STAGE_WORK: Loss.LATE_STAGE_WORK,
    Step.ENGINE: Loss.LATE_ENGINE,
    Step.OTHER: Loss.LATE_OTHER,
}


@dataclass(slots=True)
class CallSummary:
    """One call that ended; times are in seconds, ``began_at`` on the machine's wall clock.

    ``held`` is the time from the call's arrival to its end. ``left`` is how much longer its
    caller would have waited at that time. ``retry_after`` is the delay after which the caller
    was asked to retry, ``None`` if the reply gave no delay or the log does not record it.
    ``returning`` marks the probable retry of a refused call, ``resumes`` a stream that the caller
    resumed: it is no retry, and its first byte was sent before, so that it has no objective.
    """

    call_id: str
    began_at: float
    held: float
    left: float
    route: str
    rank: str
    tenant: str
    outcome: str
    detail: str
    first_byte: float
    objective: float
    returning: bool
    steps: dict[Step, float] = field(default_factory=dict)
    longest_pause: float = 0.0
    pause_objective: float | None = None
    retry_after: float | None = None
    resumes: bool = False

    @property
    def ended_at(self) -> float:
        """Return when the call ended, in seconds on the machine's wall clock."""
        return self.began_at + self.held

    @property
    def caller_end_at(self) -> float:
        """Return until when the caller waits, in seconds on the machine's wall clock."""
        return self.ended_at + self.left

    @property
    def loss(self) -> Loss:
        """Return the reason why the call failed or was late, or ``Loss.NONE``."""
        if self.outcome == "200":
            return self._lateness()
        if self.outcome in _STAGE_CODES:
            return _stage_loss(self.detail)
        if self.detail.startswith(_STAGE_DETAILS) and self.outcome in _BY_CODE_AFTER_STAGES:
            return _BY_CODE_AFTER_STAGES[self.outcome]
        if self.outcome.isdigit():
            return Loss.WORKER_ERROR
        return _BY_CODE.get(self.outcome, Loss.INVALID)

    def _lateness(self) -> Loss:
        if self.first_byte > self.objective and not self.resumes:
            longest = max(self.steps, key=lambda step: self.steps[step], default=Step.OTHER)
            return _LATE_BY_STEP[longest]
        if self.pause_objective is not None and self.longest_pause > self.pause_objective:
            return Loss.PAUSED
        return Loss.NONE


def _stage_loss(detail: str) -> Loss:
    if detail.startswith("no engine"):
        return Loss.NO_ENGINE
    return Loss.STAGE_WAIT if "wait" in detail else Loss.STAGE_LOST


def summarize_calls(records: Iterable[LogRecord]) -> list[CallSummary]:
    """Return the calls that ended, in order of their end; ``records`` must be sorted by time."""
    steps: dict[str, dict[Step, float]] = {}
    batches: dict[str, float] = {}
    pauses: dict[str, LogRecord] = {}
    retry_delays: dict[str, float] = {}
    summaries = []
    for record in records:
        event, call = record["event"], record.get("call", "")
        if event == LogEvent.BATCH_ENDED:
            for member in record["calls"]:
                batches[member] = batches.get(member, 0.0) + record["seconds"]
        elif event == LogEvent.STAGE_ENDED:
            work = min(record["seconds"], batches.pop(call, 0.0))
            known = steps.setdefault(call, {})
            known[Step.STAGE_WORK] = work
            known[Step.STAGE_QUEUE] = record["seconds"] - work
        elif event == LogEvent.FIRST_EVENT:
            steps.setdefault(call, {})[Step.ENGINE] = record["seconds"]
        elif event == LogEvent.STREAM_ENDED:
            pauses[call] = record
        elif event == LogEvent.CALL_REFUSED and "retry_after" in record:
            retry_delays[call] = record["retry_after"]
        elif event == LogEvent.CALL_ENDED:
            summary = _summarize(record, steps.pop(call, {}), pauses.pop(call, None))
            summary.retry_after = record.get("retry_after", retry_delays.pop(call, None))
            summaries.append(summary)
            batches.pop(call, None)
    return summaries


def _summarize(
    record: LogRecord, steps: dict[Step, float], stream: LogRecord | None
) -> CallSummary:
    first_byte, resumes = float(record["first_byte"]), bool(record.get("resume_after"))
    steps[Step.OTHER] = max(0.0, first_byte - sum(steps.values()))
    return CallSummary(
        call_id=record["call"],
        began_at=time_of(record) - float(record["seconds"]),
        held=float(record["seconds"]),
        left=float(record["left"]),
        route=record["route"],
        rank="/".join(str(part) for part in record["rank"]),
        tenant=record["tenant"],
        outcome=record["outcome"],
        detail=record["detail"],
        first_byte=first_byte,
        objective=float(record["objective"]),
        returning=bool(record["returning"]) and not resumes,
        steps=steps,
        longest_pause=float(stream["longest_pause"]) if stream else 0.0,
        pause_objective=stream.get("pause_objective") if stream else None,
        resumes=resumes,
    )
