"""Claims against a model of the table and of a back end that counts runs.

Several requests with few keys run at once; every table answer can be lost before or after
it took effect, inserts can land late, processes are killed or frozen at any step.
"""

import random

import pytest
from claims_world import BODIES, CALL_FATES, FATES, KEYS, ClaimsWorld
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from corkcrank.contracts.claims import (
    ClaimInstruction,
    ClaimProcess,
    ClaimRow,
    ClaimRowState,
    ClaimStarted,
    InsertClaim,
    RowSeen,
    SendCall,
)
from corkcrank.contracts.identifiers import AttemptId
from corkcrank.contracts.result_codes import Ran, ResultCode

MAXIMUM_REQUESTS = 3
MAXIMUM_STEPS_AT_ONCE = 6
WALK_STEPS = 200


class TakingOver(ClaimProcess):
    """Broken on purpose: takes a silent owner's claim over."""

    def _wait_for_other(self, now: float) -> list[ClaimInstruction]:
        return [self._insert(expected_revision=self.seen_revision)]

    def _on_row(self, event: RowSeen, now: float) -> list[ClaimInstruction]:
        self.seen_revision = event.revision
        return super()._on_row(event, now)


class Resending(ClaimProcess):
    """Broken on purpose: sends again after a cut."""

    def _on_call_broken(self) -> list[ClaimInstruction]:
        return [SendCall()] if not self.replied else []


class SayingNotRun(ClaimProcess):
    """Broken on purpose: calls an unanswered table a sure sign that nothing ran."""

    def _on_table_unanswered(self, now: float) -> list[ClaimInstruction]:
        return self._reply(ResultCode.CLAIM_STORE_UNAVAILABLE, Ran.NO)


class ClaimsMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.world = ClaimsWorld(ClaimProcess)

    @precondition(lambda self: len(self.world.requests) < MAXIMUM_REQUESTS)
    @rule(key=st.sampled_from(KEYS), body=st.sampled_from(BODIES), patience=st.floats(0.5, 5.0))
    def arrive(self, key: str, body: str, patience: float) -> None:
        self.world.arrive(key, body, patience)

    @precondition(lambda self: self.world.requests)
    @rule(
        data=st.data(),
        fates=st.lists(
            st.tuples(st.sampled_from(FATES), st.sampled_from(CALL_FATES)),
            min_size=1,
            max_size=MAXIMUM_STEPS_AT_ONCE,
        ),
    )
    def step(self, data: st.DataObject, fates: list[tuple[str, str]]) -> None:
        request = data.draw(st.sampled_from(self.world.requests))
        for fate, call in fates:
            self.world.step(request, fate, call)

    @rule(seconds=st.sampled_from((0.1, 0.5, 4.0)))
    def freeze(self, seconds: float) -> None:
        self.world.now += seconds

    @precondition(lambda self: self.world.requests)
    @rule(data=st.data())
    def reach_deadline(self, data: st.DataObject) -> None:
        self.world.reach_deadline(data.draw(st.sampled_from(self.world.requests)))

    @precondition(lambda self: len(self.world.requests) == MAXIMUM_REQUESTS)
    @rule(data=st.data())
    def kill(self, data: st.DataObject) -> None:
        self.world.requests.remove(data.draw(st.sampled_from(self.world.requests)))

    @precondition(lambda self: self.world.late_inserts)
    @rule()
    def land_late_insert(self) -> None:
        self.world.land_late_insert(0)

    @invariant()
    def holds(self) -> None:
        self.world.check()


def walk(world: ClaimsWorld, source: random.Random) -> None:
    """Take a long random walk through the world, checking after every step."""
    for _ in range(WALK_STEPS):
        draw = source.random()
        if len(world.requests) < MAXIMUM_REQUESTS:
            world.arrive(source.choice(KEYS), source.choice(BODIES), source.uniform(0.5, 20.0))
        elif draw < 0.03:
            world.requests.remove(source.choice(world.requests))
        elif draw < 0.06:
            world.reach_deadline(source.choice(world.requests))
        elif draw < 0.12 and world.late_inserts:
            world.land_late_insert(source.randrange(len(world.late_inserts)))
        else:
            world.now += source.choice((0.0, 0.1))
            world.step(
                source.choice(world.requests), source.choice(FATES), source.choice(CALL_FATES)
            )
        retire_settled(world)
        world.check()


def retire_settled(world: ClaimsWorld) -> None:
    world.requests = [item for item in world.requests if item.pending or item.records]


def test_claims_hold_over_15000_rules() -> None:
    steps = settings(max_examples=250, stateful_step_count=60)
    run_state_machine_as_test(ClaimsMachine, settings=steps)


@settings(max_examples=300)
@given(seed=st.integers(0, 1 << 32))
def test_claims_hold_over_60000_random_steps(seed: int) -> None:
    walk(ClaimsWorld(ClaimProcess), random.Random(seed))


@pytest.mark.parametrize("broken", [TakingOver, Resending, SayingNotRun])
def test_the_model_finds_broken_claims(broken: type[ClaimProcess]) -> None:
    @settings(max_examples=300, phases=[Phase.generate], report_multiple_bugs=False)
    @given(seed=st.integers(0, 1 << 32))
    def search(seed: int) -> None:
        walk(ClaimsWorld(broken), random.Random(seed))

    with pytest.raises(AssertionError, match="ran"):
        search()


def test_released_claim_can_be_claimed_again() -> None:
    process = ClaimProcess(AttemptId("second"), "body", deadline=10.0)
    process.handle(ClaimStarted(), 0.0)
    released = ClaimRow(AttemptId("first"), "body", ClaimRowState.RELEASED)
    instructions = process.handle(RowSeen(released, revision=4), 0.1)
    assert instructions == [
        InsertClaim(ClaimRow(AttemptId("second"), "body", ClaimRowState.CLAIMED), 4)
    ]
