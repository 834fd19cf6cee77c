"""One request at three gateways: evidence told in any order is counted once and agrees."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from corkcrank.scheduling.crash_records import LONGEST_SETTLE_SECONDS
from corkcrank.scheduling.crash_reports import CrashReport
from corkcrank.scheduling.crash_verdicts import QUARANTINE_ENDS
from corkcrank.scheduling.request_quarantine import (
    LONGEST_QUARANTINE_SECONDS,
    SUSPECT_SECONDS,
    RequestQuarantine,
)

REQUEST = "0123456789abcdef"
HEARTBEAT = 0.25


class QuarantineMachine(RuleBasedStateMachine):
    """Three gateways, reports lost, late, doubled and in any order, restarts, cuts.

    The truth is the set of workers that ended under the request. Good ends are left out here: what
    they clear depends on what was known where they were seen.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.gateways = [RequestQuarantine() for _ in range(3)]
        self.ended: set[str] = set()
        self.on_the_way: list[CrashReport] = []

    @rule(gateway=st.integers(0, 2), worker=st.integers(0, 5))
    def worker_ends(self, gateway: int, worker: int) -> None:
        name = f"w{worker}"
        self.ended.add(name)
        self.gateways[gateway].note_end(REQUEST, name, self.now)

    @rule(gateway=st.integers(0, 2))
    def beat(self, gateway: int) -> None:
        self.on_the_way.extend(self.gateways[gateway].reported(self.now, HEARTBEAT))

    @rule(gateway=st.integers(0, 2), data=st.data())
    def report_comes(self, gateway: int, data: st.DataObject) -> None:
        if self.on_the_way:
            told = data.draw(st.sampled_from(self.on_the_way))
            self.gateways[gateway].take(told, self.now)

    @rule(gateway=st.integers(0, 2))
    def restart(self, gateway: int) -> None:
        self.gateways[gateway] = RequestQuarantine()

    @rule(seconds=st.floats(0.0, 1.0))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def exchange(self) -> None:
        """Once every gateway has heard every other again, all hold the same."""
        for _ in range(2):
            self.now += SUSPECT_SECONDS
            for source in self.gateways:
                reports = source.reported(self.now, HEARTBEAT)
                for target in self.gateways:
                    for told in reports:
                        target.take(told, self.now)
        settled = self.now + LONGEST_SETTLE_SECONDS
        states = {gateway.state(REQUEST, settled) for gateway in self.gateways}
        assert len(states) == 1

    @invariant()
    def only_enough_ends_convict(self) -> None:
        if len(self.ended) < QUARANTINE_ENDS:
            assert all(gateway.seconds_left(REQUEST, self.now) == 0.0 for gateway in self.gateways)

    @invariant()
    def nobody_counts_an_end_that_was_none(self) -> None:
        for gateway in self.gateways:
            known = {record.worker_id for record in gateway.records.of_request(REQUEST)}
            assert known <= self.ended

    @invariant()
    def no_quarantine_outlasts_the_bound(self) -> None:
        for gateway in self.gateways:
            assert gateway.seconds_left(REQUEST, self.now) <= LONGEST_QUARANTINE_SECONDS


TestQuarantineMachine = QuarantineMachine.TestCase
TestQuarantineMachine.settings = settings(max_examples=200, stateful_step_count=30, deadline=None)
