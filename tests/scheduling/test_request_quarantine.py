"""Evidence on requests that crash workers: order-independent, counted once, kept for limited time.

Guards against a request that crashes worker after worker: users lost eighteen workers to one
request, since each gateway and each call evaluated it in isolation.
"""

from itertools import permutations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from corkcrank.machines.heartbeat import Heartbeat
from corkcrank.machines.heartbeat_codec import encode_heartbeat
from corkcrank.scheduling.crash_records import (
    MAX_RECORDS,
    SETTLE_SECONDS,
    CrashRecords,
)
from corkcrank.scheduling.crash_report_schedule import (
    MAX_REPORTS_PER_HEARTBEAT,
    SUSPECT_REPORT_SECONDS,
)
from corkcrank.scheduling.crash_reports import (
    CrashReport,
    RequestAtCrash,
)
from corkcrank.scheduling.crash_verdicts import (
    MIN_CERTAINTY_CRASHES,
    MIN_QUARANTINE_CRASHES,
    judge_requests,
)
from corkcrank.scheduling.probation_trials import TRIAL_SECONDS
from corkcrank.scheduling.quarantine_times import (
    MAX_QUARANTINE_SECONDS,
    MIN_QUARANTINE_SECONDS,
)
from corkcrank.scheduling.request_quarantine import (
    EVIDENCE_RETENTION_SECONDS,
    RequestQuarantine,
    RequestState,
)

REQUEST = "0123456789abcdef"
NEIGHBOUR = "fedcba9876543210"
WORKERS = ["one 1", "two 1", "three 1"]
HEARTBEAT = 0.25
LATENCY = 0.001


def deliver_reports(source: RequestQuarantine, target: RequestQuarantine, now: float) -> None:
    for crash_report in source.crash_reports(now, HEARTBEAT):
        target.apply_report(crash_report, now + LATENCY)
    for trial in source.trial_reports(now, HEARTBEAT):
        target.apply_trial_report(trial, now + LATENCY)


def crash_report(worker_id: str, age: float, *requests: str) -> CrashReport:
    items = [RequestAtCrash(request) for request in requests]
    return CrashReport.from_requests(worker_id, age, items, incomplete=False)


def quarantine_with_three_crashes(now: float = -SETTLE_SECONDS) -> RequestQuarantine:
    """Return a quarantine with three crashes at a time; by default they are decidable at time 0."""
    quarantine = RequestQuarantine()
    for worker_id in WORKERS:
        quarantine.record_crash(REQUEST, worker_id, now)
    return quarantine


def test_too_few_crashes_do_not_quarantine_a_request() -> None:
    quarantine = RequestQuarantine()
    for worker_id in WORKERS[: MIN_QUARANTINE_CRASHES - 1]:
        quarantine.record_crash(REQUEST, worker_id, 0.0)
    for now in (0.0, SETTLE_SECONDS):
        assert quarantine.state(REQUEST, now) is RequestState.SUSPECTED
        assert quarantine.seconds_left(REQUEST, now) == 0.0
        assert quarantine.seconds_to_wait(REQUEST, now) == 0.0


def test_the_last_required_crash_starts_the_quarantine() -> None:
    quarantine = quarantine_with_three_crashes(now=0.0)
    assert quarantine.seconds_left(REQUEST, 2.0) == MIN_QUARANTINE_SECONDS - 2.0


def test_one_worker_counts_once_regardless_of_the_calls_it_interrupted() -> None:
    quarantine = RequestQuarantine()
    assert [quarantine.record_crash(REQUEST, "one 1", at) for at in (0.0, 0.1)] == [True, False]
    assert quarantine.state(REQUEST, 0.2) is RequestState.SUSPECTED
    assert quarantine.state(REQUEST, SETTLE_SECONDS + 0.1) is RequestState.SUSPECTED


@pytest.mark.parametrize("order", list(permutations(range(3))))
def test_crashes_seen_by_three_gateways_add_up_at_every_gateway(order: tuple[int, ...]) -> None:
    gateways = [RequestQuarantine() for _ in range(4)]
    for gateway, worker_id in zip(gateways, WORKERS, strict=False):
        gateway.record_crash(REQUEST, worker_id, 0.0)
    for _ in range(2):
        for source in order:
            for target in gateways:
                deliver_reports(gateways[source], target, 0.1)
    assert all(gateway.seconds_to_wait(REQUEST, 0.2) > 0.0 for gateway in gateways)
    settled = 0.2 + SETTLE_SECONDS
    assert all(gateway.seconds_left(REQUEST, settled) > 0.0 for gateway in gateways)


def test_a_successful_run_clears_a_request_despite_late_old_reports() -> None:
    first, second = quarantine_with_three_crashes(), RequestQuarantine()
    old = first.crash_reports(0.1, HEARTBEAT)
    assert len(old) == len(WORKERS)
    assert first.record_success(REQUEST, 0.2)
    deliver_reports(first, second, 0.3)
    for gateway in (first, second):
        for item in old:
            gateway.apply_report(item, 0.4)
        for now in (0.5, 0.5 + SETTLE_SECONDS):
            assert gateway.state(REQUEST, now) is RequestState.HEALTHY


def test_relaying_reports_back_and_forth_shifts_no_time() -> None:
    first, second = quarantine_with_three_crashes(now=0.0), RequestQuarantine()
    now = 0.0
    for _ in range(1000):
        deliver_reports(first, second, now)
        deliver_reports(second, first, now + LATENCY)
        now += 2 * LATENCY
    assert first.seconds_left(REQUEST, now) == pytest.approx(MIN_QUARANTINE_SECONDS - now, abs=1e-6)
    assert second.seconds_left(REQUEST, now) == pytest.approx(
        MIN_QUARANTINE_SECONDS - now, abs=0.01
    )


def test_on_probation_one_gateway_sends_the_request_at_a_time() -> None:
    first, second = quarantine_with_three_crashes(), RequestQuarantine()
    deliver_reports(first, second, 0.1)
    now = MIN_QUARANTINE_SECONDS + 1.0
    assert first.state(REQUEST, now) is second.state(REQUEST, now) is RequestState.PROBATION
    assert first.seconds_left(REQUEST, now) == second.seconds_left(REQUEST, now) == 0.0
    assert first.record_sent(REQUEST, now)
    deliver_reports(first, second, now)
    assert second.seconds_left(REQUEST, now + 0.1) == pytest.approx(TRIAL_SECONDS - 0.1, abs=0.01)
    assert second.seconds_left(REQUEST, now + TRIAL_SECONDS + 0.1) == 0.0


def test_a_failed_trial_doubles_the_quarantine() -> None:
    quarantine = quarantine_with_three_crashes()
    now = MIN_QUARANTINE_SECONDS + 1.0
    quarantine.record_sent(REQUEST, now)
    quarantine.record_crash(REQUEST, "one 2", now + 0.1)
    assert quarantine.seconds_left(REQUEST, now + 0.1) == pytest.approx(2 * MIN_QUARANTINE_SECONDS)


def test_no_quarantine_exceeds_the_maximum() -> None:
    quarantine = RequestQuarantine()
    for number in range(100):
        quarantine.record_crash(REQUEST, f"worker {number}", 0.0)
    left = quarantine.seconds_left(REQUEST, SETTLE_SECONDS)
    assert left == MAX_QUARANTINE_SECONDS - SETTLE_SECONDS


def test_crashes_without_a_quarantine_are_removed_after_a_while() -> None:
    quarantine = RequestQuarantine()
    quarantine.record_crash(REQUEST, WORKERS[0], 0.0)
    quarantine.crash_reports(EVIDENCE_RETENTION_SECONDS + 1.0, HEARTBEAT)
    assert quarantine.empty


def test_a_gateway_that_starts_late_receives_every_quarantine() -> None:
    first, late = RequestQuarantine(), RequestQuarantine()
    requests = [f"{number:016x}" for number in range(5 * MAX_REPORTS_PER_HEARTBEAT)]
    for request in requests:
        for worker_id in WORKERS:
            first.record_crash(request, f"{worker_id} under {request}", 0.0)
    for beat in range(40):
        deliver_reports(first, late, 10.0 + beat * HEARTBEAT)
    assert all(late.seconds_left(request, 20.0) > 0.0 for request in requests)


def test_thousands_of_crashing_requests_exceed_neither_memory_nor_heartbeat_bounds() -> None:
    quarantine = quarantine_with_three_crashes()
    for number in range(5000):
        quarantine.record_crash(
            f"{number:016x}", f"i-{number:08x} 1764000000000", 1.0 + number / 1000
        )
    assert len(quarantine.records) == MAX_RECORDS
    assert len(quarantine.records.requests()) <= MAX_RECORDS
    assert quarantine.state(REQUEST, 6.0) is RequestState.QUARANTINED
    sent_reports = quarantine.crash_reports(6.0, HEARTBEAT)
    assert len(sent_reports) == MAX_REPORTS_PER_HEARTBEAT
    plain = Heartbeat("n", 1, "z", "10.0.0.1:1", 1, 0.25)
    longer = msgspec.structs.replace(plain, crashes=sent_reports)
    assert len(encode_heartbeat(longer)) - len(encode_heartbeat(plain)) < 400


def test_a_heartbeat_without_crash_reports_spends_no_byte_on_them() -> None:
    """Guards heartbeat sizes of loads without crashes.

    One more byte in each heartbeat of a simulated load changed its credit from 0.978 to 0.984.
    """
    plain = Heartbeat("n", 1, "z", "10.0.0.1:1", 1, 0.25)
    fields = msgspec.structs.astuple(plain)
    assert fields[-1] == ()
    assert encode_heartbeat(plain) == encode_heartbeat(msgspec.structs.replace(plain, crashes=()))
    with_crash = msgspec.structs.replace(plain, crashes=(crash_report("one 1", 0.0, REQUEST),))
    assert len(encode_heartbeat(plain)) < len(encode_heartbeat(with_crash))


def test_a_neighbour_of_a_crashing_request_is_not_blamed() -> None:
    """Guards a stream that was moved to each engine shortly before a request crashed that engine.

    A soak run with four gateways quarantined the stream, since both were at the same workers.
    """
    quarantine = RequestQuarantine()
    for number, worker_id in enumerate(WORKERS):
        quarantine.record_crash(NEIGHBOUR, worker_id, float(number), progressed=number == 0)
        quarantine.record_crash(REQUEST, worker_id, float(number))
    settled = 2.0 + SETTLE_SECONDS
    assert quarantine.blamed_requests(settled) == [REQUEST]
    assert quarantine.state(NEIGHBOUR, settled) is RequestState.SUSPECTED


def test_neighbours_are_released_once_more_evidence_arrives() -> None:
    """The crashes of the neighbour are known first; reports of other gateways arrive later."""
    quarantine = RequestQuarantine()
    for worker_id in WORKERS:
        quarantine.record_crash(NEIGHBOUR, worker_id, 0.0)
    now = SETTLE_SECONDS
    assert quarantine.blamed_requests(now) == [NEIGHBOUR]
    for worker_id in [*WORKERS, "four 1"]:
        quarantine.apply_report(crash_report(worker_id, now, REQUEST), now)
    assert quarantine.blamed_requests(now) == []
    assert quarantine.blamed_requests(now + SETTLE_SECONDS) == [REQUEST]


def test_the_next_crash_decides_between_two_requests_that_explain_the_same_crashes() -> None:
    """Guards a call that was moved with the crashing request three times and began when it did.

    Its fingerprint sorted first, so two soak runs quarantined it instead of the crashing request.
    """
    for neighbour in ("0" * 16, "f" * 16):
        quarantine = RequestQuarantine()
        for worker_id in WORKERS:
            quarantine.record_crash(neighbour, worker_id, 0.0)
            quarantine.record_crash(REQUEST, worker_id, 0.0)
        assert quarantine.blamed_requests(SETTLE_SECONDS) == []
        quarantine.record_crash(REQUEST, "four 1", 2.0)
        assert quarantine.blamed_requests(2.0 + SETTLE_SECONDS) == [REQUEST]
        assert quarantine.state(neighbour, 2.0 + SETTLE_SECONDS) is RequestState.SUSPECTED


@given(st.lists(st.sets(st.integers(0, 5), max_size=5), min_size=1, max_size=5))
def test_requests_that_share_no_worker_need_no_comparison_with_each_other(
    crashed_workers: list[set[int]],
) -> None:
    """Comparing only requests that share a worker gives the verdict of comparing all pairs."""
    records = CrashRecords()
    ends = {f"{number:016x}": workers for number, workers in enumerate(crashed_workers)}
    for request, workers in ends.items():
        for worker in workers:
            item = RequestAtCrash(request)
            records.add_request(f"worker {worker}", 0.0, item, 0.0)
    first = [
        request
        for request, own in ends.items()
        if len(own) >= MIN_QUARANTINE_CRASHES
        and all(own - other for key, other in ends.items() if key != request)
    ]
    certain = [request for request, own in ends.items() if len(own) >= MIN_CERTAINTY_CRASHES]
    blamed = judge_requests(records)
    assert bool(blamed) == bool(first or certain)
    for request in certain:
        others = set().union(*(ends[key] for key in blamed if key != request))
        assert request in blamed or ends[request] <= others


def test_progressed_runs_need_more_crashes_for_a_quarantine() -> None:
    quarantine = RequestQuarantine()
    states = []
    for number in range(MIN_CERTAINTY_CRASHES):
        quarantine.record_crash(REQUEST, f"worker {number}", 0.0, progressed=True)
        states.append(quarantine.state(REQUEST, SETTLE_SECONDS))
    assert states == [RequestState.SUSPECTED] * 4 + [RequestState.QUARANTINED]


def test_two_crashing_requests_are_both_blamed_in_time() -> None:
    """Both begin at the same three workers; the one that is not blamed is sent again."""
    quarantine = RequestQuarantine()
    for worker_id in WORKERS:
        quarantine.record_crash(REQUEST, worker_id, 0.0)
        quarantine.record_crash(NEIGHBOUR, worker_id, 0.0)
    sent, now = 0, SETTLE_SECONDS
    while free := {REQUEST, NEIGHBOUR} - set(quarantine.blamed_requests(now)):
        sent += 1
        quarantine.record_crash(min(free), f"later {sent}", now)
        now += SETTLE_SECONDS
    ends = [len(quarantine.records.for_request(request)) for request in (REQUEST, NEIGHBOUR)]
    assert max(ends) <= MIN_CERTAINTY_CRASHES


def test_partitioned_gateways_merge_their_evidence_afterwards() -> None:
    gateways = [RequestQuarantine() for _ in range(3)]
    for gateway, worker_id in zip(gateways, WORKERS, strict=True):
        gateway.record_crash(REQUEST, worker_id, 0.0)
    now = 30.0
    for _ in range(3):
        now += SUSPECT_REPORT_SECONDS
        for source in gateways:
            reports = source.crash_reports(now, HEARTBEAT)
            for target in gateways:
                for item in reports:
                    target.apply_report(item, now)
    now += SETTLE_SECONDS
    assert all(gateway.seconds_left(REQUEST, now) > 0.0 for gateway in gateways)


def test_a_crash_reported_with_its_age_has_that_age_at_the_receiver() -> None:
    quarantine = RequestQuarantine()
    for worker_id in WORKERS:
        quarantine.apply_report(crash_report(worker_id, 20.0, REQUEST), 100.0)
    left = quarantine.seconds_left(REQUEST, 100.0 + SETTLE_SECONDS)
    assert left == pytest.approx(MIN_QUARANTINE_SECONDS - 20.0 - SETTLE_SECONDS)
