"""One engine's part of a streamed answer: what was read of it, and whether it is whole.

A stream is numbered, so what an engine sends shows where it begins and that nothing is missing
between two events. Nothing numbers its end: a body that ends properly is the end of the stream
only where the engine answered with success and stopped behind a whole event.
"""

from dataclasses import dataclass
from enum import StrEnum

import aiohttp

from corkcrank.node.streams.events import StreamEvent
from corkcrank.scheduling.crash_reports import EARLY_RUN_SECONDS

FIRST_EVENT_IDS = (0, 1)
"""Ids that the first event of a stream may have: 1 in each of 173 streams of five engines'
models that were looked at, 0 where an engine counts from nought."""

SUCCESS = range(200, 300)
"""Statuses of an answer whose body is a stream."""


class Framing(StrEnum):
    """What marks the end of an answer's body on its connection."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


def framing_of(response: aiohttp.ClientResponse) -> Framing:
    """Return what marks the end of a body (RFC 9112, 6.3)."""
    if "Transfer-Encoding" in response.headers:
        return Framing.CHUNKS
    return Framing.LENGTH if "Content-Length" in response.headers else Framing.CONNECTION


@dataclass(slots=True)
class StreamPart:
    """What one engine sent of a stream.

    ``resume_after`` is the id of the event after which the engine was asked to begin, empty
    for a stream from its beginning; ``more_begun`` says that another engine showed that an event
    follows that one. ``first_event`` and ``last_event`` are the ids of events that were passed
    on, ``leftover`` the bytes behind the last whole event; ``skipped`` says that an event was
    missing before one that came, ``silent`` that the engine was given up for its silence.
    ``begun_at`` is when its first event came.
    """

    status: int
    framing: Framing
    resume_after: str = ""
    more_begun: bool = False
    events: int = 0
    first_event: int | None = None
    last_event: int | None = None
    leftover: bytes = b""
    skipped: bool = False
    silent: bool = False
    begun_at: float | None = None

    @property
    def succeeded(self) -> bool:
        """Return whether the body is a stream at all, and not a failure's."""
        return self.status in SUCCESS

    def take(self, event: StreamEvent) -> bool:
        """Count an event that goes on where the last one ended; return whether it does."""
        if not event.dispatched:
            return True
        if event.event_id is None or not self._is_next(event.event_id):
            self.skipped = (event.event_id or 0) > (self._position or 0)
            return False
        self.events += 1
        if self.first_event is None:
            self.first_event = event.event_id
        self.last_event = event.event_id
        return True

    def note_event(self, now: float) -> None:
        """Note when the first event came."""
        if self.begun_at is None:
            self.begun_at = now

    def progressed(self, now: float) -> bool:
        """Return whether the engine had been at work for longer than a request that crashes it."""
        return self.begun_at is not None and now - self.begun_at > EARLY_RUN_SECONDS

    def whole_at_end(self) -> bool:
        r"""Return whether a body that has ended properly was the end of the stream.

        Engines end a failure as properly as a stream, and some end in the middle of an event.

        >>> StreamPart(200, Framing.CHUNKS, events=3).whole_at_end()
        True
        >>> StreamPart(200, Framing.CHUNKS, events=3, leftover=b"id: 4\n").whole_at_end()
        False
        >>> StreamPart(500, Framing.LENGTH, resume_after="3").whole_at_end()
        False
        """
        if not self.succeeded or self.leftover.strip():
            return False
        return self.events > 0 or (bool(self.resume_after) and not self.more_begun)

    def shows_more(self) -> bool:
        r"""Return whether an event is known to follow the last one that was passed on.

        Without this, an engine with nothing to add ended a stream as complete although the one
        before it had broken off within the next event.

        >>> StreamPart(200, Framing.CHUNKS, events=3, leftover=b"id: 4\n").shows_more()
        True
        >>> StreamPart(200, Framing.CHUNKS, events=3, leftover=b": still here").shows_more()
        False
        """
        if self.skipped:
            return True
        begun = self.leftover.strip()
        if begun and not begun.startswith(b":"):
            return True
        return self.more_begun and self.events == 0

    @property
    def _position(self) -> int | None:
        """Return the id of the last event that the caller has, if it is a number."""
        if self.last_event is not None:
            return self.last_event
        return int(self.resume_after) if self.resume_after.isdecimal() else None

    def _is_next(self, event_id: int) -> bool:
        if self._position is not None:
            return event_id == self._position + 1
        # Where a caller names an event in a way of its own, any beginning may be right.
        return bool(self.resume_after) or event_id in FIRST_EVENT_IDS
