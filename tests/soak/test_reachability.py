"""Tests which of a link's clients count as not having reached the target.

A soak excused every reset within 0.2 s and the lag of its event loop: it reported calls to a node
that was down, and hid resets by a node that had the request.
"""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from node_world import until

from soak import reachability
from soak.clients import Connection
from soak.links import FaultLink
from soak.sent_calls import SentCall

HOST = "127.0.0.1"
REQUEST = b"request"
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Target:
    """A listening socket behind a link, whose connections the test reads and closes itself."""

    def __init__(self) -> None:
        self.listener = socket.create_server((HOST, 0))
        self.listener.setblocking(False)
        self.link = FaultLink(HOST, f"{HOST}:{self.listener.getsockname()[1]}")

    async def accept(self) -> socket.socket:
        connection, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        return connection

    async def connect(self) -> Streams:
        host, port = self.link.address.rsplit(":", 1)
        return await asyncio.open_connection(host, int(port))

    def reached(self, client: Streams) -> bool:
        return client[1].get_extra_info("sockname") not in self.link.unreached_clients


@asynccontextmanager
async def linked() -> AsyncIterator[Target]:
    target = Target()
    await target.link.start()
    yield target
    await target.link.stop()
    target.listener.close()


async def end_of(client: Streams) -> bytes:
    """Return the bytes until the connection ends, by a close or a reset."""
    try:
        async with asyncio.timeout(5.0):
            return await client[0].read()
    except ConnectionResetError:
        return b""


def has_unread_bytes(connection: socket.socket) -> bool:
    with contextlib.suppress(BlockingIOError):
        return len(connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)) > 0
    return False


async def test_a_client_of_a_target_that_refuses_connections_did_not_reach_it() -> None:
    async with linked() as target:
        target.listener.close()
        client = await target.connect()
        client[1].write(REQUEST)
        assert await end_of(client) == b""
        assert not target.reached(client)


async def test_a_request_sent_after_the_close_did_not_reach_the_target() -> None:
    async with linked() as target:
        client = await target.connect()
        connection = await target.accept()
        # The link has not noticed the close when the request is sent.
        connection.close()
        client[1].write(REQUEST)
        assert await end_of(client) == b""
        assert not target.reached(client)


async def test_a_request_that_crosses_the_close_in_the_link_did_not_reach_the_target(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with linked() as target:
        client = await target.connect()
        connection = await target.accept()
        look = reachability.TargetSide._closed_by_target

        def close_after_look(side: reachability.TargetSide) -> bool:
            seen = look(side)
            connection.close()
            return seen

        monkeypatch.setattr(reachability.TargetSide, "_closed_by_target", close_after_look)
        client[1].write(REQUEST)
        assert await end_of(client) == b""
        assert not target.reached(client)


async def test_a_request_that_the_target_had_not_read_when_it_closed_reached_it() -> None:
    async with linked() as target:
        client = await target.connect()
        connection = await target.accept()
        client[1].write(REQUEST)
        await until(lambda: has_unread_bytes(connection))
        connection.close()
        assert await end_of(client) == b""
        assert target.reached(client)


async def test_a_request_that_was_unread_as_the_target_closed_its_sending_side_reached_it() -> None:
    async with linked() as target:
        client = await target.connect()
        connection = await target.accept()
        client[1].write(REQUEST)
        await until(lambda: has_unread_bytes(connection))
        connection.shutdown(socket.SHUT_WR)
        connection.close()
        assert await end_of(client) == b""
        assert target.reached(client)


async def test_a_request_that_the_target_read_without_an_answer_reached_it() -> None:
    async with linked() as target:
        client = await target.connect()
        connection = await target.accept()
        client[1].write(REQUEST)
        await until(lambda: has_unread_bytes(connection))
        connection.recv(len(REQUEST))
        connection.close()
        assert await end_of(client) == b""
        assert target.reached(client)


@pytest.mark.parametrize("sent_before", [True, False])
async def test_a_connection_reset_in_the_accept_queue_reached_the_target_if_it_had_a_request(
    sent_before: bool,
) -> None:
    async with linked() as target:
        client = await target.connect()
        side = await opened_side(target)
        if sent_before:
            client[1].write(REQUEST)
            await until(lambda: side._awaits_answer)
        target.listener.close()
        if not sent_before:
            client[1].write(REQUEST)
        assert await end_of(client) == b""
        assert target.reached(client) is sent_before


async def opened_side(target: Target) -> reachability.TargetSide:
    """Return the link's side of its only connection, once it is open."""
    await until(lambda: len(target.link._passages) == 1)
    (passage,) = target.link._passages
    return passage.target


async def test_a_part_of_a_head_before_a_reset_stays_known() -> None:
    async with linked() as target:
        streams = await target.connect()
        connection = await target.accept()
        call = SentCall("1", "once", "n", "POST", "/", {}, b"", "tenant", False, 5.0)
        exchange = asyncio.create_task(Connection("n", *streams).exchange(call))
        await until(lambda: has_unread_bytes(connection))
        connection.send(b"HTTP/1.1 2")
        await until(lambda: len(streams[0]._buffer) > 0)  # type: ignore[attr-defined]
        connection.close()
        answer = await exchange
        assert (answer.status, answer.body) == (0, b"HTTP/1.1 2")
