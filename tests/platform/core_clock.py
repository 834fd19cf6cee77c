"""A clock for tests whose gateways, workers and callers share one event loop on one thread.

It stands still while the thread is ready to run and the kernel gives it no core: other processes of
the machine take that time, and all parties of the test lose it together. Whatever one of them waits
for or computes counts in full.
"""

import asyncio
import os
import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path

import pytest

from corkcrank.contracts import clock

SCHEDULING = Path("/proc/thread-self/schedstat")
"""Nanoseconds for which the calling thread ran, and for which it waited for a core."""

MAX_LINE_BYTES = 128
NANOSECONDS = 1e9

Seconds = Callable[[], float]


class CoreClock:
    """Counts the seconds since its creation, except those without a core."""

    def __init__(self, core_wait: Seconds, now: Seconds = time.monotonic) -> None:
        self._core_wait = core_wait
        self._now = now
        self._wait_before = core_wait()
        self._latest = now()

    def __call__(self) -> float:
        # The wait is read last: one between the two readings makes the difference too small, never
        # too large, and the clock does not step back.
        now = self._now()
        waited = self._core_wait() - self._wait_before
        self._latest = max(self._latest, now - waited)
        return self._latest


@contextmanager
def thread_core_wait() -> Iterator[Seconds]:
    """Yield a function that reads for how many seconds the calling thread has waited for a core.

    Where the kernel does not tell, it reads 0, so that all time counts.
    """
    if not SCHEDULING.exists():
        yield lambda: 0.0
        return
    with SCHEDULING.open("rb") as file:
        number = file.fileno()
        yield lambda: int(os.pread(number, MAX_LINE_BYTES, 0).split()[1]) / NANOSECONDS


@asynccontextmanager
async def core_clock() -> AsyncIterator[None]:
    """Count the running loop's timers and the product's times on core clocks of this thread."""
    with thread_core_wait() as core_wait, pytest.MonkeyPatch.context() as patch:
        timers = CoreClock(core_wait)
        patch.setattr(asyncio.get_running_loop(), "time", timers)
        patch.setattr(clock, "loop_time", timers)
        patch.setattr(clock, "now", CoreClock(core_wait, clock.now))
        yield
