"""An answer is either sent to its asker or freed, exactly once.

Guards against result memory that is occupied until expiry, or freed twice, when the answer and the
message that withdraws its question cross on the network.
"""

from hypothesis import given
from hypothesis import strategies as st

from corkcrank.links.platform_ports import PieceOutcome, PieceResult
from corkcrank.node.peers.peer_protocol import StageAnswer
from corkcrank.node.stages.recent_answers import (
    MAX_RECENT_ANSWERS,
    MAX_WITHDRAWAL_SECONDS,
    RecentAnswers,
)


def answer(question: int) -> StageAnswer:
    return StageAnswer((PieceResult(PieceOutcome.DONE, f"handle-{question}"),))


STEPS = st.lists(
    st.tuples(st.sampled_from(["answered", "taken back"]), st.integers(1, 5), st.floats(0.0, 0.8)),
    max_size=40,
)


@given(steps=STEPS)
def test_an_answer_withdrawn_in_time_is_freed_once(
    steps: list[tuple[str, int, float]],
) -> None:
    recent = RecentAnswers()
    now = 0.0
    answered: dict[int, float] = {}
    taken_back: dict[int, float] = {}
    for step, question, pause in steps:
        now += pause
        if step == "answered" and question not in answered:
            wanted = recent.record_answer(question, answer(question), now)
            recently = (
                now - taken_back.get(question, -MAX_WITHDRAWAL_SECONDS * 2)
                <= MAX_WITHDRAWAL_SECONDS
            )
            assert wanted is not recently
            answered[question] = now
        elif step == "taken back" and question not in taken_back:
            freed = recent.withdraw_question(question, now)
            recently = (
                now - answered.get(question, -MAX_WITHDRAWAL_SECONDS * 2) <= MAX_WITHDRAWAL_SECONDS
            )
            assert freed == (answer(question) if recently else None)
            taken_back[question] = now


def test_the_number_of_stored_answers_is_bounded() -> None:
    recent = RecentAnswers()
    for question in range(1, MAX_RECENT_ANSWERS + 10):
        assert recent.record_answer(question, answer(question), 0.0)
    assert len(recent._entries) <= MAX_RECENT_ANSWERS
    assert recent.withdraw_question(1, 0.0) is None, "the oldest answer is removed first"
    assert recent.withdraw_question(MAX_RECENT_ANSWERS, 0.0) == answer(MAX_RECENT_ANSWERS)
