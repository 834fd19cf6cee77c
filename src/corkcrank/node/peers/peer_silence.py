"""Timeout for a peer that sends nothing, or no end; it does not count a pause of this process.

A pause delays all of this process's timers and reads alike, and a peer in the same pause sends
nothing either. So silence is counted in intervals of the event loop: however long a pause lasts, it
makes one interval longer.
"""

import asyncio
from types import TracebackType
from typing import Self

SILENT_INTERVALS = 4
"""Number of intervals without a byte after which a peer is silent."""


ANSWER_INTERVALS = 12
"""Number of intervals after the beginning of an answer within which its end has to arrive."""


class PeerSilence:
    """Raises ``TimeoutError`` after ``SILENT_INTERVALS`` of ``seconds`` without a byte.

    An answer that has begun has ``ANSWER_INTERVALS`` to its end, however its bytes arrive.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._limit = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        self._silent_intervals = 0
        self._answer_timer: asyncio.TimerHandle | None = None
        self._answer_intervals = 0

    async def __aenter__(self) -> Self:
        await self._limit.__aenter__()
        self.record_bytes()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for timer in (self._timer, self._answer_timer):
            if timer is not None:
                timer.cancel()
        await self._limit.__aexit__(kind, error, trace)

    def record_bytes(self) -> None:
        """Record that the peer sent something."""
        self._silent_intervals = 0
        self._start_interval()

    def record_answer(self) -> None:
        """Record that the answer has begun."""
        if self._answer_timer is None:
            self._start_answer_interval()

    def _start_answer_interval(self) -> None:
        loop = asyncio.get_running_loop()
        self._answer_timer = loop.call_later(self._seconds, self._end_answer_interval)

    def _end_answer_interval(self) -> None:
        self._answer_intervals += 1
        if self._answer_intervals < ANSWER_INTERVALS:
            self._start_answer_interval()
        else:
            self._limit.reschedule(asyncio.get_running_loop().time())

    def _start_interval(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._seconds, self._end_interval)

    def _end_interval(self) -> None:
        self._silent_intervals += 1
        if self._silent_intervals < SILENT_INTERVALS:
            self._start_interval()
        else:
            self._limit.reschedule(asyncio.get_running_loop().time())
