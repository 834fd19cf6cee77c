"""Outlier detection at real gateways: what counts as a failure, reports to peers, dump and metrics.

Guards against workers that are blamed for other causes: a response that the worker is full, that a
deadline has passed or that the caller made an error is no failure of the worker; nor is a caller
that disconnects.
"""

import asyncio
import json
from collections import deque
from typing import Any

import aiohttp
import pytest
from engine_script import Answer, Ending, Framing, ScriptedEngine, events, honest
from node_world import World, configuration, peer_of, route, until, world
from platform_standins import StandinWorker
from test_node_state import operators_page
from test_owners import acquainted

from corkcrank.contracts import clock
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import LogEvent
from corkcrank.load.loopback import loopback_address
from corkcrank.node.process.node import Node
from corkcrank.scheduling.outlier_detection import Verdict
from corkcrank.scheduling.worker_outcomes import Counts

ROUTES = [
    route("talk", "stream", "model"),
    route("read", "safe", "plain"),
    route("write", "unsafe", "plain"),
]
EVENTS = 3


def recorded_counts(node: Node, worker_id: str) -> Counts:
    """Return a gateway's outcome counts of a worker, when each connection failure is decided."""
    return node._health._outcomes.evidence(worker_id, clock.now() + 1.0).counts


async def counts_after(path: str, answer: Answer) -> Counts:
    """Return the outcome counts of the only worker after one call."""
    engine = ScriptedEngine([lambda after: answer])
    service = "model" if path.startswith("/talk") else "plain"
    async with world(configuration(1, ROUTES), {"w": (engine, service)}) as running:
        response = await running.call(path)
        try:
            await response.read()
        except aiohttp.ClientError:
            assert answer.ending is Ending.RESET
        await until(lambda: not running.nodes[0].callers.in_flight)
        return recorded_counts(running.nodes[0], engine.worker_id)


@pytest.mark.parametrize("path", ["/talk/x", "/read/x", "/write/x"])
@pytest.mark.parametrize(
    ("status", "failed", "served"),
    [(500, True, False), (502, True, False), (504, False, False), (400, False, True)],
)
async def test_the_status_of_a_response_decides_its_outcome(
    path: str, status: int, failed: bool, served: bool
) -> None:
    counts = await counts_after(path, Answer(b"x", status, Framing.LENGTH))
    assert (counts.failed > 0) == failed
    assert (counts.served > 0) == served


async def test_a_completed_stream_is_served_and_a_reset_one_failed() -> None:
    whole = await counts_after("/talk/x", honest(EVENTS)(0))
    assert whole.served > 0
    assert not whole.failed
    broken = await counts_after("/talk/x", Answer(events(1, 2), ending=Ending.RESET))
    assert broken.failed > 0


@pytest.mark.parametrize("path", ["/read/x", "/write/x"])
async def test_a_worker_that_is_full_has_not_failed(path: str) -> None:
    worker = StandinWorker(faults=deque(["full"]))
    async with world(configuration(1, ROUTES), {"w": (worker, "plain")}) as running:
        response = await running.call(path)
        assert response.status == 503
        assert recorded_counts(running.nodes[0], worker.worker_id) == Counts()


async def test_a_caller_that_disconnects_counts_no_outcome_of_the_worker() -> None:
    worker = StandinWorker(events=EVENTS, hold=asyncio.Event())
    async with world(configuration(1, ROUTES), {"w": (worker, "model")}) as running:
        call = asyncio.create_task(running.call("/talk/x"))
        await until(lambda: bool(worker.seen))
        call.cancel()
        await until(lambda: not running.nodes[0].callers.in_flight)
        assert recorded_counts(running.nodes[0], worker.worker_id) == Counts()


def record_failures(node: Node, record: WorkerRecord, times: int) -> None:
    for _ in range(times):
        node._health.record_response(record, 500)


def verdict(node: Node, record: WorkerRecord) -> Verdict:
    return node._worker_statistics.get_or_create(record.worker_id).verdict


async def test_two_gateways_eject_a_worker_by_their_joint_evidence() -> None:
    served = {str(number): (StandinWorker(events=EVENTS), "model") for number in range(3)}
    async with (
        world(configuration(1, ROUTES), served) as running,
        peer_of(running, loopback_address(2)) as second,
    ):
        first = running.nodes[0]
        await acquainted(first, second)
        record = first.mirror.workers.usable_workers("model")[0]
        record_failures(first, record, 2)
        assert verdict(first, record) is Verdict.HEALTHY
        record_failures(second, record, 2)
        await until(lambda: verdict(first, record) is Verdict.EJECTED)
        await until(lambda: verdict(second, record) is Verdict.EJECTED)


async def test_dump_metrics_and_log_show_an_ejection_and_its_evidence() -> None:
    served = {str(number): (StandinWorker(events=EVENTS), "model") for number in range(3)}
    async with world(configuration(1, ROUTES), served) as running:
        node = running.nodes[0]
        lines: list[tuple[LogEvent, dict[str, Any]]] = []
        node._log.write = lambda event, **fields: lines.append((event, fields))  # type: ignore[method-assign]
        record = node.mirror.workers.usable_workers("model")[0]
        record_failures(node, record, 4)
        dump = json.loads(await operators_page(running, "/dump"))
        metrics = await operators_page(running, "/metrics")
        await _calls(running, 6)
    (shown,) = [item for item in dump["workers"] if item["worker_id"] == record.worker_id]
    assert shown["verdict"] == "ejected"
    assert shown["failure_excess"] > 0.1
    assert 'corkcrank_worker_verdicts_total{verdict="ejected"} 1.0' in metrics
    (line,) = [fields for event, fields in lines if event is LogEvent.WORKER_EJECTED]
    assert line["worker"] == record.worker_id
    assert line["failed"] > 2.0
    assert line["least_rate"] > line["others_rate"]
    by_id = {worker.worker_id: worker for worker, _ in served.values()}
    assert not by_id[record.worker_id].seen


async def _calls(running: World, count: int) -> None:
    for _ in range(count):
        response = await running.call("/talk/x")
        await response.read()
        assert response.status == 200
