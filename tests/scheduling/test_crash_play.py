"""Simulations: requests that crash engines are stopped, and no ordinary request is quarantined."""

import pytest
from crash_play import CrashLoad, CrashOutcome, CrashSimulation

SIMULATIONS = 4
MAX_LATE_CRASHES = 3
"""Crashes that a request may cause after every gateway had time to know of its third crash."""

LOADS = {
    "3 engines, 12 streams": CrashLoad(engines=3, streams=12),
    "3 engines, 64 streams": CrashLoad(engines=3, streams=64),
    "3 engines, 64 streams, an event before the crash": CrashLoad(
        engines=3, streams=64, event_first=True
    ),
    "9 engines, 36 streams": CrashLoad(engines=9, streams=36),
    "40 engines, 156 streams": CrashLoad(engines=40, streams=156),
    "9 engines, 16 gateways": CrashLoad(engines=9, streams=36, gateways=16),
}
HARD_LOADS = {
    "two at a time": CrashLoad(engines=3, streams=12, crashers=2),
    "a gateway killed at the third end": CrashLoad(engines=3, streams=12, kill=True),
    "two engines": CrashLoad(engines=2, streams=12),
}


def simulate(load: CrashLoad) -> list[CrashOutcome]:
    outcomes = [CrashSimulation(load, seed).run() for seed in range(SIMULATIONS)]
    assert sum(item.ordinary for item in outcomes) > 100 * SIMULATIONS
    assert max(item.max_late_crashes for item in outcomes) <= MAX_LATE_CRASHES
    return outcomes


@pytest.mark.parametrize("load", LOADS.values(), ids=LOADS.keys())
def test_no_ordinary_request_is_quarantined_next_to_one_that_crashes_engines(
    load: CrashLoad,
) -> None:
    outcomes = simulate(load)
    assert [item.quarantined_ordinary for item in outcomes] == [set()] * SIMULATIONS


@pytest.mark.parametrize("load", HARD_LOADS.values(), ids=HARD_LOADS.keys())
def test_a_request_that_crashes_engines_is_stopped_within_its_bound(load: CrashLoad) -> None:
    simulate(load)
