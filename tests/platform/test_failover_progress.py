"""Bytes of a silent engine that are no progress of its answer do not end the search."""

import asyncio
from functools import cached_property

import pytest
from aiohttp import web
from node_world import until
from test_silent_engines import SlowEngine
from test_stream_failover import (
    EVENTS,
    EVENTS_BEFORE_SILENCE,
    SILENCE_SECONDS,
    engines_by_use,
    failover_world,
    short_silences,
)

__all__ = ["short_silences"]

STOPS = "stops"
COMMENT = ": still here\n\n"
COMMENTS = {
    "a comment": COMMENT.encode(),
    "a part of a comment": COMMENT[:5].encode(),
    "a hint to the reader": b"retry: 100\n\n",
}


class CommentingEngine(SlowEngine):
    """An engine that stops after some events, and sends one more piece once it is signalled."""

    piece = b""

    async def _answer(self, request: web.BaseRequest, fault: str) -> web.StreamResponse:
        if fault != STOPS:
            return await super()._answer(request, fault)
        response = web.StreamResponse(headers=self._head(request, ""))
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(1, EVENTS_BEFORE_SILENCE + 1):
            await response.write(b"id: %d\ndata: e\n\n" % number)
        await self.signal.wait()
        await response.write(self.piece)
        await asyncio.Event().wait()
        return response

    @cached_property
    def signal(self) -> asyncio.Event:
        """Return the event after which the piece is sent."""
        return asyncio.Event()


async def closed_beside(piece: bytes) -> int:
    """Let a silent engine send a piece while another one has the call; return whether it closed.

    The other engine then continues the stream.
    """
    async with failover_world(STOPS, engine_type=CommentingEngine) as failover:
        failover.hold.set()
        stream = asyncio.create_task(failover.read_events("/talk/x"))
        silent, other = await engines_by_use(failover)
        assert isinstance(silent, CommentingEngine)
        silent.piece, other.hold = piece, asyncio.Event()
        await until(lambda: failover.requests == 2)
        silent.signal.set()
        await asyncio.sleep(SILENCE_SECONDS / 2)
        closed = other.left
        other.hold.set()
        assert await stream == (EVENTS, True)
        return closed


@pytest.mark.parametrize("piece", COMMENTS.values(), ids=COMMENTS.keys())
async def test_a_comment_of_a_silent_engine_does_not_end_the_search(piece: bytes) -> None:
    assert await closed_beside(piece) == 0


async def test_a_part_of_an_event_of_a_silent_engine_ends_the_search() -> None:
    assert await closed_beside(b"id: %d\nda" % (EVENTS_BEFORE_SILENCE + 1)) == 1
