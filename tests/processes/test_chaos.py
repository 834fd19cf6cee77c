"""Tests a short seeded chaos run; longer runs are started by hand, see docs/PROOFS.md."""

from corkcrank.load.chaos import ChaosRun
from corkcrank.load.trace import TraceShape
from small import small_deployment

SHAPE = TraceShape(requests_per_second=12, seconds=12, unrepeatable_share=0.3)


async def test_invariants_hold_under_random_failures() -> None:
    deployment = small_deployment(machines=3, zones=2)
    result = await ChaosRun(deployment, seed=20, shape=SHAPE).run()
    assert result.violations == (), result.failures
    assert any(record.whole for record in result.records)
