"""Tests how long work continues after a caller left, by step, in metric, log and report."""

import asyncio
import json
from collections import deque
from pathlib import Path
from typing import Any

import pytest
from callers import (
    LEAVE_SECONDS,
    Served,
    accepted_callers,
    caller_of,
    ends_in_time,
    request_bytes,
    requests_seen,
    send_and_leave_unread,
)
from node_world import World, configuration, route, until, world
from platform_standins import StandinStageWorker, StandinWorker
from test_operations_page import logged
from typer.testing import CliRunner

from corkcrank.cli.operator import application
from corkcrank.contracts import clock
from corkcrank.reports.log_records import read_all
from corkcrank.reports.work_for_nobody import WastedWork, sum_wasted_work

ROUTES = [
    route("safe", "safe", "plain"),
    route("talk", "stream", "model"),
    route(
        "staged",
        "stream",
        "model",
        stages=[{"service": "encode", "since_revision": [], "byte_length": 1000}],
    ),
]
PIECES = {"X-Corkcrank-Segments": "1", "X-Corkcrank-Segment-Key": "k"}
STAGE_SECONDS = 0.3
"""Time for which a stage worker continues after the caller closed its connection."""


async def leave_at(running: World, served: Served, step: str) -> None:
    """Send a call and close its connection when the call has reached a step."""
    path = {"plain": "/safe/x", "queued": "/staged/x", "stages": "/staged/x"}.get(step, "/talk/x")
    async with caller_of(running) as caller:
        seen = requests_seen(served)
        queues = running.nodes[0].stage_owner.queues
        caller.send(path, PIECES if "staged" in path else None)
        if step == "queued":
            await until(lambda: any(queue.waiting for _, queue in queues()))
        elif step == "relay":
            await caller.reader.readuntil(b"id: 2")
        else:
            await until(lambda: requests_seen(served) == seen + 1)
        caller.leave()
        await ends_in_time(running)


async def leave_everywhere(running: World, served: Served) -> None:
    """Make one caller leave at each step; stage workers continue for ``STAGE_SECONDS``."""
    encode, model = served["e"][0], served["m"][0]
    assert isinstance(encode, StandinStageWorker)
    assert isinstance(model, StandinWorker)
    encode.gate = asyncio.Event()
    await leave_at(running, served, "stages")
    left_at = clock.now()
    await leave_at(running, served, "queued")
    await until(lambda: clock.now() > left_at + STAGE_SECONDS)
    encode.gate.set()
    await until(lambda: not running.nodes[0].stage_owner.busy and not encode.held)
    await leave_at(running, served, "plain")
    model.faults = deque(["hang"])
    await leave_at(running, served, "engine")
    await leave_at(running, served, "relay")
    callers = running.nodes[0].callers
    read = callers._server.requests_count
    send_and_leave_unread(await accepted_callers(running, 1), lambda: request_bytes("/safe/x"))
    await until(lambda: callers._server.requests_count > read and not callers.connections())


def workers() -> Served:
    return {
        "p": (StandinWorker(faults=deque(["hang"])), "plain"),
        "m": (StandinWorker(events=1000, gap=0.02), "model"),
        "e": (StandinStageWorker(), "encode"),
    }


async def record(folder: Path) -> tuple[Path, World]:
    served = workers()
    async with world(configuration(1, ROUTES), served) as running:
        with logged(running, folder) as path:
            await leave_everywhere(running, served)
    return path, running


def released(running: World, step: str, what: str) -> float | None:
    registry = running.nodes[0].services.metrics.registry
    return registry.get_sample_value(f"corkcrank_release_seconds_{what}", {"step": step})


async def test_metric_has_the_time_to_the_last_release_by_step(tmp_path: Path) -> None:
    _, running = await record(tmp_path)
    for step in ("unread", "plain", "queued", "engine", "relay"):
        assert released(running, step, "count") == 1, step
        assert released(running, step, "sum") < LEAVE_SECONDS, step  # type: ignore[operator]
    assert released(running, "stages", "count") == 1
    assert released(running, "stages", "sum") >= STAGE_SECONDS  # type: ignore[operator]


async def test_log_line_of_the_call_end_names_the_step_at_which_the_caller_left(
    tmp_path: Path,
) -> None:
    path, _ = await record(tmp_path)
    ended = [line for line in lines_of(path) if line["event"] == "Call: ended."]
    assert [(line["outcome"], line["step"]) for line in ended] == [
        ("left", step) for step in ("stages", "stages", "plain", "engine", "relay", "unread")
    ]
    batch = next(line for line in lines_of(path) if line["event"] == "Batch: ended.")
    assert batch["given_up"] == {ended[0]["call"]: pytest.approx(STAGE_SECONDS, abs=0.2)}


async def test_losses_report_the_wasted_work(tmp_path: Path) -> None:
    path, _ = await record(tmp_path)
    by_step = {work.step: work for work in sum_wasted_work(read_all([path]))}
    assert {step: work.calls for step, work in by_step.items()} == {
        "stages": 2,
        "plain": 1,
        "engine": 1,
        "relay": 1,
        "unread": 1,
    }
    stages = by_step["stages"]
    assert stages.stage_seconds >= stages.after_close >= STAGE_SECONDS
    assert stages.worker_seconds == 0.0
    assert by_step["relay"].worker_seconds > 0.0
    assert by_step["unread"] == WastedWork("unread", calls=1)
    done = CliRunner().invoke(application, ["losses", str(path)])
    assert done.exit_code == 0, done.output
    assert "Work done for nobody" in done.output
    assert f"2  stages: stage workers {stages.stage_seconds:.2f} s" in done.output


async def test_served_call_is_not_wasted_work(tmp_path: Path) -> None:
    served = workers()
    served["p"] = (StandinWorker(), "plain")
    async with world(configuration(1, ROUTES), served) as running:
        with logged(running, tmp_path) as path:
            response = await running.call("/safe/x")
            await response.read()
    assert sum_wasted_work(read_all([path])) == []
    (ended,) = [line for line in lines_of(path) if line["event"] == "Call: ended."]
    assert (ended["outcome"], ended["step"]) == ("200", "")


def lines_of(path: Path) -> list[dict[str, Any]]:
    return [json.loads(line) for line in path.read_text().splitlines()]
