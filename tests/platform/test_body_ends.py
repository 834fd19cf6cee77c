"""A body without a length is complete only if its sender closed the connection.

Guards against an answer that was reset on the way and counted as complete: the reset was read
before the reader of the body asked how the connection ended, and by then the HTTP library had
released the connection. A reader is late if the head was awaited in another task, as in a failover
and at a gateway that relays a request.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import aiohttp
import pytest
from engine_script import Answer, Ending, Framing, Script, events, honest, reset
from node_world import until
from partitioned_world import partitioned_world
from test_relayed_requests import partition
from test_stream_wholeness import EVENTS, WHOLE, broken_after, read_answer

from corkcrank.links.silence import ignore_silence
from corkcrank.node.peers.peer_client import PeerClient, PeerFailure
from corkcrank.node.workers.worker_sessions import CheckedConnector, create_session

BODY = b"the first part of a body"
RESET_ANSWERS = 8


def reset_at_once(last: int) -> Script:
    return lambda after: Answer(
        events(after + 1, last),
        framing=Framing.CONNECTION,
        ending=Ending.RESET,
        pause=0.0,
    )


async def test_resumed_stream_that_is_reset_is_resumed_once_more() -> None:
    scripts = broken_after(2), reset_at_once(4), honest(EVENTS)
    assert await read_answer("/resumed/x", *scripts) == (200, WHOLE, True)


async def test_resumed_stream_whose_engines_are_all_reset_is_visibly_broken() -> None:
    status, body, whole = await read_answer("/resumed/x", broken_after(2), reset_at_once(4))
    assert (status, whole) == (200, False)
    assert WHOLE.startswith(body)


@asynccontextmanager
async def sender(finish: Callable[[asyncio.StreamWriter], None]) -> AsyncIterator[str]:
    """Run a server that sends the beginning of a body without a length, and ends it."""
    writers: list[asyncio.StreamWriter] = []

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + BODY)
        await writer.drain()
        finish(writer)

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    try:
        yield "{}:{}".format(*server.sockets[0].getsockname())
    finally:
        server.close()
        for writer in writers:
            writer.close()


def keep_open(writer: asyncio.StreamWriter) -> None:
    pass


def close_properly(writer: asyncio.StreamWriter) -> None:
    writer.close()


async def read_at_once(response: aiohttp.ClientResponse) -> bytes:
    return await response.content.read()


async def read_late(response: aiohttp.ClientResponse) -> bytes:
    """Read after the end of the connection was handled."""
    connection = response.connection
    protocol = connection.protocol if connection is not None else None
    await until(lambda: protocol is None or protocol.transport is None)
    return await response.content.read()


READERS = [read_at_once, read_late]
Reader = Callable[[aiohttp.ClientResponse], Awaitable[bytes]]


@pytest.mark.parametrize("reader", READERS)
async def test_body_without_a_length_is_whole_if_its_sender_closes(reader: Reader) -> None:
    session = create_session(CheckedConnector(limit=0))
    async with sender(close_properly) as address, session:
        assert await reader(await session.get(f"http://{address}/")) == BODY


@pytest.mark.parametrize("reader", READERS)
async def test_body_without_a_length_that_is_reset_is_not_whole(reader: Reader) -> None:
    session = create_session(CheckedConnector(limit=0))
    async with sender(reset) as address, session:
        response = await session.get(f"http://{address}/")
        with pytest.raises(aiohttp.ClientPayloadError):
            await reader(response)


def abort_transport(session: aiohttp.ClientSession, response: aiohttp.ClientResponse) -> None:
    assert response.connection is not None
    assert response.connection.transport is not None
    response.connection.transport.abort()


def close_session(session: aiohttp.ClientSession, response: aiohttp.ClientResponse) -> None:
    assert session.connector is not None
    session.connector._close()


@pytest.mark.parametrize("end", [abort_transport, close_session])
async def test_body_without_a_length_that_is_ended_locally_is_not_whole(
    end: Callable[[aiohttp.ClientSession, aiohttp.ClientResponse], None],
) -> None:
    session = create_session(CheckedConnector(limit=0))
    async with sender(keep_open) as address, session:
        response = await session.get(f"http://{address}/")
        reading = asyncio.create_task(response.content.read())
        await asyncio.sleep(0)
        end(session, response)
        with pytest.raises(aiohttp.ClientError):
            await reading


async def test_answer_of_a_peer_that_is_reset_is_not_whole() -> None:
    peers = PeerClient(ignore_silence)
    async with sender(reset) as address:
        assert await peers.request(address, "/peer/x") is PeerFailure.BROKEN
        await peers.close()


async def test_relayed_answer_that_is_reset_is_visibly_broken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with partitioned_world(monkeypatch, 2) as played:
        played.links.direct.add(1)
        await partition(played, 0)
        for worker in played.plain:
            worker.faults.extend(["unframed-reset-at-once"] * RESET_ANSWERS)
        for number in range(RESET_ANSWERS):
            answer = await played.call_once(0, "once", number)
            assert not answer.served
            assert answer.detail.startswith("502")
