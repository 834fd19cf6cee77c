"""Runs short fault soaks: planned work only, all fault kinds, and every seed that ever failed."""

import tomllib
from pathlib import Path

import pytest

from soak.run import SECONDS, soak

SEEDS = Path(__file__).parent.parent / "soak" / "seeds.toml"
CASES = tomllib.loads(SEEDS.read_text(encoding="utf-8"))["case"]
KEPT_LOGS = Path("results/soak")
SHORT_SECONDS = 8.0
PLANNED_SEED, MIXED_SEED = 6, 7
SURPLUS_SEED = 98_003
"""A mixed soak whose stage workers send surplus answers as well."""


@pytest.mark.parametrize("seed", [PLANNED_SEED, MIXED_SEED, SURPLUS_SEED])
async def test_promises_hold_in_a_short_soak(seed: int) -> None:
    result = await soak(seed, SHORT_SECONDS, nodes=3, keep=KEPT_LOGS)
    assert result.violations == (), result.faults
    assert result.outcomes["200"] > 100


@pytest.mark.parametrize("case", CASES, ids=lambda case: f"seed {case['seed']}")
async def test_seeds_that_once_broke_a_promise(case: dict[str, int]) -> None:
    result = await soak(
        case["seed"], case.get("seconds", SECONDS), case.get("nodes", 4), keep=KEPT_LOGS
    )
    assert result.violations == (), result.faults
