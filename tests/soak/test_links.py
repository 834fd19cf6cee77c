"""Tests that a silenced connection loses its bytes while new connections work."""

import asyncio
import contextlib
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
