"""The body that a sound engine's caller gets is the engine's whole body, with all its comments."""

from collections.abc import Iterator

import pytest
import test_comments_without_end
from test_comments_without_end import COMMENT, IdleEngine
from test_stream_failover import EVENTS, failover_world, short_silences

from corkcrank.node.streams.upstream_buffer import READ_BYTES

__all__ = ["short_silences"]

COMMENTS = [COMMENT * 20] * 20
"""More bytes than the limit between two events; an engine may read a long prompt meanwhile."""


@pytest.mark.parametrize(
    ("comments", "after"),
    [(COMMENTS, 0), (COMMENTS, 2), ([b": " + b"x" * 6_000 + b"\n\n"], 0)],
    ids=["before the first event", "between events", "a long one"],
)
async def test_many_comments_of_a_sound_engine_reach_the_caller_in_their_places(
    comments: list[bytes], after: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    def idle(engine: IdleEngine, number: int) -> Iterator[bytes]:
        return iter(comments)

    monkeypatch.setattr(test_comments_without_end, "DRIP_SECONDS", 0.0005)
    monkeypatch.setattr(IdleEngine, "idle", idle, raising=False)
    async with failover_world(f"idle-after-{after}", engine_type=IdleEngine) as failover:
        response = await failover.running.call("/talk/x")
        events = [b"id: %d\ndata: e\n\n" % number for number in range(1, EVENTS + 1)]
        expected = b"".join([*events[:after], *comments, *events[after:]])
        body = await response.read()
        assert failover.requests == 1
        assert (len(body), body == expected) == (len(expected), True)


async def test_an_event_behind_a_burst_of_comments_is_no_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an engine whose event has arrived, and is read only after a pause."""
    burst = COMMENT * (2 * READ_BYTES // len(COMMENT))

    def idle(engine: IdleEngine, number: int) -> Iterator[bytes]:
        return iter([burst])

    monkeypatch.setattr(test_comments_without_end, "DRIP_SECONDS", 0.0005)
    monkeypatch.setattr(IdleEngine, "idle", idle, raising=False)
    async with failover_world("idle-after-2", engine_type=IdleEngine) as failover:
        assert await failover.read_events("/talk/x") == (EVENTS, True)
        assert failover.requests == 1
