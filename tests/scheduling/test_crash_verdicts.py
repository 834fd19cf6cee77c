"""Verdicts on requests that share workers agree at all gateways, in any order of reports.

Guards against blaming a neighbour: an ordinary stream that was moved three times together with a
crashing request was quarantined at all gateways.
"""

import random
from itertools import permutations, product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from corkcrank.scheduling.crash_records import (
    MAX_SETTLE_SECONDS,
    SETTLE_SECONDS,
    CrashRecords,
)
from corkcrank.scheduling.crash_reports import (
    MAX_REPORT_AGE_SECONDS,
    MAX_REQUESTS_PER_CRASH,
    CrashReport,
    RequestAtCrash,
)
from corkcrank.scheduling.crash_verdicts import judge_requests
from corkcrank.scheduling.request_quarantine import (
    MAX_TURNS,
    MIN_TURN_CRASHES,
    TURN_SECONDS,
    RequestQuarantine,
    RequestState,
)

CRASHING = "c" * 16
ORDINARY = "0" * 16
WORKERS = ["seven 1", "eight 1", "nine 1"]
HEARTBEAT = 0.25


def suspects(count: int, source: random.Random) -> list[tuple[str, str]]:
    """Return other requests, each with a worker that crashed while running it."""
    return [(f"{number:016x}", f"other {source.randrange(20)}") for number in range(1, count + 1)]


def is_quarantined(quarantine: RequestQuarantine, request: str, now: float) -> bool:
    return quarantine.state(request, now) is RequestState.QUARANTINED


def quarantine_with_shared_crashes() -> RequestQuarantine:
    quarantine = RequestQuarantine()
    for worker_id in WORKERS:
        quarantine.record_crash(ORDINARY, worker_id, 0.0)
        quarantine.record_crash(CRASHING, worker_id, 0.0)
    return quarantine


@pytest.mark.parametrize("orders", list(product(permutations((CRASHING, ORDINARY)), repeat=3)))
def test_the_request_that_is_recorded_first_is_not_blamed_for_the_crash(
    orders: tuple[tuple[str, str], ...],
) -> None:
    quarantine = RequestQuarantine()
    now = 0.0
    for worker_id, order in zip(WORKERS, orders, strict=True):
        for request in order:
            now += 0.001
            quarantine.record_crash(request, worker_id, now)
            assert not is_quarantined(quarantine, ORDINARY, now)
        now += 0.05
    for step in range(40):
        assert not is_quarantined(quarantine, ORDINARY, now + step * 0.1)


@settings(max_examples=200, deadline=None)
@given(count=st.integers(0, 60), seed=st.integers(0, 10_000), rounds=st.integers(1, 30))
def test_a_gateway_that_starts_late_never_blames_on_partial_reports(
    count: int, seed: int, rounds: int
) -> None:
    """The gateway that knew both requests exits after some heartbeats."""
    source = random.Random(seed)
    crashes = suspects(count, source)
    crashes += [(request, worker) for worker in WORKERS for request in (CRASHING, ORDINARY)]
    source.shuffle(crashes)
    before, late = RequestQuarantine(), RequestQuarantine()
    for request, worker_id in crashes:
        before.record_crash(request, worker_id, 0.0)
    now = 6.0
    for _ in range(rounds):
        now += HEARTBEAT
        for report in before.crash_reports(now, HEARTBEAT):
            late.apply_report(report, now)
        assert not is_quarantined(late, ORDINARY, now)
    assert not is_quarantined(late, ORDINARY, now + MAX_SETTLE_SECONDS)


def test_requests_that_share_crashes_wait_for_the_verdict_and_are_sent_one_at_a_time() -> None:
    quarantine = quarantine_with_shared_crashes()
    assert quarantine.seconds_to_wait(ORDINARY, 0.1) == pytest.approx(SETTLE_SECONDS - 0.1)
    assert quarantine.seconds_to_wait(ORDINARY, SETTLE_SECONDS) == 0.0
    later = SETTLE_SECONDS + TURN_SECONDS
    assert quarantine.seconds_to_wait(CRASHING, SETTLE_SECONDS) == pytest.approx(TURN_SECONDS)
    assert quarantine.seconds_to_wait(CRASHING, later) == 0.0


def test_requests_are_sent_one_at_a_time_from_their_second_shared_crash_on() -> None:
    quarantine = RequestQuarantine()
    for number, worker_id in enumerate(WORKERS[:MIN_TURN_CRASHES]):
        assert quarantine.seconds_to_wait(CRASHING, float(number)) == 0.0
        for request in (CRASHING, ORDINARY):
            quarantine.record_crash(request, worker_id, float(number))
    assert quarantine.seconds_to_wait(ORDINARY, 1.0) == 0.0
    assert quarantine.seconds_to_wait(CRASHING, 1.0) == TURN_SECONDS


def test_a_request_waits_for_a_bounded_number_of_others() -> None:
    quarantine = RequestQuarantine()
    for number in range(50):
        for worker_id in WORKERS[:MIN_TURN_CRASHES]:
            quarantine.record_crash(f"{number:016x}", worker_id, 0.0)
    waits = [quarantine.seconds_to_wait(f"{number:016x}", 0.0) for number in range(50)]
    assert max(waits) == MAX_TURNS * TURN_SECONDS


def test_late_requests_delay_a_verdict_within_a_bound() -> None:
    quarantine = quarantine_with_shared_crashes()
    now = 0.0
    while now < 2 * MAX_SETTLE_SECONDS:
        now += SETTLE_SECONDS / 2
        for worker_id in WORKERS:
            quarantine.record_crash(f"{int(now * 1000):016x}", worker_id, now)
        waits_until = now + quarantine.seconds_to_wait(ORDINARY, now)
        assert waits_until <= max(now, MAX_SETTLE_SECONDS + MAX_TURNS * TURN_SECONDS)


def test_a_neighbour_with_more_ends_is_not_blamed_before_two_crashing_requests() -> None:
    """The neighbour shared one worker with the first, then all workers of the second."""
    second = "d" * 16
    quarantine = RequestQuarantine()
    for worker_id in ("one 1", "two 1", "three 1"):
        quarantine.record_crash(second, worker_id, 0.0)
    quarantine.record_crash(ORDINARY, "one 1", 0.0)
    for worker_id in WORKERS:
        quarantine.record_crash(CRASHING, worker_id, 0.0)
        quarantine.record_crash(ORDINARY, worker_id, 0.0)
    assert quarantine.blamed_requests(SETTLE_SECONDS) == [second]
    quarantine.record_crash(CRASHING, "four 1", SETTLE_SECONDS)
    assert quarantine.blamed_requests(2 * SETTLE_SECONDS) == [CRASHING, second]


def test_unreported_requests_of_a_failed_gateway_do_not_lead_to_blame_of_others() -> None:
    """It had reported two crashes of the crashing request, and died right after the third."""
    quarantine = RequestQuarantine()
    for worker_id in WORKERS:
        quarantine.record_crash(ORDINARY, worker_id, 1.0)
    for worker_id in WORKERS[:2]:
        quarantine.record_crash(CRASHING, worker_id, 1.0)
    assert quarantine.record_gateway_failure(last_heard_at=0.9, now=2.1)
    assert quarantine.blamed_requests(1.0 + SETTLE_SECONDS) == []
    for number in range(3):
        quarantine.record_crash(CRASHING, f"later {number}", 4.0)
    assert quarantine.blamed_requests(4.0 + SETTLE_SECONDS) == [CRASHING]


def test_an_incomplete_record_is_reported_as_incomplete() -> None:
    first, second = quarantine_with_shared_crashes(), RequestQuarantine()
    first.record_gateway_failure(last_heard_at=0.0, now=0.1)
    for report in first.crash_reports(0.2, HEARTBEAT):
        second.apply_report(report, 0.2)
    assert all(record.incomplete for record in second.records)


def test_a_worker_with_more_requests_than_a_record_holds_gets_an_incomplete_record() -> None:
    records = CrashRecords()
    for number in range(MAX_REQUESTS_PER_CRASH + 1):
        item = RequestAtCrash(f"{number:016x}")
        records.add_request("w 1", 0.0, item, 0.0)
    (record,) = records
    assert record.incomplete
    report = record.to_report(0.0)
    assert (len(report.requests()), report.problem()) == (MAX_REQUESTS_PER_CRASH, "")


BAD_REPORTS = {
    "no worker": CrashReport("", 0.0, b"", b""),
    "a negative age": CrashReport("w", -0.1, b"", b""),
    "an age that is no number": CrashReport("w", float("nan"), b"", b""),
    "an age beyond what is remembered": CrashReport("w", MAX_REPORT_AGE_SECONDS + 1.0, b"", b""),
    "half a fingerprint": CrashReport("w", 0.0, bytes(4), b"\x00"),
    "a thousand requests": CrashReport("w", 0.0, bytes(8 * 1000), bytes(1000)),
    "an unknown mark": CrashReport("w", 0.0, bytes(8), b"\x07"),
}


@pytest.mark.parametrize("report", BAD_REPORTS.values(), ids=BAD_REPORTS.keys())
def test_an_invalid_report_states_its_problem(report: CrashReport) -> None:
    assert report.problem()


class CrashMachine(RuleBasedStateMachine):
    """Three gateways with requests at the same workers; reports are lost, delayed and repeated.

    The reference is which request was at which worker. Gateways restart without state and read the
    history of one other gateway.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.gateways = [RequestQuarantine() for _ in range(3)]
        self.ends = 0
        self.at: dict[str, set[str]] = {}
        self.reports_in_transit: list[CrashReport] = []

    @rule(
        requests=st.dictionaries(
            st.integers(0, 4),
            st.tuples(st.integers(0, 2), st.booleans()),
            max_size=4,
        )
    )
    def worker_crashes(self, requests: dict[int, tuple[int, bool]]) -> None:
        self.ends += 1
        worker_id = f"w{self.ends}"
        for number, (gateway, progressed) in requests.items():
            request = f"{number:016x}"
            self.at.setdefault(worker_id, set()).add(request)
            self.gateways[gateway].record_crash(request, worker_id, self.now, progressed=progressed)

    @rule(gateway=st.integers(0, 2), request=st.integers(0, 4))
    def request_completes(self, gateway: int, request: int) -> None:
        self.gateways[gateway].record_success(f"{request:016x}", self.now)

    @rule(gateway=st.integers(0, 2))
    def send_heartbeat(self, gateway: int) -> None:
        self.reports_in_transit.extend(self.gateways[gateway].crash_reports(self.now, HEARTBEAT))

    @rule(gateway=st.integers(0, 2), data=st.data())
    def report_arrives(self, gateway: int, data: st.DataObject) -> None:
        if self.reports_in_transit:
            crash_report = data.draw(st.sampled_from(self.reports_in_transit))
            self.gateways[gateway].apply_report(crash_report, self.now)

    @rule(gateway=st.integers(0, 2), other=st.integers(0, 2))
    def restart(self, gateway: int, other: int) -> None:
        history = self.gateways[other].all_crash_reports(self.now)
        self.gateways[gateway] = RequestQuarantine()
        for crash_report in history if gateway != other else ():
            self.gateways[gateway].apply_report(crash_report, self.now)

    @rule(gateway=st.integers(0, 2), silent=st.floats(0.0, 2.0))
    def member_fails(self, gateway: int, silent: float) -> None:
        self.gateways[gateway].record_gateway_failure(self.now - silent, self.now)

    @rule(seconds=st.floats(0.01, 1.5))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def exchange_all_reports(self) -> None:
        """All verdicts agree once all reports were exchanged and all records are decidable."""
        for source in self.gateways:
            for crash_report in source.all_crash_reports(self.now):
                for target in self.gateways:
                    target.apply_report(crash_report, self.now)
        settled = self.now + MAX_SETTLE_SECONDS
        first, *others = (gateway.blamed_requests(settled) for gateway in self.gateways)
        assert all(other == first for other in others)

    @invariant()
    def verdicts_do_not_depend_on_the_order_of_records(self) -> None:
        for gateway in self.gateways:
            records = list(gateway.records)
            assert judge_requests(records) == judge_requests(reversed(records))

    @invariant()
    def records_name_only_requests_that_were_at_the_worker(self) -> None:
        for gateway in self.gateways:
            for record in gateway.records:
                assert set(record.requests) <= self.at[record.worker_id]

    @invariant()
    def a_blamed_request_was_at_three_crashes_at_least(self) -> None:
        for gateway in self.gateways:
            for request in gateway.blamed_requests(self.now):
                ends = [worker for worker, there in self.at.items() if request in there]
                assert len(ends) >= len(WORKERS)


CrashMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
TestCrashMachine = CrashMachine.TestCase
