"""End-to-end test with separate processes: pipelines, streams and unrepeatable calls."""

from pathlib import Path

import pytest

from corkcrank.load.caller import Caller
from corkcrank.load.deployment import load_deployment
from corkcrank.load.local_cluster import LocalCluster
from corkcrank.load.report import make_report
from corkcrank.load.runner import play_trace
from corkcrank.load.trace import TraceShape, make_trace

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize("name", ["association", "companhia"])
async def test_deployment_serves_every_request_completely(name: str) -> None:
    deployment = load_deployment(EXAMPLES / f"{name}.toml")
    trace = make_trace(deployment, TraceShape(requests_per_second=15, seconds=2), seed=7)
    async with LocalCluster(deployment) as cluster:
        caller = Caller(cluster.session, deployment.configuration())
        addresses = [gateway.caller_address for gateway in cluster.gateways()]
        records = await play_trace(trace, caller, lambda: addresses)
    report = make_report(records)
    assert report.wrong == 0
    assert dict(report.codes) == {"OK": len(trace)}
