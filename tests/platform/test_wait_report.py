"""Tests that a bounded wait ends, although stalls of its event loop do not count.

The failure: a wait left out every stall, so that it had no bound in a loop that stands still again
and again.
"""

import asyncio
import itertools
from types import SimpleNamespace

import pytest
import wait_report
from wait_report import CHECK_SECONDS, MAX_COUNTED_SECONDS, MAX_STALLED_SECONDS, finish_within

BOUND_SECONDS = 10 * MAX_COUNTED_SECONDS
"""Bound of a wait, which ten stalls would reach if they extended it without limit."""

STALL_SECONDS = 0.4 * MAX_STALLED_SECONDS
"""Length of a stall: two are shorter than the limit of all stalls, and three are longer."""


class VirtualClock:
    """The clock of waits, which a test advances."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def monotonic(self) -> float:
        return self.seconds

    async def advance(self, seconds: float) -> None:
        """Advance the clock, and let a wait check its time; it may miss one of two advances."""
        self.seconds += seconds
        await asyncio.sleep(CHECK_SECONDS)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> VirtualClock:
    clock = VirtualClock()
    monkeypatch.setattr(wait_report, "time", SimpleNamespace(monotonic=clock.monotonic))
    return clock


async def run_without_end(clock: VirtualClock, step: float) -> None:
    for _ in itertools.count():
        await clock.advance(step)


async def test_a_wait_in_a_loop_that_stands_still_again_and_again_ends(
    clock: VirtualClock,
) -> None:
    with pytest.raises(TimeoutError):
        await finish_within(BOUND_SECONDS, run_without_end(clock, STALL_SECONDS))
    assert clock.seconds <= BOUND_SECONDS + MAX_STALLED_SECONDS + 2 * STALL_SECONDS


async def test_stalls_below_their_limit_end_no_wait(clock: VirtualClock) -> None:
    async def stall_twice() -> str:
        await clock.advance(STALL_SECONDS)
        await clock.advance(STALL_SECONDS)
        return "done"

    assert await finish_within(BOUND_SECONDS, stall_twice()) == "done"
    assert clock.seconds > BOUND_SECONDS


async def test_a_wait_in_a_running_loop_ends_at_its_bound(clock: VirtualClock) -> None:
    seconds = 5 * CHECK_SECONDS
    with pytest.raises(TimeoutError):
        await finish_within(seconds, run_without_end(clock, CHECK_SECONDS))
    assert clock.seconds <= seconds + 2 * CHECK_SECONDS
