"""Tests the log of a stop: which calls were in progress, and how each of them ended."""

import asyncio
from pathlib import Path
from typing import Any

from node_world import World, configuration, route, until, world
from platform_standins import StandinWorker
from test_operations_page import logged
from typer.testing import CliRunner

from corkcrank.cli.operator import application
from corkcrank.contracts import clock
from corkcrank.links.decision_log import LogEvent
from corkcrank.node.ingress.call_handler import CUT_OUTCOME, LEFT_OUTCOME
from corkcrank.reports.log_records import read_all
from corkcrank.reports.stops import End, Read, report_stops

GRACE = 1.6
"""Seconds from the signal to the end of the process."""

STREAM_TOKENS = {"X-Corkcrank-Token-Count": "10,4"}

Lines = list[tuple[LogEvent, dict[str, Any]]]


def log_of(running: World) -> Lines:
    """Collect the log lines that the gateway writes from now on."""
    lines: Lines = []
    log = running.nodes[0]._log

    def record_line(event: LogEvent, **fields: Any) -> None:
        lines.append((event, fields))

    log.write = record_line  # type: ignore[method-assign]
    return lines


def only(lines: Lines, event: LogEvent) -> dict[str, Any]:
    found = [fields for kind, fields in lines if kind is event]
    assert len(found) == 1, found
    return found[0]


async def test_the_log_has_the_time_of_the_signal_and_the_forecasts() -> None:
    served = {"m": (StandinWorker(events=4), "model")}
    async with world(configuration(1, [route("s", "stream", "model")]), served, grace=GRACE) as run:
        lines = log_of(run)
        now = asyncio.get_running_loop().time()
        stopped = asyncio.create_task(run.nodes[0].stop(signalled_at=now - 0.25))
        await until(lambda: run.nodes[0].life.draining)
        response = await run.call("/s/x", headers=STREAM_TOKENS)
        assert (await response.read()).count(b"id:") == 4
        await stopped
    assert only(lines, LogEvent.STOPPING)["signal_age"] >= 0.25
    assert only(lines, LogEvent.DRAINED)["in_flight"] == 0
    checks = [fields for kind, fields in lines if kind is LogEvent.CALL_ADMITTED_STOPPING]
    assert len(checks) == 2, "one check at admission, one before the engine gets the call"
    assert all(check["engine"] + check["stream"] < check["left"] for check in checks)
    assert only(lines, LogEvent.CALL_ENDED)["after_signal"] >= 0.25


async def test_a_caller_that_left_is_distinguished_from_a_stream_that_the_stop_cut() -> None:
    hold = asyncio.Event()
    engine = StandinWorker(events=400, gap=0.05)
    served = {"p": (StandinWorker(hold=hold), "plain"), "m": (engine, "model")}
    routes = [route("p", "safe", "plain"), route("s", "stream", "model")]
    async with world(configuration(1, routes), served, grace=GRACE) as run:
        lines = log_of(run)
        left = asyncio.create_task(run.call("/p/x"))
        await until(lambda: run.nodes[0].callers.in_flight == 1)
        left.cancel()
        await until(lambda: bool(lines) and lines[-1][0] is LogEvent.CALL_ENDED)
        ended = only(lines, LogEvent.CALL_ENDED)
        assert (ended["outcome"], ended["after_signal"]) == (LEFT_OUTCOME, None)
        lines.clear()
        stream = await run.call("/s/x", headers=STREAM_TOKENS)
        await stream.content.readany()
        await run.nodes[0].stop()
        ended = only(lines, LogEvent.CALL_ENDED)
        assert ended["outcome"] == CUT_OUTCOME
        assert ended["after_signal"] < 0
        stream.close()


async def test_the_table_of_stops_counts_calls_by_when_they_were_read(tmp_path: Path) -> None:
    hold = asyncio.Event()
    engine, plain = StandinWorker(events=4), StandinWorker(hold=hold)
    served = {"p": (plain, "plain"), "m": (engine, "model")}
    routes = [route("p", "safe", "plain"), route("s", "stream", "model")]
    async with world(configuration(1, routes), served, grace=GRACE) as run:
        with logged(run, tmp_path) as path:
            before = asyncio.create_task(run.call("/p/x"))
            await until(lambda: bool(plain.seen))
            stopped = asyncio.create_task(run.nodes[0].stop())
            await until(lambda: run.nodes[0].life.draining)
            early = await run.call("/s/x", headers=STREAM_TOKENS)
            assert early.status == 200
            await early.read()
            until_late = run.nodes[0].services.drain.streams_until
            await until(lambda: clock.now() > until_late)
            assert (await run.call("/s/x", headers=STREAM_TOKENS)).status == 503
            assert (await before).status == 504
            await stopped
    report = report_stops(read_all([path]))
    assert report.stops == 1
    assert report.calls == {
        (Read.BEFORE, End.FAILED): 1,
        (Read.EARLY, End.FINISHED): 1,
        (Read.EARLY, End.REFUSED): 1,
    }
    result = CliRunner().invoke(application, ["stops", str(path)])
    assert result.exit_code == 0
    assert "1 stops" in result.output
