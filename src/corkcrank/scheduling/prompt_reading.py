"""Tracks the prompts that engines read, and forecasts when each engine has read its prompts.

An engine reads one prompt after the other. A prompt is reported as read at its first event, which
follows some decode steps later. Reading pace and that delay are therefore measured separately: the
pace between the first events of consecutive prompts, the delay at idle engines.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Any

from corkcrank.scheduling.prefill_grants import MAX_PREFILL_SECONDS

FASTER_WEIGHT = 0.2
"""Weight of a prompt that was read faster than the mean."""

SLOWER_WEIGHT = 0.05
"""Weight of a slower prompt. Late grants and reports make a reading look longer, never shorter, so
slow samples count less. Otherwise busy gateways would underestimate the pace of engines."""

INITIAL_DELAY_SECONDS = 0.05
"""Initial time from the end of reading a prompt to its reported first event."""

LOWER_DELAY_WEIGHT = 0.3
"""Weight of a delay shorter than the mean: every prompt's time is an upper bound of the delay."""

HIGHER_DELAY_WEIGHT = 0.02
"""Weight of a longer delay. It may be caused by prompts that other gateways sent without a grant,
which all engines have after a failover of the owner."""

MIN_SAMPLE_TOKENS = 500
"""Shorter prompts are not measured: their time is mostly that of a decode step."""

PaceFactor = Callable[[str], float]
"""Returns by engine id the duration of work there, as a multiple of the service's mean."""


@dataclass(slots=True)
class _Granted:
    call_id: str
    tokens: int
    granted_at: float
    in_a_row: bool


class PromptReading:
    """Prompts granted to a zone's engines of one service and not yet reported as read."""

    def __init__(self, tokens_per_second: float, factor: PaceFactor) -> None:
        self.tokens_per_second = tokens_per_second
        self.delay_seconds = INITIAL_DELAY_SECONDS
        self.measured_at: float | None = None
        """Time of the last measurement of the pace or the delay."""
        self._factor = factor
        self._granted: dict[str, list[_Granted]] = {}
        self._engine_of: dict[str, str] = {}
        self._started_at: dict[str, float] = {}
        self._reported_at: dict[str, float] = {}

    def read_seconds(self, worker_id: str, tokens: int) -> float:
        """Return the time in seconds that an engine takes to read ``tokens``."""
        return tokens / self.tokens_per_second * self._factor(worker_id)

    def seconds_left(self, worker_id: str, now: float) -> float:
        """Return the seconds until an engine has read its granted prompts.

        Only the first prompt counts as partly read, even if reading takes longer than forecast.
        """
        granted = self._granted.get(worker_id)
        if not granted:
            return 0.0
        self._remove_expired(worker_id, now)
        if not granted:
            return 0.0
        first = self.read_seconds(worker_id, granted[0].tokens)
        later = sum(self.read_seconds(worker_id, item.tokens) for item in granted[1:])
        return later + max(0.0, first - (now - self._started_at[worker_id]))

    def record_grant(self, call_id: str, worker_id: str, tokens: int, now: float) -> None:
        """Record that an engine was granted a prompt."""
        self.record_end(call_id, now, read=False)
        granted = self._granted.setdefault(worker_id, [])
        if not granted:
            self._started_at[worker_id] = now
        granted.append(_Granted(call_id, tokens, now, bool(granted)))
        self._engine_of[call_id] = worker_id

    def record_end(self, call_id: str, now: float, *, read: bool) -> None:
        """Remove a prompt that was read or withdrawn; measure the pace or delay if it was read."""
        worker_id = self._engine_of.pop(call_id, None)
        if worker_id is None:
            return
        granted = self._granted[worker_id]
        place = next(index for index, item in enumerate(granted) if item.call_id == call_id)
        item = granted.pop(place)
        if place == 0:
            # The engine has read the next prompt since the end of the first one.
            began_at = now - self.delay_seconds if read else now
            next_at = granted[0].granted_at if granted else now
            self._started_at[worker_id] = max(began_at, next_at)
        if read:
            if place == 0:
                self._measure(worker_id, item, now)
            self._reported_at[worker_id] = now

    def retain_only(self, worker_ids: Collection[str]) -> None:
        """Remove engines that are no longer listed, with their granted prompts."""
        ended = [key for key, engine in self._engine_of.items() if engine not in worker_ids]
        for call_id in ended:
            del self._engine_of[call_id]
        tables: tuple[dict[str, Any], ...] = (self._granted, self._started_at, self._reported_at)
        for table in tables:
            for worker_id in [key for key in table if key not in worker_ids]:
                del table[worker_id]

    def _measure(self, worker_id: str, item: _Granted, now: float) -> None:
        """Update the pace with a prompt read in a row, or the delay with one read alone."""
        self.measured_at = now
        factor = self._factor(worker_id)
        since_grant = now - item.granted_at
        delay = since_grant - self.read_seconds(worker_id, item.tokens)
        if delay < 0:
            self._observe_pace(item.tokens, since_grant / factor)
        if delay < self.delay_seconds:
            self.delay_seconds += LOWER_DELAY_WEIGHT * (max(0.0, delay) - self.delay_seconds)
        elif not item.in_a_row:
            self.delay_seconds += HIGHER_DELAY_WEIGHT * (delay - self.delay_seconds)
        if not item.in_a_row:
            return
        reported_at = self._reported_at.get(worker_id, now)
        if item.granted_at + self.delay_seconds <= reported_at < now:
            self._observe_pace(item.tokens, (now - reported_at) / factor)

    def _observe_pace(self, tokens: int, seconds: float) -> None:
        if tokens < MIN_SAMPLE_TOKENS or seconds <= 0:
            return
        # Averages seconds per token instead of the rate, so that one short gap has little weight.
        measured = seconds / tokens
        known = 1.0 / self.tokens_per_second
        weight = FASTER_WEIGHT if measured < known else SLOWER_WEIGHT
        self.tokens_per_second = 1.0 / (known + weight * (measured - known))

    def _remove_expired(self, worker_id: str, now: float) -> None:
        granted = self._granted[worker_id]
        for item in list(granted):
            usual = self.read_seconds(worker_id, item.tokens)
            if item.granted_at + MAX_PREFILL_SECONDS + usual <= now:
                self.record_end(item.call_id, now, read=False)
