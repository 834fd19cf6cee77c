"""The resident memory of a gateway stays within its limit, whatever its workers send.

Guards against messages that were dropped, and no longer counted, but not freed: the body of the
response held the error, its traceback the reader, and the reader the pieces, until the next garbage
collection. Thirty workers took a gateway to 0.9 of its memory limit within a second.
"""

import asyncio
import gc
import tracemalloc
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import aiohttp
import pytest
from endless_answers import PIECE, Endless, EndlessPeer
from node_world import route, until
from process_world import ProcessWorld, exchange, process_world, request_bytes

from corkcrank.contracts.memory import BYTES_PER_MB
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.platform_ports import StoreTable
from corkcrank.links.received_bytes import received_bound_bytes
from corkcrank.links.silence import ignore_silence
from corkcrank.node.peers.peer_client import PeerClient
from corkcrank.node.workers.worker_client import WorkerClient
from corkcrank.node.workers.worker_request import SendFailure, WorkerRequest
from corkcrank.platform.store import PlatformStore

DESCRIPTORS = 1_024
WORKERS = 30
ROUNDS = 2
USED_SHARE = 0.6
"""Share of a gateway's memory limit that it may use while its workers are faulty."""

NEAR_BOUND = 0.95
"""Length of an answer that is just not dropped, as a share of the bound."""

SECONDS = 5.0
"""Time in which a call is answered; its deadline is 4 s."""

BROKEN_BYTES = 8 * BYTES_PER_MB
ROUTES = [
    route("safe", "safe", "plain"),
    route("repeated", "safe", "model", max_attempts=3),
    route("once", "unsafe", "model"),
]


@asynccontextmanager
async def bad_workers(memory_mb: float, ends_after: int = 0) -> AsyncIterator[ProcessWorld]:
    """Run a gateway in a process of its own, with a sound worker and many faulty ones."""
    others = [(EndlessPeer(Endless.CHUNKS, ends_after=ends_after), "model") for _ in range(WORKERS)]
    limits = {"memory_mb": memory_mb}
    async with process_world(DESCRIPTORS, limits=limits, routes=ROUTES, others=others) as running:
        yield running
        sent = [sum(peer.sent) for peer, _ in others]
        assert sum(sent) > received_bound_bytes(memory_mb)


async def call_bad_workers(running: ProcessWorld, path: str) -> list[int]:
    """Send a call for each faulty worker at once; return the statuses of sound calls beside."""
    sound: list[int] = []
    for _ in range(ROUNDS):
        request = request_bytes(close=True, path=path)
        calls = [exchange(running.caller_address, request, SECONDS) for _ in range(WORKERS)]
        bad = asyncio.gather(*calls)
        while not bad.done():
            sound.append(await running.call(SECONDS))
        assert 0 not in await bad
    return sound


@pytest.mark.parametrize("memory_mb", [160.0, 300.0])
@pytest.mark.parametrize("path", ["/repeated/x", "/once/x"])
async def test_answers_without_end_leave_a_gateway_within_its_memory(
    memory_mb: float, path: str
) -> None:
    async with bad_workers(memory_mb) as running:
        sound = await call_bad_workers(running, path)
        assert set(sound) == {200}
        assert running.peak_bytes < USED_SHARE * memory_mb * BYTES_PER_MB


@pytest.mark.parametrize("memory_mb", [160.0, 300.0])
async def test_answers_close_to_the_bound_leave_a_gateway_within_its_memory(
    memory_mb: float,
) -> None:
    """Guards against a complete answer that was kept three times until its caller had read it."""
    longest = int(received_bound_bytes(memory_mb) * NEAR_BOUND)
    async with bad_workers(memory_mb, ends_after=longest) as running:
        sound = await call_bad_workers(running, "/once/x")
        assert set(sound) == {200}
        assert running.peak_bytes < USED_SHARE * memory_mb * BYTES_PER_MB


Read = Callable[[str], Awaitable[object]]


async def read_plain(address: str) -> object:
    async with WorkerClient() as client:
        worker = WorkerRecord("w", "s", address, "z1")
        response = await client.send(WorkerRequest(worker, "GET", "/x", [], b"", 3.0))
        assert not isinstance(response, SendFailure)
        return await client.read_body(response, 3.0)


async def read_peer(address: str) -> object:
    peers = PeerClient(ignore_silence)
    try:
        return await peers.request(address, "/peer/x")
    finally:
        await peers.close()


async def read_store(address: str) -> object:
    async with aiohttp.ClientSession() as session:
        return await PlatformStore(session, address, 3.0).read(StoreTable.WORKERS)


READERS = {"plain": read_plain, "peer": read_peer, "store": read_store}


@pytest.mark.parametrize("read", READERS.values(), ids=READERS.keys())
async def test_pieces_of_a_broken_message_are_freed_without_a_collection(read: Read) -> None:
    peer = EndlessPeer(Endless.CHUNKS, breaks_after=BROKEN_BYTES - 2 * len(PIECE))
    await peer.server.start()
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        await read(peer.server.address)
        await until(lambda: not peer.open)
        left, most = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()
        await peer.server.stop()
    assert most > BROKEN_BYTES / 2
    assert left < BYTES_PER_MB
