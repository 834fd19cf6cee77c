"""An engine continues a stream once it has sent a whole event, not a part of one."""

import asyncio
from collections import deque

import pytest
from node_world import until
from test_stream_failover import (
    EVENTS,
    EVENTS_BEFORE_SILENCE,
    HOLD,
    SILENCE_SECONDS,
    engines_by_use,
    failover_world,
    short_silences,
)

__all__ = ["short_silences"]


@pytest.mark.parametrize("part", [f"break-after-{EVENTS_BEFORE_SILENCE}"])
async def test_a_silent_engine_keeps_its_stream_where_another_breaks_off_in_its_first_event(
    part: str,
) -> None:
    async with failover_world(HOLD, part) as failover:
        stream = asyncio.create_task(failover.read_events("/talk/x"))
        silent, other = await engines_by_use(failover)
        silent.faults, other.faults = deque(), deque([part])
        other.hold = None
        await until(lambda: len(other.seen) == 1)
        await asyncio.wait({stream}, timeout=SILENCE_SECONDS)
        failover.hold.set()
        assert await stream == (EVENTS, True)
