"""Large request bodies beyond a gateway's memory wait unread, or are refused and have not run.

Guards against a gateway that is killed for memory, with every call in progress, because many
callers send large bodies at once.
"""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from engine_script import reset
from node_world import HOST, KEY, LONG_IDLE_TIMEOUT_MS, World, call_id, configuration, route, until
from node_world import world as node_world
from platform_standins import StandinWorker

from corkcrank.contracts.result_codes import ResultCode
from corkcrank.node.callers import body_admission
from corkcrank.node.callers.body_admission import BodyAdmission
from corkcrank.scheduling.body_budget import SMALL_BODY_BYTES

BODY = bytes(4 * SMALL_BODY_BYTES)
FITTING = 3
"""Bodies for which the gateway has room."""

MAX_REFUSAL_SECONDS = 0.05
"""Time within which a caller learns that its body has no room."""

ROUTES = [route("safe", "safe", "plain"), route("once", "unsafe", "plain")]


@asynccontextmanager
async def world() -> AsyncIterator[tuple[World, StandinWorker, BodyAdmission]]:
    """Run a gateway with room for ``FITTING`` bodies, whose worker answers when it is told to."""
    worker = StandinWorker(hold=asyncio.Event())
    document = configuration(1, ROUTES)
    document["limits"].update(max_body_bytes=2 * len(BODY), idle_timeout_ms=LONG_IDLE_TIMEOUT_MS)
    async with node_world(document, {"plain": (worker, "plain")}) as running:
        bodies = running.nodes[0].services.bodies
        # One tenant may use half of the bound.
        bodies.budget.bound_bytes = 2 * FITTING * len(BODY)
        yield running, worker, bodies


def release(worker: StandinWorker) -> None:
    assert worker.hold is not None
    worker.hold.set()


Answer = tuple[int, str, float]


async def send(running: World, path: str = "/once/x", body: object = BODY) -> Answer:
    """Send a request; return the status, the body and the told delay of its answer."""
    response = await running.call(path, data=body)
    text = await response.text()
    return response.status, text, float(response.headers.get("Retry-After", 0))


async def fill(running: World, worker: StandinWorker) -> list[asyncio.Task[Answer]]:
    """Send the bodies that fit, and wait until the worker has them."""
    tasks = [asyncio.create_task(send(running)) for _ in range(FITTING)]
    await until(lambda: len(worker.seen) == FITTING)
    return tasks


async def test_body_without_room_is_refused_and_has_not_run() -> None:
    async with world() as (running, worker, _):
        tasks = await fill(running, worker)
        status, text, delay = await send(running)
        assert (status, json.loads(text)["code"]) == (503, ResultCode.MEMORY_SHORT.number)
        assert json.loads(text)["ran"] == "no"
        assert delay > 0
        release(worker)
        assert [(await task)[0] for task in tasks] == [200] * FITTING
        assert len(worker.seen) == FITTING
        assert (await send(running))[0] == 200


async def test_small_bodies_are_served_beside_large_ones() -> None:
    async with world() as (running, worker, bodies):
        tasks = await fill(running, worker)
        small = [asyncio.create_task(send(running, body=bytes(SMALL_BODY_BYTES))) for _ in range(5)]
        await until(lambda: len(worker.seen) == FITTING + len(small))
        assert bodies.budget.kept_bytes == FITTING * len(BODY)
        release(worker)
        assert [(await task)[0] for task in tasks + small] == [200] * (FITTING + 5)


async def test_waiting_body_is_read_when_another_call_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(body_admission, "MAX_WAIT_SECONDS", 10.0)
    async with world() as (running, worker, bodies):
        tasks = await fill(running, worker)
        waiting = asyncio.create_task(send(running))
        await until(lambda: bodies.budget.waiting == 1)
        assert len(worker.seen) == FITTING
        release(worker)
        assert [(await task)[0] for task in [*tasks, waiting]] == [200] * (FITTING + 1)


@pytest.mark.parametrize("size", [len(BODY), SMALL_BODY_BYTES, 3])
async def test_body_in_chunks_needs_room_only_if_it_is_large(size: int) -> None:
    async def chunks() -> AsyncIterator[bytes]:
        for _ in range(size // 1_000):
            yield bytes(1_000)
        yield bytes(size % 1_000)

    async with world() as (running, worker, bodies):
        tasks = await fill(running, worker)
        chunked = asyncio.create_task(send(running, body=chunks()))
        if size > SMALL_BODY_BYTES:
            assert (await chunked)[0] == 503
            assert len(worker.seen) == FITTING
        else:
            await until(lambda: len(worker.seen) == FITTING + 1)
        release(worker)
        await asyncio.gather(*tasks, chunked)
        assert (await send(running, body=chunks()))[0] == 200
        await until(lambda: bodies.budget.kept_bytes == 0)


async def begin_body(running: World) -> asyncio.StreamWriter:
    """Send the head of a request with a large body on a new connection."""
    host, port = running.address().rsplit(":", 1)
    _reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nX-Corkcrank-Attempt-Id: {call_id()}\r\n"
        f"X-Corkcrank-Credential: {KEY}\r\nContent-Length: {len(BODY)}\r\n\r\n".encode()
    )
    return writer


@pytest.mark.parametrize("share", [0.0, 0.5])
async def test_caller_that_closes_within_its_body_frees_its_room(share: float) -> None:
    async with world() as (running, _, bodies):
        writer = await begin_body(running)
        writer.write(BODY[: int(share * len(BODY))])
        await until(lambda: bodies.budget.kept_bytes == len(BODY))
        writer.close()
        await until(lambda: bodies.budget.kept_bytes == 0)


async def test_caller_that_leaves_while_its_body_waits_takes_no_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(body_admission, "MAX_WAIT_SECONDS", 10.0)
    async with world() as (running, worker, bodies):
        tasks = await fill(running, worker)
        waiting = await begin_body(running)
        waiting.write(BODY)
        await until(lambda: bodies.budget.waiting == 1)
        # A FIN would follow the bytes that are not read yet.
        reset(waiting)
        await until(lambda: bodies.budget.waiting == 0)
        release(worker)
        assert [(await task)[0] for task in tasks] == [200] * FITTING
        assert len(worker.seen) == FITTING


async def test_room_is_freed_after_failures() -> None:
    async with world() as (running, worker, bodies):
        release(worker)
        worker.faults.extend(["reset", "error", "reset"])
        for _ in range(3):
            assert (await send(running))[0] >= 500
        assert (await send(running, path="/nowhere/x"))[0] == 404
        await until(lambda: bodies.budget.kept_bytes == 0)


def test_callers_are_refused_in_time() -> None:
    assert body_admission.MAX_WAIT_SECONDS < MAX_REFUSAL_SECONDS
