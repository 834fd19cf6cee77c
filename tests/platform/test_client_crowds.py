"""Crowds of clients that nobody controls neither end nor hang a gateway.

Each test fixes a crowd. The bounds are those of the machine: the gateway lives, within its memory
and its descriptors, and answers an ordinary call when the crowd has left.
"""

import asyncio

import pytest
from client_crowd import (
    HANG_SECONDS,
    MAX_BODY_BYTES,
    LargeWorker,
    crowded_world,
    head,
    ordinary_calls,
)
from process_world import exchange

REQUESTS_AHEAD = 32
LARGE_ANSWER_CLIENTS = 24
BODY_CLIENTS = 24
BODY_BYTES = 500_000
HEAD_CLIENTS = 200
HEAD_FIELDS = 60
FIELD = "X-Filler-{}: " + "f" * 110
PIECE_CLIENTS = 200
PIECES = 400_000
PIECE = b"1\r\nx\r\n"
PIECES_PER_SEND = 10_000
MANY_DESCRIPTORS = 1_638
"""Descriptors of the machines with the least memory."""

MANY_CLIENTS = 710
MANY_FIELDS = [f"X-Filler-{number}: " + "f" * 40 for number in range(110)]
FEW_AHEAD = 6
MIDDLE_ANSWER_BYTES = 65_000
SLOW_READERS = 60
SLOW_BYTES_PER_SECOND = 250_000.0
FEW_DESCRIPTORS = 400
SILENT_CLIENTS = 450
PARTIAL_HEAD = b"GET /readyz HTTP/1.1\r\nHost: x"
HEAD_END = b"\r\n\r\n"
PEER_CLIENTS = 24
PEER_ANSWERS_AHEAD = 200
PEER_BODY_BYTES = 500_000


async def test_answers_that_wait_behind_unread_ones_stay_within_the_memory() -> None:
    """Guards against large answers to requests sent ahead that pile up in one connection."""
    async with crowded_world() as crowd:
        requests = [head("/crowd/x") for _ in range(REQUESTS_AHEAD)]
        await crowd.join(LARGE_ANSWER_CLIENTS, [b"".join(requests)])
        await ordinary_calls(crowd.world)


async def test_bodies_sent_ahead_stay_within_the_memory() -> None:
    """Guards against bodies of requests whose turn has not come, which no account counts."""
    worker = LargeWorker(hold=asyncio.Event())
    async with crowded_world(worker) as crowd:
        body = b"b" * BODY_BYTES
        parts = [head("/crowd/x")]
        for _ in range(REQUESTS_AHEAD):
            parts += [head("/crowd/x", length=BODY_BYTES), body]
        await crowd.join(BODY_CLIENTS, parts)
        await ordinary_calls(crowd.world)


async def test_heads_sent_ahead_stay_within_the_memory() -> None:
    """Guards against parsed heads of requests whose turn has not come."""
    worker = LargeWorker(hold=asyncio.Event())
    async with crowded_world(worker) as crowd:
        fields = [FIELD.format(number) for number in range(HEAD_FIELDS)]
        await crowd.join(HEAD_CLIENTS, [head("/crowd/x", *fields)] * (1 + REQUESTS_AHEAD))
        await ordinary_calls(crowd.world)


async def test_bodies_in_pieces_of_a_byte_stay_within_the_memory() -> None:
    """Guards against pieces that cost many times their bytes, and stop the event loop."""
    async with crowded_world(LargeWorker(hold=asyncio.Event())) as crowd:
        parts = [head("/crowd/x", "Transfer-Encoding: chunked")]
        parts += [PIECE * PIECES_PER_SEND] * (PIECES // PIECES_PER_SEND)
        await crowd.join(PIECE_CLIENTS, parts)
        assert await ordinary_calls(crowd.world, 1) == [200]


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunks"])
async def test_slow_steady_readers_of_large_answers_stay_within_the_memory(chunked: bool) -> None:
    """Guards against whole answers of callers that read now and then, whose sum had no bound."""
    async with crowded_world(LargeWorker(answer_bytes=MAX_BODY_BYTES, chunked=chunked)) as crowd:
        await crowd.join_readers(SLOW_READERS, head("/crowd/x"), SLOW_BYTES_PER_SECOND)
        await ordinary_calls(crowd.world)


@pytest.mark.parametrize("listener", ["peers", "readiness"])
async def test_silent_clients_of_other_listeners_leave_descriptors_to_callers(
    listener: str,
) -> None:
    """Guards against connections to peers' and readiness addresses that nothing bounds."""
    async with crowded_world(descriptors=FEW_DESCRIPTORS) as crowd:
        world = crowd.world
        address = world.peer_address if listener == "peers" else world.readiness_address
        await crowd.join(SILENT_CLIENTS, [PARTIAL_HEAD], address)
        assert await ordinary_calls(world, 1) == [200]
        assert await exchange(world.readiness_address, PARTIAL_HEAD + HEAD_END, HANG_SECONDS) == 200


async def test_requests_sent_ahead_to_the_address_of_peers_stay_within_the_memory() -> None:
    """Guards against bodies behind unread answers of the metrics, which no account counts."""
    async with crowded_world() as crowd:
        body = b"b" * PEER_BODY_BYTES
        metrics = head("/metrics", method="GET") * PEER_ANSWERS_AHEAD
        bodies = [head("/nothing", length=len(body)), body] * REQUESTS_AHEAD
        await crowd.join(PEER_CLIENTS, [metrics, *bodies], crowd.world.peer_address)
        await ordinary_calls(crowd.world)


async def test_many_unread_answers_of_middle_size_stay_within_the_memory() -> None:
    """Guards against answers that are kept several times while their callers do not read."""
    worker = LargeWorker(answer_bytes=MIDDLE_ANSWER_BYTES)
    async with crowded_world(worker, MANY_DESCRIPTORS) as crowd:
        await crowd.join(MANY_CLIENTS, [head("/crowd/x")] * FEW_AHEAD)
        await ordinary_calls(crowd.world)


async def test_many_heads_of_many_fields_stay_within_the_memory() -> None:
    """Guards against fields that take many times their bytes while their calls wait."""
    worker = LargeWorker(hold=asyncio.Event())
    async with crowded_world(worker, MANY_DESCRIPTORS) as crowd:
        await crowd.join(MANY_CLIENTS, [head("/crowd/x", *MANY_FIELDS)] * FEW_AHEAD)
        await ordinary_calls(crowd.world)
