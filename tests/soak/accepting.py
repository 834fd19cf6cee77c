"""Floods nodes with idle or partial connections and checks that ready nodes still accept."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from node_world import HOST, KEY

from soak.disturbances import MACHINE
from soak.ledger import Ledger

FLOOD_CONNECTIONS = 700
"""Connections of one flood: more than a soak node's file descriptor limit."""

FLOOD_PAUSE_SECONDS = 0.001
PROBE_PAUSE_SECONDS = 0.25
PROBE_SECONDS = 1.0

_HEAD = f"POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\nX-Corkcrank-Credential: {KEY}\r\n"
_UNKNOWN = f"GET /no-such-route HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
FLOOD_PAYLOADS = (
    b"",
    _HEAD.encode(),
    f"{_HEAD}X-Corkcrank-Attempt-Id: f100d\r\nContent-Length: 900\r\n\r\nhalf".encode(),
    _UNKNOWN,
)
"""Bytes a flood connection sends: nothing, a partial head, a partial body, a whole request."""


async def flood(address: str, kind: int, seconds: float) -> None:
    """Open connections to a node and close them all after the given seconds."""
    host, port = address.rsplit(":", 1)
    end_at = time.monotonic() + seconds
    writers: list[asyncio.StreamWriter] = []
    try:
        while len(writers) < FLOOD_CONNECTIONS and time.monotonic() < end_at:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + PROBE_SECONDS):
                _, writer = await asyncio.open_connection(host, int(port))
            writer.write(FLOOD_PAYLOADS[kind])
            writers.append(writer)
            await asyncio.sleep(FLOOD_PAUSE_SECONDS)
        await asyncio.sleep(max(0.0, end_at - time.monotonic()))
    except (OSError, TimeoutError):
        pass  # The node is down or refuses connections; AcceptWatch checks for that.
    finally:
        for writer in writers:
            writer.transport.abort()


@dataclass(slots=True)
class AcceptWatch:
    """Prober that opens new connections to a node and records a violation if none is accepted.

    ``ready`` returns whether the node's last readiness check succeeded.
    """

    name: str
    address: str
    ledger: Ledger
    ready: Callable[[], bool]
    idle_since: float = 0.0
    """Start of the current period without an accepted connection while ready and undisturbed."""

    probes: int = 0
    longest: float = 0.0
    """Longest such period, in seconds."""

    async def watch(self) -> None:
        """Probe the node until cancelled."""
        self.idle_since = time.monotonic()
        while True:
            begun_at = time.monotonic()
            taken = await _receives_response(self.address)
            self.probes += 1
            self.record_attempt(taken, begun_at, time.monotonic())
            await asyncio.sleep(PROBE_PAUSE_SECONDS)

    def record_attempt(self, taken: bool, begun_at: float, now: float) -> None:
        """Record whether a connection attempt that started at ``begun_at`` was accepted."""
        disturbances = self.ledger.disturbances
        disturbed = any(
            disturbances.disturbed_since(part, begun_at) for part in (self.name, MACHINE)
        )
        excused = disturbed or not self.ready()
        if taken or excused:
            self.idle_since = now
            return
        idle = now - self.idle_since
        self.longest = max(self.longest, idle)
        if idle > self.ledger.bounds.contact + self.ledger.loop_lag:
            self.ledger.violate("accepts", f"{self.name} is ready and took none for {idle:.1f} s")
            self.idle_since = now


async def _receives_response(address: str) -> bool:
    """Return whether a request on a new connection receives a response in time."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(PROBE_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(_UNKNOWN)
            return bool(await reader.readline())
    except (OSError, TimeoutError):
        return False
    finally:
        if writer is not None:
            writer.transport.abort()
