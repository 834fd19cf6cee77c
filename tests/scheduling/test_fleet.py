"""Membership and ownership in a fleet, suspicion after pauses, and the fleet's retry budget."""

from hypothesis import given
from hypothesis import strategies as st

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.heartbeat import Heartbeat, Phase, ServiceBacklog
from corkcrank.machines.members import MAX_MISSED_HEARTBEATS
from corkcrank.scheduling.fleet_retry_budget import (
    CONTINUATION_FACTOR,
    SAFETY_FACTOR,
    FleetRetryBudget,
)

ZONES = ("a", "b", "c")


def beat(name: str, zone: str, phase: Phase = Phase.SERVING, incarnation: int = 1) -> Heartbeat:
    return Heartbeat(name, incarnation, zone, f"10.0.0.{name}:1", phase, 0.25)


def fleets_with_the_same_members(zones: list[str]) -> list[Fleet]:
    fleets = []
    for number, zone in enumerate(zones):
        fleet = Fleet(str(number), zone, f"10.0.0.{number}:1")
        fleet.local_phase = Phase.SERVING
        for other, other_zone in enumerate(zones):
            fleet.apply_heartbeat(beat(str(other), other_zone), 0.0)
        fleets.append(fleet)
    return fleets


@given(
    zones=st.lists(st.sampled_from(ZONES), min_size=1, max_size=8),
    worker=st.text("abcdef0123456789", min_size=1, max_size=8),
    zone=st.sampled_from(ZONES),
)
def test_members_with_the_same_view_choose_the_same_owner(
    zones: list[str], worker: str, zone: str
) -> None:
    record = WorkerRecord(worker, "s", "10.0.0.1:1", zone)
    owners = {
        fleet.zone_owner(record.zone, record.worker_id, 0.1)
        for fleet in fleets_with_the_same_members(zones)
    }
    assert len(owners) == 1
    if zone in zones:
        assert zones[int(owners.pop())] == zone


def test_silent_and_leaving_members_own_nothing() -> None:
    fleet = Fleet("0", "a", "10.0.0.0:1")
    fleet.local_phase = Phase.SERVING
    worker = WorkerRecord("w", "s", "", "b")
    fleet.apply_heartbeat(beat("1", "b"), 0.0)
    assert fleet.zone_owner(worker.zone, worker.worker_id, 0.5) == "1"
    assert fleet.zone_owner(worker.zone, worker.worker_id, 1.5) == "0"
    fleet.apply_heartbeat(beat("1", "b", Phase.LEAVING), 1.6)
    assert fleet.zone_owner(worker.zone, worker.worker_id, 1.6) == "0"


def test_member_with_a_failed_connection_is_suspected_until_its_next_heartbeat() -> None:
    fleet = Fleet("0", "a", "10.0.0.0:1")
    fleet.apply_heartbeat(beat("1", "a"), 5.0)
    fleet.mark_suspected("1")
    assert fleet.live_members(5.01) == []
    fleet.apply_heartbeat(beat("1", "a"), 5.2)
    assert len(fleet.live_members(5.3)) == 1


def fleet_that_ran_until(now: float) -> Fleet:
    """Return a fleet whose process ran and received heartbeats of one member until ``now``."""
    fleet = Fleet("0", "a", "10.0.0.0:1")
    for step in range(round(now / 0.1) + 1):
        fleet.record_running(step * 0.1)
        fleet.apply_heartbeat(beat("1", "a"), step * 0.1)
    return fleet


def test_a_pause_of_this_process_makes_no_member_suspected() -> None:
    fleet = fleet_that_ran_until(2.0)
    assert not fleet.is_suspected("1", 7.0)
    assert len(fleet.live_members(7.0)) == 1
    assert fleet.record_running(7.0) == 5.0
    assert fleet.record_running(7.1) == 0.0


def test_a_probe_does_not_time_out_during_a_pause_of_this_process() -> None:
    fleet = fleet_that_ran_until(2.0)
    fleet.record_running(2.2)
    fleet.record_running(2.4)
    fleet.record_running(2.6)
    fleet.record_running(2.7)
    assert fleet.address_to_probe("1", 2.7) is not None
    assert not fleet.is_suspected("1", 6.0)


def test_a_member_that_died_in_a_pause_of_this_process_is_suspected_soon_after() -> None:
    fleet = fleet_that_ran_until(2.0)
    now = 7.0
    while not fleet.is_suspected("1", now):
        now += 0.1
        fleet.record_running(now)
    assert now < 8.0


def test_a_process_that_pauses_repeatedly_suspects_a_dead_member() -> None:
    fleet = fleet_that_ran_until(2.0)
    now, pauses = 2.0, 0
    while not fleet.is_suspected("1", now):
        now += 0.8
        pauses += 1
        fleet.record_running(now)
    assert pauses == MAX_MISSED_HEARTBEATS + 1


def test_a_member_suspected_before_a_pause_stays_suspected() -> None:
    fleet = fleet_that_ran_until(2.0)
    fleet.mark_suspected("1")
    assert fleet.is_suspected("1", 7.0)
    assert fleet.is_suspected("2", 7.0)


def test_heartbeats_go_to_a_silent_member_until_it_is_removed() -> None:
    fleet = Fleet("0", "a", "10.0.0.0:1")
    fleet.apply_heartbeat(beat("1", "a"), 0.0)
    assert fleet.heartbeat_addresses(30.0) == ["10.0.0.1:1"]
    assert fleet.heartbeat_addresses(61.0) == []


def test_restarted_member_counts_as_new() -> None:
    fleet = Fleet("0", "a", "10.0.0.0:1")
    assert fleet.apply_heartbeat(beat("1", "a"), 0.0)
    assert not fleet.apply_heartbeat(beat("1", "a"), 0.2)
    assert fleet.apply_heartbeat(beat("1", "a", incarnation=2), 0.4)


def test_backlog_of_silent_members_is_not_counted() -> None:
    fleet = Fleet("0", "a", "10.0.0.0:1")
    reported = Heartbeat(
        "1", 1, "a", "x", Phase.SERVING, 0.25, backlogs=(ServiceBacklog("s", (0, 1), 5),)
    )
    fleet.apply_heartbeat(reported, 0.0)
    assert fleet.reported_backlog("s", (0, 1), 0.1) == 5
    assert fleet.reported_backlog("s", (0, 0), 0.1) == 0
    assert fleet.reported_backlog("s", (0, 1), 2.0) == 0


@given(
    events=st.lists(st.tuples(st.integers(0, 5), st.booleans(), st.floats(0.0, 0.5)), max_size=200)
)
def test_the_fleet_stays_within_its_retry_budget_in_every_window(
    events: list[tuple[int, bool, float]],
) -> None:
    members, ratio, allowance, window = 6, 0.2, 30.0, 10.0
    budgets = [FleetRetryBudget(ratio, allowance, window) for _ in range(members)]
    firsts: list[float] = []
    repeats: list[float] = []
    now = 0.0
    for member, repeat, pause in events:
        now += pause
        if not repeat:
            budgets[member].record_first_attempt(now)
            firsts.append(now)
        elif budgets[member].try_spend(now, members):
            repeats.append(now)
        recent = [at for at in repeats if at > now - window]
        earned = [at for at in firsts if at > now - 2 * window]
        assert len(recent) <= ratio * len(earned) + allowance


@given(
    events=st.lists(
        st.tuples(
            st.integers(0, 5),
            st.sampled_from(["first", "repeat", "continued"]),
            st.floats(0.0, 0.5),
        ),
        max_size=400,
    )
)
def test_the_fleet_stays_within_its_retry_budget_where_it_continues_streams(
    events: list[tuple[int, str, float]],
) -> None:
    members, ratio, allowance, window = 6, 0.2, 30.0, 10.0
    budgets = [FleetRetryBudget(ratio, allowance, window) for _ in range(members)]
    firsts: list[float] = []
    repeats: list[float] = []
    now = 0.0
    for member, kind, pause in events:
        now += pause
        if kind == "first":
            budgets[member].record_first_attempt(now)
            firsts.append(now)
        elif budgets[member].try_spend(now, members, "stream" if kind == "continued" else ""):
            repeats.append(now)
        recent = [at for at in repeats if at > now - window]
        earned = [at for at in firsts if at > now - window]
        assert len(recent) <= ratio * len(earned) + allowance


def test_calls_leave_a_retry_to_each_begun_stream_that_waits() -> None:
    budget = FleetRetryBudget(ratio=0.0, allowance=10.0 / SAFETY_FACTOR, window=10.0)
    budget.waiting_streams |= {"one", "two"}
    assert [budget.try_spend(0.0, 1) for _ in range(9)] == [True] * 8 + [False]
    assert budget.try_spend(0.0, 1, "one")
    assert not budget.can_spend(0.0, 1)
    assert budget.try_spend(0.0, 1, "two")
    assert not budget.waiting_streams


def test_begun_streams_are_continued_where_other_calls_have_spent_their_part() -> None:
    budget = FleetRetryBudget(ratio=0.0, allowance=20.0, window=10.0)
    others = [budget.try_spend(0.0, 1) for _ in range(20)]
    continued = [budget.try_spend(0.0, 1, f"stream {number}") for number in range(20)]
    assert others.count(True) == round(SAFETY_FACTOR * 20.0)
    assert others.count(True) + continued.count(True) == round(CONTINUATION_FACTOR * 20.0)
