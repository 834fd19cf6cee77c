"""Checks streams and stages under late, misdirected, truncated and duplicate answers."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corkcrank.contracts.identifiers import AttemptId, RequestId, TenantName, WorkerId
from corkcrank.contracts.messages import Passage, StageAnswer, StageCall, TokenChunk
from corkcrank.contracts.result_codes import Ran
from corkcrank.gateway.answer_checks import matches_stage_call
from corkcrank.gateway.retry import RetryBudget
from corkcrank.gateway.stage_process import (
    AbandonStage,
    AttemptAnswered,
    AttemptFailed,
    AttemptNotSent,
    FinishStage,
    IgnoreEvent,
    SendAttempt,
    StageEvent,
    StageInstruction,
    StageProcess,
    StageStarted,
)
from corkcrank.gateway.streams import StreamAssembler, StreamGapError

LENGTH = 12
WHOLE = [f"t{index}" for index in range(LENGTH)]


def faulty_stream(source: random.Random, attempt: AttemptId, offset: int) -> list[TokenChunk]:
    """Return an engine's chunks with random duplicates, gaps, foreign chunks and truncation."""
    chunks: list[TokenChunk] = []
    for index in range(offset, LENGTH):
        chunk = TokenChunk(attempt, index, WHOLE[index])
        draw = source.random()
        if draw < 0.1:
            chunks += [chunk, chunk]
        elif draw < 0.15:
            continue
        elif draw < 0.25:
            chunks += [TokenChunk(AttemptId("other"), index, "foreign"), chunk]
        elif draw < 0.3:
            chunks += [TokenChunk(attempt, max(0, index - 3), WHOLE[max(0, index - 3)]), chunk]
        elif draw < 0.35:
            return chunks
        else:
            chunks.append(chunk)
    return [*chunks, TokenChunk(attempt, LENGTH, last=True)]


@settings(max_examples=500)
@given(seed=st.integers(0, 1 << 32))
def test_a_completed_stream_contains_every_token_once(seed: int) -> None:
    source = random.Random(seed)
    assembler = StreamAssembler()
    forwarded: list[str] = []
    for number in range(40):
        attempt = AttemptId(f"a{number}")
        assembler.begin(attempt)
        try:
            for chunk in faulty_stream(source, attempt, assembler.offset):
                if assembler.accept(chunk):
                    forwarded.append(chunk.token)
        except StreamGapError:
            continue
        if assembler.complete:
            break
    assert forwarded == WHOLE[: len(forwarded)]
    assert assembler.tokens == forwarded
    if assembler.complete:
        assert forwarded == WHOLE


def test_an_early_end_is_a_gap() -> None:
    assembler = StreamAssembler()
    assembler.begin(AttemptId("a"))
    with pytest.raises(StreamGapError):
        assembler.accept(TokenChunk(AttemptId("a"), 3, last=True))


def make_stage(source: random.Random, budget: RetryBudget, deadline: float) -> StageProcess:
    workers = [WorkerId(f"w{number}") for number in range(3)]
    count = iter(range(1000))

    def choose(tried: frozenset[WorkerId]) -> WorkerId | None:
        return source.choice([item for item in workers if item not in tried] or workers)

    return StageProcess(
        choose=choose,
        new_attempt=lambda: AttemptId(f"a{next(count)}"),
        budget=budget,
        deadline=deadline,
        work_started=False,
    )


@settings(max_examples=500)
@given(seed=st.integers(0, 1 << 32))
def test_a_stage_ends_once_and_ignores_late_answers(seed: int) -> None:
    source = random.Random(seed)
    budget = RetryBudget(reserve=5.0)
    for _ in range(10):
        process = make_stage(source, budget, deadline=10.0)
        run_stage(source, process)
        budget.validate()


def run_stage(source: random.Random, process: StageProcess) -> None:
    now = 0.0
    sent: list[AttemptId] = []
    bytes_sent = False
    ends: list[StageInstruction] = []
    event: StageEvent = StageStarted()
    for _ in range(30):
        current = process.current
        instruction = process.handle(event, now)
        process.validate()
        if isinstance(instruction, SendAttempt):
            sent.append(instruction.attempt)
        elif not isinstance(instruction, IgnoreEvent):
            ends.append(instruction)
            if isinstance(instruction, FinishStage):
                assert isinstance(event, AttemptAnswered)
                assert event.attempt == current
            if isinstance(instruction, AbandonStage) and instruction.failure.code.ran == Ran.NO:
                assert not bytes_sent, "reported as not run after bytes were sent"
        if not sent:
            break
        attempt = source.choice(sent)
        kind = source.choice((AttemptAnswered, AttemptFailed, AttemptFailed, AttemptNotSent))
        event = kind(attempt)
        if attempt == process.current and kind is not AttemptNotSent:
            bytes_sent = True
        now += source.uniform(0.0, 1.0)
    assert len(ends) <= 1


CALL = StageCall(RequestId("r"), 1, AttemptId("a"), TenantName("firm"), "text")


@pytest.mark.parametrize(
    "answer",
    [
        StageAnswer(RequestId("x"), 1, AttemptId("a"), TenantName("firm")),
        StageAnswer(RequestId("r"), 2, AttemptId("a"), TenantName("firm")),
        StageAnswer(RequestId("r"), 1, AttemptId("x"), TenantName("firm")),
        StageAnswer(RequestId("r"), 1, AttemptId("a"), TenantName("other")),
        StageAnswer(
            RequestId("r"),
            1,
            AttemptId("a"),
            TenantName("firm"),
            passages=(Passage(TenantName("other"), "secret"),),
        ),
    ],
)
def test_answers_to_other_calls_are_rejected(answer: StageAnswer) -> None:
    assert not matches_stage_call(CALL, answer)
