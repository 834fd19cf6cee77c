"""Structured log of decisions on standard output, with bounded memory and no blocking.

Lines are buffered and written as fast as standard output accepts them. If the buffer is full,
or one kind of line exceeds its rate, lines are left out and counted. The next line of a
rate-limited kind carries the count.
"""

import asyncio
import os
import time
from collections import deque
from enum import StrEnum
from typing import Any

import structlog

from corkcrank.contracts import clock

MAX_BUFFER_BYTES = 256 * 1024
"""Maximum number of bytes buffered for standard output."""

MAX_LINES_PER_SECOND = 200.0
"""Maximum average rate of one kind of line."""

MAX_BURST_LINES = 400.0
"""Maximum number of lines of one kind that may be written at once."""


class LogEvent(StrEnum):
    """Every kind of line; the value is the sentence, prefixed with the component."""

    STARTED = "Process: started."
    STOPPING = "Process: stopping."
    DRAINED = "Process: drained."
    STOPPED = "Process: stopped."
    SETTINGS_RELOADED = "Process: settings reloaded."
    SETTINGS_REJECTED = "Process: settings rejected."
    READY = "Process: ready."
    NOT_READY = "Process: not ready."
    PROCESS_PAUSED = "Process: was paused."
    MACHINE_SUSPENDED = "Process: resumed after its machine was suspended."
    CONFIGURATION_ADOPTED = "Configuration: adopted."
    CONFIGURATION_UNREADABLE = "Configuration: unreadable."
    WORKER_LIST_APPLIED = "Workers: list applied."
    WORKER_CHANGED = "Workers: entry changed."
    DOCUMENT_UNREADABLE = "Workers: unreadable entry or report."
    REPORT_OUTDATED = "Workers: report of another incarnation."
    WORKER_REMOVAL_DEFERRED = "Workers: entry gone after an outage, held back."
    REVISION_REFUTED = "Workers: list was ahead of the store, read again."
    ZONE_EVACUATED = "Workers: zone evacuated, nothing more goes there."
    ZONE_RESTORED = "Workers: zone taken back."
    LIMIT_GRANTED = "Workers: limited one given a call."
    LIMIT_DEFERRED = "Workers: not given a call, at their limit."
    RATE_LIMIT_RECEIVED = "Workers: rate limit heard."
    RATE_LIMIT_UNREADABLE = "Workers: rate limit unreadable, passed over."
    BRITTLENESS_RECEIVED = "Workers: brittle, bears few rejections."
    LEAVE_ANNOUNCED = "Workers: leave announced in an answer."
    BACKOFF_REQUESTED = "Workers: backoff requested."
    NOTICE_UNREADABLE = "Workers: leave or backoff unreadable, passed over."
    LOAD_UNREADABLE = "Workers: load unreadable, passed over."
    HEADER_UNKNOWN = "Workers: answer with an unknown header."
    WORKER_REQUESTS_FULL = "Workers: sent no more, its unanswered requests are at their bound."
    CAPACITY_CHANGED = "Service: capacity changed."
    WORKER_AVOIDED = "Workers: avoided after a failure."
    WORKER_EJECTED = "Workers: ejected, fails more than the others."
    WORKER_HALF_OPEN = "Workers: half open, given probes."
    WORKER_RESTORED = "Workers: restored."
    WORKER_ENDED = "Workers: ended with a call in progress."
    REQUEST_QUARANTINED = "Request: quarantined, workers end under it."
    PART_QUARANTINED = "Prompt part: quarantined, workers crash under requests with it."
    REQUEST_AWAITS_VERDICT = "Request: waits for its verdict."
    REQUEST_VERDICT_REVOKED = "Request: verdict taken back."
    EVIDENCE_INCOMPLETE = (
        "Workers: crash evidence incomplete, a gateway with possible calls is unreachable."
    )
    CRASH_REPORT_UNREADABLE = "Members: crash report unreadable."
    REQUEST_ON_PROBATION = "Request: tried on probation."
    REQUEST_CLEARED = "Request: ended well, cleared."
    REQUEST_RELEASED = "Request: released by an operator."
    LINK_FAILED = "Links: worker unreachable from here, a member reaches it."
    LINK_RESTORED = "Links: worker reachable again."
    WORKERS_UNREACHABLE = "Links: no worker can be reached."
    WORKERS_REACHABLE = "Links: workers reachable again."
    REQUEST_RELAYED = "Links: request sent through a member."
    REQUEST_CARRIED = "Links: request of a member sent to its worker."
    STORE_UNREACHABLE = "Store: lost."
    STORE_REACHABLE = "Store: reachable again."
    MEMBER_JOINED = "Members: joined."
    MEMBER_SUSPECTED = "Members: suspected."
    MEMBER_REACHABLE = "Members: reachable again."
    PULL_FAILED = "Members: pull from a member failed."
    CONNECTIONS_CLOSED = "Callers: connections closed for new ones."
    CALLERS_DISCONNECTED = "Callers: left before they were accepted."
    LISTENER_CLOSED = "Listener: connections closed."
    LISTENER_BLOCKED = "Listener: accepts no connection."
    LISTENER_ACCEPTING = "Listener: accepts connections again."
    READER_CUT = "Callers: answer cut, its caller does not read."
    CALL_AWAITS_BACKOFFS = "Call: all its workers are in backoff."
    CALL_REFUSED = "Call: refused."
    CALL_RETURN_TOLD = "Call: told when to return."
    CALL_RETURNED = "Call: returned, its claim looked up."
    CALL_LEFT_ZONE = "Call: runs in another zone than its first."
    HEADERS_DROPPED = "Call: reserved headers dropped."
    CALL_ADMITTED_STOPPING = "Call: admitted while stopping."
    CALL_SENT = "Call: sent to a worker."
    CALL_ANSWERED = "Call: answered, the worker stated its pace."
    CALL_ATTEMPT_FAILED = "Call: attempt failed."
    CALL_ENDED = "Call: ended."
    ENGINE_GRANTED = "Call: engine granted."
    PROMPT_WAITS = "Call: prompt waits for an engine."
    PROMPT_REFUSED = "Call: prompt refused, engines are busy."
    PROMPT_COUNT_IGNORED = "Call: token counts ignored."
    PROMPT_TERMS_IGNORED = "Call: terms of waiting ignored."
    FIRST_EVENT = "Call: first event."
    STREAM_ENDED = "Call: stream ended."
    STREAM_CUT = "Call: stream cut, no engine continues it."
    ENGINE_SILENT = "Call: engine silent, another one is tried."
    FAILOVER_DEFERRED = "Call: not sent to another engine now."
    STREAM_RESUMED_BY_CALLER = "Call: stream resumed by its caller."
    STREAM_RESUMED = "Call: stream taken up at another worker."
    STAGE_PLACED = "Stage: placed."
    STAGES_RERUN = "Stage: all made again, inputs are gone."
    STAGE_ENDED = "Stage: ended."
    ROOM_REPORTED = "Stage: worker reported its room."
    BATCH_ENDED = "Batch: ended."
    CONNECTION_SILENT = "Connection: dropped for silence."
    ANSWER_FOREIGN = "Connection: dropped for an answer to another request."
    MESSAGE_OVERSIZED = "Connection: message dropped, it exceeds a bound."
    INTERNAL_FAULT = "Process: fault."


class BoundedOutput:
    """Buffered output to a file descriptor that never blocks the event loop."""

    def __init__(self, descriptor: int = 1, limit: int = MAX_BUFFER_BYTES) -> None:
        self._descriptor = descriptor
        self._limit = limit
        self._lines: deque[bytes] = deque()
        self._bytes = 0
        self._writing = False
        self.left_out = 0
        self.written_bytes = 0
        self.written_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Buffer one line, or leave it out if the buffer is full."""
        if self._bytes + len(line) > self._limit:
            self.left_out += 1
            return
        self._lines.append(line)
        self._bytes += len(line)
        if not self._writing:
            self.flush()

    def flush(self) -> None:
        """Write what the descriptor accepts now; the rest follows once it is writable."""
        while self._lines:
            line = self._lines[0]
            try:
                count = os.write(self._descriptor, line)
            except BlockingIOError:
                self._wait_until_writable()
                return
            except OSError:
                self._lines.clear()
                self._bytes = 0
                return
            self._bytes -= count
            self.written_bytes += count
            if count < len(line):
                self._lines[0] = line[count:]
                continue
            self._lines.popleft()
            self.written_lines += 1
        self._stop_waiting()

    def _wait_until_writable(self) -> None:
        if self._writing:
            return
        try:
            asyncio.get_running_loop().add_writer(self._descriptor, self.flush)
        except (RuntimeError, PermissionError):
            return
        self._writing = True

    def _stop_waiting(self) -> None:
        if self._writing:
            asyncio.get_running_loop().remove_writer(self._descriptor)
            self._writing = False


class _RateLimiter:
    """Token bucket that limits the rate of one kind of line."""

    __slots__ = ("left_out", "tokens", "updated_at")

    def __init__(self, now: float) -> None:
        self.tokens = MAX_BURST_LINES
        self.updated_at = now
        self.left_out = 0

    def try_take(self, now: float) -> bool:
        gained = (now - self.updated_at) * MAX_LINES_PER_SECOND
        self.tokens = min(MAX_BURST_LINES, self.tokens + gained)
        self.updated_at = now
        if self.tokens < 1.0:
            self.left_out += 1
            return False
        self.tokens -= 1.0
        return True


class DecisionLog:
    """Writes events and their fields as JSON lines."""

    def __init__(self, output: BoundedOutput | None, process: str) -> None:
        self._output = output
        self._process = process
        self._rate_limiters: dict[LogEvent, _RateLimiter] = {}
        self._render = structlog.processors.JSONRenderer()

    def write(self, event: LogEvent, **fields: Any) -> None:
        """Write one line, unless its kind exceeds the rate limit."""
        if self._output is None:
            return
        now = clock.now()
        limiter = self._rate_limiters.get(event)
        if limiter is None:
            limiter = self._rate_limiters[event] = _RateLimiter(now)
        if not limiter.try_take(now):
            return
        record: dict[str, Any] = {
            "event": event.value,
            "time": round(time.time(), 3),
            "process": self._process,
            **fields,
        }
        if limiter.left_out:
            record["left_out"] = limiter.left_out
            limiter.left_out = 0
        line = self._render(None, "info", record)
        self._output.write((line if isinstance(line, bytes) else line.encode()) + b"\n")

    def flush(self) -> None:
        """Write as much of the buffer as the output accepts without blocking."""
        if self._output is not None:
            self._output.flush()
