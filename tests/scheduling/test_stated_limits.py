"""State of a worker's rate limit at gateways whose reports arrive late, twice or never."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from corkcrank.scheduling.stated_limits import (
    MAX_SILENCE_SECONDS,
    MIN_REPORT_LEAD_SECONDS,
    RAMP_SECONDS,
    LimitChange,
    ReportedLimit,
    StatedLimits,
)

WORKER = "w"
GATEWAYS = 3
TRANSIT_SECONDS = 0.4 * MIN_REPORT_LEAD_SECONDS
QUIET_SECONDS = MAX_SILENCE_SECONDS + RAMP_SECONDS


class LimitReports(RuleBasedStateMachine):
    """A worker that changes its limit, and gateways that receive it, report it and restart."""

    @initialize()
    def begin(self) -> None:
        self.now = 100.0
        self.stated: float | None = None
        self.stated_until = -math.inf
        self.gateways = [StatedLimits() for _ in range(GATEWAYS)]
        self.received = [False] * GATEWAYS
        self.in_transit: list[tuple[float, ReportedLimit]] = []

    @rule(rate=st.none() | st.floats(0.0, 50.0))
    def worker_changes_its_limit(self, rate: float | None) -> None:
        if self.stated is not None:
            self.stated_until = self.now
        self.stated = rate
        self.received = [False] * GATEWAYS

    @rule(number=st.integers(0, GATEWAYS - 1))
    def gateway_calls_the_worker(self, number: int) -> None:
        self.gateways[number].record_answer(WORKER, self.stated, self.now)
        self.received[number] = True

    @rule(number=st.integers(0, GATEWAYS - 1))
    def gateway_sends_reports(self, number: int) -> None:
        for report in self.gateways[number].reports_for_peers(self.now):
            self.in_transit.append((self.now, report))

    @rule(number=st.integers(0, GATEWAYS - 1), choice=st.integers(0, 50))
    def report_arrives(self, number: int, choice: int) -> None:
        if not self.in_transit:
            return
        sent_at, report = self.in_transit[choice % len(self.in_transit)]
        # A report in transit for longer than this counts as lost: datagrams are not stored.
        if self.now - sent_at <= TRANSIT_SECONDS:
            self.gateways[number].apply_peer_report(report, self.now)

    @rule(number=st.integers(0, GATEWAYS - 1))
    def gateway_restarts(self, number: int) -> None:
        self.gateways[number] = StatedLimits()
        self.received[number] = False

    @rule(seconds=st.sampled_from([0.01, 0.2, 1.0, 5.0, QUIET_SECONDS]))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds
        self.received = [False] * GATEWAYS

    @invariant()
    def a_gateway_with_a_recent_answer_keeps_the_stated_rate(self) -> None:
        for gateway, received in zip(self.gateways, self.received, strict=True):
            if received and self.stated is not None:
                assert gateway.rate(WORKER, self.now) == self.stated

    @invariant()
    def a_limit_is_removed_long_after_its_end(self) -> None:
        if self.stated is None and self.now > self.stated_until + QUIET_SECONDS + 1.0:
            for gateway in self.gateways:
                assert gateway.rate(WORKER, self.now) is None

    @invariant()
    def a_rate_is_never_negative(self) -> None:
        for gateway in self.gateways:
            rate = gateway.rate(WORKER, self.now)
            assert rate is None or rate >= 0.0


LimitReports.TestCase.settings = settings(max_examples=200, stateful_step_count=40, deadline=None)
TestLimitReports = LimitReports.TestCase


@given(rate=st.floats(0.0, 100.0), steps=st.lists(st.floats(0.0, 0.5), min_size=1, max_size=60))
def test_the_rate_only_rises_after_the_end_of_a_limit(rate: float, steps: list[float]) -> None:
    limits, now = StatedLimits(), 0.0
    limits.record_answer(WORKER, rate, now)
    limits.record_answer(WORKER, None, now)
    before = rate
    for step in steps:
        now += step
        current = limits.rate(WORKER, now)
        if current is None:
            assert now >= RAMP_SECONDS
            return
        assert current >= before
        before = current


def test_a_limit_of_zero_lets_a_request_through_after_a_time_without_answers() -> None:
    limits = StatedLimits()
    limits.record_answer(WORKER, 0.0, 5.0)
    assert limits.rate(WORKER, 5.0 + MAX_SILENCE_SECONDS - 0.1) == 0.0
    assert limits.rate(WORKER, 5.0 + MAX_SILENCE_SECONDS) == 0.5


def test_reports_that_are_passed_on_do_not_keep_a_limit_alive() -> None:
    """Two gateways keep reporting the limit to each other without a new answer."""
    first, second = StatedLimits(), StatedLimits()
    first.record_answer(WORKER, 1.0, 0.0)
    now = 0.0
    while now < QUIET_SECONDS + 1.0:
        now += 0.25
        for sender, receiver in ((first, second), (second, first)):
            for report in sender.reports_for_peers(now):
                receiver.apply_peer_report(report, now + TRANSIT_SECONDS)
    assert first.rate(WORKER, now) is None
    assert second.rate(WORKER, now) is None


def test_an_old_report_of_an_end_does_not_end_a_limit_stated_later() -> None:
    limits = StatedLimits()
    limits.record_answer(WORKER, 1.0, 10.0)
    assert limits.apply_peer_report(ReportedLimit(WORKER, 1.0, age=3.0, ended=True), 11.0) is None
    assert limits.rate(WORKER, 11.0) == 1.0
    assert (
        limits.apply_peer_report(ReportedLimit(WORKER, 1.0, age=0.1, ended=True), 11.0)
        is LimitChange.ENDED
    )


@pytest.mark.parametrize("value", [math.nan, math.inf, -math.inf, -1.0, 1e300])
def test_a_report_with_invalid_figures_is_not_readable(value: float) -> None:
    assert not ReportedLimit(WORKER, value, 0.0).readable
    assert not ReportedLimit(WORKER, 1.0, value).readable
