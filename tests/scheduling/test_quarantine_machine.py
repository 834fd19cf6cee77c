"""One request at three gateways: evidence is counted once and agrees in any order of reports."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from corkcrank.scheduling.crash_records import MAX_SETTLE_SECONDS
from corkcrank.scheduling.crash_report_schedule import SUSPECT_REPORT_SECONDS
from corkcrank.scheduling.crash_reports import CrashReport
from corkcrank.scheduling.crash_verdicts import MIN_QUARANTINE_CRASHES
from corkcrank.scheduling.quarantine_times import MAX_QUARANTINE_SECONDS
from corkcrank.scheduling.request_quarantine import RequestQuarantine

REQUEST = "0123456789abcdef"
HEARTBEAT = 0.25


class QuarantineMachine(RuleBasedStateMachine):
    """Three gateways; reports are lost, delayed, repeated and reordered, and gateways restart.

    The reference is the set of workers that crashed while running the request. Successful runs are
    left out: what they clear depends on what was known at the gateway that observed them.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.gateways = [RequestQuarantine() for _ in range(3)]
        self.crashed_workers: set[str] = set()
        self.reports_in_transit: list[CrashReport] = []

    @rule(gateway=st.integers(0, 2), worker=st.integers(0, 5))
    def worker_crashes(self, gateway: int, worker: int) -> None:
        name = f"w{worker}"
        self.crashed_workers.add(name)
        self.gateways[gateway].record_crash(REQUEST, name, self.now)

    @rule(gateway=st.integers(0, 2))
    def send_heartbeat(self, gateway: int) -> None:
        self.reports_in_transit.extend(self.gateways[gateway].crash_reports(self.now, HEARTBEAT))

    @rule(gateway=st.integers(0, 2), data=st.data())
    def report_arrives(self, gateway: int, data: st.DataObject) -> None:
        if self.reports_in_transit:
            crash_report = data.draw(st.sampled_from(self.reports_in_transit))
            self.gateways[gateway].apply_report(crash_report, self.now)

    @rule(gateway=st.integers(0, 2))
    def restart(self, gateway: int) -> None:
        self.gateways[gateway] = RequestQuarantine()

    @rule(seconds=st.floats(0.0, 1.0))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def exchange_all_reports(self) -> None:
        """All gateways agree once each has received the reports of all others again."""
        for _ in range(2):
            self.now += SUSPECT_REPORT_SECONDS
            for source in self.gateways:
                reports = source.crash_reports(self.now, HEARTBEAT)
                for target in self.gateways:
                    for crash_report in reports:
                        target.apply_report(crash_report, self.now)
        settled = self.now + MAX_SETTLE_SECONDS
        states = {gateway.state(REQUEST, settled) for gateway in self.gateways}
        assert len(states) == 1

    @invariant()
    def too_few_crashes_do_not_quarantine(self) -> None:
        if len(self.crashed_workers) < MIN_QUARANTINE_CRASHES:
            assert all(gateway.seconds_left(REQUEST, self.now) == 0.0 for gateway in self.gateways)

    @invariant()
    def only_workers_that_crashed_are_counted(self) -> None:
        for gateway in self.gateways:
            known = {record.worker_id for record in gateway.records.for_request(REQUEST)}
            assert known <= self.crashed_workers

    @invariant()
    def no_quarantine_exceeds_the_maximum(self) -> None:
        for gateway in self.gateways:
            assert gateway.seconds_left(REQUEST, self.now) <= MAX_QUARANTINE_SECONDS


TestQuarantineMachine = QuarantineMachine.TestCase
TestQuarantineMachine.settings = settings(max_examples=200, stateful_step_count=30, deadline=None)
