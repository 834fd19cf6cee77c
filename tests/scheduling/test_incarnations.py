"""Incarnations in the worker list: the newest one stays, in whatever order changes arrive.

Guards against state that is carried over to the next incarnation of a worker. State was kept by the
name, which both incarnations share: a worker that had answered 421 got no calls after its restart,
and failures from before the restart still counted.
"""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from corkcrank.contracts.worker_records import WorkerList, WorkerRecord
from corkcrank.machines.worker_changes import WorkerChange
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable

NAMES = ("a", "b")


def incarnation(name: str, born: int | None, revision: int, *, leaving: bool) -> WorkerRecord:
    return WorkerRecord(name, "s", "10.0.0.1:1", "z", 1, leaving, revision, born)


@given(st.data())
def test_any_order_of_rows_and_lists_ends_in_the_newest_incarnations(data: st.DataObject) -> None:
    """Every change arrives at least once, with complete lists of any revision in between.

    A complete list does not hold removed rows. A change from before the list that arrived late
    brought back a worker that had been removed.
    """
    truth: dict[str, WorkerRecord] = {}
    history: list[WorkerChange] = []
    states = [dict(truth)]
    for revision in range(1, data.draw(st.integers(1, 12)) + 1):
        name = data.draw(st.sampled_from(NAMES))
        born = data.draw(st.none() | st.integers(1, 4))
        record = incarnation(name, born, revision, leaving=data.draw(st.booleans()))
        changed = None if data.draw(st.booleans()) else record
        truth.pop(name, None)
        if changed is not None:
            truth[name] = changed
        history.append(WorkerChange(name, revision, changed))
        states.append(dict(truth))
    workers = WorkerList()
    arriving = data.draw(st.permutations(history + data.draw(st.lists(st.sampled_from(history)))))
    for change in arriving:
        workers.apply_row(change.name, change.record, change.revision)
        if data.draw(st.booleans()):
            at = data.draw(st.integers(0, len(history)))
            workers.replace_all(states[at].values(), at)
    assert {item.name: item for item in workers.records()} == truth
    for change in history:
        if change.record is not None:
            listed = truth.get(change.name)
            same = listed is not None and listed.worker_id == change.record.worker_id
            assert workers.get(change.record.worker_id) == (listed if same else None)
    usable = {item.worker_id for item in workers.usable_workers("s")}
    assert usable == {item.worker_id for item in truth.values() if not item.leaving}


def test_a_new_incarnation_replaces_the_older_one_in_one_step() -> None:
    workers = WorkerList()
    old = incarnation("a", 1, 5, leaving=True)
    new = incarnation("a", 2, 6, leaving=False)
    workers.apply_row("a", old, 5)
    assert not workers.usable_workers("s")
    workers.apply_row("a", new, 6)
    assert workers.usable_workers("s") == (new,)
    assert workers.get(old.worker_id) is None
    assert workers.is_replaced(old)
    assert not workers.is_replaced(new)
    workers.apply_row("a", None, 7)
    assert not workers.is_replaced(old)


def test_statistics_are_not_carried_over_to_the_next_incarnation() -> None:
    worker_statistics = WorkerStatisticsTable()
    old = incarnation("a", 1, 5, leaving=False)
    new = incarnation("a", 2, 6, leaving=False)
    worker_statistics.get_or_create(old.worker_id).leaving = True
    assert not worker_statistics.get_or_create(new.worker_id).leaving


@given(st.sets(st.tuples(st.sampled_from("ab@."), st.none() | st.integers(1, 99))))
def test_no_two_incarnations_share_an_id(incarnations: set[tuple[str, int | None]]) -> None:
    ids = {incarnation(name, born, 1, leaving=False).worker_id for name, born in incarnations}
    assert len(ids) == len(incarnations)


def test_an_incarnation_keeps_its_id_when_sent_to_a_peer() -> None:
    record = incarnation("a", 17, 5, leaving=False)
    before = record.worker_id
    received = msgspec.msgpack.decode(msgspec.msgpack.encode(record), type=WorkerRecord)
    assert received == record
    assert received.worker_id == before
