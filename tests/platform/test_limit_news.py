"""Rate limits that workers state reach all gateways, survive the failure of an owner, and expire.

Guards against gateways that send more than a worker's limit because they have not received it, and
against limits that stay after the worker or its incarnation stopped stating them.
"""

import json
from typing import Any

import pytest
from node_world import World, configuration, peer_of, route, until, world
from platform_standins import StandinWorker
from test_limited_workers import (
    allowed_requests,
    limited_worker,
    max_requests_in_window,
    two_gateways,
)
from test_node_state import operators_page
from test_owners import die

from corkcrank.contracts import clock
from corkcrank.links.decision_log import LogEvent
from corkcrank.load.loopback import loopback_address
from corkcrank.node.process.node import Node
from corkcrank.scheduling import stated_limits
from corkcrank.scheduling.stated_limits import ReportedLimit

CALLS = 40


def knows_limit(node: Node, worker: StandinWorker) -> bool:
    return node.services.statements.limits.rate(worker.worker_id, clock.now()) is not None


async def call_status(running: World, number: int = 0) -> int:
    response = await running.call("/safe/x", number=number % 2, method="GET")
    await response.read()
    return response.status


async def spread_limit(running: World, worker: StandinWorker) -> None:
    """Call a limited worker until it has stated its limit; wait until all gateways know it."""
    while not worker.seen:
        await call_status(running)
    await until(lambda: all(knows_limit(node, worker) for node in running.nodes))


def owner_index(running: World) -> int:
    name = running.nodes[0].fleet.zone_owner("z1", "plain", clock.now())
    return next(n for n, node in enumerate(running.nodes) if node.fleet.local_name == name)


async def test_a_gateway_that_never_called_the_worker_receives_the_limit() -> None:
    limited = limited_worker(1)
    async with two_gateways({"needy": (limited, "plain")}) as running:
        while not limited.seen:
            await call_status(running, 0)
        await until(lambda: knows_limit(running.nodes[1], limited))


async def test_a_gateway_that_has_just_started_receives_the_limit() -> None:
    limited = limited_worker(1)
    document = configuration(1, [route("safe", "safe", "plain")])
    async with world(document, {"needy": (limited, "plain")}) as running:
        while not limited.seen:
            assert (await running.call("/safe/x", method="GET")).status == 200
        async with peer_of(running, loopback_address(2)) as second:
            await until(lambda: knows_limit(second, limited))


async def test_the_limit_holds_when_the_owner_of_the_workers_has_failed() -> None:
    limited, unlimited = limited_worker(1), StandinWorker()
    async with two_gateways({"needy": (limited, "plain"), "free": (unlimited, "plain")}) as running:
        await spread_limit(running, limited)
        owner = owner_index(running)
        await die(running.nodes[owner])
        assert {await call_status(running, 1 - owner) for _ in range(CALLS)} == {200}
        assert max_requests_in_window([seen.at for seen in limited.seen]) <= allowed_requests(1)


async def test_a_worker_whose_limit_ended_receives_all_calls_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(stated_limits, "RAMP_SECONDS", 0.2)
    limited = limited_worker(2)
    async with two_gateways({"needy": (limited, "plain")}) as running:
        await spread_limit(running, limited)
        limited.named = {}
        while knows_limit(running.nodes[0], limited) or knows_limit(running.nodes[1], limited):
            await call_status(running)
        assert {await call_status(running, number) for number in range(CALLS)} == {200}


async def test_a_new_incarnation_of_a_worker_has_no_limit() -> None:
    limited = limited_worker(1, told={"born": 1_000})
    document = configuration(1, [route("safe", "safe", "plain")])
    async with world(document, {"needy": (limited, "plain")}) as running:
        while not limited.seen:
            assert (await running.call("/safe/x", method="GET")).status == 200
        limited.named, limited.told = {}, {"born": 2_000}
        running.store.put("servers", limited.worker_id, limited.entry("plain"))
        node = running.nodes[0]
        await until(lambda: node.mirror.workers.get(f"{limited.worker_id} 2000") is not None)
        statuses = [(await running.call("/safe/x", method="GET")).status for _ in range(CALLS)]
        assert set(statuses) == {200}


async def test_invalid_reports_of_a_peer_are_counted_and_limit_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    worker = StandinWorker()
    document = configuration(1, [route("safe", "safe", "plain")])
    async with world(document, {"one": (worker, "plain")}) as running:
        node = running.nodes[0]
        lines: list[dict[str, Any]] = []
        monkeypatch.setattr(node._log, "write", lambda event, **fields: lines.append({"e": event}))
        invalid = [(float("nan"), 0.0), (-1.0, 0.0), (1.0, -5.0), (0.0, float("inf"))]
        reports = [ReportedLimit(worker.worker_id, rate, age) for rate, age in invalid]
        node.services.statements.apply_reports(reports, "peer")
        assert (await running.call("/safe/x", method="GET")).status == 200
        assert list(node.services.statements.limits) == []
        assert sum(line["e"] == LogEvent.RATE_LIMIT_UNREADABLE for line in lines) == len(invalid)


async def test_a_limit_of_zero_refuses_calls_with_a_retry_time() -> None:
    worker = limited_worker(0)
    document = configuration(1, [route("safe", "safe", "plain")])
    async with world(document, {"one": (worker, "plain")}) as running:
        assert (await running.call("/safe/x", method="GET")).status == 200
        for _ in range(5):
            response = await running.call("/safe/x", method="GET")
            assert response.status == 503
            assert (await response.json())["name"] == "WORKERS_LIMITED"
            assert float(response.headers["Retry-After"]) > 0
        assert len(worker.seen) == 1


async def test_operators_see_limits_in_the_dump_and_the_metrics() -> None:
    limited = limited_worker(0.5)
    document = configuration(1, [route("safe", "safe", "plain")])
    async with world(document, {"needy": (limited, "plain")}) as running:
        statuses = [(await running.call("/safe/x", method="GET")).status for _ in range(4)]
        assert statuses == [200, 503, 503, 503] or statuses == [200, 200, 503, 503]
        metrics = await operators_page(running, "/metrics")
        dump = json.loads(await operators_page(running, "/dump"))
    assert [item["rate_limit"] for item in dump["workers"]] == [0.5]
    refused = statuses.count(503)
    assert f'corkcrank_limit_held_back_total{{outcome="refused"}} {refused}.0' in metrics
    assert 'corkcrank_limited_workers{service="plain"} 1.0' in metrics
    assert 'corkcrank_rate_limit_changes_total{change="named"} 1.0' in metrics
