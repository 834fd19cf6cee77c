"""Simulated rate limit of one worker at 6 to 195 gateways, with a temporary loss of the owner."""

import pytest
from limit_play import (
    EqualShares,
    GatewaySlots,
    LimitSettings,
    OwnerGrants,
    Unlimited,
    WholeLimitEach,
    simulate_limit,
)

SEEDS = range(10)
MEMBERS = [6, 61, 86, 195]
RATES = [0.3, 1.0, 1.2, 4.0, 20.0]


def allowed(rate: float) -> float:
    return 1.5 * rate * 4.0 + 5


def settings_for(members: int, rate: float) -> LimitSettings:
    return LimitSettings(members, rate, demand=max(20.0, 4 * rate))


@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize("members", MEMBERS)
def test_owner_grants_stay_within_the_limit_also_during_a_loss_of_the_owner(
    members: int, rate: float
) -> None:
    settings = settings_for(members, rate)
    for seed in SEEDS:
        outcome = simulate_limit(settings, OwnerGrants, seed)
        assert outcome.max_requests(since=settings.known_everywhere_at) <= allowed(rate)
        # After the loss of the owner no four seconds exceed the rate itself.
        assert outcome.max_requests(since=settings.owner_outage[1] + 4.0) <= max(1.0, 4.0 * rate)


@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize("members", MEMBERS)
def test_owner_grants_use_most_of_the_limit(members: int, rate: float) -> None:
    settings = settings_for(members, rate)
    used = [simulate_limit(settings, OwnerGrants, seed).rate(18.0, 30.0) for seed in SEEDS]
    assert sum(used) / len(used) >= 0.7 * rate


@pytest.mark.parametrize("members", MEMBERS)
def test_the_simulation_separates_strategies_that_exceed_the_limit_from_others(
    members: int,
) -> None:
    settings = settings_for(members, 1.2)
    highest = {
        strategy: max(
            simulate_limit(settings, strategy, seed).max_requests(settings.known_everywhere_at)
            for seed in SEEDS
        )
        for strategy in (Unlimited, WholeLimitEach, EqualShares, GatewaySlots)
    }
    assert highest[Unlimited] > allowed(1.2)
    assert highest[WholeLimitEach] > allowed(1.2)
    assert highest[GatewaySlots] <= allowed(1.2)


def test_equal_shares_use_little_of_the_limit_in_a_large_fleet() -> None:
    settings = LimitSettings(195, 1.2, demand=20.0, seconds=60.0)
    used = [simulate_limit(settings, EqualShares, seed).rate(30.0, 60.0) for seed in SEEDS]
    assert sum(used) / len(used) < 0.6 * 1.2
