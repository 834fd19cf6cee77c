"""The check of silent connections leaves out what a node had no core for, and nothing else.

Guards against a node that is blamed for what other processes of the machine took, and against a
check that forgives a node that waits too long by itself.
"""

import os
import time

import pytest

from soak.core_waits import CoreUse, CoreWaits, read_core_use
from soak.silence_watch import LateWait

PROCESS = 7
STEP_SECONDS = 0.05
BOUND_SECONDS = 2.0


class Process:
    """A simulated process with its samples; the kernel adds a wait when it ends."""

    def __init__(self) -> None:
        self.now = 100.0
        self.running = {PROCESS}
        self.waits = CoreWaits(lambda: self.running)
        self._ran = self._waited = 0.0
        self._sample()

    def idle(self, seconds: float) -> None:
        """Serve now and then for some time."""
        self._pass(seconds, ran=0.1)

    def compute(self, seconds: float) -> None:
        """Block the loop for some time."""
        self._pass(seconds, ran=1.0)

    def hang(self, seconds: float) -> None:
        """Wait for some time without running at all."""
        self._pass(seconds, ran=0.0)

    def lose_core(self, seconds: float) -> None:
        """Be ready to run for some time, and run then."""
        self._pass(seconds, ran=0.0)
        self._waited += seconds
        self._ran += 0.001

    def late_wait(self, since: float) -> LateWait:
        """Return the wait on a silent connection as the link shows it now."""
        late = self.now - since - BOUND_SECONDS
        return LateWait("store of node-0", PROCESS, since, self.now, late)

    def seconds_late(self, wait: LateWait) -> float | None:
        return wait.seconds_late(self.waits)

    def _pass(self, seconds: float, ran: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            self._ran += ran * STEP_SECONDS
            self._sample()

    def _sample(self) -> None:
        if PROCESS in self.running:
            self.waits.record(PROCESS, CoreUse(self.now, self._ran, self._waited))


def test_a_node_without_a_core_is_not_late() -> None:
    process = Process()
    since = process.now
    process.idle(1.6)
    process.lose_core(0.6)
    wait = process.late_wait(since)
    assert wait.late == pytest.approx(0.2)
    process.idle(0.1)
    late = process.seconds_late(wait)
    assert late is not None
    assert late < 0.0


def test_what_a_node_waits_for_or_computes_counts_in_full() -> None:
    for spend in (Process.idle, Process.compute):
        process = Process()
        since = process.now
        spend(process, 2.2)
        wait = process.late_wait(since)
        process.idle(0.1)
        assert process.seconds_late(wait) == pytest.approx(0.2)


def test_a_node_is_judged_once_it_has_run_again() -> None:
    process = Process()
    since = process.now
    process.idle(1.6)
    process.hang(0.6)
    wait = process.late_wait(since)
    process.hang(0.3)
    assert process.seconds_late(wait) is None
    process.idle(0.1)
    assert process.seconds_late(wait) == pytest.approx(0.2)


def test_a_lost_core_before_the_wait_or_after_it_was_seen_does_not_count() -> None:
    process = Process()
    process.lose_core(1.0)
    since = process.now
    process.idle(2.2)
    wait = process.late_wait(since)
    process.lose_core(1.0)
    process.idle(0.1)
    late = process.seconds_late(wait)
    assert late is not None
    assert late > 0.1


def test_a_process_that_has_ended_is_judged_by_all_its_time() -> None:
    process = Process()
    since = process.now
    process.idle(2.2)
    wait = process.late_wait(since)
    process.running.clear()
    assert process.seconds_late(wait) == pytest.approx(0.2)


def test_the_kernel_tells_what_a_process_ran() -> None:
    before = read_core_use(os.getpid())
    if before is None:
        pytest.skip("the kernel does not tell")
    end_at = time.process_time() + 0.1
    while time.process_time() < end_at:
        sum(range(1000))
    after = read_core_use(os.getpid())
    assert after is not None
    assert after.ran - before.ran >= 0.05
    assert 0.0 <= after.waited - before.waited <= after.at - before.at + 0.05
