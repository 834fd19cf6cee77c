"""Guards against daemons that revert to or admit under an old configuration version.

Daemons receive versions late, twice or out of order. Operators that confirm plans at the
same time, with table answers lost, must each see the result of their own plan.
"""

import asyncio
import random
from collections.abc import Sequence

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from corkcrank.contracts import table_keys
from corkcrank.contracts.adoption import CONFIRMATION_LIMIT_SECONDS, ConfigurationAdoption
from corkcrank.contracts.configuration import Configuration, Tier, decode_configuration
from corkcrank.contracts.identifiers import WorkerId
from corkcrank.contracts.plans import DrainWorker, ReplaceConfiguration
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.controller import planning
from corkcrank.controller.planning import Planner
from corkcrank.links.table import (
    Committed,
    Condition,
    Conflicted,
    Row,
    Rows,
    Unanswered,
    Write,
)

DAEMONS = 4


class AdoptionMachine(RuleBasedStateMachine):
    """Daemons that receive versions late, twice, out of order, or not at all."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.committed = 1
        self.committed_at = {1: 0.0}
        self.daemons = [ConfigurationAdoption() for _ in range(DAEMONS)]
        self.highest = [0] * DAEMONS

    @rule()
    def commit_version(self) -> None:
        self.committed += 1
        self.committed_at[self.committed] = self.now

    @rule(seconds=st.sampled_from((0.1, 1.0, 6.0, 60.0)))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @rule(number=st.integers(0, DAEMONS - 1), age=st.sampled_from((0.0, 0.5, 30.0)))
    def apply_response(self, number: int, age: float) -> None:
        # The process reads the response only now; it may have been frozen since the request.
        asked_at = max(0.0, self.now - age)
        known = max(v for v, at in self.committed_at.items() if at <= asked_at)
        self.daemons[number].record_confirmed_version(known, asked_at)

    @rule(number=st.integers(0, DAEMONS - 1), version=st.integers(1, 50))
    def receive_announcement(self, number: int, version: int) -> None:
        self.daemons[number].record_announced_version(min(version, self.committed))

    @rule(number=st.integers(0, DAEMONS - 1), version=st.integers(1, 50))
    def fetch_configuration(self, number: int, version: int) -> None:
        configuration = Configuration(version=min(version, self.committed))
        self.daemons[number].adopt_if_newer(configuration, self.now)

    @invariant()
    def versions_never_revert(self) -> None:
        for number, daemon in enumerate(self.daemons):
            daemon.validate()
            assert daemon.version >= self.highest[number]
            self.highest[number] = daemon.version

    @invariant()
    def no_daemon_admits_under_a_version_superseded_too_long_ago(self) -> None:
        for daemon in self.daemons:
            newer_at = self.committed_at.get(daemon.version + 1)
            if newer_at is not None and daemon.may_admit(self.now):
                assert self.now - newer_at <= CONFIRMATION_LIMIT_SECONDS


def test_adoption_holds_over_12000_rules() -> None:
    run_state_machine_as_test(
        AdoptionMachine, settings=settings(max_examples=200, stateful_step_count=60)
    )


class FaultyTable:
    """An in-memory table; answers are lost before or after a write took effect."""

    def __init__(self, source: random.Random) -> None:
        self.rows: dict[str, Row] = {}
        self.revision = 0
        self.source = source
        self.faulty = True

    def row(self, key: str) -> Row:
        return self.rows.get(key, Row(key, 0, None))

    async def read(self, keys: Sequence[str]) -> Rows | Unanswered:
        await asyncio.sleep(0)
        if self.faulty and self.source.random() < 0.1:
            return Unanswered("outage")
        return Rows(tuple(self.row(key) for key in keys))

    async def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Committed | Conflicted | Unanswered:
        for _ in range(self.source.randrange(3)):
            await asyncio.sleep(0)
        draw = self.source.random() if self.faulty else 1.0
        if draw < 0.1:
            return Unanswered("lost before")
        outcome = self.apply(conditions, writes)
        return Unanswered("lost after") if draw < 0.3 else outcome

    def apply(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Committed | Conflicted:
        failed = [c for c in conditions if self.row(c.key).revision != c.revision]
        if failed:
            return Conflicted(tuple(self.row(c.key) for c in failed))
        self.revision += 1
        for write in writes:
            self.rows[write.key] = Row(write.key, self.revision, write.value)
        return Committed(tuple(self.row(write.key) for write in writes))


async def drain_as_operator(
    table: FaultyTable, name: str, confirmed: list[tuple[str, int]]
) -> None:
    planner = Planner(table)
    worker = WorkerId(name)
    for _ in range(6):
        plan = await planner.create_plan(DrainWorker(worker))
        if plan.is_error():
            continue
        answer = await planner.confirm(plan.ok.plan_id)
        if answer.is_ok() and answer.ok.code == ResultCode.OK.number:
            confirmed.append((name, answer.ok.version))
            return
        if answer.is_ok():
            assert answer.ok.code == ResultCode.PLAN_STALE.number
            assert answer.ok.fresh_plan is not None


@settings(max_examples=150)
@given(seed=st.integers(0, 1 << 32))
def test_concurrent_operators_each_confirm_their_own_plan(seed: int) -> None:
    planning.CONFIRM_RETRY_PAUSE_SECONDS = 0.0
    table = FaultyTable(random.Random(seed))
    confirmed: list[tuple[str, int]] = []

    async def race() -> None:
        names = [f"w{number}" for number in range(4)]
        await asyncio.gather(*(drain_as_operator(table, name, confirmed) for name in names))

    asyncio.run(race())
    versions = [version for _, version in confirmed]
    assert len(set(versions)) == len(versions), "two confirmations have the same version"
    head = table.row(table_keys.CONFIGURATION_HEAD_KEY)
    assert head.value is None or int(head.value) == max(versions, default=0)
    for name, version in confirmed:
        document = table.row(table_keys.configuration_document_key(version)).value
        assert document is not None
        assert name in decode_configuration(document.encode()).drained_workers


async def test_stale_plan_is_refused_and_returned_with_a_fresh_plan() -> None:
    table = FaultyTable(random.Random(1))
    table.faulty = False
    planner = Planner(table)
    first = (await planner.create_plan(DrainWorker(WorkerId("a")))).ok
    second = (await planner.create_plan(DrainWorker(WorkerId("b")))).ok
    assert (await planner.confirm(first.plan_id)).ok.version == 1
    stale = (await planner.confirm(second.plan_id)).ok
    assert stale.code == ResultCode.PLAN_STALE.number
    assert stale.fresh_plan is not None
    assert stale.fresh_plan.base_version == 1
    assert (await planner.confirm(first.plan_id)).ok.version == 1, (
        "a repeated confirmation must change nothing"
    )


async def test_replacement_and_undrain_of_unknown_worker_are_accepted() -> None:
    table = FaultyTable(random.Random(1))
    table.faulty = False
    one_tier = Configuration(version=0, tiers=(Tier("a", 0),), services=())
    replacement = ReplaceConfiguration(one_tier)
    assert (await Planner(table).create_plan(replacement)).is_ok()
    undrain = DrainWorker(WorkerId("a"), drained=False)
    assert (await Planner(table).create_plan(undrain)).ok.changes == ()
