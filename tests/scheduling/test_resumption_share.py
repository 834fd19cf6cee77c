"""Precedence of resumed streams is bounded, whatever callers say."""

from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corkcrank.contracts import clock
from corkcrank.node.streams.stream_continuity import StreamContinuity
from corkcrank.scheduling.resumption_share import (
    DECAY_SECONDS,
    MAX_PRECEDING_PER_BEGUN,
    MIN_PRECEDING_STREAMS,
    ResumptionShare,
)

WINDOW_SECONDS = 1.0
DECAY_OF_A_WINDOW = 1.0 + WINDOW_SECONDS / DECAY_SECONDS

steps = st.lists(
    st.tuples(st.sampled_from(["begun", "resumed"]), st.floats(0.0, 0.3)), min_size=1, max_size=300
)


@given(steps, st.integers(1, 400))
def test_a_caller_that_names_one_stream_in_many_calls_gets_little_precedence(
    calls: list[tuple[str, float]], gateways: int
) -> None:
    share, now = ResumptionShare(), 0.0
    begun: list[float] = []
    preceding: list[float] = []
    for kind, pause in calls:
        now += pause
        if kind == "begun":
            share.observe_begun("tenant", now)
            begun.append(now)
        elif share.may_precede("tenant", gateways, now):
            preceding.append(now)
    for start in preceding:
        end = start + WINDOW_SECONDS
        given_there = sum(start <= at <= end for at in preceding)
        begun_before = sum(at <= end for at in begun)
        limit = max(MIN_PRECEDING_STREAMS / gateways, MAX_PRECEDING_PER_BEGUN * begun_before)
        assert given_there <= limit * DECAY_OF_A_WINDOW + 1


refusals = st.lists(
    st.tuples(st.sampled_from(["begun", "refused", "served"]), st.floats(0.0, 0.3)),
    min_size=1,
    max_size=300,
)


@given(refusals, st.integers(1, 400), st.floats(0.0, 5.0))
def test_what_refused_streams_give_back_lets_no_more_be_served_first(
    calls: list[tuple[str, float]], gateways: int, held: float
) -> None:
    """Plays a greedy tenant twice: with refused calls that give back, and without these calls."""
    played, without = ResumptionShare(), ResumptionShare()
    served, served_without, now = 0, 0, 0.0
    for kind, pause in calls:
        now += pause
        if kind == "begun":
            played.observe_begun("tenant", now)
            without.observe_begun("tenant", now)
        elif kind == "refused":
            if played.may_precede("tenant", gateways, now):
                played.give_back("tenant", now, now + held)
                now += held
        else:
            served += played.may_precede("tenant", gateways, now)
            served_without += without.may_precede("tenant", gateways, now)
    assert abs(served - served_without) <= 1


def test_refused_attempts_of_one_stream_do_not_use_up_the_share() -> None:
    share = ResumptionShare()
    for attempt in range(100):
        assert share.may_precede("tenant", 350, float(attempt))
        share.give_back("tenant", float(attempt), attempt + 0.2)


@pytest.mark.parametrize("claim_issued", [False, True])
def test_a_refusal_with_a_claim_at_the_rank_of_resumed_streams_stays_in_the_share(
    claim_issued: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clock, "now", lambda: 0.0)
    share: Any = ResumptionShare()
    call: Any = SimpleNamespace(tenant="tenant", precedence=True, claim_issued=claim_issued)
    services: Any = SimpleNamespace(resumption_share=share)
    assert share.may_precede("tenant", 350, 0.0)
    StreamContinuity(call, services).give_back_precedence()
    assert share.may_precede("tenant", 350, 0.0) == (not claim_issued)


def test_all_streams_have_precedence_if_one_in_three_breaks_off() -> None:
    share = ResumptionShare()
    for _ in range(30):
        share.observe_begun("tenant", 0.0)
    assert all(share.may_precede("tenant", 350, 0.0) for _ in range(10))


def test_one_tenant_does_not_use_up_the_precedence_of_another() -> None:
    share = ResumptionShare()
    while share.may_precede("greedy", 6, 0.0):
        pass
    assert share.may_precede("other", 6, 0.0)


def test_tenants_without_recent_streams_are_forgotten() -> None:
    share = ResumptionShare()
    for number in range(100):
        share.observe_begun(f"tenant {number}", 0.0)
    share.observe_begun("last", 10 * DECAY_SECONDS)
    assert len(share) == 1
