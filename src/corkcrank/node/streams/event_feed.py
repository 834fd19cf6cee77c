"""Reads an engine's answer event by event; bytes that bring no event on count as silence."""

import asyncio
from collections.abc import Awaitable, Callable

from corkcrank.contracts import clock
from corkcrank.links.received_bytes import ReceivedMessage
from corkcrank.node.streams.events import EventReader, StreamEvent
from corkcrank.node.streams.upstream_buffer import UpstreamBuffer
from corkcrank.scheduling.worker_choice import WorkerStatistics

MAX_HELD_BYTES = 4_096
"""Maximum number of bytes of comments that are held back until the next event."""

MAX_BURST_BYTES = 65_536
"""Number of bytes of comments that are read without a pause between two events."""

COMMENT_BYTES_PER_SECOND = 65_536
"""Rate at which an engine's bytes are read while it sends more comments than that."""

CommentWriter = Callable[[bytes], Awaitable[None]]
"""Passes comments on to the caller."""


class EventFeed:
    """The events of one engine's answer.

    Comments and hints to the reader are passed on in their places. While ``hold`` returns true,
    up to ``MAX_HELD_BYTES`` of them are held back until the next event. ``heard_at`` is the time of
    the last bytes, which is also recorded in the engine's statistics.
    """

    def __init__(
        self,
        waiting: UpstreamBuffer,
        kept: ReceivedMessage,
        statistics: WorkerStatistics,
        write: CommentWriter,
        hold: Callable[[], bool],
    ) -> None:
        self._waiting = waiting
        self._kept = kept
        self._statistics = statistics
        self._write = write
        self._hold = hold
        self._reader = EventReader()
        self._held = bytearray()
        self._comment_bytes = 0
        self.heard_at = clock.now()

    @property
    def remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._reader.remainder

    def take_held(self) -> bytes:
        """Return the comments that were held back, once."""
        held, self._held = bytes(self._held), bytearray()
        return held

    async def read(self) -> list[StreamEvent] | None:
        """Return the next events, nothing once an event has begun, ``None`` at the body's end.

        Further parts of an event that has begun are no progress until it is complete.
        """
        while piece := await self._waiting.read():
            self.heard_at = self._statistics.heard_at = clock.now()
            begun = self._reader.event_begun
            blocks = self._reader.feed(piece)
            self._kept.set(self._reader.kept_bytes)
            if any(block.dispatched for block in blocks):
                self._comment_bytes = 0
                return blocks
            comments = b"".join(block.data for block in blocks)
            await self._pass_on(comments)
            if not begun and self._reader.event_begun:
                return []
            await self._read_slowly(len(comments))
        return None

    async def _pass_on(self, comments: bytes) -> None:
        self._held += comments
        if self._held and (len(self._held) > MAX_HELD_BYTES or not self._hold()):
            await self._write(self.take_held())

    async def _read_slowly(self, count: int) -> None:
        """Count bytes of comments; wait while they are more than a burst.

        Incomplete events and comments are bounded by their own limit.
        """
        self._comment_bytes += count
        if self._comment_bytes > MAX_BURST_BYTES:
            await asyncio.sleep(count / COMMENT_BYTES_PER_SECOND)
