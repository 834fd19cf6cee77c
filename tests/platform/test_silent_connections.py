"""Open connections that go silent permanently, without a reset, while new ones work.

On the platform's machines the connections of all processes may go silent at the same time.
Guards against two failures: a pool gave one silent connection after another to the next calls,
each for a whole timeout; and requests to a peer had no timeout. A gateway that pulled the
configuration through a silent connection never pulled again, and pieces on one waited until
their caller disconnected, since the owner's datagrams still arrived.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import pytest
from aiohttp import web
from node_world import (
    World,
    WorldLinks,
    configuration,
    route,
    until,
    world,
)
from platform_standins import Server, StandinWorker
from silent_link import SilentLink
from standin_store import StandinStore

from corkcrank.contracts import clock
from corkcrank.contracts.worker_records import WorkerList, WorkerRecord
from corkcrank.links.decision_log import DecisionLog
from corkcrank.links.platform_ports import StoreFailure, StoreTable
from corkcrank.node.stages.stage_worker_client import (
    CALL_TIME_MARGIN,
    REPORT_SECONDS,
    StageWorkerClient,
)
from corkcrank.node.telemetry.metrics import NodeMetrics
from corkcrank.node.workers.worker_availability import WorkerAvailability
from corkcrank.node.workers.worker_client import WorkerClient
from corkcrank.node.workers.worker_request import SendFailure, WorkerRequest
from corkcrank.node.workers.worker_statements import WorkerStatements
from corkcrank.platform.stage_calls import PlatformStageCodec
from corkcrank.platform.store import PlatformStore
from corkcrank.platform.worker_statements import PlatformStatementCodec
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable
from corkcrank.scheduling.worker_notices import WorkerNotices

BOTH = {"to_target": True, "from_target": True}
TO_TARGET = {"to_target": True, "from_target": False}
FROM_TARGET = {"to_target": False, "from_target": True}
DIRECTIONS = pytest.mark.parametrize(
    "directions", [BOTH, TO_TARGET, FROM_TARGET], ids=["both ways", "to target", "from target"]
)
KEPT = 5
"""Number of idle connections in a pool when they go silent."""

STORE_TIMEOUT = 0.3
LONGEST_SECONDS = 9.0
"""Longer than the timeout of a route: a call takes longer only if nothing limits it."""

PEER_SILENCE_SECONDS = 1.6
SLACK_SECONDS = 0.6
"""Allowance for a busy machine, in seconds."""


async def timed(work: Awaitable[Any]) -> tuple[Any, float]:
    started = clock.now()
    result = await work
    return result, clock.now() - started


def silences(running: World, kind: str, number: int = 0) -> float:
    """Return how many connections of a kind a gateway counted as dropped for silence."""
    registry = running.nodes[number].services.metrics.registry
    value = registry.get_sample_value("corkcrank_silent_connections_total", {"kind": kind})
    return value or 0.0


# The store


@asynccontextmanager
async def linked_store() -> AsyncIterator[tuple[PlatformStore, SilentLink]]:
    store, link = StandinStore(), SilentLink()
    await store.server.start()
    await link.start(store.server.address)
    async with aiohttp.ClientSession() as session:
        yield PlatformStore(session, link.address, STORE_TIMEOUT), link
    await link.stop()
    await store.server.stop()


@DIRECTIONS
async def test_silence_of_the_store_costs_one_timeout(directions: dict[str, bool]) -> None:
    async with linked_store() as (store, link):
        await asyncio.gather(*(store.read(StoreTable.WORKERS) for _ in range(KEPT)))
        assert link.open == KEPT
        link.silence(**directions)
        first, seconds = await timed(store.read(StoreTable.WORKERS))
        assert isinstance(first, StoreFailure)
        assert seconds < STORE_TIMEOUT + SLACK_SECONDS
        second = await store.read(StoreTable.WORKERS)
        assert not isinstance(second, StoreFailure)
        assert link.used_when_silent == 1


@DIRECTIONS
async def test_long_poll_has_its_own_deadline(directions: dict[str, bool]) -> None:
    async with linked_store() as (store, link):
        await store.read(StoreTable.WORKERS)
        link.silence(**directions)
        answer, seconds = await timed(store.watch(StoreTable.WORKERS, 1, 0.4))
        assert isinstance(answer, StoreFailure)
        assert seconds < 0.4 + STORE_TIMEOUT + SLACK_SECONDS


@DIRECTIONS
async def test_configuration_is_applied_in_time_after_the_store_went_silent(
    directions: dict[str, bool],
) -> None:
    links = WorldLinks(store=SilentLink())
    routes = [route("safe", "safe", "plain")]
    async with world(configuration(1, routes), {"w": (StandinWorker(), "plain")}, links) as running:
        node = running.nodes[0]
        assert links.store is not None
        links.store.silence(**directions)
        running.store.put("op", "config", configuration(2, routes))
        started = clock.now()
        await until(lambda: node.mirror.version == 2)
        bounds = node._settings.bounds
        assert clock.now() - started < bounds.configuration + SLACK_SECONDS
        assert silences(running, "store") >= 1


# Workers


async def answer_ok(request: web.BaseRequest) -> web.Response:
    await request.read()
    return web.Response(body=b"ok")


@asynccontextmanager
async def linked_worker(
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
) -> AsyncIterator[tuple[WorkerClient, SilentLink]]:
    server, link = Server(handler), SilentLink()
    await server.start()
    await link.start(server.address)
    async with WorkerClient() as client:
        yield client, link
    await link.stop()
    await server.stop()


async def ask_worker(client: WorkerClient, address: str) -> bytes | SendFailure:
    request = WorkerRequest(stage_worker(address), "GET", "/", [], b"", 0.3, call_id="c")
    response = await client.send(request)
    return response if isinstance(response, SendFailure) else await response.read()


@DIRECTIONS
async def test_silence_of_a_worker_costs_one_timeout(directions: dict[str, bool]) -> None:
    async with linked_worker(answer_ok) as (client, link):
        await asyncio.gather(*(ask_worker(client, link.address) for _ in range(KEPT)))
        assert link.open == KEPT
        link.silence(**directions)
        assert isinstance(await ask_worker(client, link.address), SendFailure)
        assert await ask_worker(client, link.address) == b"ok"
        assert link.used_when_silent == 1


async def answer_head_only(request: web.BaseRequest) -> web.StreamResponse:
    await request.read()
    response = web.StreamResponse(headers={"Content-Length": "100"})
    await response.prepare(request)
    await response.write(b"{")
    await asyncio.Event().wait()
    return response


def empty_statements() -> WorkerStatements:
    return WorkerStatements(
        PlatformStatementCodec(), WorkerNotices(), DecisionLog(None, "test"), NodeMetrics()
    )


def no_backoffs() -> WorkerAvailability:
    """Return an availability by which no worker is in backoff."""
    return WorkerAvailability(WorkerList(), WorkerStatisticsTable())


def stage_worker(address: str) -> WorkerRecord:
    return WorkerRecord("i-1", "encode", address, "z1", 1, leaving=False)


@pytest.mark.parametrize("what", ["free", "report"])
async def test_a_body_that_goes_silent_does_not_block_the_room_of_a_worker(what: str) -> None:
    # The head arrived, the body never did. The client waited forever: it freed no further
    # result of that worker and did not poll the worker for its room again.
    async with linked_worker(answer_head_only) as (client, link):
        caller = StageWorkerClient(PlatformStageCodec(), client, no_backoffs(), empty_statements())
        worker = stage_worker(link.address)
        work = (
            caller.free_results(worker, ["handle"])
            if what == "free"
            else caller.fetch_report(worker)
        )
        limit = CALL_TIME_MARGIN if what == "free" else REPORT_SECONDS
        async with asyncio.timeout(2 * limit + SLACK_SECONDS):
            assert await work is None


@DIRECTIONS
async def test_a_repeatable_call_is_retried_at_another_worker(directions: dict[str, bool]) -> None:
    silent, healthy = StandinWorker(), StandinWorker()
    links = WorldLinks(workers={"silent": SilentLink()})
    served = {"silent": (silent, "plain")}
    async with world(configuration(1, [route("safe", "safe", "plain")]), served, links) as running:
        hold = silent.hold = asyncio.Event()
        calls = [asyncio.create_task(running.call("/safe/x", method="GET")) for _ in range(KEPT)]
        await until(lambda: len(silent.seen) == KEPT)
        hold.set()
        assert [(await call).status for call in calls] == [200] * KEPT
        links.workers["silent"].silence(**directions)
        await healthy.server.start()
        running.store.put("servers", healthy.worker_id, healthy.entry("plain"))
        await until(lambda: len(running.nodes[0].mirror.workers.usable_workers("plain")) == 2)
        responses = [await running.call("/safe/x", method="GET") for _ in range(KEPT)]
        assert [response.status for response in responses] == [200] * KEPT
        assert links.workers["silent"].used_when_silent <= 1
        assert silences(running, "worker") == links.workers["silent"].used_when_silent
        await healthy.server.stop()


@DIRECTIONS
async def test_an_unrepeatable_stream_is_never_sent_twice(directions: dict[str, bool]) -> None:
    # Streams use kept-alive connections. A request sent on a silent one may have run.
    engine = StandinWorker(events=2)
    links = WorldLinks(workers={"engine": SilentLink()})
    once = route("once", "stream", "model", timeout_ms=900, max_attempts=3)
    async with world(configuration(1, [once]), {"engine": (engine, "model")}, links) as running:
        await (await running.call("/once/x")).read()
        links.workers["engine"].silence(**directions)
        response, seconds = await timed(running.call("/once/x"))
        assert response.status == 504
        assert seconds < 0.9 + SLACK_SECONDS
        assert len(engine.seen) == (2 if directions is FROM_TARGET else 1)
        assert links.workers["engine"].used_when_silent == 1
        assert silences(running, "worker") == 1
        response = await running.call("/once/x")
        assert response.status == 200
        await response.read()


async def test_a_stream_that_goes_silent_midway_resumes_at_another_worker() -> None:
    one, two = StandinWorker(events=6, gap=0.1), StandinWorker(events=6, gap=0.1)
    links = WorldLinks(workers={"one": SilentLink(), "two": SilentLink()})
    talk = route("talk", "stream", "model", stream_resume=True, target_gap_ms=200)
    served = {"one": (one, "model"), "two": (two, "model")}
    async with world(configuration(1, [talk]), served, links) as running:
        response = await running.call("/talk/x")
        await until(lambda: bool(one.seen or two.seen))
        links.workers["one" if one.seen else "two"].silence()
        body = await response.read()
        assert body.count(b"id: ") == 6
        assert len(one.seen) + len(two.seen) == 2
        assert silences(running, "worker") == 1
