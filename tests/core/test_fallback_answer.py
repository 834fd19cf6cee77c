"""The failure that a call keeps is counted until it is sent, dropped or not needed."""

import pytest

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.received_bytes import Purpose, ReceivedBytes
from corkcrank.node.calls.fallback_answer import FallbackAnswer
from corkcrank.node.calls.worker_answers import AnswerHead, WorkerAnswer
from corkcrank.scheduling.answer_budget import SMALL_ANSWER_BYTES

WORKER = WorkerRecord("i-1", "model", "127.0.0.1:1", "z1")
SIZE = 2 * SMALL_ANSWER_BYTES


def failure(size: int = SIZE, status: int = 500) -> WorkerAnswer:
    pieces = [b"x" * (size // 2)] * 2 if size else []
    return WorkerAnswer(AnswerHead(status, "Failed", [("X-Kept", "1")]), pieces)


def kept(size: int = SIZE, bound: int = 2 * SIZE) -> tuple[FallbackAnswer, ReceivedBytes]:
    received = ReceivedBytes()
    received.bound_bytes = bound
    fallback = FallbackAnswer(received)
    fallback.keep(WORKER, failure(size))
    return fallback, received


@pytest.mark.parametrize("size", [0, 10, SIZE])
def test_a_kept_failure_is_counted_until_it_is_taken(size: int) -> None:
    fallback, received = kept(size)
    assert received.kept[Purpose.ANSWER] == size
    answer = fallback.take()
    assert answer is not None
    assert (answer.status, answer.headers["X-Kept"], received.kept_bytes) == (500, "1", 0)
    assert answer.body is not None
    assert len(answer.text or "") == size


def test_an_answer_taken_by_an_abandoned_call_can_be_taken_again() -> None:
    fallback, _ = kept()
    assert fallback.take() is fallback.take() is not None


def test_a_replaced_failure_is_counted_no_longer() -> None:
    fallback, received = kept()
    fallback.keep(WORKER, failure(10, status=503))
    assert received.kept_bytes == 10
    assert fallback.status == 503


def test_a_failure_that_is_not_used_is_counted_no_longer() -> None:
    fallback, received = kept()
    with fallback:
        assert received.kept_bytes == SIZE
    assert received.kept_bytes == 0
    assert fallback.take() is None


def test_a_kept_failure_is_dropped_first_if_it_is_the_largest_message() -> None:
    fallback, received = kept()
    for _ in range(3):
        received.open(Purpose.ANSWER, "other").add(SIZE // 2)
    assert (fallback.take(), fallback.status) == (None, 500)
    assert received.kept_bytes == 3 * (SIZE // 2)
