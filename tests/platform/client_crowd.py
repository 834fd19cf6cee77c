"""A crowd of clients that nobody controls, in front of a gateway in a process of its own.

A client sends as much as the gateway takes, reads nothing, and stays until the crowd leaves.
"""

import asyncio
import socket
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from node_world import HOST, KEY, call_id, route
from platform_standins import StandinWorker
from process_world import NAME, ProcessWorld, exchange, process_world

from corkcrank.contracts.memory import BYTES_PER_MB

MEMORY_MB = 160
"""Memory of the smallest machines, in MiB. The platform kills a process that exceeds it."""

DESCRIPTORS = 1_024
MAX_BODY_BYTES = 4 * BYTES_PER_MB
ANSWER_BYTES = BYTES_PER_MB
RECEIVE_BUFFER_BYTES = 4_096
READER_BUFFER_BYTES = 16_384
READ_BYTES = 8_192
HANG_SECONDS = 60.0
"""Time after which an ordinary call counts as never answered."""

ORDINARY_CALLS = 100
"""Calls of an ordinary client beside the crowd, one after the other."""

LONG_DEADLINE_MS = 50_000


@dataclass
class LargeWorker(StandinWorker):
    """A worker whose answers have ``answer_bytes``, in chunks if they have no length.

    It answers once ``hold`` is set.
    """

    answer_bytes: int = ANSWER_BYTES
    chunked: bool = False

    async def _answer(self, request: Any, fault: str) -> Any:
        response = await super()._answer(request, fault)
        response.body = b"r" * self.answer_bytes
        if self.chunked:
            response.enable_chunked_encoding()
        return response

    def entry(self, service: str, zone: str = "z1", state: str = "ready") -> dict[str, Any]:
        return {**super().entry(service, zone, state), "slots": 1_000}


def head(
    path: str, *fields: str, method: str = "POST", length: int = 0, deadline_ms: int = 20_000
) -> bytes:
    """Return the head of a proper request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Corkcrank-Attempt-Id: {call_id()}",
        f"X-Corkcrank-Credential: {KEY}",
        f"X-Corkcrank-Deadline-Ms: {deadline_ms}",
        *fields,
    ]
    if not any(one.startswith("Transfer-Encoding") for one in fields):
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


@dataclass
class StreamWorker(StandinWorker):
    """An engine with room for many streams."""

    def entry(self, service: str, zone: str = "z1", state: str = "ready") -> dict[str, Any]:
        return {**super().entry(service, zone, state), "slots": 1_000}


@dataclass
class Crowd:
    """The clients' connections and the tasks that send on them."""

    world: ProcessWorld
    connections: list[socket.socket] = field(default_factory=list)
    sending: list[asyncio.Task[None]] = field(default_factory=list)

    async def join(self, count: int, parts: Sequence[bytes], address: str = "") -> None:
        """Connect ``count`` clients; each sends all parts, as fast as they are taken."""
        for _ in range(count):
            connection = await connect_unreading(address or self.world.caller_address)
            self.connections.append(connection)
            self.sending.append(asyncio.create_task(_send(connection, parts)))

    async def join_readers(self, count: int, request: bytes, bytes_per_second: float) -> None:
        """Connect ``count`` clients that read one answer slowly but steadily.

        Each sends its request once the answer to the one before has begun.
        """
        loop = asyncio.get_running_loop()
        for _ in range(count):
            connection = await connect_unreading(self.world.caller_address, READER_BUFFER_BYTES)
            self.connections.append(connection)
            await loop.sock_sendall(connection, request)
            await loop.sock_recv(connection, READ_BYTES)
            reading = _read_steadily(connection, bytes_per_second)
            self.sending.append(asyncio.create_task(reading))

    async def leave(self) -> None:
        for task in self.sending:
            task.cancel()
        await asyncio.gather(*self.sending, return_exceptions=True)
        for connection in self.connections:
            connection.close()
        self.connections.clear()
        self.sending.clear()


async def connect_unreading(
    address: str, buffer_bytes: int = RECEIVE_BUFFER_BYTES
) -> socket.socket:
    """Return a new connection with a small receive buffer."""
    host, port = address.rsplit(":", 1)
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
    return connection


async def _read_steadily(connection: socket.socket, rate: float) -> None:
    loop = asyncio.get_running_loop()
    try:
        while piece := await loop.sock_recv(connection, READ_BYTES):
            await asyncio.sleep(len(piece) / rate)
    except OSError:
        return


async def _send(connection: socket.socket, parts: Sequence[bytes]) -> None:
    loop = asyncio.get_running_loop()
    for part in parts:
        try:
            await loop.sock_sendall(connection, part)
        except OSError:
            return


async def ordinary_call(world: ProcessWorld) -> int:
    """Return the status of an ordinary call on a new connection, 0 if none comes."""
    data = head("/safe/x", "Connection: close", deadline_ms=LONG_DEADLINE_MS)
    return await exchange(world.caller_address, data, HANG_SECONDS)


async def ordinary_calls(world: ProcessWorld, count: int = ORDINARY_CALLS) -> list[int]:
    """Return the statuses of ordinary calls, one after the other."""
    return [await ordinary_call(world) for _ in range(count)]


def open_descriptors(world: ProcessWorld) -> int:
    """Return how many descriptors the gateway holds open."""
    return len(list(Path(f"/proc/{world.group.processes[NAME].pid}/fd").iterdir()))


@asynccontextmanager
async def crowded_world(
    worker: StandinWorker | None = None, descriptors: int = DESCRIPTORS
) -> AsyncIterator[Crowd]:
    """Run a small gateway, with a worker for the crowd's calls to ``/crowd/`` and a sound one.

    At the end the crowd leaves; then the gateway must live, within its memory and descriptors, and
    an ordinary call must be answered.
    """
    routes = [
        route("safe", "safe", "plain", timeout_ms=LONG_DEADLINE_MS),
        route("crowd", "safe", "model", timeout_ms=LONG_DEADLINE_MS, max_attempts=1),
        route("once", "unsafe", "model", timeout_ms=LONG_DEADLINE_MS),
        route("talk", "stream", "model", timeout_ms=LONG_DEADLINE_MS, stream_resume=True),
    ]
    async with process_world(
        descriptors,
        limits={"memory_mb": MEMORY_MB},
        routes=routes,
        others=[(worker or LargeWorker(), "model")],
        body_bytes=MAX_BODY_BYTES,
    ) as world:
        crowd = Crowd(world)
        try:
            yield crowd
        finally:
            await crowd.leave()
        status = await ordinary_call(world)
        peak = world.peak_bytes // BYTES_PER_MB
        print(f"peak of {peak} MiB")
        assert world.group.processes[NAME].poll() is None
        assert peak < MEMORY_MB, f"peak of {peak} MiB"
        assert open_descriptors(world) < descriptors
        assert status == 200
