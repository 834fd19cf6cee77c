"""Tasks that end in the moment in which their waiter is cancelled.

A call was given up in the turn of the event loop in which its connection to a member timed out.
Nobody read the error, which the event loop reported as a fault of the gateway. A response that
arrived in that turn was not closed.
"""

import asyncio
import gc
from collections.abc import Callable
from typing import Any

import aiohttp
import pytest
from node_world import until
from partitioned_world import PartitionedWorld, partitioned_world
from test_relayed_requests import partition

from corkcrank.links.abandoned_tasks import abandon
from corkcrank.node.relays.relay_client import RelayClient
from corkcrank.node.relays.relay_server import RelayServer
from corkcrank.node.workers.worker_request import WorkerRequest


class Response:
    """A response that knows whether it was closed."""

    def __init__(self) -> None:
        self.closed = False

    def close(self) -> None:
        self.closed = True


class Exchange:
    """An exchange whose outcome arrives as ``on_done`` is called; ``begun`` says that it waits."""

    def __init__(self) -> None:
        self.begun = asyncio.Event()
        self.outcome: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self.on_done: Callable[[], object] = lambda: None

    async def run(self, *_: Any, **__: Any) -> Any:
        task = asyncio.current_task()
        assert task is not None
        task.add_done_callback(lambda _: self.on_done())
        # The outcome's traceback would keep the task.
        del task
        self.begun.set()
        return await self.outcome


class Faults:
    """What the event loop reports of tasks whose error nobody has read."""

    def __init__(self) -> None:
        self.reports: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, report: self.reports.append(report)
        )

    async def collect(self) -> list[dict[str, Any]]:
        for _ in range(3):
            await asyncio.sleep(0)
            gc.collect()
        return self.reports


def plain_request(played: PartitionedWorld) -> WorkerRequest:
    record = played.nodes[0].services.mirror.workers.usable_workers("plain")[0]
    return WorkerRequest(record, "GET", "/once/x", [], b"", 5.0)


async def cancel_with_outcome(
    waiting: "asyncio.Task[Any]", exchange: Exchange, outcome: Response | Exception
) -> None:
    """Cancel a waiting task in the turn in which its exchange has an outcome."""
    await exchange.begun.wait()
    exchange.on_done = waiting.cancel
    if isinstance(outcome, Response):
        exchange.outcome.set_result(outcome)
    else:
        exchange.outcome.set_exception(outcome)
    with pytest.raises(asyncio.CancelledError):
        await waiting
    # The waiter's traceback refers to the task of the exchange.
    exchange.on_done = lambda: None


async def test_a_connect_timeout_beside_a_cancelled_call_is_no_fault(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with partitioned_world(monkeypatch, 2) as played:
        await partition(played, 0)
        faults, exchange = Faults(), Exchange()
        monkeypatch.setattr(RelayClient, "_post", exchange.run)
        relay = played.nodes[0]._access.relay
        waiting = asyncio.create_task(relay.send(plain_request(played)))
        await cancel_with_outcome(waiting, exchange, aiohttp.ConnectionTimeoutError("too late"))
        del waiting, exchange
        assert await faults.collect() == []


async def test_a_member_response_beside_a_cancelled_call_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with partitioned_world(monkeypatch, 2) as played:
        await partition(played, 0)
        exchange, response = Exchange(), Response()
        monkeypatch.setattr(RelayClient, "_post", exchange.run)
        relay = played.nodes[0]._access.relay
        waiting = asyncio.create_task(relay.send(plain_request(played)))
        await cancel_with_outcome(waiting, exchange, response)
        await until(lambda: response.closed)


async def test_a_worker_response_beside_a_cancelled_relay_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with partitioned_world(monkeypatch, 2) as played:
        exchange, response = Exchange(), Response()
        relays = played.nodes[1]._access.relays
        monkeypatch.setattr(relays._client, "send_directly", exchange.run)
        sending = RelayServer._send_with_progress(relays, None, plain_request(played))  # type: ignore[arg-type]
        waiting = asyncio.create_task(sending)
        await cancel_with_outcome(waiting, exchange, response)
        await until(lambda: response.closed)


async def test_a_result_that_arrives_after_the_cancellation_is_released() -> None:
    begun, released = asyncio.Event(), []

    async def answer_nevertheless() -> str:
        try:
            begun.set()
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            return "answer"
        return "unreachable"

    task = asyncio.create_task(answer_nevertheless())
    await begun.wait()
    abandon(task, released.append)
    await until(lambda: released == ["answer"])


async def test_a_cancelled_task_releases_nothing() -> None:
    released: list[None] = []
    faults = Faults()
    task = asyncio.create_task(asyncio.sleep(60.0))
    abandon(task, released.append)
    await asyncio.wait({task})
    await asyncio.sleep(0)
    assert task.cancelled()
    assert released == []
    assert await faults.collect() == []
