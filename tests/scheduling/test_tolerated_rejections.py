"""Calls at a worker that has rejected some and tolerates few more rejections.

Guards against two workers that got no calls for the rest of a second after two rejections each,
while callers were refused. A worker that rejects all that it may still reject must not fail.
"""

import pytest

from corkcrank.scheduling.concurrency_caps import (
    ACCEPTANCE_FACTOR,
    PLACE_WAIT_SECONDS,
    REJECTION_WINDOW_SECONDS,
    UNKNOWN_CALLS_SECONDS,
    CapLimits,
    ConcurrencyCaps,
)

WORKER = "w"
REPORT_SECONDS = 0.004
"""Time from a lease to the report that the worker rejected its call."""

BEGUN_AT = UNKNOWN_CALLS_SECONDS
STEP_SECONDS = 0.001
PLAYED_SECONDS = 4.0


def caps_after_rejections(
    limits: CapLimits, kept: int, rejected: int, begun_at: float = BEGUN_AT
) -> ConcurrencyCaps:
    """Return caps of a worker that keeps some calls of ``begun_at`` and rejected others since."""
    caps = ConcurrencyCaps()
    caps.record_lease(WORKER, limits, "first", 10.0, now=0.0)
    caps.release(WORKER, "first", 0, rejected=False, now=0.0)
    for number in range(kept + rejected):
        caps.record_lease(WORKER, limits, f"{number}", 10.0, begun_at)
    for number in range(kept, kept + rejected):
        caps.release(WORKER, f"{number}", 0, rejected=True, now=begun_at + REPORT_SECONDS)
    return caps


def end_kept_calls(caps: ConcurrencyCaps, kept: int, now: float) -> None:
    for number in range(kept):
        caps.release(WORKER, f"{number}", 0, rejected=False, now=now)


def test_a_worker_that_tolerates_one_more_rejection_gets_one_call_that_it_may_reject() -> None:
    limits = CapLimits(slots=8, tolerated_rejections=3)
    caps = caps_after_rejections(limits, kept=3, rejected=2)
    now = BEGUN_AT + 0.1
    end_kept_calls(caps, 3, now)
    assert caps.seconds_until_place(WORKER, limits, 0, now) == 0.0
    caps.record_lease(WORKER, limits, "undecided", 10.0, now)
    assert 0.0 < caps.seconds_until_place(WORKER, limits, 0, now) <= PLACE_WAIT_SECONDS


def test_a_call_counts_as_accepted_after_twice_the_time_of_the_slowest_rejection() -> None:
    limits = CapLimits(slots=8, tolerated_rejections=3)
    caps = caps_after_rejections(limits, kept=2, rejected=2)
    now = BEGUN_AT + 0.1
    end_kept_calls(caps, 2, now)
    caps.record_lease(WORKER, limits, "undecided", 10.0, now)
    decided_at = now + ACCEPTANCE_FACTOR * REPORT_SECONDS
    assert caps.seconds_until_place(WORKER, limits, 0, decided_at - STEP_SECONDS) > 0.0
    assert caps.seconds_until_place(WORKER, limits, 0, decided_at + STEP_SECONDS) == 0.0


def test_a_worker_at_its_limit_gets_nothing_until_a_rejection_leaves_the_window() -> None:
    limits = CapLimits(slots=8, tolerated_rejections=3)
    caps = caps_after_rejections(limits, kept=0, rejected=3)
    left = caps.seconds_until_place(WORKER, limits, 0, now=BEGUN_AT + 0.5)
    assert left == pytest.approx(REPORT_SECONDS + REJECTION_WINDOW_SECONDS - 0.5)


def test_one_rejection_is_reserved_while_calls_without_a_lease_may_be_in_progress() -> None:
    """Two gateways that both granted as owner made an engine reject four calls in a second."""
    limits = CapLimits(slots=8, tolerated_rejections=3)
    caps = caps_after_rejections(limits, kept=0, rejected=2, begun_at=UNKNOWN_CALLS_SECONDS - 0.5)
    assert caps.seconds_until_place(WORKER, limits, 0, UNKNOWN_CALLS_SECONDS - 0.1) > 0.0
    assert caps.seconds_until_place(WORKER, limits, 0, UNKNOWN_CALLS_SECONDS) == 0.0


@pytest.mark.parametrize("tolerated", range(1, 6))
@pytest.mark.parametrize("report_seconds", [0.002, 0.05, 0.4])
def test_a_worker_that_rejects_every_call_never_rejects_more_than_it_tolerates(
    tolerated: int, report_seconds: float
) -> None:
    limits = CapLimits(slots=max(1, tolerated - 1), tolerated_rejections=tolerated)
    caps = ConcurrencyCaps()
    rejected_at: list[float] = []
    waiting: list[tuple[float, str]] = []
    for step in range(int(PLAYED_SECONDS / STEP_SECONDS)):
        now = step * STEP_SECONDS
        while waiting and waiting[0][0] <= now:
            caps.release(WORKER, waiting.pop(0)[1], 0, rejected=True, now=now)
        while not caps.seconds_until_place(WORKER, limits, len(waiting), now):
            caps.record_lease(WORKER, limits, f"{step} {len(waiting)}", 10.0, now)
            waiting.append((now + report_seconds, f"{step} {len(waiting)}"))
            rejected_at.append(now + report_seconds / 2)
    assert len(rejected_at) > tolerated
    for begin in rejected_at:
        within = [at for at in rejected_at if begin <= at < begin + REJECTION_WINDOW_SECONDS]
        assert len(within) <= tolerated
