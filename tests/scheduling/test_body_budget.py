"""The budget of large request bodies: its bound, its order, the share of a tenant.

Guards against a gateway that is killed for memory, with every call in progress, because many
callers send large bodies at once.
"""

from hypothesis import given
from hypothesis import strategies as st

from corkcrank.scheduling.body_budget import (
    MAX_RETRY_SECONDS,
    MAX_TENANT_SHARE,
    MIN_RETRY_SECONDS,
    BodyBudget,
    BodyClaim,
)

BOUND = 100
URGENT, USUAL = (0, 0), (1, 0)


def claim(size: int, tenant: str = "", rank: tuple[int, int] = USUAL) -> BodyClaim:
    return BodyClaim(size, tenant, rank)


def test_bodies_are_kept_up_to_the_bound() -> None:
    budget = BodyBudget[str](BOUND)
    assert budget.claim("a", claim(60), 0.0)
    assert not budget.claim("b", claim(60), 0.0)
    assert (budget.kept_bytes, len(budget), budget.waiting) == (60, 1, 1)
    assert budget.release("a", 1.0) == ["b"]
    assert budget.release("b", 2.0) == []
    assert (budget.kept_bytes, len(budget), budget.waiting) == (0, 0, 0)


def test_a_gateway_of_unknown_memory_keeps_every_body() -> None:
    budget = BodyBudget[int]()
    assert all(budget.claim(number, claim(10**9, "t"), 0.0) for number in range(9))


def test_a_body_above_the_bound_is_kept_alone() -> None:
    budget = BodyBudget[str](BOUND)
    assert budget.claim("a", claim(3 * BOUND, "t"), 0.0)
    assert not budget.claim("b", claim(1, "u"), 0.0)


def test_the_most_urgent_claim_gets_the_room_that_was_freed() -> None:
    budget = BodyBudget[str](BOUND)
    budget.claim("a", claim(90), 0.0)
    budget.claim("usual", claim(60), 0.0)
    budget.claim("urgent", claim(60, rank=URGENT), 0.1)
    assert budget.release("a", 1.0) == ["urgent"]


def test_a_new_claim_does_not_pass_one_that_waits() -> None:
    budget = BodyBudget[str](BOUND)
    budget.claim("a", claim(90), 0.0)
    budget.claim("waits", claim(60), 0.0)
    assert not budget.claim("small", claim(5), 0.1)
    assert budget.claim("urgent", claim(5, rank=URGENT), 0.1)
    assert budget.withdraw("waits", 0.2) == ["small"]


def test_one_tenant_leaves_room_for_others() -> None:
    budget = BodyBudget[str](BOUND)
    assert budget.claim("a", claim(40, "one"), 0.0)
    assert not budget.claim("b", claim(40, "one"), 0.0)
    assert budget.claim("c", claim(40, "other"), 0.0)


def test_a_claim_at_its_tenants_share_holds_up_no_other_tenant() -> None:
    budget = BodyBudget[str](BOUND)
    budget.claim("a", claim(40, "one"), 0.0)
    budget.claim("b", claim(40, "one"), 0.0)
    budget.claim("c", claim(50, "other"), 0.0)
    budget.claim("d", claim(30, "third"), 0.0)
    assert budget.release("c", 1.0) == ["d"]


def test_a_body_that_was_shorter_than_claimed_frees_the_rest() -> None:
    budget = BodyBudget[str](BOUND)
    budget.claim("a", claim(90), 0.0)
    budget.claim("b", claim(90), 0.0)
    assert budget.resize("a", 10, 0.1) == ["b"]
    assert budget.resize("b", 95, 0.2) == []
    assert budget.kept_bytes == 100


def test_claims_are_granted_when_the_bound_rises() -> None:
    budget = BodyBudget[str](BOUND)
    budget.claim("a", claim(90), 0.0)
    budget.claim("b", claim(90), 0.0)
    assert budget.set_bound(2 * BOUND, 0.1) == ["b"]


def test_callers_are_told_when_bodies_have_usually_ended() -> None:
    budget = BodyBudget[int](BOUND)
    for number in range(40):
        budget.claim(number, claim(90), 10.0 * number)
        budget.release(number, 10.0 * number + 0.3)
    assert abs(budget.retry_seconds() - 0.3) < 0.01


SIZES = st.integers(1, 2 * BOUND)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["claim", "release", "withdraw", "resize"]),
        st.integers(0, 9),
        SIZES,
        st.sampled_from(["", "one", "two"]),
        st.sampled_from([URGENT, USUAL]),
    ),
    max_size=60,
)


@given(STEPS)
def test_the_bound_holds_and_no_claim_that_fits_is_left_waiting(steps: list) -> None:  # type: ignore[type-arg]
    budget = BodyBudget[int](BOUND)
    sizes: dict[int, tuple[int, str]] = {}
    waiting: dict[int, BodyClaim] = {}
    for now, (step, key, size, tenant, rank) in enumerate(steps):
        granted: list[int] = []
        if step == "claim" and key not in sizes and key not in waiting:
            wanted = claim(size, tenant, rank)
            waiting[key] = wanted
            if budget.claim(key, wanted, now):
                granted = [key]
        elif step == "release":
            sizes.pop(key, None)
            waiting.pop(key, None)
            granted = budget.release(key, now)
        elif step == "withdraw" and key in waiting:
            waiting.pop(key)
            granted = budget.withdraw(key, now)
        elif step == "resize" and key in sizes:
            sizes[key] = (min(size, sizes[key][0]), sizes[key][1])
            granted = budget.resize(key, size, now)
        for item in granted:
            sizes[item] = (waiting[item].size, waiting.pop(item).tenant)
        kept = sum(size for size, _ in sizes.values())
        assert budget.kept_bytes == kept
        assert (len(budget), budget.waiting) == (len(sizes), len(waiting))
        assert kept <= BOUND or len(sizes) == 1
        for name in ("one", "two"):
            used = [size for size, tenant in sizes.values() if tenant == name]
            assert sum(used) <= MAX_TENANT_SHARE * BOUND or len(used) == 1
        if waiting:
            first = min(waiting.values(), key=lambda item: item.rank)
            alone = not any(tenant == first.tenant for _, tenant in sizes.values())
            assert not (alone and kept + first.size <= BOUND)
        assert MIN_RETRY_SECONDS <= budget.retry_seconds() <= MAX_RETRY_SECONDS
