"""An event loop that stalls while it connects to a worker is not taken for a failure of the worker.

The connect timeout expired during the stall and ended a connection that the worker had accepted.
The call counted as a failure of the worker and was refused, or sent to a worker at its limit.
"""

import asyncio
import time
from typing import Any

import pytest
from node_world import configuration, route, world
from platform_standins import StandinWorker

from corkcrank.node.workers import worker_client
from corkcrank.node.workers.worker_client import CONNECT_TIMEOUT_SECONDS
from corkcrank.node.workers.worker_sessions import send_guard

STALL_SECONDS = CONNECT_TIMEOUT_SECONDS + 0.2
ROUTES = [
    route("once", "unsafe", "plain", max_attempts=1),
    route("talk", "stream", "model", max_attempts=1),
]


def stall_while_connecting(
    monkeypatch: pytest.MonkeyPatch, worker: StandinWorker, times: int
) -> list[str]:
    """Block the event loop once a request's connection has begun; return the list of stalls."""
    loop = asyncio.get_running_loop()
    connect = loop.sock_connect
    stalls: list[str] = []

    async def connect_and_stall(connection: Any, address: Any) -> None:
        name = f"{address[0]}:{address[1]}"
        of_request = send_guard.get() is not None
        if name == worker.server.address and of_request and len(stalls) < times:
            stalls.append(name)
            loop.call_soon(time.sleep, STALL_SECONDS)
        await connect(connection, address)

    monkeypatch.setattr(loop, "sock_connect", connect_and_stall)
    return stalls


@pytest.mark.parametrize(("name", "service"), [("once", "plain"), ("talk", "model")])
async def test_a_call_is_served_if_the_event_loop_stalls_while_it_connects(
    monkeypatch: pytest.MonkeyPatch, name: str, service: str
) -> None:
    worker = StandinWorker(events=2 if name == "talk" else 0)
    async with world(configuration(1, ROUTES), {"w": (worker, service)}) as running:
        stalls = stall_while_connecting(monkeypatch, worker, times=1)
        response = await running.call(f"/{name}/x")
        assert response.status == 200, await response.text()
        assert len(stalls) == len(worker.seen) == 1
        statistics = running.nodes[0].services.worker_statistics.get_or_create(worker.worker_id)
        assert statistics.failures == []


async def test_a_call_connects_at_most_twice_if_the_event_loop_stalls_each_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    worker = StandinWorker()
    async with world(configuration(1, ROUTES), {"w": (worker, "plain")}) as running:
        stalls = stall_while_connecting(monkeypatch, worker, times=10)
        response = await running.call("/once/x")
        assert response.status == 503
        assert len(stalls) == 2
        assert worker.seen == []


async def test_a_call_connects_once_to_a_worker_that_does_not_accept_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # However busy the machine is, the event loop counts as punctual here.
    monkeypatch.setattr(worker_client, "MAX_TIMER_LAG_SECONDS", float("inf"))
    worker = StandinWorker()
    async with world(configuration(1, ROUTES), {"w": (worker, "plain")}) as running:
        stalls = stall_while_connecting(monkeypatch, worker, times=10)
        response = await running.call("/once/x")
        assert response.status == 503
        assert len(stalls) == 1
        statistics = running.nodes[0].services.worker_statistics.get_or_create(worker.worker_id)
        assert len(statistics.failures) == 1
