"""What callers get under a load that is more than the stage workers can make, in bursts.

The load is that of a fleet of pipelines of one, three and four stages before one model, at
1.25 of its usual traffic with two bursts: the calls of the most urgent route jump to 2.3 times
as many, then all calls to 1.8. News of a large fleet is 2 s old and more; with it the gateways
used to admit late in a burst, and to refuse for seconds after it. The tests play a third of the
fleet: 16 nodes, bursts of 3 s.

Credit of all calls, and parts served in time by route, the most urgent first (whole load, 36
nodes, bursts of 5 and 4 s, news every 2 s, mean of two seeds; trials):

=====================================  ======  =====  =====  =====
what admission and placing rest on     credit  first  second third
=====================================  ======  =====  =====  =====
each gateway tells its own calls       0.950   0.959  0.996  0.629
owners tell what follows; the owner    0.970   0.983  1.000  0.682
places pieces in its pool
everything known at once (a bound)     0.977   0.989  1.000  0.722
=====================================  ======  =====  =====  =====
"""

from dataclasses import replace
from statistics import mean

import pytest
from fleet_play import Burst, Play, PlayedRoute, World, run_play

from corkcrank.contracts.opaque_configuration import (
    CallKind,
    EngineCapacity,
    OpaqueConfiguration,
    OpaqueRoute,
    ServiceProfile,
    StageCapacity,
    StageDefinition,
    WeightedService,
)
from corkcrank.contracts.worker_records import WorkerRecord

ZONES = ("a", "b")
MEGABYTE = 1e6
SHARE = 1.25 / 3
"""The load and the workers are a third of those of the fleet of six zones."""

SEEDS = (2, 3)

BURSTS = (Burst(2.0, 3.0, 2.3, "review"), Burst(7.0, 3.0, 1.8))


def stage(batch: int, piece_seconds: float, megabytes: float) -> StageCapacity:
    return StageCapacity(1, 2, batch, 0.2, piece_seconds, megabytes * MEGABYTE, 4.0)


SERVICES = (
    ServiceProfile("billing", stage=stage(8, 0.021, 18.0)),
    ServiceProfile("training", stage=stage(16, 0.011, 2.1)),
    ServiceProfile("notice", stage=stage(22, 0.0078, 0.29)),
    ServiceProfile("llm", engine=EngineCapacity(48, 266_342)),
)
WORKERS = {"billing": 4, "training": 6, "notice": 7, "llm": 13}
LARGE = StageDefinition("billing", (), 1_500_000)


def chain(first: int) -> tuple[StageDefinition, ...]:
    return (
        StageDefinition("billing", (), 8_000),
        StageDefinition("training", (first,), 60_000),
        StageDefinition("notice", (first + 1,), 6_000),
    )


def route(
    name: str, rank: int, objective: float, timeout: float, stages: tuple[StageDefinition, ...]
) -> OpaqueRoute:
    return OpaqueRoute(
        name=name,
        host="h",
        path_prefix=f"/{name}",
        kind=CallKind.STREAM,
        services=(WeightedService("llm", 1.0),),
        timeout=timeout,
        objective=objective,
        maximum_attempts=2,
        rank=rank,
        needs_key=False,
        resumable=True,
        pause_objective=0.5,
        stages=stages,
    )


REVIEW = PlayedRoute(
    route("review", 0, 1.6, 8.0, (LARGE,)),
    rate=27.8 * SHARE,
    pieces=(2.5,),
    shared=((2520, 4), (3780, 988)),
    own_tokens=2890,
    events=17,
    work=(1.0,),
    first_stage_share=0.7,
)
QUERY = PlayedRoute(
    route("query", 1, 3.1, 6.0, chain(0)),
    rate=36.7 * SHARE,
    pieces=(1.0, 6.0, 10.0),
    shared=((341, 39), (227, 1296)),
    own_tokens=1800,
    events=8,
    work=(0.3, 1.0, 1.0),
)
EXPLAIN = PlayedRoute(
    route("explain", 2, 3.6, 20.0, (LARGE, *chain(1))),
    rate=27.6 * SHARE,
    pieces=(1.5, 1.0, 6.0, 10.0),
    shared=((103, 39), (69, 652)),
    own_tokens=543,
    events=84,
    work=(1.0, 0.3, 1.0, 1.0),
    first_stage_share=0.4,
)
WORTH = {"review": (4.7, 0.7), "query": (1.1, 0.17), "explain": (0.48, 0.072)}


def heavy_load(heartbeat_seconds: float) -> Play:
    routes = (REVIEW, QUERY, EXPLAIN)
    workers = [
        WorkerRecord(
            name=f"{service}{number}",
            service=service,
            address="10.200.0.1:80",
            zone=ZONES[number % len(ZONES)],
            slots=48 if service == "llm" else 1,
            revision=1,
        )
        for service, count in WORKERS.items()
        for number in range(count)
    ]
    return Play(
        configuration=OpaqueConfiguration(1, tuple(item.route for item in routes), SERVICES),
        workers=tuple(workers),
        routes=routes,
        nodes_by_zone=dict.fromkeys(ZONES, 8),
        seconds=12.0,
        bursts=BURSTS,
        heartbeat_seconds=heartbeat_seconds,
    )


def credit(world: World) -> float:
    """Return the part of their credit that all calls earn."""
    earned = owed = 0.0
    for name, (in_time, late) in WORTH.items():
        outcomes = world.outcomes[name]
        earned += in_time * outcomes.in_time + late * outcomes.late
        owed += in_time * outcomes.asked
    return earned / owed


@pytest.fixture(scope="module")
def worlds() -> list[World]:
    """Return two plays with news of 2 s."""
    return [run_play(replace(heavy_load(2.0), seed=seed), pytest.MonkeyPatch()) for seed in SEEDS]


def served(worlds: list[World], name: str) -> float:
    return mean(world.outcomes[name].in_time_share for world in worlds)


def test_all_calls_earn_nearly_what_is_possible(worlds: list[World]) -> None:
    """0.963 where gateways told their own calls and chose the workers, 0.977 now."""
    assert mean(credit(world) for world in worlds) >= 0.970


def test_the_most_urgent_are_served_in_time_through_bursts(worlds: list[World]) -> None:
    """0.979 and 0.998 before, 0.998 and 1.000 now."""
    assert served(worlds, "review") >= 0.99
    assert served(worlds, "query") >= 0.99


def test_the_least_urgent_are_still_served(worlds: list[World]) -> None:
    """0.649 to 0.664 before, 0.667 now: it is they that a burst leaves no room for."""
    assert served(worlds, "explain") >= 0.60


def test_hardly_anybody_is_held_and_then_refused(worlds: list[World]) -> None:
    held = sum(outcomes.held for world in worlds for outcomes in world.outcomes.values())
    asked = sum(outcomes.asked for world in worlds for outcomes in world.outcomes.values())
    assert held / asked < 0.05


def test_old_news_costs_little(worlds: list[World]) -> None:
    """Credit with news of 2 s and of 0.25 s: 0.963 and 0.980 before, 0.977 and 0.976 now."""
    fresh = [run_play(replace(heavy_load(0.25), seed=seed), pytest.MonkeyPatch()) for seed in SEEDS]
    assert mean(map(credit, worlds)) >= mean(map(credit, fresh)) - 0.01


def test_a_play_repeats() -> None:
    short = replace(heavy_load(2.0), seconds=1.0, bursts=())
    first, second = (run_play(short, pytest.MonkeyPatch()) for _ in range(2))
    assert first.outcomes == second.outcomes
