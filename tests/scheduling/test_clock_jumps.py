"""A gateway computes the age of its information correctly in the first step after a suspension.

A state machine advances the clock in small steps, as while the process runs, and in jumps of up to
two minutes, as after a suspension of the machine or a pause of the process. Between steps it
receives updates of members and of the store, and workers crash while running a request. After each
step it checks information that must not become stale unnoticed: the time of the last contact with
the store, whether the store is watched, which members are alive, and when a quarantine ends.
"""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from corkcrank.links.platform_ports import StoreTable
from corkcrank.machines.fleet import MIN_PROCESS_PAUSE_SECONDS, Fleet
from corkcrank.machines.heartbeat import Heartbeat, Phase
from corkcrank.machines.members import MAX_MISSED_HEARTBEATS
from corkcrank.machines.store_contact import ReportedStoreContact
from corkcrank.machines.store_followers import (
    LATE_STAND_IN_STALE_FACTOR,
    STALE_SHARE,
    StoreFollowerElection,
)
from corkcrank.scheduling.crash_records import SETTLE_SECONDS
from corkcrank.scheduling.crash_reports import CrashReport, RequestAtCrash
from corkcrank.scheduling.crash_verdicts import MIN_QUARANTINE_CRASHES
from corkcrank.scheduling.quarantine_times import quarantine_seconds
from corkcrank.scheduling.request_quarantine import RequestQuarantine

INTERVAL = 0.25
BOUND_SECONDS = 2.0
ROUNDING_SECONDS = 0.002
"""Ages are reported in whole milliseconds."""

MEMBERS = tuple("abcdefgh")
"""So many members that the gateway does not follow the store itself while they are alive."""

REQUEST = "f" * 16
LONG_AGO = float("-inf")


class JumpingClock(RuleBasedStateMachine):
    """A gateway and its members on a clock that jumps."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0
        self.fleet = Fleet("w", "zone", "10.0.0.9:1")
        self.fleet.local_phase = Phase.SERVING
        self.fleet.record_running(self.now)
        self.election = StoreFollowerElection(self.fleet, BOUND_SECONDS)
        self.quarantine = RequestQuarantine()
        self.silence: dict[str, float] = {}
        self.store_reported_at = LONG_AGO
        self.store_answered_at = LONG_AGO
        self.ends: dict[str, float] = {}
        self.known_at: dict[str, float] = {}
        for name in MEMBERS:
            self.receive_heartbeat(name, 0.0)
        assert not self.election.is_elected_follower(self.now)

    @rule(seconds=st.floats(0.01, 0.24))
    def step_clock(self, seconds: float) -> None:
        self._advance_clock(seconds, counted=seconds)

    @rule(seconds=st.floats(0.3, 120.0))
    def jump_clock(self, seconds: float) -> None:
        self._advance_clock(seconds, counted=MIN_PROCESS_PAUSE_SECONDS)

    def _advance_clock(self, seconds: float, counted: float) -> None:
        self.now += seconds
        for name, silent in self.silence.items():
            gone = silent > MAX_MISSED_HEARTBEATS * INTERVAL
            self.silence[name] = silent + (seconds if gone else counted)

    @rule(name=st.sampled_from(MEMBERS), age=st.floats(0.0, 30.0))
    def member_sends_heartbeat(self, name: str, age: float) -> None:
        self.receive_heartbeat(name, age)

    def receive_heartbeat(self, name: str, age: float) -> None:
        """Receive a heartbeat that reports how long ago the store answered the member."""
        answered_at = self.now - age
        contact = ReportedStoreContact(answered_at, age)
        heartbeat = Heartbeat(
            name,
            1,
            "zone",
            f"10.0.0.{name}:1",
            Phase.SERVING,
            INTERVAL,
            configuration_contact=contact,
            workers_contact=contact,
        )
        self.fleet.apply_heartbeat(heartbeat, self.now)
        self.silence[name] = 0.0
        self.store_reported_at = max(self.store_reported_at, answered_at)

    @rule()
    def store_answers(self) -> None:
        self.store_answered_at = self.now

    @rule(worker=st.integers(0, 5))
    def worker_crashes_here(self, worker: int) -> None:
        self._record_crash(f"w{worker}", self.now)
        self.quarantine.record_crash(REQUEST, f"w{worker}", self.now)

    @rule(worker=st.integers(0, 5), age=st.floats(0.0, 60.0))
    def worker_crashes_elsewhere(self, worker: int, age: float) -> None:
        self._record_crash(f"w{worker}", self.now - age)
        item = RequestAtCrash(REQUEST)
        report = CrashReport.from_requests(f"w{worker}", age, [item], incomplete=False)
        self.quarantine.apply_report(report, self.now)

    def _record_crash(self, worker: str, at: float) -> None:
        self.ends[worker] = min(at, self.ends.get(worker, at))
        self.known_at.setdefault(worker, self.now)

    @invariant()
    def store_contact_has_its_true_age(self) -> None:
        for table in (StoreTable.CONFIGURATION, StoreTable.WORKERS):
            assert self.fleet.store_confirmed_at(table) == pytest.approx(self.store_reported_at)
            confirmed = max(self.store_reported_at, self.store_answered_at)
            stale = BOUND_SECONDS * STALE_SHARE * LATE_STAND_IN_STALE_FACTOR
            if self.now - confirmed > stale + ROUNDING_SECONDS:
                assert self.election.should_follow_table(table, self.store_answered_at, self.now)

    @invariant()
    def a_local_pause_does_not_count_as_silence_of_others(self) -> None:
        patience = MAX_MISSED_HEARTBEATS * INTERVAL
        # Two pauses without a check in between count as one.
        self.fleet.live_members(self.now)
        for name, silent in self.silence.items():
            if abs(silent - patience) > ROUNDING_SECONDS:
                assert self.fleet.is_suspected(name, self.now) is (silent > patience)

    @invariant()
    def a_quarantine_ends_on_time(self) -> None:
        left = 0.0
        settled = [at for at in self.known_at.values() if at + SETTLE_SECONDS <= self.now]
        if len(settled) >= MIN_QUARANTINE_CRASHES:
            lasts = quarantine_seconds(len(self.ends))
            left = max(0.0, max(self.ends.values()) + lasts - self.now)
        known = self.quarantine.seconds_left(REQUEST, self.now)
        assert abs(known - left) < ROUNDING_SECONDS


JumpingClock.TestCase.settings = settings(max_examples=60, stateful_step_count=40)
TestJumpingClock = JumpingClock.TestCase
