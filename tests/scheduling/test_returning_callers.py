"""Tests that callers who were refused and return at the time told are served in time.

The load of ``test_fleet_play``, a third of a fleet, at six gateways: two bursts raise it to 1.15
times the room of its stage workers. Refused callers return up to three times, when they were told,
at another gateway with the same body.
"""

from collections.abc import Iterable
from dataclasses import replace
from statistics import mean

import pytest
from fleet_play import FleetSimulation, run_simulation
from fleet_scenario import SimulationScenario
from test_fleet_play import BURSTS, heavy_load

from corkcrank.contracts.scheduling_features import SchedulingFeatures

SEEDS = (range(2, 6), range(6, 10))
MORE_SEEDS = range(30, 40)
NODES_BY_ZONE = {"a": 3, "b": 3}


def competing_load(seed: int) -> SimulationScenario:
    return replace(
        heavy_load(0.5),
        seed=seed,
        nodes_by_zone=NODES_BY_ZONE,
        bursts=BURSTS,
        returns=3,
        features=SchedulingFeatures(competing_callers=True, return_claims=True),
    )


def simulate(seeds: Iterable[int]) -> list[FleetSimulation]:
    return [run_simulation(competing_load(seed), pytest.MonkeyPatch()) for seed in seeds]


@pytest.fixture(scope="module", params=SEEDS, ids=["seeds 2 to 5", "seeds 6 to 9"])
def simulations(request: pytest.FixtureRequest) -> list[FleetSimulation]:
    return simulate(request.param)


def count(simulations: list[FleetSimulation], event: str) -> float:
    """Return how often an event of claims was counted at all gateways."""
    return sum(
        node.services.metrics.registry.get_sample_value(
            "corkcrank_return_claims_total", {"event": event}
        )
        or 0.0
        for simulation in simulations
        for node in simulation.nodes.values()
    )


def assert_claims_are_kept(simulations: list[FleetSimulation]) -> None:
    outcomes = [item for simulation in simulations for item in simulation.outcomes.values()]
    claimed = sum(item.claimed for item in outcomes)
    assert claimed >= 20
    assert sum(item.in_time_with_claim for item in outcomes) / claimed >= 0.8


def test_callers_with_a_claim_are_served_in_time(simulations: list[FleetSimulation]) -> None:
    assert_claims_are_kept(simulations)


def test_callers_with_a_claim_are_served_in_time_at_more_seeds() -> None:
    assert_claims_are_kept(simulate(MORE_SEEDS))


def test_most_claims_are_found_at_the_gateway_where_their_callers_return(
    simulations: list[FleetSimulation],
) -> None:
    """The others were issued to callers that were refused for the last time."""
    assert count(simulations, "on time") >= 0.8 * count(simulations, "issued")
    assert count(simulations, "early") == 0
    assert count(simulations, "late") == 0
    assert count(simulations, "no answer") == 0
    assert count(simulations, "rejected") == 0


def test_more_urgent_callers_are_not_refused_for_claims(
    simulations: list[FleetSimulation],
) -> None:
    for name in ("review", "query"):
        assert mean(item.outcomes[name].in_time_share for item in simulations) >= 0.99


def test_a_claim_that_is_not_used_keeps_no_room(simulations: list[FleetSimulation]) -> None:
    for simulation in simulations:
        for node in simulation.nodes.values():
            keeper = node.services.return_offers.keeper
            for service in ("billing", "training", "notice"):
                assert keeper.claims.pieces_up_to(service, (9, 9), float("inf")) == 0


def test_no_claim_is_issued_or_looked_up_where_callers_do_not_compete() -> None:
    load = replace(competing_load(2), features=SchedulingFeatures())
    simulation = run_simulation(load, pytest.MonkeyPatch())
    assert sum(item.refused for item in simulation.outcomes.values()) > 0
    for event in ("issued", "without slot", "hopeless", "unknown", "on time"):
        assert count([simulation], event) == 0
