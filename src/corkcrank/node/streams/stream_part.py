"""State of one engine's part of a streamed answer: the events read, and whether it is complete.

Events are numbered, which shows where a part begins and whether an event is missing. The end of the
stream has no number. A properly terminated body is the end of the stream only if the engine
answered with a success status and stopped after a complete event.
"""

from dataclasses import dataclass
from enum import StrEnum

import aiohttp

from corkcrank.node.streams.events import StreamEvent
from corkcrank.scheduling.crash_reports import EARLY_RUN_SECONDS

FIRST_EVENT_IDS = (0, 1)
"""Valid ids of a stream's first event: engines count from 1 or from 0."""

SUCCESS_STATUSES = range(200, 300)
"""Status codes of an answer whose body is a stream."""


class Framing(StrEnum):
    """The delimiter of an answer's body on its connection."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


def body_framing(response: aiohttp.ClientResponse) -> Framing:
    """Return the delimiter of a response body (RFC 9112, 6.3)."""
    if "Transfer-Encoding" in response.headers:
        return Framing.CHUNKS
    return Framing.LENGTH if "Content-Length" in response.headers else Framing.CONNECTION


@dataclass(slots=True)
class StreamPart:
    """State of the events that one engine sent for a stream.

    ``resume_after`` is the id of the event after which the engine had to begin, empty for a stream
    from its beginning. ``next_event_begun`` is set if the part of an earlier engine showed that
    another event follows that one. ``first_event`` and ``last_event`` are the ids of relayed
    events; ``leftover`` holds the bytes after the last complete event. ``skipped`` is set if an
    event was missing before a received one, ``silent`` if the engine was abandoned because it sent
    nothing. ``first_event_at`` is the time of its first event. ``progress_recorded`` is set once
    the run has been recorded as progressed.
    """

    status: int
    framing: Framing
    resume_after: str = ""
    next_event_begun: bool = False
    events: int = 0
    first_event: int | None = None
    last_event: int | None = None
    leftover: bytes = b""
    skipped: bool = False
    silent: bool = False
    first_event_at: float | None = None
    progress_recorded: bool = False

    @property
    def succeeded(self) -> bool:
        """Return whether the status is a success, so that the body is a stream."""
        return self.status in SUCCESS_STATUSES

    def accept_event(self, event: StreamEvent) -> bool:
        """Return whether an event directly follows the last one, and count it if so."""
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

    def record_first_event(self, now: float) -> None:
        """Record the time of the first event."""
        if self.first_event_at is None:
            self.first_event_at = now

    def progressed(self, now: float) -> bool:
        """Return whether the engine ran for more than ``EARLY_RUN_SECONDS`` after its first event.

        A request that crashes its engine usually does so earlier.
        """
        return self.first_event_at is not None and now - self.first_event_at > EARLY_RUN_SECONDS

    def is_stream_end(self) -> bool:
        r"""Return whether a properly terminated body is the end of the stream.

        Engines also terminate the body of a failure properly, and some stop in the middle of an
        event.

        >>> StreamPart(200, Framing.CHUNKS, events=3).is_stream_end()
        True
        >>> StreamPart(200, Framing.CHUNKS, events=3, leftover=b"id: 4\n").is_stream_end()
        False
        >>> StreamPart(500, Framing.LENGTH, resume_after="3").is_stream_end()
        False
        """
        if not self.succeeded or self.leftover.strip():
            return False
        return self.events > 0 or (bool(self.resume_after) and not self.next_event_begun)

    def shows_next_event(self) -> bool:
        r"""Return whether an event is known to follow the last one that was relayed.

        Guards against an engine without further events that would end a stream as complete although
        the previous engine failed in the middle of the next event.

        >>> StreamPart(200, Framing.CHUNKS, events=3, leftover=b"id: 4\n").shows_next_event()
        True
        >>> StreamPart(200, Framing.CHUNKS, events=3, leftover=b": still here").shows_next_event()
        False
        """
        if self.skipped:
            return True
        begun = self.leftover.strip()
        if begun and not begun.startswith(b":"):
            return True
        return self.next_event_begun and self.events == 0

    @property
    def _position(self) -> int | None:
        """Return the id of the last event that the caller received, if it is a number."""
        if self.last_event is not None:
            return self.last_event
        return int(self.resume_after) if self.resume_after.isdecimal() else None

    def _is_next(self, event_id: int) -> bool:
        if self._position is not None:
            return event_id == self._position + 1
        # If the caller resumes after an id that is not a number, the next id is unknown, so any id
        # is accepted.
        return bool(self.resume_after) or event_id in FIRST_EVENT_IDS
