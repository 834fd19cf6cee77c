"""Tests that a free worker takes only pieces that a busy worker of its pool would finish later."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_stage_queue import stage_item

from corkcrank.contracts.opaque_configuration import StageCapacity
from corkcrank.scheduling.stage_queue import StageQueue
from corkcrank.scheduling.work_stealing import pieces_to_steal

CAPACITY = StageCapacity(
    slots=1,
    queue=2,
    batch=4,
    call_seconds=0.2,
    piece_seconds=0.05,
    room_bytes=1e9,
    result_seconds=4.0,
)


def busy_queue(waiting: int) -> StageQueue:
    """Return a queue with a call started at time 0 and ``waiting`` queued pieces."""
    queue = StageQueue(CAPACITY)
    queue.submit(stage_item("at-work"))
    assert queue.start_next_call(0.0) is not None
    for piece in range(waiting):
        queue.submit(stage_item("waits", piece))
    return queue


def test_a_free_worker_takes_pieces_that_wait_for_a_busy_one() -> None:
    taken = pieces_to_steal(StageQueue(CAPACITY), [busy_queue(2)], 0.0)
    assert [piece.stage_item.order.piece for piece in taken] == [0, 1]


def test_a_busy_or_blocked_worker_takes_nothing() -> None:
    blocked = StageQueue(CAPACITY)
    blocked.block_calls(0.0, 1.0)
    for queue in (busy_queue(0), blocked):
        assert pieces_to_steal(queue, [busy_queue(2)], 0.0) == ()


def test_a_worker_that_can_start_keeps_its_pieces() -> None:
    idle = StageQueue(CAPACITY)
    idle.submit(stage_item("own"))
    assert pieces_to_steal(StageQueue(CAPACITY), [idle], 0.0) == ()


def test_a_slow_worker_takes_no_piece_that_would_finish_sooner_in_place() -> None:
    slow = StageQueue(CAPACITY, pace=8.0)
    assert pieces_to_steal(slow, [busy_queue(2)], 0.0) == ()


@pytest.mark.parametrize("pace", [1.0, 4.0])
def test_pieces_do_not_wait_for_a_call_that_is_long_overdue(pace: float) -> None:
    """The worker with the call does not answer, and the free one was measured as slower or alike.

    An overdue call was expected to end at once, so the pieces behind it stayed until it was given
    up.
    """
    assert len(pieces_to_steal(StageQueue(CAPACITY, pace=pace), [busy_queue(2)], 3.0)) == 2


def test_a_call_that_is_hardly_overdue_keeps_pieces_from_a_slower_worker() -> None:
    slow = StageQueue(CAPACITY, pace=4.0)
    assert pieces_to_steal(slow, [busy_queue(2)], 0.3) == ()


@given(st.lists(st.integers(0, 9), max_size=4), st.integers(0, 6))
def test_at_most_one_batch_is_taken_and_each_piece_once(waiting: list[int], own: int) -> None:
    free = StageQueue(CAPACITY)
    for piece in range(own):
        free.submit(stage_item("own", piece))
    others = [busy_queue(count) for count in waiting]
    taken = pieces_to_steal(free, others, 0.0)
    assert len(taken) <= max(0, CAPACITY.batch - own)
    assert len({id(piece.stage_item) for piece in taken}) == len(taken)
    for piece in taken:
        assert piece.stage_item in piece.queue.queued()
