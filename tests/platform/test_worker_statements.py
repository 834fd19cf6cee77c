"""Statements of workers in their response headers are read, logged and counted."""

from typing import Any

import pytest
from node_world import World, configuration, route, until, world
from platform_standins import StandinStageWorker, StandinWorker
from test_node_state import PIECES, operators_page

from corkcrank.links.decision_log import LogEvent
from corkcrank.links.platform_ports import Unreadable
from corkcrank.platform.worker_statements import PlatformStatementCodec

ROUTES = [
    route("safe", "safe", "plain"),
    route(
        "staged",
        "stream",
        "model",
        stages=[{"service": "encode", "since_revision": [], "byte_length": 1000}],
    ),
]


def capture_log(running: World, monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    """Return a list that receives each line that the first gateway logs from now on."""
    lines: list[dict[str, Any]] = []
    log = running.nodes[0]._log
    monkeypatch.setattr(log, "write", lambda event, **fields: lines.append({"e": event, **fields}))
    return lines


@pytest.mark.parametrize("name", ["Server-Limit", "X-Corkcrank-Server-Limit", "server-limit"])
def test_a_rate_limit_is_read_under_each_of_its_names(name: str) -> None:
    statement = PlatformStatementCodec().read_statement({name: "1.2"})
    assert statement.rate_limit == 1.2
    assert statement.unknown_headers == ()


@pytest.mark.parametrize(
    "value", ["", "abc", "-1", "nan", "inf", "-inf", "1e999", "1;2", "0x10", "-0.1", "9" * 5000]
)
def test_an_invalid_rate_limit_is_unreadable(value: str) -> None:
    limit = PlatformStatementCodec().read_statement({"Server-Limit": value}).rate_limit
    assert isinstance(limit, Unreadable)
    assert len(limit.reason) < 80


async def test_a_limit_is_logged_when_it_is_stated_changes_and_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    worker = StandinWorker()
    async with world(configuration(1, ROUTES), {"one": (worker, "plain")}) as running:
        lines = capture_log(running, monkeypatch)
        for named in ("20", "20", "15.5", "abc", ""):
            worker.named = {"Server-Limit": named} if named else {}
            assert (await running.call("/safe/x", method="GET")).status == 200
        metrics = await operators_page(running, "/metrics")
    logged = [line for line in lines if line["e"] == LogEvent.RATE_LIMIT_RECEIVED]
    assert [(line["change"], line["rate"]) for line in logged] == [
        ("named", 20.0),
        ("changed", 15.5),
        ("ended", None),
    ]
    assert {line["worker"] for line in logged} == {worker.worker_id}
    unreadable = [line["reason"] for line in lines if line["e"] == LogEvent.RATE_LIMIT_UNREADABLE]
    assert unreadable == ["rate limit is 'abc'"]
    for change in ("named", "changed", "ended", "unreadable"):
        assert f'corkcrank_rate_limit_changes_total{{change="{change}"}} 1.0' in metrics


async def test_limits_of_engines_and_stage_workers_are_stored_too() -> None:
    engine = StandinWorker(events=2, named={"Server-Limit": "3"})
    encoder = StandinStageWorker(named={"Server-Limit": "5"})
    served = {"m": (engine, "model"), "e": (encoder, "encode")}
    async with world(configuration(1, ROUTES), served) as running:
        response = await running.call("/staged/x", headers=PIECES)
        await response.read()
        limits = running.nodes[0].services.statements.limits
        await until(lambda: len(list(limits)) == 2)
        assert {worker_id: limit.rate for worker_id, limit in limits} == {
            engine.worker_id: 3.0,
            encoder.worker_id: 5.0,
        }


async def test_an_unknown_header_is_logged_once_and_counted_each_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    worker = StandinWorker(named={"X-Corkcrank-Colour": "red"})
    async with world(configuration(1, ROUTES), {"one": (worker, "plain")}) as running:
        lines = capture_log(running, monkeypatch)
        for _ in range(3):
            assert (await running.call("/safe/x", method="GET")).status == 200
        metrics = await operators_page(running, "/metrics")
    unknown = [line["header"] for line in lines if line["e"] == LogEvent.HEADER_UNKNOWN]
    assert unknown == ["x-corkcrank-colour"]
    assert "corkcrank_unknown_headers_total 3.0" in metrics


async def test_a_callers_copy_of_the_header_sets_no_limit() -> None:
    worker = StandinWorker()
    async with world(configuration(1, ROUTES), {"one": (worker, "plain")}) as running:
        response = await running.call("/safe/x", method="GET", headers={"Server-Limit": "0"})
        assert response.status == 200
        assert list(running.nodes[0].services.statements.limits) == []


async def test_a_response_of_another_worker_at_the_address_sets_no_limit() -> None:
    worker = StandinWorker(named={"Server-Limit": "0"})
    async with world(configuration(1, ROUTES), {"one": (worker, "plain")}) as running:
        worker.worker_id = "another"
        assert (await running.call("/safe/x", method="GET")).status == 503
        assert list(running.nodes[0].services.statements.limits) == []
