"""Tests the handling of malformed requests, slow or idle connections, and drains."""

import asyncio
import json
import socket

import pytest
from node_world import HOST, KEY, World, configuration, route, until, world
from platform_standins import StandinWorker

from corkcrank.contracts.opaque_configuration import RequestLimits

LONG_SECONDS = 60.0
"""Time above every limit of a connection."""

ROUTES = [route("safe", "safe", "plain")]
HEAD = f"Host: {HOST}\r\nX-Corkcrank-Attempt-Id: 1\r\nX-Corkcrank-Credential: {KEY}\r\n"


async def exchange(running: World, data: bytes) -> bytes:
    """Send bytes and return what comes back until the connection is closed."""
    host, port = running.address().rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        async with asyncio.timeout(8):
            return await reader.read()
    except ConnectionResetError:
        return b""
    finally:
        writer.close()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (
            f"POST /safe/x HTTP/1.1\r\n{HEAD}Content-Length: 3\r\n"
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (
            f"POST /safe/x HTTP/1.1\r\n{HEAD}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
            b"400",
        ),
        (f"POST /safe/x HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\nzz\r\nabc", b"400"),
        (f"GET /safe/x HTTP/1.1\r\n{HEAD}X-Bad: a\x00b\r\n\r\n", b"400"),
        (f"GET /safe/x HTTP/1.1\r\n{HEAD}X-Long: {'a' * 5000}\r\n\r\n", b"431"),
        (f"POST /safe/x HTTP/1.1\r\n{HEAD}Content-Length: 20000\r\n\r\n", b"413"),
        ("NONSENSE\r\n\r\n", b"400"),
    ],
)
async def test_malformed_request_is_answered_and_closed(data: str, status: bytes) -> None:
    one = StandinWorker()
    async with world(configuration(1, ROUTES), {"one": (one, "plain")}) as running:
        answer = await exchange(running, data.encode("latin-1"))
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.split(b" ")[1] == status
        assert 2000 < json.loads(body)["code"] < 3000
        assert (await running.call("/safe/x", method="GET")).status == 200
    assert len(one.seen) == 1


async def test_slow_head_and_idle_connection_are_closed() -> None:
    async with world(configuration(1, ROUTES), {"one": (StandinWorker(), "plain")}) as running:
        assert await exchange(running, b"GET /safe/x HTTP/1.1\r\nHo") == b""
        assert await exchange(running, b"") == b""


async def test_connection_is_kept_for_further_requests() -> None:
    async with world(configuration(1, ROUTES), {"one": (StandinWorker(), "plain")}) as running:
        host, port = running.address().rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        for _ in range(3):
            writer.write(f"GET /safe/x HTTP/1.1\r\n{HEAD}\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            await reader.readexactly(length)
        writer.close()
        await until(lambda: not running.nodes[0].callers.connections())


async def test_drain_reports_not_ready_closes_connections_and_ends_calls() -> None:
    hold = asyncio.Event()
    one = StandinWorker(hold=hold)
    async with world(configuration(1, ROUTES), {"one": (one, "plain")}, grace=6.0) as running:
        node = running.nodes[0]
        call = asyncio.create_task(running.call("/safe/x", method="GET"))
        await until(lambda: len(one.seen) == 1)
        stop = asyncio.create_task(node.stop())
        await until(lambda: node.life.draining)
        assert not node.ready
        late = asyncio.create_task(running.call("/safe/late", method="GET"))
        await until(lambda: len(one.seen) == 2)
        hold.set()
        for response in (await call, await late):
            assert response.status == 200
            assert response.headers.get("Connection") == "close"
        await stop


async def test_request_that_was_read_but_not_begun_keeps_its_connection_while_draining() -> None:
    one = StandinWorker()
    async with world(configuration(1, ROUTES), {"one": (one, "plain")}) as running:
        callers = running.nodes[0].callers
        host, port = running.address().rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        await until(lambda: len(callers.connections()) == 1)
        # Bytes arrive, and the drain checks for idle connections in the same loop iteration.
        callers.connections()[0].data_received(f"GET /safe/x HTTP/1.1\r\n{HEAD}\r\n".encode())
        assert callers.in_flight == 1
        callers.close_idle_connections(-1.0)
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert len(one.seen) == 1
        writer.close()
        await until(lambda: not callers.connections())


@pytest.mark.parametrize("rest_of_head", [True, False], ids=["rest of a head", "request"])
async def test_bytes_that_arrived_in_a_stall_are_read_before_a_limit_closes_their_connection(
    rest_of_head: bool,
) -> None:
    """After a stall of the event loop the periodic check reset connections with unread requests."""
    async with world(configuration(1, ROUTES), {"one": (StandinWorker(), "plain")}) as running:
        callers = running.nodes[0].callers
        host, port = running.address().rsplit(":", 1)
        caller = socket.create_connection((host, int(port)), timeout=5.0)
        await until(lambda: len(callers.connections()) == 1)
        (connection,) = callers.connections()
        data = f"GET /safe/x HTTP/1.1\r\n{HEAD}\r\n".encode()
        if rest_of_head:
            caller.sendall(data[:30])
            await until(lambda: connection.head_since is not None)
            data = data[30:]
        limits = callers._limits
        sent = False

        def send_before_check() -> RequestLimits:
            nonlocal sent
            if not sent:
                sent = True
                caller.sendall(data)
                connection.idle_since -= LONG_SECONDS
                if connection.head_since is not None:
                    connection.head_since -= LONG_SECONDS
            return limits()

        callers._limits = send_before_check
        await until(lambda: sent)
        callers._limits = limits
        answer = await asyncio.to_thread(caller.recv, 65_536)
        assert answer.startswith(b"HTTP/1.1 200")
        caller.close()


async def test_connections_are_kept_and_closed_by_an_answer_while_the_balancer_sends() -> None:
    """Calls that crossed the close of an idle connection at the start of a stop got no answer."""
    document = configuration(1, ROUTES)
    document["limits"]["idle_timeout_ms"] = 2_000 * LONG_SECONDS
    async with world(document, {"one": (StandinWorker(), "plain")}) as running:
        node = running.nodes[0]
        host, port = running.address().rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        await until(lambda: len(node.callers.connections()) == 1)
        (connection,) = node.callers.connections()
        connection.idle_since -= LONG_SECONDS
        stopped = asyncio.create_task(node.stop())
        await until(lambda: node.life.draining)
        await asyncio.sleep(0)
        assert not reader.at_eof()
        writer.write(f"GET /safe/x HTTP/1.1\r\n{HEAD}\r\n".encode())
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert b"connection: close" in head.lower()
        writer.close()
        await stopped


async def test_unread_bytes_that_the_system_does_not_tell_count_as_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def refuse(*arguments: object) -> None:
        raise OSError

    monkeypatch.setattr("corkcrank.links.closed_connections.fcntl.ioctl", refuse)
    async with world(configuration(1, ROUTES), {"one": (StandinWorker(), "plain")}) as running:
        answer = await running.call("/safe/x", method="GET")
        assert answer.status == 200
        await running.nodes[0].stop()
