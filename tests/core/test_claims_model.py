"""Guards against a call that runs twice, and against wrong answers on whether it ran.

Several requests with few keys run at once against a simulated table and a back end that
counts runs. Any table write can be lost before or after it took effect, inserts can be
applied late, and processes are killed or frozen at any step.
"""

import random

import pytest
from claims_world import BODIES, CALL_FATES, FATES, KEYS, ClaimsSimulation
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

MAX_REQUESTS = 3
MAX_STEPS_AT_ONCE = 6
WALK_STEPS = 200


class TakingOver(ClaimProcess):
    """Deliberate fault: takes over the claim of an owner that has recorded no outcome."""

    def _wait_for_other(self, now: float) -> list[ClaimInstruction]:
        return [self._insert_claim(expected_revision=self.seen_revision)]

    def _on_row_seen(self, event: RowSeen, now: float) -> list[ClaimInstruction]:
        self.seen_revision = event.revision
        return super()._on_row_seen(event, now)


class Resending(ClaimProcess):
    """Deliberate fault: sends the call again after an interruption."""

    def _on_call_interrupted(self) -> list[ClaimInstruction]:
        return [SendCall()] if not self.replied else []


class SayingNotRun(ClaimProcess):
    """Deliberate fault: replies "not run" if the table does not answer."""

    def _on_table_unanswered(self, now: float) -> list[ClaimInstruction]:
        return self._reply_once(ResultCode.CLAIM_STORE_UNAVAILABLE, Ran.NO)


class ClaimsMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.simulation = ClaimsSimulation(ClaimProcess)

    @precondition(lambda self: len(self.simulation.requests) < MAX_REQUESTS)
    @rule(key=st.sampled_from(KEYS), body=st.sampled_from(BODIES), patience=st.floats(0.5, 5.0))
    def start_request(self, key: str, body: str, patience: float) -> None:
        self.simulation.start_request(key, body, patience)

    @precondition(lambda self: self.simulation.requests)
    @rule(
        data=st.data(),
        fates=st.lists(
            st.tuples(st.sampled_from(FATES), st.sampled_from(CALL_FATES)),
            min_size=1,
            max_size=MAX_STEPS_AT_ONCE,
        ),
    )
    def step_request(self, data: st.DataObject, fates: list[tuple[str, str]]) -> None:
        request = data.draw(st.sampled_from(self.simulation.requests))
        for fate, call in fates:
            self.simulation.step_request(request, fate, call)

    @rule(seconds=st.sampled_from((0.1, 0.5, 4.0)))
    def freeze_process(self, seconds: float) -> None:
        self.simulation.now += seconds

    @precondition(lambda self: self.simulation.requests)
    @rule(data=st.data())
    def reach_deadline(self, data: st.DataObject) -> None:
        self.simulation.reach_deadline(data.draw(st.sampled_from(self.simulation.requests)))

    @precondition(lambda self: len(self.simulation.requests) == MAX_REQUESTS)
    @rule(data=st.data())
    def kill_process(self, data: st.DataObject) -> None:
        self.simulation.requests.remove(data.draw(st.sampled_from(self.simulation.requests)))

    @precondition(lambda self: self.simulation.late_inserts)
    @rule()
    def apply_late_insert(self) -> None:
        self.simulation.apply_late_insert(0)

    @invariant()
    def invariants_hold(self) -> None:
        self.simulation.check_invariants()


def walk_randomly(simulation: ClaimsSimulation, source: random.Random) -> None:
    """Run a long random sequence of steps, with a check of the invariants after each one."""
    for _ in range(WALK_STEPS):
        draw = source.random()
        if len(simulation.requests) < MAX_REQUESTS:
            simulation.start_request(
                source.choice(KEYS), source.choice(BODIES), source.uniform(0.5, 20.0)
            )
        elif draw < 0.03:
            simulation.requests.remove(source.choice(simulation.requests))
        elif draw < 0.06:
            simulation.reach_deadline(source.choice(simulation.requests))
        elif draw < 0.12 and simulation.late_inserts:
            simulation.apply_late_insert(source.randrange(len(simulation.late_inserts)))
        else:
            simulation.now += source.choice((0.0, 0.1))
            simulation.step_request(
                source.choice(simulation.requests), source.choice(FATES), source.choice(CALL_FATES)
            )
        remove_finished_requests(simulation)
        simulation.check_invariants()


def remove_finished_requests(simulation: ClaimsSimulation) -> None:
    simulation.requests = [item for item in simulation.requests if item.pending or item.records]


def test_claims_hold_over_15000_rules() -> None:
    steps = settings(max_examples=250, stateful_step_count=60)
    run_state_machine_as_test(ClaimsMachine, settings=steps)


@settings(max_examples=300)
@given(seed=st.integers(0, 1 << 32))
def test_claims_hold_over_60000_random_steps(seed: int) -> None:
    walk_randomly(ClaimsSimulation(ClaimProcess), random.Random(seed))


@pytest.mark.parametrize("faulty_type", [TakingOver, Resending, SayingNotRun])
def test_simulation_detects_faulty_claims(faulty_type: type[ClaimProcess]) -> None:
    @settings(max_examples=300, phases=[Phase.generate], report_multiple_bugs=False)
    @given(seed=st.integers(0, 1 << 32))
    def search(seed: int) -> None:
        walk_randomly(ClaimsSimulation(faulty_type), random.Random(seed))

    with pytest.raises(AssertionError, match="ran"):
        search()


def test_released_claim_can_be_claimed_again() -> None:
    process = ClaimProcess(AttemptId("second"), "body", deadline=10.0)
    process.handle_event(ClaimStarted(), 0.0)
    released = ClaimRow(AttemptId("first"), "body", ClaimRowState.RELEASED)
    instructions = process.handle_event(RowSeen(released, revision=4), 0.1)
    assert instructions == [
        InsertClaim(ClaimRow(AttemptId("second"), "body", ClaimRowState.CLAIMED), 4)
    ]
