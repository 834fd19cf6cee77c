"""Large answers without room in the memory are relayed whole, at the pace of their callers."""

import asyncio
import gc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp import web
from client_crowd import LargeWorker, connect_unreading, head
from node_world import World, configuration, route, until, world

from corkcrank.node.process.node import Node
from corkcrank.node.workers.worker_sessions import MAX_RECEIVED_BYTES
from corkcrank.scheduling.answer_budget import AnswerRoom

ANSWER_BYTES = 2 * 2**20
MORE_THAN_A_KERNEL_BUFFERS = 32 * 2**20
CALLERS = 5
BREAK_AFTER = 300_000
CHUNK_FRAMING_BYTES = 16
ENDLESS_PIECE_BYTES = 100_000
ENDLESS_PAUSE_SECONDS = 0.01
ENDLESS_CALL_MS = 1_000
MAX_ENDLESS_BYTES = 30_000_000
"""More than an endless worker sends in the time of its call."""

ROUTES = [route("safe", "safe", "plain"), route("once", "unsafe", "plain")]


class BreakingWorker(LargeWorker):
    """A worker that closes its connection within each answer."""

    async def _answer(self, request: web.BaseRequest, fault: str) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._head(request, fault))
        if self.chunked:
            response.enable_chunked_encoding()
        else:
            response.content_length = self.answer_bytes
        await response.prepare(request)
        await response.write(b"r" * BREAK_AFTER)
        assert request.transport is not None
        request.transport.abort()
        raise ConnectionResetError


class EndlessWorker(LargeWorker):
    """A worker whose answers never end; they are sent in pieces, with a pause after each."""

    async def _answer(self, request: web.BaseRequest, fault: str) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._head(request, fault))
        response.enable_chunked_encoding()
        await response.prepare(request)
        while True:
            await response.write(b"r" * ENDLESS_PIECE_BYTES)
            await asyncio.sleep(ENDLESS_PAUSE_SECONDS)


@asynccontextmanager
async def short_of_memory(worker: LargeWorker) -> AsyncIterator[tuple[World, Node]]:
    """Run a gateway that has no room for the answers of its worker."""
    async with world(configuration(1, ROUTES), {"plain": (worker, "plain")}) as running:
        node = running.nodes[0]
        answers = node.services.answers
        answers.bound_bytes = worker.answer_bytes
        taken = AnswerRoom(answers)
        assert taken.grow(worker.answer_bytes)
        yield running, node
        await until(lambda: answers.kept_bytes == worker.answer_bytes)


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunks"])
@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
async def test_answers_without_room_are_whole(path: str, chunked: bool) -> None:
    worker = LargeWorker(answer_bytes=ANSWER_BYTES, chunked=chunked)
    async with short_of_memory(worker) as (running, _):
        responses = [await running.call(path) for _ in range(CALLERS)]
        for response in responses:
            assert response.status == 200
            assert await response.read() == b"r" * ANSWER_BYTES
        assert (await running.call(path)).status == 200


async def test_an_answer_that_breaks_off_while_it_is_relayed_is_not_complete() -> None:
    async with short_of_memory(BreakingWorker(answer_bytes=ANSWER_BYTES)) as (running, node):
        with pytest.raises(aiohttp.ClientError):
            await (await running.call("/once/x")).read()
        await until(lambda: node.callers.in_flight == 0)


async def read_at_most(response: aiohttp.ClientResponse, count: int) -> None:
    """Read a response to its end; fail if it has more bytes."""
    received = 0
    async for piece in response.content.iter_any():
        received += len(piece)
        assert received <= count


async def test_an_answer_without_end_is_relayed_no_longer_than_its_call_lasts() -> None:
    """Guards against callers that read what never ends, long after their own deadline."""
    async with short_of_memory(EndlessWorker(answer_bytes=ANSWER_BYTES)) as (running, node):
        node.services.answers.bound_bytes = BREAK_AFTER
        deadline = {"X-Corkcrank-Deadline-Ms": str(ENDLESS_CALL_MS)}
        response = await running.call("/once/x", headers=deadline)
        with pytest.raises(aiohttp.ClientError):
            await read_at_most(response, MAX_ENDLESS_BYTES)
        await until(lambda: node.callers.in_flight == 0)
        node.services.answers.bound_bytes = ANSWER_BYTES


async def test_a_caller_that_leaves_a_relayed_answer_closes_the_worker_s_connection() -> None:
    worker = LargeWorker(answer_bytes=MORE_THAN_A_KERNEL_BUFFERS)
    async with short_of_memory(worker) as (running, node):
        connection = await connect_unreading(running.address())
        await asyncio.get_running_loop().sock_sendall(connection, head("/once/x"))
        await until(lambda: node.callers.in_flight == 1 and bool(worker.seen))
        connection.close()
        await until(lambda: node.callers.in_flight == 0)
        assert not node.services.worker_statistics.get_or_create(worker.worker_id).failures


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunks"])
async def test_an_unread_relayed_answer_keeps_one_piece_and_counts_what_was_received(
    chunked: bool,
) -> None:
    """Guards against pieces of many unread answers that pile up in their connections."""
    worker = LargeWorker(answer_bytes=MORE_THAN_A_KERNEL_BUFFERS, chunked=chunked)
    async with short_of_memory(worker) as (running, node):
        if chunked:
            # So little room that the answer is relayed long before its end.
            node.services.answers.bound_bytes = BREAK_AFTER
        connection = await connect_unreading(running.address())
        await asyncio.get_running_loop().sock_sendall(connection, head("/once/x"))
        await until(lambda: any(item.unsent_bytes for item in node.callers.connections()))
        (unread,) = (item for item in node.callers.connections() if item.unsent_bytes)
        assert unread.source is not None
        assert unread.unsent_bytes <= MAX_RECEIVED_BYTES + CHUNK_FRAMING_BYTES
        await until(lambda: unread.source is not None and unread.source.kept_bytes > 0)
        connection.close()
        await until(lambda: node.callers.in_flight == 0)
        node.services.answers.bound_bytes = worker.answer_bytes


async def test_the_room_of_an_answer_is_free_once_it_is_read() -> None:
    async with short_of_memory(LargeWorker(answer_bytes=ANSWER_BYTES)) as (running, node):
        answers = node.services.answers
        answers.bound_bytes = 2 * ANSWER_BYTES
        before = answers.kept_bytes
        gc.disable()
        try:
            for _ in range(CALLERS):
                response = await running.call("/safe/x")
                assert len(await response.read()) == ANSWER_BYTES
                await until(lambda: answers.kept_bytes == before)
        finally:
            gc.enable()


async def read_as_http_1_0(running: World) -> bytes:
    """Return the response to an HTTP/1.0 request, up to the end of its connection."""
    host, port = running.address().rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(head("/once/x").replace(b"HTTP/1.1", b"HTTP/1.0"))
    try:
        return await reader.read()
    finally:
        writer.transport.abort()


async def test_an_answer_without_a_length_is_relayed_to_a_caller_without_chunks() -> None:
    worker = LargeWorker(answer_bytes=ANSWER_BYTES, chunked=True)
    async with short_of_memory(worker) as (running, _):
        response = await read_as_http_1_0(running)
        assert response.startswith(b"HTTP/1.0 200")
        assert response.endswith(b"\r\n\r\n" + b"r" * ANSWER_BYTES)


async def test_an_answer_that_breaks_off_does_not_end_as_whole_without_chunks() -> None:
    """Guards against the end of a connection that looks like the end of an answer."""
    worker = BreakingWorker(answer_bytes=ANSWER_BYTES, chunked=True)
    async with short_of_memory(worker) as (running, node):
        # So little room that the answer is relayed before it breaks off.
        node.services.answers.bound_bytes = BREAK_AFTER
        with pytest.raises(ConnectionResetError):
            await read_as_http_1_0(running)


async def test_a_caller_that_sends_ahead_and_does_not_read_is_closed_when_it_is_idle() -> None:
    """Guards against a request behind an unread answer that keeps its connection for good."""
    worker = LargeWorker(answer_bytes=MORE_THAN_A_KERNEL_BUFFERS)
    async with world(configuration(1, ROUTES), {"plain": (worker, "plain")}) as running:
        node = running.nodes[0]
        connection = await connect_unreading(running.address())
        await asyncio.get_running_loop().sock_sendall(connection, head("/once/x") * 3)
        await until(lambda: bool(worker.seen))
        await until(lambda: not node.callers.connections())
        connection.close()
