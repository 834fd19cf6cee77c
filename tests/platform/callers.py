"""Test fixture: a caller on a raw connection that can be closed in any way, at any step."""

import asyncio
import socket
import struct
import time
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass

from node_world import HOST, KEY, World, call_id, until
from platform_standins import StandinStageWorker, StandinWorker

LEAVE_SECONDS = 0.5
"""Maximum time from a caller's disconnect until no work is done for it."""

Served = dict[str, tuple[StandinWorker | StandinStageWorker, str]]


@dataclass
class Caller:
    """One caller's connection; ``left_at`` is the time at which it was closed."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    left_at: float = 0.0

    def send(self, path: str, headers: Mapping[str, str] | None = None, body: bytes = b"") -> None:
        """Send a request; ``headers`` may declare a longer body than is sent."""
        self.writer.write(request_bytes(path, headers, body))

    def leave(self, how: str = "close") -> None:
        """Close the connection: ``close``, ``reset`` or only its ``write-side``."""
        self.left_at = time.monotonic()
        if how == "write-side":
            self.writer.write_eof()
            return
        if how == "reset":
            linger = struct.pack("ii", 1, 0)
            connection = self.writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self.writer.transport.abort()
            return
        self.writer.close()

    async def half_a_second_later(self) -> None:
        """Wait until the time limit for ending work for this caller has passed."""
        await until(lambda: time.monotonic() >= self.left_at + LEAVE_SECONDS)


def request_bytes(path: str, headers: Mapping[str, str] | None = None, body: bytes = b"") -> bytes:
    """Return a request like a client's, with an attempt id, a key and a deadline."""
    fields = {
        "Host": HOST,
        "X-Corkcrank-Attempt-Id": call_id(),
        "X-Corkcrank-Deadline-Ms": "4000",
        "X-Corkcrank-Credential": KEY,
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    lines = [f"POST {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode() + body


@asynccontextmanager
async def caller_of(running: World, number: int = 0) -> AsyncIterator[Caller]:
    """Connect to a gateway."""
    host, port = running.address(number).rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    caller = Caller(reader, writer)
    try:
        yield caller
    finally:
        writer.transport.abort()


def send_and_close_unread(address: str, data: bytes) -> None:
    """Connect, send and close before the event loop of this process, with its server, runs."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(data)


async def accepted_callers(running: World, count: int) -> list[socket.socket]:
    """Return connections that the gateway has accepted; it does not read ones closed earlier."""
    host, port = running.address().rsplit(":", 1)
    server = running.nodes[0].callers
    before = len(server.connections())
    callers = [socket.create_connection((host, int(port))) for _ in range(count)]
    await until(lambda: len(server.connections()) == before + count)
    return callers


def send_and_leave_unread(callers: list[socket.socket], data: Callable[[], bytes]) -> None:
    """Send and close on accepted connections before the event loop of this process runs."""
    for caller in callers:
        caller.sendall(data())
        caller.close()


def requests_seen(served: Served) -> int:
    """Return how many requests the workers have started."""
    return sum(
        len(worker.seen) if isinstance(worker, StandinWorker) else len(worker.calls)
        for worker, _ in served.values()
    )


def results_held(served: Served) -> int:
    """Return how many results stage workers hold."""
    return sum(
        len(worker.held) for worker, _ in served.values() if isinstance(worker, StandinStageWorker)
    )


async def ends_in_time(running: World) -> None:
    """Wait until no gateway has a call or a waiting piece, for ``LEAVE_SECONDS`` at most."""

    def idle() -> bool:
        queues = [queue for node in running.nodes for _, queue in node.stage_owner.queues()]
        busy = any(node.callers.in_flight for node in running.nodes)
        return not busy and not any(queue.waiting for queue in queues)

    await until(idle, seconds=LEAVE_SECONDS)
