"""Pieces queued behind those of a caller that disconnects start at once.

Guards against a queue that is not checked when pieces are withdrawn: pieces that fit into the
result memory then wait until some other result is freed.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from callers import LEAVE_SECONDS, Caller, Served, caller_of
from node_world import configuration, route, until, world
from platform_standins import StandinStageWorker, StandinWorker

SIZES = {"first": 6_000_000, "large": 8_000_000, "small": 3_000_000}
"""Bytes of results by route; a stage worker has result memory for ten million."""

ROUTES = [
    route(
        name,
        "stream",
        "model",
        target_latency_ms=3_500,
        stages=[{"service": "encode", "since_revision": [], "byte_length": size}],
    )
    for name, size in SIZES.items()
]
PIECES = {"X-Corkcrank-Segments": "1", "X-Corkcrank-Segment-Key": "k"}


@asynccontextmanager
async def waiting_behind() -> AsyncIterator[tuple[StandinStageWorker, Caller, Caller]]:
    """Occupy memory with a result, and queue a large piece that needs more before a small one."""
    model, encode = StandinWorker(events=3, hold=asyncio.Event()), StandinStageWorker()
    served: Served = {"m": (model, "model"), "e": (encode, "encode")}
    async with (
        world(configuration(1, ROUTES), served) as running,
        caller_of(running) as first,
        caller_of(running) as large,
        caller_of(running) as small,
    ):
        node = running.nodes[0]
        node.services.fetch_delay("model").seconds = 9.0
        first.send("/first/x", PIECES)
        await until(lambda: len(model.seen) == 1)
        for number, (caller, name) in enumerate([(large, "large"), (small, "small")], start=1):
            caller.send(f"/{name}/x", PIECES)
            await until(
                lambda: sum(queue.waiting for _, queue in node.stage_owner.queues()) == number  # noqa: B023
            )
        assert len(encode.calls) == 1
        yield encode, large, small


async def test_a_piece_queued_behind_a_withdrawn_one_starts_at_once() -> None:
    """A small piece that fitted into the memory kept waiting after the large one was withdrawn.

    The queue was not checked again until a result was freed.
    """
    async with waiting_behind() as (encode, large, _):
        large.leave()
        await until(lambda: len(encode.calls) == 2, seconds=LEAVE_SECONDS)


async def test_no_piece_starts_for_callers_that_disconnect_at_the_same_time() -> None:
    async with waiting_behind() as (encode, large, small):
        large.leave()
        small.leave()
        await small.half_a_second_later()
        assert len(encode.calls) == 1
