"""Tests the fault links: silenced connections, and which clients never reached the target."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from node_world import until

from soak.links import FaultLink, Silence

HOST = "127.0.0.1"
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class EchoServer:
    """A TCP server that echoes the bytes it receives and stores them in ``received``."""

    def __init__(self) -> None:
        self.received = b""
        self.open = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open += 1
        with contextlib.suppress(OSError):
            while data := await reader.read(100):
                self.received += data
                writer.write(data)
                await writer.drain()
        self.open -= 1
        writer.close()


@asynccontextmanager
async def linked() -> AsyncIterator[tuple[EchoServer, FaultLink]]:
    echo = EchoServer()
    server = await asyncio.start_server(echo.serve, HOST, 0)
    link = FaultLink(HOST, f"{HOST}:{server.sockets[0].getsockname()[1]}")
    await link.start()
    yield echo, link
    await link.stop()
    server.close()


async def connect(link: FaultLink) -> Streams:
    host, port = link.address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port))


async def ask(streams: Streams, data: bytes) -> bytes:
    streams[1].write(data)
    async with asyncio.timeout(5.0):
        return await streams[0].readexactly(len(data))


@pytest.mark.parametrize("silence", list(Silence))
async def test_an_open_connection_stays_silent_and_a_new_one_works(silence: Silence) -> None:
    async with linked() as (echo, link):
        kept = await connect(link)
        assert await ask(kept, b"a") == b"a"
        assert link.silence_open_connections(silence) == 1
        assert link.longest_silent_wait() == 0.0
        kept[1].write(b"b")
        await until(lambda: link.longest_silent_wait() > 0.0)
        new = await connect(link)
        assert await ask(new, b"c") == b"c"
        received = silence is Silence.FROM_TARGET
        await until(lambda: set(echo.received) == set(b"abc" if received else b"ac"))
        link.mend()
        answer = asyncio.create_task(kept[0].read(1))
        assert await ask(new, b"d") == b"d"
        assert not answer.done()
        kept[1].close()
        await until(lambda: link.longest_silent_wait() == 0.0)
        if received:
            await until(lambda: echo.open == 1)
        else:
            assert echo.open == 2
        new[1].close()
        await asyncio.gather(answer, return_exceptions=True)


async def end_of(streams: Streams) -> bytes:
    """Return the bytes until the connection ends, cleanly or by a reset."""
    try:
        async with asyncio.timeout(5.0):
            return await streams[0].read()
    except ConnectionResetError:
        return b""


def has_unread_bytes(connection: socket.socket) -> bool:
    with contextlib.suppress(BlockingIOError):
        return len(connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)) > 0
    return False


def client_of(streams: Streams) -> tuple[str, int]:
    name: tuple[str, int] = streams[1].get_extra_info("sockname")
    return name


async def test_a_client_of_a_target_that_refuses_connections_did_not_reach_it() -> None:
    link = FaultLink(HOST, f"{HOST}:9")
    await link.start()
    streams = await connect(link)
    streams[1].write(b"request")
    assert await end_of(streams) == b""
    assert client_of(streams) in link.unreached_clients
    await link.stop()


class ClosingServer:
    """A TCP server that closes connections when told to, without reading what has arrived."""

    def __init__(self) -> None:
        self._listener = socket.create_server((HOST, 0))
        self._listener.setblocking(False)
        self.link = FaultLink(HOST, f"{HOST}:{self._listener.getsockname()[1]}")

    async def accept(self) -> socket.socket:
        connection, _ = await asyncio.get_running_loop().sock_accept(self._listener)
        return connection

    def close(self) -> None:
        self._listener.close()


async def test_a_request_sent_after_the_target_closed_did_not_reach_it() -> None:
    server = ClosingServer()
    await server.link.start()
    streams = await connect(server.link)
    connection = await server.accept()
    # In one turn of the loop: the proxy has not noticed the close when the request is sent.
    connection.close()
    streams[1].write(b"request")
    assert await end_of(streams) == b""
    assert client_of(streams) in server.link.unreached_clients
    await server.link.stop()
    server.close()


async def test_a_request_that_the_target_had_when_it_closed_reached_it() -> None:
    server = ClosingServer()
    await server.link.start()
    streams = await connect(server.link)
    connection = await server.accept()
    streams[1].write(b"request")
    await until(lambda: has_unread_bytes(connection))
    connection.close()
    assert await end_of(streams) == b""
    assert client_of(streams) not in server.link.unreached_clients
    await server.link.stop()
    server.close()
