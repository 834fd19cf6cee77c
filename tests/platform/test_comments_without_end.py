"""Bytes of an engine that bring no event on count as silence, and are read slowly.

Guards against an engine that sent comments until the deadline: its caller waited for all of its
time, no other engine was asked, and the gateway read as fast as the wire.
"""

import asyncio
import contextlib
import itertools
from collections import deque
from collections.abc import Callable, Iterator

import pytest
from aiohttp import web
from node_world import until
from test_silent_engines import SlowEngine
from test_stream_failover import (
    EVENTS,
    SILENCE_SECONDS,
    engines_by_use,
    failover_world,
    short_silences,
    stand_still,
)

from corkcrank.contracts import clock
from corkcrank.node.streams import event_feed
from corkcrank.node.streams.upstream_buffer import READ_BYTES, UpstreamBuffer

__all__ = ["short_silences"]

COMMENT = b": still here\n\n"
FLOOD = COMMENT * 4_000
DRIP_SECONDS = SILENCE_SECONDS / 10
IN_TIME_SECONDS = 10 * SILENCE_SECONDS
"""Time in which a stream goes on elsewhere; its deadline is 20 s."""


def parts_of_an_event(number: int) -> Iterator[bytes]:
    """Return the parts of an event that is never complete."""
    yield b"id: %d\ndata: " % number
    yield from itertools.repeat(b"e")


IDLE: dict[str, Callable[[int], Iterator[bytes]]] = {
    "comments": lambda number: itertools.repeat(COMMENT),
    "comments as fast as they are read": lambda number: itertools.repeat(FLOOD),
    "one comment": lambda number: itertools.chain([b":"], itertools.repeat(b"x")),
    "hints": lambda number: itertools.repeat(b"retry: 100\n\n"),
    "halves of hints": lambda number: itertools.cycle([b"ret", b"ry: 100\n\n"]),
    "empty lines": lambda number: itertools.repeat(b"\n"),
    "parts of an event": parts_of_an_event,
}


class IdleEngine(SlowEngine):
    """An engine that sends some events and then, until it is signalled, bytes without one."""

    idle: Callable[[int], Iterator[bytes]]
    sent = 0

    async def _answer(self, request: web.BaseRequest, fault: str) -> web.StreamResponse:
        if not fault.startswith("idle-after-"):
            return await super()._answer(request, fault)
        assert self.hold is not None
        last = int(fault.rsplit("-", 1)[1])
        response = web.StreamResponse(headers=self._head(request, ""))
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(1, last + 1):
            await response.write(b"id: %d\ndata: e\n\n" % number)
        await self._send_idle(response, last + 1)
        for number in range(last + 1, EVENTS + 1):
            await response.write(b"id: %d\ndata: e\n\n" % number)
        await response.write_eof()
        return response

    async def _send_idle(self, response: web.StreamResponse, number: int) -> None:
        assert self.hold is not None
        for piece in self.idle(number):
            if self.hold.is_set():
                return
            await response.write(piece)
            self.sent += len(piece)
            if len(piece) < len(FLOOD):
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.hold.wait(), DRIP_SECONDS)


@pytest.mark.parametrize("after", [0, 2])
@pytest.mark.parametrize("idle", IDLE.values(), ids=IDLE.keys())
async def test_a_stream_without_events_is_continued_by_another_engine(
    idle: Callable[[int], Iterator[bytes]], after: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(IdleEngine, "idle", staticmethod(idle), raising=False)
    async with failover_world(f"idle-after-{after}", engine_type=IdleEngine) as failover:
        begun = clock.now()
        stream = asyncio.create_task(failover.read_events("/talk/x"))
        _, other = await engines_by_use(failover)
        other.hold = None
        done, _ = await asyncio.wait({stream}, timeout=IN_TIME_SECONDS)
        assert done, "the stream stayed at an engine without events"
        assert await stream == (EVENTS, True)
        assert clock.now() - begun < IN_TIME_SECONDS
        assert failover.requests == 2


@pytest.mark.parametrize("after", [0, 2])
async def test_a_stream_stays_at_an_engine_that_sends_comments_while_no_other_continues_it(
    after: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(IdleEngine, "idle", staticmethod(IDLE["comments"]), raising=False)
    async with failover_world(f"idle-after-{after}", engine_type=IdleEngine) as failover:
        stream = asyncio.create_task(failover.read_events("/talk/x"))
        _, other = await engines_by_use(failover)
        stand_still(failover, other)
        await asyncio.wait({stream}, timeout=4 * SILENCE_SECONDS)
        assert not stream.done()
        failover.hold.set()
        assert await stream == (EVENTS, True)
        assert failover.requests == 1


@pytest.mark.parametrize("after", [0, 2])
async def test_comments_of_a_sound_engine_reach_the_caller_in_their_places(
    after: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(IdleEngine, "idle", lambda self, number: iter([COMMENT] * 5), raising=False)
    async with failover_world(f"idle-after-{after}", engine_type=IdleEngine) as failover:
        response = await failover.running.call("/talk/x")
        events = [b"id: %d\ndata: e\n\n" % number for number in range(1, EVENTS + 1)]
        assert await response.read() == b"".join([*events[:after], COMMENT * 5, *events[after:]])
        assert failover.requests == 1


async def test_comments_without_end_are_read_at_a_bounded_rate(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        IdleEngine, "idle", staticmethod(IDLE["comments as fast as they are read"]), raising=False
    )
    read, pieces = UpstreamBuffer.read, deque[int]()

    async def count(self: UpstreamBuffer) -> bytes:
        piece = await read(self)
        pieces.append(len(piece))
        return piece

    monkeypatch.setattr(UpstreamBuffer, "read", count)
    async with failover_world("idle-after-2", engine_type=IdleEngine) as failover:
        stream = asyncio.create_task(failover.read_events("/talk/x"))
        _, other = await engines_by_use(failover)
        stand_still(failover, other)
        begun = clock.now()
        await until(lambda: clock.now() - begun > 3 * SILENCE_SECONDS)
        seconds = clock.now() - begun
        paced_bytes = event_feed.COMMENT_BYTES_PER_SECOND * seconds
        assert sum(pieces) > event_feed.MAX_BURST_BYTES
        assert sum(pieces) < event_feed.MAX_BURST_BYTES + paced_bytes + 3 * READ_BYTES
        stream.cancel()
