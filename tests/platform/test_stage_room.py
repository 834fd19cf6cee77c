"""An owner learns from a stage worker how much room it has, and does not ask in vain."""

import asyncio

from node_world import configuration, route, until, world
from platform_standins import StandinStageWorker, StandinWorker

RESULT_BYTES = 4_000_000
"""Of the 10 MB of a stand-in's stated room."""

ROUTES = [
    route(
        "staged",
        "stream",
        "model",
        stages=[{"service": "encode", "since_revision": [], "byte_length": RESULT_BYTES}],
    )
]
PIECES = {"X-Corkcrank-Segments": "1", "X-Corkcrank-Segment-Key": "abcd"}

VAIN_CALLS = 6
"""Most calls that find no room in the half second of the test: one a report's hold and the
first, with none of the spinning that a call a round trip would be."""


async def test_room_that_others_hold_is_waited_for_and_not_asked_for() -> None:
    encode = StandinStageWorker(room=0, free_mb=0.0)
    served = {"m": (StandinWorker(events=2), "model"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served) as running:
        call = asyncio.create_task(running.call("/staged/x", headers=PIECES))
        await until(lambda: encode.reports >= 5)
        assert len(encode.calls) <= encode.reports + 1
        vain = len(encode.calls)
        assert vain <= VAIN_CALLS
        encode.room, encode.free_mb = 100, 10.0
        response = await call
        assert response.status == 200
        await response.read()


async def test_a_piece_is_not_sent_again_at_once_whatever_is_reported() -> None:
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


async def test_a_new_owner_asks_before_anything_was_turned_away() -> None:
    encode = StandinStageWorker(free_mb=1.0)
    served = {"m": (StandinWorker(events=2), "model"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served) as running:
        response = await running.call("/staged/x", headers=PIECES)
        await response.read()
        assert encode.reports == 1
        queue = running.nodes[0].stage_owner.queue(encode.worker_id)
        assert queue is not None
        assert queue.counters.no_room == 0


async def test_a_report_that_nobody_can_read_changes_nothing() -> None:
    encode = StandinStageWorker(free_mb=float("nan"))
    served = {"m": (StandinWorker(events=2), "model"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served) as running:
        response = await running.call("/staged/x", headers=PIECES)
        assert response.status == 200
        await response.read()
