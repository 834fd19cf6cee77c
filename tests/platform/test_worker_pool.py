"""Workers of one pool: a piece that waits for a busy worker is run by the first free one."""

import asyncio

from node_world import configuration, route, until, world
from platform_standins import StandinStageWorker, StandinWorker

ROUTES = [
    route(
        "staged",
        "stream",
        "model",
        stages=[{"service": "encode", "since_revision": [], "byte_length": 1000}],
    )
]
PIECES = {"X-Corkcrank-Segments": "1", "X-Corkcrank-Segment-Key": "k"}
CALLS = 6

SLOW_PACE = 4.0
"""Pace at which a free worker would end a piece later than a worker that ends its call in time."""

LATE_SECONDS = 0.1
"""Several times the stated duration of a call, and much less than a silence that ends one."""


async def test_pieces_of_a_stuck_worker_are_run_by_its_sibling() -> None:
    """Only the batch that a stuck worker has already started may remain with it.

    Guards against pieces that arrive while the sibling is busy and then wait although two calls
    have ended. Calls that arrived 5 ms apart waited for the sibling's next batch after two had
    ended (one run of three).
    """
    stuck, sound = StandinStageWorker(gate=asyncio.Event()), StandinStageWorker()
    served = {
        "m": (StandinWorker(events=2), "model"),
        "stuck": (stuck, "encode"),
        "sound": (sound, "encode"),
    }
    async with world(configuration(1, ROUTES), served) as running:
        calls = [
            asyncio.create_task(running.call("/staged/x", headers=PIECES)) for _ in range(CALLS)
        ]
        queues = running.nodes[0].stage_owner.queues

        def all_other_pieces_done() -> bool:
            pieces_at_stuck = sum(len(items) for items in stuck.calls)
            done = sum(call.done() for call in calls)
            waiting = sum(queue.waiting for _, queue in queues())
            return waiting == 0 and done == CALLS - pieces_at_stuck

        await until(all_other_pieces_done)
        assert stuck.calls
        assert stuck.gate is not None
        stuck.gate.set()
        for response in await asyncio.gather(*calls):
            assert response.status == 200
            await response.read()
        await until(lambda: not stuck.held and not sound.held)


async def test_pieces_leave_the_queue_of_a_worker_whose_call_is_overdue() -> None:
    """Both workers are late, then one goes on: it runs all pieces that wait, at either queue.

    Guards against pieces that stay behind an overdue call until it is given up, because the call
    was expected to end at once and the worker that goes on was measured as slower.
    """
    stuck = StandinStageWorker(gate=asyncio.Event())
    late = StandinStageWorker(gate=asyncio.Event())
    served = {
        "m": (StandinWorker(events=2), "model"),
        "stuck": (stuck, "encode"),
        "late": (late, "encode"),
    }
    stuck_calls_given_up: list[int] = []
    async with world(configuration(1, ROUTES), served) as running:
        calls = [
            asyncio.create_task(running.call("/staged/x", headers=PIECES)) for _ in range(CALLS)
        ]
        for call in calls:
            call.add_done_callback(lambda _: stuck_calls_given_up.append(stuck.left))
        queues = running.nodes[0].stage_owner.queues
        await until(lambda: bool(stuck.calls) and bool(late.calls))
        await until(lambda: all(queue.waiting for _, queue in queues()))
        await asyncio.sleep(LATE_SECONDS)
        assert late.gate is not None
        late.gate.set()
        for response in await asyncio.gather(*calls):
            assert response.status == 200
            await response.read()
    assert stuck_calls_given_up.count(0) == CALLS - len(stuck.calls[0])


async def test_a_piece_leaves_the_queue_of_a_worker_whose_call_becomes_overdue() -> None:
    """The other worker is free but measured as slower, so the piece waits behind a running call.

    Guards against a piece that stays there until the call is given up: nobody offered it again to
    the free worker while the call became later and later.
    """
    stuck, slow = StandinStageWorker(gate=asyncio.Event()), StandinStageWorker()
    assert stuck.gate is not None
    stuck.gate.set()
    served = {
        "m": (StandinWorker(events=2), "model"),
        "stuck": (stuck, "encode"),
        "slow": (slow, "encode"),
    }
    given_up: list[int] = []
    async with world(configuration(1, ROUTES), served) as running:
        await (await running.call("/staged/x", headers=PIECES)).read()
        dict(running.nodes[0].stage_owner.queues())[slow.worker_id].pace = SLOW_PACE
        stuck.gate.clear()
        before = len(stuck.calls)
        calls = [asyncio.create_task(running.call("/staged/x", headers=PIECES))]
        await until(lambda: len(stuck.calls) > before)
        calls.append(asyncio.create_task(running.call("/staged/x", headers=PIECES)))
        for call in calls:
            call.add_done_callback(lambda _: given_up.append(stuck.left))
        for response in await asyncio.gather(*calls):
            assert response.status == 200
            await response.read()
    assert given_up == [0, 1]


async def test_a_withdrawn_piece_that_another_worker_took_frees_its_result() -> None:
    gate = asyncio.Event()
    one, two = StandinStageWorker(gate=gate), StandinStageWorker(gate=gate)
    served = {
        "m": (StandinWorker(events=2), "model"),
        "one": (one, "encode"),
        "two": (two, "encode"),
    }
    async with world(configuration(1, ROUTES), served) as running:
        calls = [
            asyncio.create_task(running.call("/staged/x", headers=PIECES)) for _ in range(CALLS)
        ]
        await until(lambda: bool(one.calls) and bool(two.calls))
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        gate.set()
        stage_owner = running.nodes[0].stage_owner
        await until(lambda: not stage_owner.busy and not one.held and not two.held)
