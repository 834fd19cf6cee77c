"""Gateways that have just started, beside several causes of crashes: bad parts and usual ones."""

from started_play import StartedLoad, StartedSimulation

SEEDS = range(12)
MAX_LATE_CRASHES = 3
LOAD = StartedLoad(engines=4, gateways=4, streams=12, slow_until=0.0)


def test_bad_part_is_held_in_time_by_gateways_that_have_just_started() -> None:
    for seed in SEEDS:
        outcome = StartedSimulation(LOAD, seed).run_started()
        assert outcome.until_held is not None, seed
        assert outcome.late_crashes <= MAX_LATE_CRASHES, seed


def test_usual_parts_are_not_held_by_gateways_that_have_just_started() -> None:
    for seed in SEEDS:
        assert StartedSimulation(LOAD, seed).run_started().usual_held == set(), seed
