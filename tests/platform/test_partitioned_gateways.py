"""Callers of a gateway that reaches no worker are served at the first try, through other gateways.

Guards against gateways that take their own loss of links for the end of every worker, and against
owners that decide about workers which they do not reach.
"""

import pytest
from core_clock import core_clock
from gateway_links import Cut
from partitioned_world import WAYS_IN, PartitionedWorld, partitioned_world

from corkcrank.contracts import clock

WARM_UP_SECONDS = 0.6
CUT_SECONDS = 3.0
HEALED_SECONDS = 2.5
SETTLING_SECONDS = 1.5
"""Time after a cut began or ended in which callers may be served less often."""

MIN_SHARE_OF_OTHERS = 0.95
"""Share at partitioned gateways of what the other gateways serve, at least."""


async def play_cut(played: PartitionedWorld, cut: set[int], how: Cut) -> tuple[float, float]:
    """Play load before, during and after a cut; return when the cut began and when it ended."""
    await played.load(WARM_UP_SECONDS)
    began_at = clock.now()
    for gateway in cut:
        played.links.cut(gateway, how)
    await played.load(CUT_SECONDS)
    healed_at = clock.now()
    for gateway in cut:
        played.links.heal(gateway)
    await played.load(HEALED_SECONDS)
    return began_at, healed_at


def assert_served_alike(
    played: PartitionedWorld, cut: set[int], begin: float, end: float = float("inf")
) -> None:
    others = set(range(len(played.nodes))) - cut
    at_others = played.shares(others, begin, end)
    at_cut = played.shares(cut, begin, end)
    assert min(at_others.values()) >= MIN_SHARE_OF_OTHERS, played.failures(begin)
    for name in WAYS_IN:
        assert at_cut[name] >= MIN_SHARE_OF_OTHERS * at_others[name], played.failures(begin)


def assert_nothing_ran_twice(played: PartitionedWorld) -> None:
    unrepeatable = {item.attempt for item in played.answers if item.name in ("once", "talk")}
    runs = played.runs()
    assert [attempt for attempt in unrepeatable if runs[attempt] > 1] == []


@pytest.mark.parametrize("others_cut", [0, 1], ids=["one of three", "two of three"])
@pytest.mark.parametrize("how", list(Cut))
async def test_callers_of_partitioned_gateways_are_served_at_the_first_try(
    how: Cut, others_cut: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with core_clock(), partitioned_world(monkeypatch) as played:
        owner = played.stage_owner()
        cut = {(owner + number) % 3 for number in range(1 + others_cut)}
        began_at, healed_at = await play_cut(played, cut, how)
        assert_served_alike(played, cut, began_at + SETTLING_SECONDS, healed_at)
        assert_served_alike(played, cut, healed_at + SETTLING_SECONDS)
        assert_nothing_ran_twice(played)
