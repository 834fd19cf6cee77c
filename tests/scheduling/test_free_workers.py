"""Nobody is refused while each of their stages has a free worker and nothing waits there.

Callers were refused beside free workers at once, when they came back and the gateway foresaw
pieces of others that had not come yet, and after 4 s and more of their own time, when a call
that was begun was past its objective and its next stage could have started at once.
"""

from collections.abc import Callable
from dataclasses import replace

import pytest
from fleet_play import Play, World, run_play
from test_fleet_play import BURSTS, heavy_load

SLOW = dict.fromkeys(("billing0", "training0", "training1", "notice0", "notice1"), 2.0)
"""How many times their stated time some workers take."""


def six_nodes(share: float, seed: int) -> Play:
    play = heavy_load(0.25)
    routes = tuple(replace(item, rate=item.rate * share) for item in play.routes)
    return replace(play, routes=routes, nodes_by_zone={"a": 3, "b": 3}, seed=seed)


def slow_workers(seed: int) -> Play:
    return replace(six_nodes(1.15, seed), bursts=BURSTS[:1], slowness=SLOW)


def bursts(seed: int) -> Play:
    return replace(six_nodes(1.1, seed), bursts=BURSTS)


def refusals(world: World) -> tuple[int, int]:
    """Return how many calls were refused, and how many of them beside free workers."""
    outcomes = world.outcomes.values()
    refused = sum(item.refused + item.refused_again for item in outcomes)
    return refused, sum(item.refused_beside_free for item in outcomes)


@pytest.mark.parametrize(
    ("make", "seed"),
    [(slow_workers, 3), (slow_workers, 5), (slow_workers, 6), (bursts, 5)],
)
def test_nobody_is_refused_beside_free_workers(make: Callable[[int], Play], seed: int) -> None:
    """The third and the fourth play had one before, of some 150 refusals each."""
    refused, beside_free = refusals(run_play(make(seed), pytest.MonkeyPatch()))
    assert refused > 50
    assert beside_free == 0
