"""A free worker takes over what a busy sibling would end later, and nothing else."""

from hypothesis import given
from hypothesis import strategies as st
from test_stage_lane import ticket

from corkcrank.contracts.opaque_configuration import StageCapacity
from corkcrank.scheduling.queue_sharing import pieces_to_take
from corkcrank.scheduling.stage_lane import StageLane

CAPACITY = StageCapacity(
    slots=1,
    queue=2,
    batch=4,
    call_seconds=0.2,
    piece_seconds=0.05,
    room_bytes=1e9,
    result_seconds=4.0,
)


def busy_lane(waiting: int) -> StageLane:
    """Return a lane whose worker has just begun a call, with pieces behind it."""
    lane = StageLane(CAPACITY)
    lane.submit(ticket("at-work"))
    assert lane.next_call(0.0) is not None
    for piece in range(waiting):
        lane.submit(ticket("waits", piece))
    return lane


def test_a_free_worker_takes_what_would_wait_for_a_busy_one() -> None:
    taken = pieces_to_take(StageLane(CAPACITY), [busy_lane(2)], 0.0)
    assert [piece.ticket.order.piece for piece in taken] == [0, 1]


def test_a_busy_or_blocked_worker_takes_nothing() -> None:
    blocked = StageLane(CAPACITY)
    blocked.block(0.0, 1.0)
    for lane in (busy_lane(0), blocked):
        assert pieces_to_take(lane, [busy_lane(2)], 0.0) == ()


def test_a_worker_that_can_start_keeps_its_pieces() -> None:
    idle = StageLane(CAPACITY)
    idle.submit(ticket("own"))
    assert pieces_to_take(StageLane(CAPACITY), [idle], 0.0) == ()


def test_a_slow_worker_takes_nothing_that_ends_sooner_where_it_waits() -> None:
    slow = StageLane(CAPACITY, pace=8.0)
    assert pieces_to_take(slow, [busy_lane(2)], 0.0) == ()


@given(st.lists(st.integers(0, 9), max_size=4), st.integers(0, 6))
def test_no_more_than_a_batch_is_taken_and_each_piece_once(waiting: list[int], own: int) -> None:
    free = StageLane(CAPACITY)
    for piece in range(own):
        free.submit(ticket("own", piece))
    others = [busy_lane(count) for count in waiting]
    taken = pieces_to_take(free, others, 0.0)
    assert len(taken) <= max(0, CAPACITY.batch - own)
    assert len({id(piece.ticket) for piece in taken}) == len(taken)
    for piece in taken:
        assert piece.ticket in piece.lane.queued()
