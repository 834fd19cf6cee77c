"""Reads an engine's answer in small pieces and measures the bytes that wait for the caller."""

from collections import deque

import aiohttp

READ_BYTES = 16_384
"""Maximum size of one read from an engine. It exceeds the size of an event, and is small enough to
be buffered for several hundred callers that do not read."""

RELAY_COPIES = 2
"""Copies of a piece while it is relayed: the bytes read, and the events to write."""


class UpstreamBuffer:
    """The received part of an engine's answer that is not written to the caller."""

    def __init__(self, upstream: aiohttp.ClientResponse) -> None:
        self._upstream = upstream
        self._read_bytes = 0
        self._piece_bytes = 0
        self._usual_high_water: int | None = None
        self._peeked: deque[bytes] = deque()

    async def peek(self) -> bytes:
        """Wait for further bytes and return them without consuming them."""
        piece = await self._read_upstream()
        self._peeked.append(piece)
        return piece

    async def read(self) -> bytes:
        """Return the next bytes, empty at the end of the body."""
        if self._peeked:
            return self._peeked.popleft()
        return await self._read_upstream()

    async def _read_upstream(self) -> bytes:
        if self._usual_high_water is not None:
            self._upstream.content._high_water = self._usual_high_water
            self._usual_high_water = None
        self._piece_bytes = 0
        piece = await self._upstream.content.read(READ_BYTES)
        self._piece_bytes = len(piece)
        self._read_bytes += len(piece)
        return piece

    def read_ahead(self, count: int) -> None:
        """Let the engine send about ``count`` bytes beyond the buffer's bound, until a read."""
        connection = self._upstream.connection
        if connection is None or connection.protocol is None:
            return
        content = self._upstream.content
        if self._usual_high_water is None:
            self._usual_high_water = content._high_water
        content._high_water = content._size + count
        connection.protocol.resume_reading()

    @property
    def kept_bytes(self) -> int:
        """Return the memory of the piece being relayed and of the bytes after it."""
        waiting = max(0, self._upstream.content.total_bytes - self._read_bytes)
        return waiting + RELAY_COPIES * self._piece_bytes

    @property
    def worker_waits(self) -> bool:
        """Return whether reading from the engine is paused because the buffer is full."""
        connection = self._upstream.connection
        protocol = connection.protocol if connection is not None else None
        return protocol is not None and protocol._reading_paused
