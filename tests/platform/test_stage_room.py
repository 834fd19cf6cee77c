"""An owner obtains the free result memory of a stage worker from reports.

Guards against calls, and requests for reports, that are sent again and again to a worker without
free memory. An owner requests a report when it takes a worker over, and after each call that finds
no memory.
"""

import asyncio

from node_world import configuration, route, until, world
from platform_standins import StandinStageWorker, StandinWorker

from corkcrank.contracts import clock
from corkcrank.scheduling.result_room import REPORTED_HOLD_SECONDS

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

CALLS = 8

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


async def test_a_worker_without_memory_is_asked_for_one_report_for_each_rejected_call() -> None:
    encode = StandinStageWorker(room=0, free_mb=0.0)
    served = {"m": (StandinWorker(events=2), "model"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served) as running:
        begun = clock.now()
        call = asyncio.create_task(running.call("/staged/x", headers=PIECES))
        await until(lambda: encode.reports > 1 + len(encode.calls) or len(encode.calls) >= 4)
        max_calls = 1 + (clock.now() - begun) / REPORTED_HOLD_SECONDS
        assert encode.reports <= 1 + len(encode.calls) <= 1 + max_calls
        encode.room, encode.free_mb = 100, 10.0
        response = await call
        assert response.status == 200
        await response.read()


async def test_calls_that_find_memory_request_no_report() -> None:
    encode = StandinStageWorker()
    served = {"m": (StandinWorker(events=2), "model"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served) as running:

        async def call() -> None:
            response = await running.call("/staged/x", headers=PIECES)
            assert response.status == 200
            await response.read()

        await call()
        await asyncio.gather(*(call() for _ in range(CALLS)))
        assert sum(len(items) for items in encode.calls) == 1 + CALLS
        assert encode.reports == 1


async def test_a_report_is_not_requested_again_while_its_request_is_in_flight() -> None:
    encode = StandinStageWorker()
    served = {"m": (StandinWorker(events=2), "model"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served) as running:
        response = await running.call("/staged/x", headers=PIECES)
        await response.read()
        owner = running.nodes[0].stage_owner
        entry = owner._queues.get(encode.worker_id)
        assert entry is not None
        await until(lambda: not owner._tasks)
        before = encode.reports
        for _ in range(CALLS):
            owner.room.request_report(entry.room)
        await until(lambda: not owner._tasks)
        assert encode.reports == before + 1
