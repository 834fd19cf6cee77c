"""Tests ``corkcrank losses``: how long calls waited that were not served, and retries."""

import json
from collections import deque
from pathlib import Path
from typing import Any

import pytest
from node_world import configuration, route, world
from platform_standins import StandinStageWorker, StandinWorker
from test_losses import STAGES
from test_operations_page import PIECES
from typer.testing import CliRunner

from corkcrank.cli.operator import application
from corkcrank.contracts import clock
from corkcrank.links.decision_log import LogEvent
from corkcrank.reports.call_story import CallSummary, Loss, summarize_calls
from corkcrank.reports.held import held_calls

BEGAN = 1000.0
"""Wall-clock time of the first call of each log, in seconds."""


def ended(outcome: str, held: float, at: float = 0.0, **fields: Any) -> dict[str, Any]:
    """Return the log line of a call that arrived ``at`` seconds after ``BEGAN``."""
    return {
        "event": LogEvent.CALL_ENDED.value,
        "time": BEGAN + at + held,
        "call": f"{at}-{outcome}",
        "route": "talk",
        "rank": [0, 1],
        "tenant": "neihu",
        "outcome": outcome,
        "detail": "",
        "seconds": held,
        "first_byte": held,
        "objective": 2.0,
        "returning": False,
        "left": 10.0 - held,
        "workers": [],
        "retry_after": None,
        **fields,
    }


def stories_of(lines: list[dict[str, Any]]) -> list[CallSummary]:
    return summarize_calls(sorted(lines, key=lambda line: float(line["time"])))


HELD = [
    ended("CAPACITY_SHORT", 0.001, 0.1),
    ended("CAPACITY_SHORT", 0.02, 0.2),
    ended("CAPACITY_SHORT", 0.4, 0.3),
    ended("DEADLINE_EXCEEDED", 1.9, 0.4),
    ended("DEADLINE_EXCEEDED", 9.0, 0.5, route="ask", objective=3.0),
    ended("STAGE_FAILED", 0.6, 0.6, detail="stage 1: too long a wait"),
    ended("200", 5.0, 0.7),
    ended("200", 0.5, 0.8),
]


def test_held_calls_are_counted_by_route_cause_and_bucket() -> None:
    held = held_calls(stories_of(HELD))
    counts = {(group.route, group.cause): group.buckets for group in held.routes}
    assert counts == {
        ("talk", Loss.FORECAST): [1, 1, 1, 0, 0, 0],
        ("talk", Loss.DEADLINE): [0, 0, 0, 0, 1, 0],
        ("talk", Loss.STAGE_WAIT): [0, 0, 0, 1, 0, 0],
        ("ask", Loss.DEADLINE): [0, 0, 0, 0, 0, 1],
    }
    totals = {group.cause: group.calls for group in held.totals}
    assert totals == {Loss.FORECAST: 3, Loss.DEADLINE: 2, Loss.STAGE_WAIT: 1}


def test_time_held_is_reported_as_a_share_of_each_calls_objective() -> None:
    totals = {group.cause: group for group in held_calls(stories_of(HELD)).totals}
    assert totals[Loss.FORECAST].median_share == 0.01
    assert totals[Loss.FORECAST].high_share == 0.2
    assert totals[Loss.DEADLINE].shares == [0.95, 3.0]
    assert totals[Loss.DEADLINE].high_share == 3.0


@pytest.mark.parametrize(
    ("outcome", "detail", "loss"),
    [
        ("DRAINING", "would outlast the drain", Loss.STOPPING),
        ("DRAINING", "given up at the end of the drain", Loss.STOPPING),
        ("DRAINING", "", Loss.STOPPING),
        ("DRAINING", "too long a wait", Loss.STAGE_STOPPING),
        ("DRAINING", "stage 0 was not made", Loss.STAGE_STOPPING),
        ("DRAINING", "owner edge-neihu-1 is lost", Loss.STAGE_STOPPING),
        ("CAPACITY_SHORT", "needs 3.89 s", Loss.FORECAST),
        ("CAPACITY_SHORT", "stage 0 was not made", Loss.STAGE_NOT_BEGUN),
        ("CAPACITY_SHORT", "worker is leaving or unknown", Loss.STAGE_NOT_BEGUN),
        ("STAGE_FAILED", "stage 1 was not made", Loss.STAGE_LOST),
    ],
)
def test_refusals_after_a_wait_for_stages_have_distinct_causes(
    outcome: str, detail: str, loss: Loss
) -> None:
    (story,) = stories_of([ended(outcome, 2.6, detail=detail)])
    assert story.loss is loss


def test_a_call_of_unknown_outcome_at_the_end_of_a_drain_was_cut_by_the_stop() -> None:
    detail = "this gateway is stopping"
    (story,) = stories_of([ended("OUTCOME_UNKNOWN", 2.6, detail=detail)])
    assert story.loss is Loss.CUT_BY_STOP


def printed(folder: Path, lines: list[dict[str, Any]], *options: str) -> list[str]:
    log = folder / "node.log"
    log.write_text("".join(json.dumps(line) + "\n" for line in lines), encoding="utf-8")
    done = CliRunner().invoke(application, ["losses", str(log), *options])
    assert done.exit_code == 0, done.output
    return [" ".join(line.split()) for line in done.output.splitlines()]


def test_command_prints_held_calls(tmp_path: Path) -> None:
    lines = printed(tmp_path, HELD)
    assert "calls <0.02 <0.1 <0.5 <1 <2 longer median 95%" in lines
    assert "deadline or timeout passed 2 0 0 0 0 1 1 1.975 3.000" in lines
    assert lines.count("ask rank 0/1") == 1
    row = lines.index("talk rank 0/1")
    assert lines[row + 1] == "refused: forecast 3 1 1 1 0 0 0 0.010 0.200"


def test_routes_with_few_calls_held_are_left_out_of_the_table(tmp_path: Path) -> None:
    lines = printed(tmp_path, HELD, "--least-calls", "2")
    assert "talk rank 0/1" in lines
    assert "ask rank 0/1" not in lines


async def test_time_of_calls_without_a_workers_answer_is_a_metric() -> None:
    routes = [
        route("once", "unsafe", "plain"),
        route("hopeless", "stream", "model", target_latency_ms=10, stages=STAGES),
    ]
    served = {
        "plain": (StandinWorker(faults=deque(["reset", "", "error"])), "plain"),
        "model": (StandinWorker(), "model"),
        "encode": (StandinStageWorker(), "encode"),
    }
    async with world(configuration(1, routes), served) as running:
        statuses: list[int] = []
        began = clock.now()
        for name in ("once", "once", "once", "hopeless"):
            statuses.append((await running.call(f"/{name}/x", headers=PIECES)).status)
        passed = clock.now() - began
        registry = running.nodes[0].services.metrics.registry
    assert statuses == [502, 200, 500, 503]
    counted = {
        cause: registry.get_sample_value("corkcrank_held_seconds_count", {"cause": cause})
        for cause in ("WORKER_LOST", "CAPACITY_SHORT", "200", "500")
    }
    assert counted == {"WORKER_LOST": 1.0, "CAPACITY_SHORT": 1.0, "200": None, "500": None}
    held = registry.get_sample_value("corkcrank_held_seconds_sum", {"cause": "WORKER_LOST"})
    assert held is not None
    assert 0.0 < held < passed
