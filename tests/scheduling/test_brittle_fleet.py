"""Gateways of several fleet sizes with brittle engines, on a virtual clock.

The gateways run the production code. Forty calls a second go to 13 engines that bear three
rejections a second and have room for fewer calls than they have slots. Guards against gateways that
each send until an engine rejects.
"""

from dataclasses import replace

import pytest
from fleet_play import FleetSimulation, run_simulation
from simulated_rooms import SimulatedRoom
from test_limited_fleet import ENGINES, SIZES, Size, simulated_fleet

from corkcrank.node.limits.worker_limits import WorkerLimits

MAX_FALLS = 2 + ENGINES / 10
ROOM = SimulatedRoom(calls=4, shrunk_calls=3, shrinks_at=3.0)
SMALL_ROOM = SimulatedRoom(calls=2, shrunk_calls=1, shrinks_at=3.0)


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
