"""Floods of connections that never end a request, and whether a ready node takes new ones."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from node_world import HOST, KEY

from soak.ledger import MACHINE, Ledger

FLOOD_CONNECTIONS = 700
"""Connections of one flood: more than the descriptors of a node in a soak."""

FLOOD_PAUSE_SECONDS = 0.001
PROBE_PAUSE_SECONDS = 0.25
PROBE_SECONDS = 1.0

_HEAD = f"POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\nX-Corkcrank-Credential: {KEY}\r\n"
_UNKNOWN = f"GET /no-such-route HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
FLOODS = (
    b"",
    _HEAD.encode(),
    f"{_HEAD}X-Corkcrank-Attempt-Id: f100d\r\nContent-Length: 900\r\n\r\nhalf".encode(),
    _UNKNOWN,
)
"""What a connection of a flood sends: nothing, half a head, half a body, one whole request."""


async def flood(address: str, kind: int, seconds: float) -> None:
    """Open connections to a node, keep them for some seconds in all, then close them."""
    host, port = address.rsplit(":", 1)
    end_at = time.monotonic() + seconds
    writers: list[asyncio.StreamWriter] = []
    try:
        while len(writers) < FLOOD_CONNECTIONS and time.monotonic() < end_at:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + PROBE_SECONDS):
                _, writer = await asyncio.open_connection(host, int(port))
            writer.write(FLOODS[kind])
            writers.append(writer)
            await asyncio.sleep(FLOOD_PAUSE_SECONDS)
        await asyncio.sleep(max(0.0, end_at - time.monotonic()))
    except (OSError, TimeoutError):
        pass  # The node is down, or takes none: the watch judges that.
    finally:
        for writer in writers:
            writer.transport.abort()


@dataclass(slots=True)
class AcceptWatch:
    """Tries one new connection after the other at a node, and judges what comes of it.

    ``ready`` tells whether the node said that it is ready when it was last asked.
    """

    name: str
    address: str
    ledger: Ledger
    ready: Callable[[], bool]
    idle_since: float = 0.0
    """Since when the node has been ready and undisturbed without taking a connection."""

    probes: int = 0
    longest: float = 0.0
    """Longest such time, in seconds."""

    async def watch(self) -> None:
        """Try for ever."""
        self.idle_since = time.monotonic()
        while True:
            begun_at = time.monotonic()
            taken = await _answered(self.address)
            self.probes += 1
            self.judge(taken, begun_at, time.monotonic())
            await asyncio.sleep(PROBE_PAUSE_SECONDS)

    def judge(self, taken: bool, begun_at: float, now: float) -> None:
        """Take whether a connection that was begun at a moment was taken."""
        disturbances = self.ledger.disturbances
        disturbed = any(disturbances.since(part, begun_at) for part in (self.name, MACHINE))
        excused = disturbed or not self.ready()
        if taken or excused:
            self.idle_since = now
            return
        idle = now - self.idle_since
        self.longest = max(self.longest, idle)
        if idle > self.ledger.bounds.contact + self.ledger.loop_lag:
            self.ledger.violate("accepts", f"{self.name} is ready and took none for {idle:.1f} s")
            self.idle_since = now


async def _answered(address: str) -> bool:
    """Return whether a request on a new connection is answered in time."""
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
