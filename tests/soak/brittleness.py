"""A worker's room and its rejections while it is brittle."""

import time
from collections import deque

TOLERATED_REJECTIONS = 3
WINDOW_SECONDS = 1.0


class Brittleness:
    """One worker's room and rejections while it is brittle."""

    def __init__(self) -> None:
        self.falls = 0
        self._room: int | None = None
        self._rejected_at: deque[float] = deque()

    def begin(self, room: int) -> None:
        """Make the worker brittle, or change its room."""
        self._room = room

    def end(self) -> None:
        """End the brittleness."""
        self._room = None
        self._rejected_at.clear()
        self.falls = 0

    @property
    def headers(self) -> dict[str, str]:
        """Return the response headers that state the tolerated rejections."""
        return {} if self._room is None else {"Server-Brittle": str(TOLERATED_REJECTIONS)}

    def is_full(self, at_work: int) -> bool:
        """Return whether a call is rejected for want of room; count it and a fall."""
        if self._room is None or at_work < self._room:
            return False
        now = time.monotonic()
        self._rejected_at.append(now)
        while self._rejected_at[0] <= now - WINDOW_SECONDS:
            self._rejected_at.popleft()
        if len(self._rejected_at) > TOLERATED_REJECTIONS:
            self.falls += 1
            self._rejected_at.clear()
        return True
