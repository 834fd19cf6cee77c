"""An owner obtains the free result memory of a stage worker from reports.

Guards against calls that are sent again and again to a worker without free memory.
"""

import asyncio

from node_world import configuration, route, until, world
from platform_standins import StandinStageWorker, StandinWorker

RESULT_BYTES = 4_000_000
"""Of the 10 MB of result memory that a stand-in states."""

ROUTES = [
    route(
        "staged",
        "stream",
        "model",
        stages=[{"service": "encode", "since_revision": [], "byte_length": RESULT_BYTES}],
    )
]
PIECES = {"X-Corkcrank-Segments": "1", "X-Corkcrank-Segment-Key": "abcd"}

MAX_REJECTED_CALLS = 6
"""Maximum calls that find no memory in the half second of the test: the first, and one for each
block after a report. A busy loop would send one call a round trip."""


async def test_memory_occupied_by_others_is_awaited_without_repeated_calls() -> None:
    encode = StandinStageWorker(room=0, free_mb=0.0)
    served = {"m": (StandinWorker(events=2), "model"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served) as running:
        call = asyncio.create_task(running.call("/staged/x", headers=PIECES))
        await until(lambda: encode.reports >= 5)
        assert len(encode.calls) <= encode.reports + 1
        rejected_calls = len(encode.calls)
        assert rejected_calls <= MAX_REJECTED_CALLS
        encode.room, encode.free_mb = 100, 10.0
        response = await call
        assert response.status == 200
        await response.read()


async def test_a_rejected_piece_is_not_resent_at_once_despite_reported_free_memory() -> None:
    encode = StandinStageWorker(room=1, free_mb=10.0)
    encode.held.add("of another owner")
    encode.lies_of_room = True
    served = {"m": (StandinWorker(events=2), "model"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served) as running:
        call = asyncio.create_task(running.call("/staged/x", headers=PIECES))
        await until(lambda: encode.reports >= 5)
        assert len(encode.calls) <= encode.reports
        encode.held.clear()
        response = await call
        assert response.status == 200
        await response.read()


async def test_a_new_owner_requests_a_report_before_the_first_rejection() -> None:
    encode = StandinStageWorker(free_mb=1.0)
    served = {"m": (StandinWorker(events=2), "model"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served) as running:
        response = await running.call("/staged/x", headers=PIECES)
        await response.read()
        assert encode.reports == 1
        queue = running.nodes[0].stage_owner.get_queue(encode.worker_id)
        assert queue is not None
        assert queue.counters.no_room == 0


async def test_an_unreadable_report_changes_nothing() -> None:
    encode = StandinStageWorker(free_mb=float("nan"))
    served = {"m": (StandinWorker(events=2), "model"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served) as running:
        response = await running.call("/staged/x", headers=PIECES)
        assert response.status == 200
        await response.read()
