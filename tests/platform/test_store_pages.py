"""Partial answers of the store, and answers in several pages, never count as a whole table.

Found in a review: a list of more than one page was followed from the revision of its last page.
A change to a row of an earlier page, made while the pages were read, was missed, so a removed
worker stayed in the list. A page without rows that announced more pages ended the list as
complete, and a page without the field of rows was read as an empty table.
"""

import asyncio
import base64
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import pytest
from aiohttp import web
from platform_standins import Server

from corkcrank.links.platform_ports import StoreFailure, StoreFailureReason, StoreRows, StoreTable
from corkcrank.platform.store import PlatformStore

TIMEOUT = 0.5
VALUE = base64.b64encode(b"value").decode()


def row(key: str, revision: int) -> dict[str, Any]:
    return {"table": "servers", "part": "", "key": key, "value": VALUE, "ver": revision}


@asynccontextmanager
async def store_answering(*bodies: dict[str, Any]) -> AsyncIterator[PlatformStore]:
    """Yield a client of a store that answers its calls with these bodies in order."""
    remaining = list(bodies)

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        body = json.dumps(remaining.pop(0)).encode()
        return web.Response(body=body, content_type="application/json")

    server = Server(answer)
    await server.start()
    async with aiohttp.ClientSession() as session:
        yield PlatformStore(session, server.address, TIMEOUT)
    await server.stop()


async def test_a_list_of_several_pages_is_followed_from_the_revision_of_its_first() -> None:
    first = {"rows": [row("a", 3)], "more": True, "ver": 10, "now_ms": 1000}
    second = {"rows": [row("b", 12)], "more": False, "ver": 14, "now_ms": 2000}
    async with store_answering(first, second) as store:
        answer = await store.read(StoreTable.WORKERS)
    assert isinstance(answer, StoreRows)
    assert [item.key for item in answer.rows] == ["a", "b"]
    assert answer.revision == 10
    assert answer.store_time == 2.0


PARTS = {
    "more without rows": [
        {"rows": [row("a", 3)], "more": True, "ver": 10, "now_ms": 1000},
        {"rows": [], "more": True, "ver": 10, "now_ms": 1000},
    ],
    "no field of rows": [{"ver": 10, "now_ms": 1000, "more": False}],
}


@pytest.mark.parametrize("part", PARTS)
async def test_a_partial_list_is_a_failure(part: str) -> None:
    async with store_answering(*PARTS[part]) as store:
        answer = await store.read(StoreTable.WORKERS)
    assert isinstance(answer, StoreFailure)
    assert answer.failure_reason is StoreFailureReason.BROKEN


async def test_a_feed_answer_without_the_field_of_rows_is_a_failure() -> None:
    async with store_answering({"ver": 10, "now_ms": 1000}) as store:
        answer = await store.watch(StoreTable.WORKERS, 5, 0.1)
    assert isinstance(answer, StoreFailure)
    assert answer.failure_reason is StoreFailureReason.BROKEN


CUTS = [b"", b'{"rows":[],"ver":10', b'{"rows":[],"ver":10,"now_ms":1}']


@pytest.mark.parametrize("body", CUTS)
@pytest.mark.parametrize("reset", [False, True])
async def test_a_truncated_body_of_a_long_poll_is_a_failure(body: bytes, reset: bool) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n" + body)
        await writer.drain()
        if reset:
            writer.transport.abort()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with aiohttp.ClientSession() as session:
        store = PlatformStore(session, f"127.0.0.1:{port}", TIMEOUT)
        answer = await store.watch(StoreTable.WORKERS, 5, 0.1)
    server.close()
    assert isinstance(answer, StoreFailure)
