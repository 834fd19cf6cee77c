"""Election of the gateways that follow the store, and what the others know if those fail."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corkcrank.contracts.worker_records import WorkerList, WorkerRecord
from corkcrank.links.platform_ports import StoreTable
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.heartbeat import Heartbeat, Phase
from corkcrank.machines.store_contact import ReportedStoreContact
from corkcrank.machines.store_followers import (
    MAX_STAND_IN_CALLS_PER_SECOND,
    MIN_FOLLOWERS,
    RETRY_PAUSE_RANGE_SECONDS,
    StoreFollowerElection,
)
from corkcrank.machines.worker_changes import (
    MAX_CHANGES_PER_HEARTBEAT,
    RecentWorkerChanges,
    WorkerChange,
    WorkerChangeBatch,
)

ZONES = ("a", "b", "c", "d", "e")
BOUND = 2.0


def heartbeat(name: str, zone: str, age: float, phase: Phase = Phase.SERVING) -> Heartbeat:
    contact = ReportedStoreContact(store_time=100.0 - age, age=age)
    return Heartbeat(
        name,
        1,
        zone,
        f"10.0.0.{name}:1",
        phase,
        0.25,
        configuration_contact=contact,
        workers_contact=contact,
    )


def elections(zones: list[str], age: float) -> list[StoreFollowerElection]:
    found = []
    for number, zone in enumerate(zones):
        fleet = Fleet(str(number), zone, f"10.0.0.{number}:1")
        fleet.local_phase = Phase.SERVING
        for other, other_zone in enumerate(zones):
            fleet.apply_heartbeat(heartbeat(str(other), other_zone, age), 10.0)
        found.append(StoreFollowerElection(fleet, BOUND))
    return found


@given(zones=st.lists(st.sampled_from(ZONES), min_size=1, max_size=40))
def test_few_follow_the_store_and_every_zone_has_one(zones: list[str]) -> None:
    following = [
        zone
        for zone, election in zip(zones, elections(zones, age=0.1), strict=True)
        if election.should_follow_table(StoreTable.WORKERS, 0.0, 10.1)
    ]
    assert set(following) == set(zones)
    assert len(following) == min(len(zones), max(MIN_FOLLOWERS, len(set(zones))))


def test_all_gateways_follow_the_store_before_the_bound_when_none_has_an_answer() -> None:
    found = elections(["a"] * 20, age=BOUND)
    assert all(election.should_follow_table(StoreTable.WORKERS, 0.0, 10.1) for election in found)


def test_a_gateway_without_a_reported_answer_follows_the_store() -> None:
    fleet = Fleet("0", "a", "10.0.0.0:1")
    fleet.local_phase = Phase.SERVING
    assert StoreFollowerElection(fleet, BOUND).should_follow_table(
        StoreTable.CONFIGURATION, 0.0, 10.0
    )


def test_the_long_poll_is_shorter_than_the_stale_time_and_that_than_the_bound() -> None:
    fleet = Fleet("0", "a", "10.0.0.0:1")
    fleet.local_phase = Phase.STARTING
    election = StoreFollowerElection(fleet, BOUND)
    fleet.apply_heartbeat(heartbeat("1", "a", 0.0), 10.0)
    stale_after = next(
        after / 100
        for after in range(500)
        if election.should_follow_table(StoreTable.WORKERS, 0.0, 10.0 + after / 100)
    )
    assert election.long_poll_seconds < stale_after < BOUND


@pytest.mark.parametrize("members", [6, 74, 195, 350])
def test_calls_in_an_outage_hardly_grow_with_the_fleet(members: int) -> None:
    """In an outage of a few seconds a fleet of 195 made 11,709 calls, most calls of its day."""
    zones = [ZONES[number % len(ZONES)] for number in range(members)]
    found = elections(zones, age=9.0)
    followers = [
        election
        for election in found
        if election.should_follow_table(StoreTable.WORKERS, 10.0, 10.1)
    ]
    pauses = [election.max_retry_pause_seconds(4, 10.1) for election in found]
    # An answer is stale after 0.6 of the bound: no gateway waits longer before it asks.
    assert max(pauses) <= 0.6 * BOUND or members == 6
    calls = sum(1 / pause for pause in pauses)
    allowed = max(MAX_STAND_IN_CALLS_PER_SECOND, members / (0.6 * BOUND))
    assert calls <= allowed + len(followers) / RETRY_PAUSE_RANGE_SECONDS[1]
    assert calls <= 0.75 * members / RETRY_PAUSE_RANGE_SECONDS[1] or members == 6


def test_a_small_fleet_retries_soon_and_soonest_after_the_first_failure() -> None:
    for election in elections(["a"] * 6, age=9.0):
        assert [election.max_retry_pause_seconds(failures, 10.1) for failures in (1, 2, 9)] == [
            0.2,
            0.4,
            0.8,
        ]


def record(worker_id: str, revision: int, *, leaving: bool = False) -> WorkerRecord:
    return WorkerRecord(worker_id, "s", "10.0.0.1:1", "a", leaving=leaving, revision=revision)


@given(data=st.data())
def test_changes_in_any_order_and_lists_converge_to_the_same_state(data: st.DataObject) -> None:
    truth: dict[str, WorkerRecord] = {}
    history: list[WorkerChange] = []
    states = [dict(truth)]
    for revision in range(1, data.draw(st.integers(1, 25)) + 1):
        worker_id = data.draw(st.sampled_from("abcd"))
        removed = data.draw(st.booleans()) and worker_id in truth
        changed = None if removed else record(worker_id, revision)
        if changed is None:
            del truth[worker_id]
        else:
            truth[worker_id] = changed
        history.append(WorkerChange(worker_id, revision, changed))
        states.append(dict(truth))
    workers = WorkerList()
    reported = data.draw(st.lists(st.sampled_from(history), max_size=40))
    for change in reported:
        workers.apply_row(change.name, change.record, change.revision)
        if data.draw(st.integers(0, 5)) == 0:
            at = data.draw(st.integers(workers.revision, len(history)))
            workers.replace_all(states[at].values(), at)
            assert workers.revision == at
    workers.replace_all(truth.values(), len(history))
    assert {item.worker_id: item for item in workers.records()} == truth


def test_an_older_list_does_not_restore_a_leaving_worker() -> None:
    workers = WorkerList()
    workers.replace_all([record("w", 3)], 5)
    assert workers.apply_row("w", record("w", 9, leaving=True), 9)
    workers.replace_all([record("w", 3)], 8)
    assert workers.usable_workers("s") == ()
    assert workers.apply_row("w", None, 11)
    workers.replace_all([record("w", 9, leaving=True)], 10)
    assert workers.records() == ()


def test_the_newest_changes_that_fit_are_reported_without_a_gap() -> None:
    recent = RecentWorkerChanges()
    for number in range(MAX_CHANGES_PER_HEARTBEAT + 5):
        change = WorkerChange(str(number), number + 1, None)
        recent.add_batch(WorkerChangeBatch(number, number + 1, (change,)), 1.0)
    reported = recent.current_batch(1.1)
    assert reported is not None
    assert len(reported.changes) == MAX_CHANGES_PER_HEARTBEAT
    assert (reported.since, reported.revision) == (5, MAX_CHANGES_PER_HEARTBEAT + 5)


def test_a_batch_does_not_cover_changes_received_in_a_whole_list() -> None:
    recent = RecentWorkerChanges()
    recent.add_batch(WorkerChangeBatch(3, 5, (WorkerChange("a", 5, None),)), 0.0)
    # Between the two batches, the gateway adopted a whole list of revision 9.
    recent.add_batch(WorkerChangeBatch(9, 12, (WorkerChange("c", 12, None),)), 0.1)
    batch = recent.current_batch(0.2)
    assert batch is not None
    assert (batch.since, batch.revision) == (9, 12)
