"""Gateways of several fleet sizes with brittle engines, on a virtual clock.

The gateways run the production code. Forty calls a second go to 13 engines that bear three
rejections a second and have room for fewer calls than they have slots. Guards against gateways that
each send until an engine rejects.
"""

from dataclasses import replace

import pytest
from fleet_play import FleetSimulation, run_simulation
from fleet_scenario import SimulatedRoute, SimulationScenario
from simulated_rooms import SimulatedRoom
from test_fleet_play import SERVICES, route
from test_limited_fleet import ENGINES, SIZES, Size, simulated_fleet

from corkcrank.contracts.opaque_configuration import OpaqueConfiguration
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.node.limits.worker_limits import WorkerLimits

MAX_FALLS = 2 + ENGINES / 10
ROOM = SimulatedRoom(calls=4, shrunk_calls=3, shrinks_at=3.0)
SMALL_ROOM = SimulatedRoom(calls=2, shrunk_calls=1, shrinks_at=3.0)
FEW_ENGINES = 4
MIN_SERVED_SHARE = 0.95
SHORT_CALLS = SimulatedRoute(
    route("talk", 0, 1.6, 6.0, ()),
    rate=50.0,
    pieces=(),
    shared=((20, 40),),
    own_tokens=5,
    events=1,
    work=(),
)
"""Calls of 0.1 s, half of it until the head of the answer."""


def run(size: Size, room: SimulatedRoom, patch: pytest.MonkeyPatch) -> FleetSimulation:
    return run_simulation(replace(simulated_fleet(size, {}), room=room), patch)


@pytest.mark.parametrize("size", SIZES, ids=lambda size: f"{2 * size.gateways} gateways")
def test_brittle_engines_with_room_for_all_calls_serve_them_and_do_not_fall_over(
    size: Size, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = run(size, ROOM, monkeypatch)
    assert sum(world.rooms.falls.values()) <= MAX_FALLS
    assert world.outcomes["talk"].in_time_share >= 0.95


@pytest.mark.parametrize("size", SIZES, ids=lambda size: f"{2 * size.gateways} gateways")
def test_brittle_engines_without_room_for_all_calls_do_not_fall_over(
    size: Size, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = run(size, SMALL_ROOM, monkeypatch)
    assert sum(world.rooms.falls.values()) <= MAX_FALLS


def test_the_same_simulation_without_leases_falls_over(monkeypatch: pytest.MonkeyPatch) -> None:
    with pytest.MonkeyPatch.context() as unlimited:
        unlimited.setattr(WorkerLimits, "cap_limits", lambda *parts: None)
        world = run(SIZES[0], SMALL_ROOM, monkeypatch)
    assert sum(world.rooms.falls.values()) > MAX_FALLS


def few_engines(seed: int, tolerated: int) -> SimulationScenario:
    """Return two gateways before engines with room for eight calls in all after 3 s.

    Some engines are hardly used until then: their first calls begin without a lease.
    """
    workers = [
        WorkerRecord(
            name=f"llm{number}",
            service="llm",
            address="10.200.0.1:80",
            zone="a",
            slots=8,
            revision=1,
        )
        for number in range(FEW_ENGINES)
    ]
    return SimulationScenario(
        configuration=OpaqueConfiguration(1, (SHORT_CALLS.route,), SERVICES),
        workers=tuple(workers),
        routes=(SHORT_CALLS,),
        nodes_by_zone={"a": 2},
        seconds=7.0,
        heartbeat_seconds=0.25,
        seed=seed,
        returns=0,
        room=SimulatedRoom(4, 2, 3.0, tolerated, head_seconds=0.05),
    )


def test_a_cap_does_not_fall_to_the_calls_with_a_lease_while_others_are_in_progress() -> None:
    """The engines bear many rejections, so that only the caps limit the calls."""
    assert served_share(tolerated=20) >= MIN_SERVED_SHARE


def test_few_engines_that_tolerate_one_more_rejection_each_still_serve_nearly_all_calls() -> None:
    """Two rejections of an engine kept all calls from it for the rest of the second."""
    assert served_share(tolerated=3) >= MIN_SERVED_SHARE


def served_share(tolerated: int) -> float:
    """Return the share of calls that few engines serve, over some seeds."""
    asked = served = 0
    for seed in range(1, 31):
        with pytest.MonkeyPatch.context() as patch:
            world = run_simulation(few_engines(seed, tolerated), patch)
        outcomes = world.outcomes["talk"]
        asked += outcomes.asked
        served += outcomes.asked - outcomes.refused - outcomes.failed
    return served / asked


@pytest.mark.parametrize("seed", range(1, 11))
def test_few_engines_that_bear_three_rejections_do_not_fall_over(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = run_simulation(few_engines(seed, tolerated=3), monkeypatch)
    assert sum(world.rooms.falls.values()) <= 2 + FEW_ENGINES / 10
