"""A worker gets a request's target and headers as the caller sent them.

Guards against an empty query that lost its question mark, and against a call that failed because
one of its headers was no UTF-8: the client library changes both unless it is kept from it.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from node_world import HOST, KEY, World, call_id, configuration, route, world
from partitioned_world import partitioned_world
from platform_standins import Seen, StandinWorker
from test_relayed_requests import partition

ROUTES = [route("safe", "safe", "plain"), route("talk", "stream", "model")]

TARGETS = ["?", "?a", "?a=b", "?a=%2F&b=%zz", "//b/../c?", "%2e%2e/b?x?y", "#a", "?a#b"]
"""What follows the route's path."""

RAW_VALUE = b"caf\xe9 \xff\xf0"
"""A header value that is no UTF-8."""


@asynccontextmanager
async def plain_and_stream() -> AsyncIterator[tuple[World, dict[str, StandinWorker]]]:
    workers = {"safe": StandinWorker(), "talk": StandinWorker(events=2)}
    served = {"safe": (workers["safe"], "plain"), "talk": (workers["talk"], "model")}
    async with world(configuration(1, ROUTES), served) as running:  # type: ignore[arg-type]
        yield running, workers


async def send_raw(address: str, target: str, header: bytes = b"") -> bytes:
    """Send a request without a client library; return the response's head."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        head = (
            f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Corkcrank-Attempt-Id: {call_id()}\r\n"
            f"X-Corkcrank-Credential: {KEY}\r\nX-Corkcrank-Deadline-Ms: 3000\r\n"
            "X-Corkcrank-Model: m\r\nX-Corkcrank-Token-Count: 20,5\r\n"
            "X-Corkcrank-Prefix-Hash: aa:10\r\nContent-Length: 4\r\nConnection: close\r\n"
        )
        writer.write(head.encode() + header + b"\r\nbody")
        return (await reader.read()).partition(b"\r\n\r\n")[0]
    finally:
        writer.close()


def raw_header(seen: Seen, name: str) -> bytes:
    return seen.headers[name].encode("utf-8", "surrogateescape")


@pytest.mark.parametrize("rest", TARGETS)
@pytest.mark.parametrize("path", ["safe", "talk"])
async def test_target_reaches_its_worker_unchanged(path: str, rest: str) -> None:
    async with plain_and_stream() as (running, workers):
        answer = await send_raw(running.address(), f"/{path}/x{rest}")
        assert answer.startswith(b"HTTP/1.1 200 OK")
        assert [seen.target for seen in workers[path].seen] == [f"/{path}/x{rest}"]


@pytest.mark.parametrize("path", ["safe", "talk"])
async def test_header_that_is_no_text_reaches_its_worker_unchanged(path: str) -> None:
    async with plain_and_stream() as (running, workers):
        header = b"X-Note: " + RAW_VALUE + b"\r\n"
        answer = await send_raw(running.address(), f"/{path}/x", header)
        assert answer.startswith(b"HTTP/1.1 200 OK")
        assert [raw_header(seen, "X-Note") for seen in workers[path].seen] == [RAW_VALUE]


@pytest.mark.parametrize("path", ["safe", "talk"])
async def test_header_of_an_answer_that_is_no_text_reaches_its_caller_unchanged(path: str) -> None:
    async with plain_and_stream() as (running, workers):
        workers[path].named = {"X-Note": RAW_VALUE.decode("utf-8", "surrogateescape")}
        answer = await send_raw(running.address(), f"/{path}/x")
        assert b"\r\nX-Note: " + RAW_VALUE + b"\r\n" in answer + b"\r\n"


async def test_relayed_request_reaches_its_worker_unchanged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with partitioned_world(monkeypatch, 2) as played:
        await partition(played, 0)
        header = b"X-Note: " + RAW_VALUE + b"\r\n"
        answer = await send_raw(played.running.address(), "/once/x?", header)
        assert answer.startswith(b"HTTP/1.1 200 OK")
        noted = [
            item for worker in played.plain for item in worker.seen if "X-Note" in item.headers
        ]
        assert [(item.target, raw_header(item, "X-Note")) for item in noted] == [
            ("/once/x?", RAW_VALUE)
        ]
