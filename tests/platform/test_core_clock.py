"""The clock of tests on one loop leaves out what other processes take, and nothing else.

Guards against a clock that forgives a gateway that waits too long, or that blocks the loop itself.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import pytest
from core_clock import CoreClock, core_clock, thread_core_wait

from corkcrank.contracts import clock

WAIT_SECONDS = 0.3
TOLERANCE_SECONDS = 0.01
RUNS = 300


@dataclass
class Thread:
    """A simulated thread: the time, and how long of it the thread had no core."""

    now: float = 1000.0
    core_wait: float = 5.0

    def core_clock(self) -> CoreClock:
        return CoreClock(lambda: self.core_wait, lambda: self.now)

    def run(self, seconds: float) -> None:
        self.now += seconds

    def wait_for_core(self, seconds: float) -> None:
        self.now += seconds
        self.core_wait += seconds


def test_it_stands_still_without_a_core_only() -> None:
    thread = Thread()
    counted = thread.core_clock()
    thread.run(0.5)
    thread.wait_for_core(2.0)
    thread.run(0.25)
    assert counted() == pytest.approx(1000.75)


def test_it_does_not_step_back_if_the_core_is_lost_between_its_readings() -> None:
    thread = Thread()
    counted = thread.core_clock()
    thread.run(0.5)
    latest = counted()
    thread.core_wait += 0.2
    assert counted() == latest
    thread.run(0.3)
    assert counted() == pytest.approx(latest + 0.1)


async def sleep_for(seconds: float) -> None:
    await asyncio.sleep(seconds)


async def wait_for_an_event(seconds: float) -> None:
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(seconds):
            await asyncio.Event().wait()


async def block_the_loop(seconds: float) -> None:
    asyncio.get_running_loop().call_soon(time.sleep, seconds)
    await asyncio.sleep(0)
    await asyncio.sleep(0)


async def compute(seconds: float) -> None:
    """Use a core for some seconds, in turns with other tasks."""
    end_at = time.thread_time() + seconds
    while time.thread_time() < end_at:
        sum(range(RUNS))
        await asyncio.sleep(0)


@pytest.mark.parametrize("spend", [sleep_for, wait_for_an_event, block_the_loop, compute])
async def test_what_the_thread_waits_for_or_computes_counts_in_full(
    spend: Callable[[float], Awaitable[None]],
) -> None:
    async with core_clock():
        loop = asyncio.get_running_loop()
        real_begin, begin, timers_begin = time.monotonic(), clock.now(), loop.time()
        await spend(WAIT_SECONDS)
        counted, timers, real = (
            clock.now() - begin,
            loop.time() - timers_begin,
            time.monotonic() - real_begin,
        )
    assert min(counted, timers) >= WAIT_SECONDS - TOLERANCE_SECONDS
    assert max(counted, timers) <= real + TOLERANCE_SECONDS


async def test_it_leaves_out_what_the_kernel_says_and_no_more() -> None:
    with thread_core_wait() as core_wait:
        async with core_clock():
            real, waits, counted = [], [], []
            for _ in range(2):
                real.append(time.monotonic())
                waits.append(core_wait())
                counted.append(clock.now())
                waits.append(core_wait())
                real.append(time.monotonic())
                await compute(WAIT_SECONDS)
    passed = counted[1] - counted[0]
    # The core may be lost between two readings, so each bound takes the outer or the inner ones.
    assert passed >= real[2] - real[1] - (waits[3] - waits[0]) - TOLERANCE_SECONDS
    assert passed <= real[3] - real[0] - (waits[2] - waits[1]) + TOLERANCE_SECONDS


async def test_times_count_in_full_again_afterwards() -> None:
    loop = asyncio.get_running_loop()
    real = clock.now, clock.loop_time, loop.time
    async with core_clock():
        assert clock.now not in real
    assert (clock.now, clock.loop_time, loop.time) == real
