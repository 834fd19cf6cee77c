"""Tests a stage worker's queue: batch forming, room, overdue pieces; no piece may be lost."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from corkcrank.contracts.opaque_configuration import StageCapacity
from corkcrank.contracts.urgency import Urgency
from corkcrank.links.platform_ports import PieceOrder, PieceOutcome, PieceResult
from corkcrank.scheduling.batch_filling import StageItem, fill_batch
from corkcrank.scheduling.stage_queue import StageCall, StageQueue

CAPACITY = StageCapacity(
    slots=2,
    queue=2,
    batch=4,
    call_seconds=0.2,
    piece_seconds=0.05,
    room_bytes=60.0,
    result_seconds=4.0,
)


def stage_item(
    call: str, piece: int = 0, size: float = 10.0, rank: int = 0, due: float = 9.0
) -> StageItem:
    return StageItem(
        order=PieceOrder(call, 0, piece),
        result_bytes=size,
        urgency=Urgency((0, rank), due),
        start_by=due,
        end_at=due + 1,
        submitted_at=0.0,
    )


def queue_with(*stage_items: StageItem, capacity: StageCapacity = CAPACITY) -> StageQueue:
    queue = StageQueue(capacity)
    for item in stage_items:
        queue.submit(item)
    return queue


def done_results(call: StageCall, names: itertools.count) -> list[PieceResult]:  # type: ignore[type-arg]
    return [PieceResult(PieceOutcome.DONE, f"h{next(names)}") for _ in call.stage_items]


def test_more_urgent_rank_goes_first_and_due_time_decides_within_it() -> None:
    low, late, early = (
        stage_item("a", rank=2, due=1.0),
        stage_item("b", due=9.0),
        stage_item("c", due=5.0),
    )
    call = queue_with(low, late, early).start_next_call(0.0)
    assert call is not None
    assert [item.order.call_id for item in call.stage_items] == ["c", "b", "a"]


def test_piece_that_would_finish_late_anyway_goes_last() -> None:
    small = StageCapacity(1, 0, 1, 0.2, 0.0, 60.0, 4.0)
    already_late, still_in_time = stage_item("a", due=1.1), stage_item("b", rank=1, due=5.0)
    call = queue_with(already_late, still_in_time, capacity=small).start_next_call(1.0)
    assert call is not None
    assert call.stage_items == [still_in_time]


def test_pieces_of_a_stage_wait_until_all_of_them_have_room() -> None:
    names = itertools.count()
    queue = queue_with(*(stage_item("a", piece, size=20.0) for piece in range(2)))
    first = queue.start_next_call(0.0)
    assert first is not None
    queue.end_call(first, done_results(first, names), 0.3)
    for piece in range(2):
        queue.submit(stage_item("b", piece, size=20.0))
    assert queue.start_next_call(0.3) is None
    queue.free_result("h0", 0.4)
    second = queue.start_next_call(0.4)
    assert second is not None
    assert len(second.stage_items) == 2


def test_far_smaller_pieces_overtake_one_that_waits_for_room() -> None:
    large = [stage_item("a", piece, size=20.0) for piece in range(3)]
    small, middling = stage_item("b", size=1.0, rank=1), stage_item("c", size=15.0, rank=1)
    assert fill_batch([*large, small, middling], 4, 50.0, 60.0) == [small]


def test_expired_result_releases_its_room() -> None:
    queue = queue_with(stage_item("a", size=60.0))
    call = queue.start_next_call(0.0)
    assert call is not None
    queue.end_call(call, done_results(call, itertools.count()), 0.3)
    queue.submit(stage_item("b", size=60.0))
    assert queue.start_next_call(1.0) is None
    assert queue.next_event_at(1.0) == 0.3 + CAPACITY.result_seconds
    assert queue.start_next_call(0.3 + CAPACITY.result_seconds) is not None


def test_piece_refused_for_lack_of_room_is_not_resent_at_once() -> None:
    queue = queue_with(stage_item("a"))
    call = queue.start_next_call(0.0)
    assert call is not None
    queue.end_call(call, [PieceResult(PieceOutcome.NO_ROOM)], 0.1)
    queue.requeue(call.stage_items)
    assert queue.start_next_call(0.1) is None
    assert queue.start_next_call(0.5) is not None


def test_refused_piece_leaves_the_remaining_room_to_smaller_ones() -> None:
    one = StageCapacity(1, 0, 4, 0.2, 0.05, 60.0, 4.0)
    queue = queue_with(stage_item("large", size=20.0), capacity=one)
    call = queue.start_next_call(0.0)
    assert call is not None
    queue.end_call(call, [PieceResult(PieceOutcome.NO_ROOM)], 0.1)
    queue.submit(stage_item("small", size=5.0))
    assert queue.start_next_call(0.1) is not None


def test_forecast_counts_only_pieces_ahead() -> None:
    one = StageCapacity(1, 0, 4, 0.2, 0.05, 1e9, 4.0)
    queue = queue_with(*(stage_item("a", piece, rank=1) for piece in range(8)), capacity=one)
    urgent = queue.forecast(0.0, Urgency((0, 0), 9.0), 1, 1.0)
    patient = queue.forecast(0.0, Urgency((0, 2), 9.0), 1, 1.0)
    assert urgent.start == 0.0
    assert patient.start == 2 * one.full_call_seconds


@given(
    sizes=st.lists(st.floats(0.1, 40.0), max_size=12),
    room=st.floats(0.0, 60.0),
    batch=st.integers(1, 6),
)
def test_batch_fits_room_and_contains_each_piece_once(
    sizes: list[float], room: float, batch: int
) -> None:
    queue = [stage_item(str(number), size=size) for number, size in enumerate(sizes)]
    chosen = fill_batch(queue, batch, room, 60.0)
    assert len(chosen) <= batch
    assert sum(item.result_bytes for item in chosen) <= room + 1e-6
    assert len({id(item) for item in chosen}) == len(chosen)


class StageQueueMachine(RuleBasedStateMachine):
    """Checks that each piece is queued, running or ended, and that the worker's bounds hold."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = StageQueue(CAPACITY)
        self.now = 0.0
        self.names = itertools.count()
        self.waiting: list[StageItem] = []
        self.calls: list[StageCall] = []
        self.handles: list[str] = []
        self.stage_items: list[StageItem] = []
        self.ended = 0
        self.submitted = 0

    @rule(
        size=st.floats(0.5, 30.0),
        rank=st.integers(0, 2),
        due=st.floats(0.1, 3.0),
        count=st.integers(1, 5),
    )
    def submit(self, size: float, rank: int, due: float, count: int) -> None:
        self.submitted += 1
        for piece in range(count):
            item = stage_item(f"c{self.submitted}", piece, size, rank, self.now + due)
            self.stage_items.append(item)
            self.waiting.append(item)
            self.queue.submit(item)

    @rule()
    def start(self) -> None:
        for item in self.queue.remove_overdue(self.now):
            self.waiting.remove(item)
            self.ended += 1
        call = self.queue.start_next_call(self.now)
        if call is not None:
            self.waiting = [item for item in self.waiting if item not in call.stage_items]
            self.calls.append(call)

    @precondition(lambda self: self.calls)
    @rule(outcome=st.sampled_from(["done", "none", "full", "mixed"]))
    def end(self, outcome: str) -> None:
        call = self.calls.pop(0)
        if outcome in ("none", "full"):
            self.queue.end_call(call, None, self.now)
        else:
            results = done_results(call, self.names)
            if outcome == "mixed":
                results[0] = PieceResult(PieceOutcome.NO_ROOM)
            self.handles += [item.handle for item in results if item.handle]
            self.queue.end_call(call, results, self.now)
        if outcome == "full":
            self.queue.requeue(call.stage_items)
            self.waiting += call.stage_items
        else:
            self.ended += len(call.stage_items)

    @precondition(lambda self: self.handles)
    @rule()
    def free(self) -> None:
        self.queue.free_result(self.handles.pop(0), self.now)

    @precondition(lambda self: self.waiting)
    @rule()
    def withdraw(self) -> None:
        self.queue.withdraw(self.waiting.pop(), self.now)
        self.ended += 1

    @rule(seconds=st.floats(0.01, 2.0))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def bounds_hold(self) -> None:
        self.queue.validate()

    @invariant()
    def no_piece_is_lost(self) -> None:
        assert self.queue.waiting == len(self.waiting)
        at_work = sum(len(call.stage_items) for call in self.calls)
        assert len(self.waiting) + at_work + self.ended == len(self.stage_items)


TestStageQueueMachine = StageQueueMachine.TestCase


def test_a_workers_statement_lengthens_forecasts_for_the_moment_and_not_its_measured_pace() -> None:
    queue = StageQueue(CAPACITY)
    usual = queue.call_seconds(2)
    queue.passing_pace = 2.0
    assert queue.call_seconds(2) == pytest.approx(2.0 * usual)
    assert queue.forecast(0.0, Urgency((0, 0), 9.0), 1, 0.0).end == pytest.approx(
        2.0 * (CAPACITY.call_seconds + CAPACITY.piece_seconds)
    )
    assert queue.pace == 1.0


def test_late_results_of_a_call_that_was_given_up_occupy_room_and_say_nothing_of_the_pace() -> None:
    queue = queue_with(stage_item("a"), stage_item("b"))
    call = queue.start_next_call(0.0)
    assert call is not None
    queue.end_call(call, None, 2.0)
    assert (queue.at_work, queue.room_used) == (0, 0.0)
    results = done_results(call, itertools.count())
    queue.end_call(call, results, 3.0)
    assert queue.room_used == 20.0
    assert queue.pace == 1.0
    for result in results:
        queue.free_result(result.handle, 3.1)
    assert queue.room_used == 0.0


def test_final_pieces_stay_in_the_queue_of_a_worker_that_failed() -> None:
    final, repeated = stage_item("a"), stage_item("b")
    final.final = True
    queue = queue_with(final, repeated)
    assert queue.remove_repeated() == [repeated]
    assert queue.queued() == (final,)
