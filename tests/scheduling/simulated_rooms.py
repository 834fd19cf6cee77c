"""Simulated engines that have room for few calls and bear few rejections a second."""

import asyncio
from collections import Counter, defaultdict, deque
from dataclasses import dataclass

from corkcrank.contracts import clock
from corkcrank.contracts.worker_records import WorkerRecord

WINDOW_SECONDS = 1.0


@dataclass(frozen=True)
class SimulatedRoom:
    """Calls for which each engine has room at first and from ``shrinks_at`` on, in seconds.

    ``tolerated`` is the number of rejections in a second that it bears. ``head_seconds`` pass from
    the beginning of a call until the head of its answer, which first shows what the engine states.
    """

    calls: int
    shrunk_calls: int
    shrinks_at: float
    tolerated: int = 3
    head_seconds: float = 0.0


class EngineRooms:
    """The calls in progress at each engine, its rejections, and how often it fell over."""

    def __init__(self, room: SimulatedRoom | None) -> None:
        self._room = room
        self._in_progress: Counter[str] = Counter()
        self._rejected_at: dict[str, deque[float]] = defaultdict(deque)
        self.rejections = 0
        self.falls: Counter[str] = Counter()
        self.started_at = 0.0

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers that engines add to their answers."""
        return {} if self._room is None else {"Server-Brittle": str(self._room.tolerated)}

    async def wait_for_head(self, worker: WorkerRecord) -> None:
        """Wait for the head of an answer; a call that is given up meanwhile has ended."""
        if self._room is None or not self._room.head_seconds:
            return
        try:
            await asyncio.sleep(self._room.head_seconds)
        except asyncio.CancelledError:
            self.end(worker)
            raise

    def try_begin(self, worker: WorkerRecord) -> bool:
        """Return whether an engine takes a call; count a rejection and a fall."""
        if self._room is None:
            return True
        now = clock.now()
        shrunk = now - self.started_at >= self._room.shrinks_at
        room = self._room.shrunk_calls if shrunk else self._room.calls
        if self._in_progress[worker.name] < room:
            self._in_progress[worker.name] += 1
            return True
        self.rejections += 1
        rejected_at = self._rejected_at[worker.name]
        rejected_at.append(now)
        while rejected_at[0] <= now - WINDOW_SECONDS:
            rejected_at.popleft()
        if len(rejected_at) > self._room.tolerated:
            self.falls[worker.name] += 1
            rejected_at.clear()
        return False

    def end(self, worker: WorkerRecord) -> None:
        """Record that a call has ended."""
        if self._room is not None:
            self._in_progress[worker.name] -= 1
