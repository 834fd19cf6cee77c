"""Tests ``corkcrank losses`` on the log of a real node: each lost call has its cause."""

import asyncio
import re
from collections import deque
from pathlib import Path

import pytest
from node_world import World, configuration, route, stage_service, until, world
from platform_standins import StandinStageWorker, StandinWorker
from test_operations_page import PIECES, logged
from typer.testing import CliRunner

from corkcrank.cli.operator import application
from corkcrank.contracts import clock
from corkcrank.links.decision_log import LogEvent
from corkcrank.reports.call_story import Loss, Step, summarize_calls
from corkcrank.reports.log_records import read_all
from corkcrank.reports.losses import LossReport, make_report

ENGINE_SECONDS = 0.5
"""Time of a slow engine, much longer than the gateway's own work on a call."""

STAGES = [{"service": "encode", "since_revision": [], "byte_length": 1000}]
SLOW_STAGES = [{"service": "archive", "since_revision": [], "byte_length": 1000}]
SLOW_CALL_MS = 10_000.0
"""Time of a call at a slow stage worker, longer than any caller waits."""

ROUTES = [
    route("once", "unsafe", "plain"),
    route("talk", "stream", "model"),
    route("tardy", "stream", "model", target_latency_ms=1),
    route("hopeless", "stream", "model", target_latency_ms=10, stages=SLOW_STAGES),
    route("staged", "stream", "model", stages=STAGES),
]


async def record(folder: Path) -> Path:
    """Make a real node serve, refuse, delay and lose calls, and return its log."""
    model = StandinWorker(events=3, gap=0.01)
    served = {
        "plain": (StandinWorker(faults=deque(["reset"])), "plain"),
        "model": (model, "model"),
        "encode": (StandinStageWorker(room=1), "encode"),
        "archive": (StandinStageWorker(), "archive"),
    }
    document = configuration(1, ROUTES)
    document["services"].append(stage_service("archive", call_ms=SLOW_CALL_MS))
    async with world(document, served) as running:
        with logged(running, folder) as path:
            for name in ("once", "talk", "hopeless", "staged"):
                response = await running.call(f"/{name}/x", headers=PIECES)
                await response.read()
            await slow_engine(running, model)
            back = {**PIECES, "X-Corkcrank-Deadline-Ms": "2000"}
            await (await running.call("/hopeless/x", headers=back)).read()
    return path


async def slow_engine(running: World, model: StandinWorker) -> None:
    """Send a call for which the engine takes far longer than all other steps."""
    model.hold = asyncio.Event()
    before = len(model.seen)
    call = asyncio.create_task(running.call("/tardy/x"))
    await until(lambda: len(model.seen) > before)
    seen_at = clock.now()
    await until(lambda: clock.now() > seen_at + ENGINE_SECONDS)
    model.hold.set()
    await (await call).read()


async def report_of(folder: Path) -> LossReport:
    records = read_all([await record(folder)])
    return make_report(summarize_calls(records), records)


async def test_each_lost_call_has_its_cause(tmp_path: Path) -> None:
    report = await report_of(tmp_path)
    causes = {item.route: dict(item.causes) for item in report.routes}
    assert causes["once"] == {Loss.WORKER_LOST: 1}
    assert causes["talk"] == {Loss.NONE: 1}
    assert causes["tardy"] == {Loss.LATE_ENGINE: 1}
    assert causes["hopeless"] == {Loss.FORECAST: 2}
    assert causes["staged"] == {Loss.NONE: 1}


async def test_report_has_steps_windows_workers_and_returning_callers(tmp_path: Path) -> None:
    report = await report_of(tmp_path)
    routes = {item.route: item for item in report.routes}
    assert set(routes["staged"].waits) == set(Step)
    assert (routes["hopeless"].returned, routes["hopeless"].returned_in_time) == (1, 0)
    assert sum(window.causes.total() for window in report.windows) == 6
    (worker,) = report.workers
    assert (worker.service, worker.batches, worker.pieces) == ("encode", 1, 1)
    assert worker.busy > 0


async def test_retry_delay_is_in_the_log_line_of_the_call_end(tmp_path: Path) -> None:
    records = read_all([await record(tmp_path)])
    ended = [item for item in records if item["event"] == LogEvent.CALL_ENDED]
    told = {item["call"]: item["retry_after"] for item in ended}
    refused = [item for item in records if item["event"] == LogEvent.CALL_REFUSED]
    assert [told[item["call"]] for item in refused] == [item["retry_after"] for item in refused]
    assert len(refused) == 2
    assert [item["retry_after"] for item in ended if item["route"] == "talk"] == [None]


async def test_retry_delay_is_read_from_the_refusal_line_in_logs_without_that_field(
    tmp_path: Path,
) -> None:
    records = read_all([await record(tmp_path)])
    without = [
        {name: value for name, value in item.items() if name != "retry_after"}
        if item["event"] == LogEvent.CALL_ENDED
        else item
        for item in records
    ]
    told = [story.retry_after for story in summarize_calls(records)]
    assert [story.retry_after for story in summarize_calls(without)] == told
    assert sum(item is not None for item in told) == 2


async def test_command_prints_the_table_and_draws_the_plot(tmp_path: Path) -> None:
    log, picture = await record(tmp_path), tmp_path / "losses.png"
    done = CliRunner().invoke(application, ["losses", str(log), "--plot", str(picture)])
    assert done.exit_code == 0, done.output
    assert re.search(r"hopeless rank 1/0, objective 0.01 s: 0 of 2 in time", done.output)
    assert "callers that came back: 0 of 1 in time" in done.output
    assert picture.read_bytes().startswith(b"\x89PNG")


@pytest.mark.parametrize("text", ["", "no log\n", '{"event": 1'])
def test_files_without_calls_are_reported(tmp_path: Path, text: str) -> None:
    empty = tmp_path / "empty.log"
    empty.write_text(text)
    done = CliRunner().invoke(application, ["losses", str(empty)])
    assert done.exit_code == 7
    assert "no call ended" in done.output
