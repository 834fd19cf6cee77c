"""A worker gets a request's target as the caller sent it.

Guards against an empty query that lost its question mark: the client library changes targets that
it has parsed as URLs.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from node_world import HOST, KEY, World, call_id, configuration, route, world
from platform_standins import StandinWorker

ROUTES = [route("safe", "safe", "plain"), route("talk", "stream", "model")]

TARGETS = ["?", "?a", "?a=b", "?a=%2F&b=%zz", "//b/../c?", "%2e%2e/b?x?y", "#a", "?a#b"]
"""What follows the route's path."""


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


@pytest.mark.parametrize("rest", TARGETS)
@pytest.mark.parametrize("path", ["safe", "talk"])
async def test_target_reaches_its_worker_unchanged(path: str, rest: str) -> None:
    async with plain_and_stream() as (running, workers):
        answer = await send_raw(running.address(), f"/{path}/x{rest}")
        assert answer.startswith(b"HTTP/1.1 200 OK")
        assert [seen.target for seen in workers[path].seen] == [f"/{path}/x{rest}"]
