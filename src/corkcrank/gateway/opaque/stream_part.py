"""One engine's part of a streamed answer: what of it was read."""

from dataclasses import dataclass
from enum import StrEnum

import aiohttp

from corkcrank.gateway.opaque.events import StreamEvent


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
    for a stream from its beginning. ``first_event`` and ``last_event`` are the ids of events
    that were passed on, ``leftover`` the bytes behind the last whole event.
    """

    status: int
    framing: Framing
    resume_after: str
    events: int = 0
    first_event: int | None = None
    last_event: int | None = None
    leftover: bytes = b""

    def take(self, event: StreamEvent) -> None:
        """Count an event that is passed on."""
        self.events += 1
        if event.event_id is None:
            return
        if self.first_event is None:
            self.first_event = event.event_id
        self.last_event = event.event_id
