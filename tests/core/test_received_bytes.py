"""The account of received bytes: one message within its limit, all together within the bound."""

from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corkcrank.contracts.memory import BYTES_PER_MB
from corkcrank.contracts.node_settings import NodeLimitSettings
from corkcrank.links.received_bytes import (
    MAX_MESSAGE_BYTES,
    OversizedMessage,
    OversizedMessageError,
    Purpose,
    ReceivedBytes,
)

LIMIT, BOUND = 100, 350


def account(bound: int = BOUND) -> tuple[ReceivedBytes, list[OversizedMessage]]:
    received, dropped = ReceivedBytes(), []
    received.bound_bytes = bound
    received.limits = dict.fromkeys(Purpose, LIMIT)
    received.on_oversize = dropped.append
    return received, dropped


def test_a_message_above_its_limit_is_dropped_and_no_longer_counted() -> None:
    received, dropped = account()
    message = received.open(Purpose.ANSWER, "w")
    message.add(LIMIT)
    with pytest.raises(OversizedMessageError):
        message.add(1)
    assert received.kept_bytes == 0
    assert [(item.purpose, item.peer, item.message_bytes) for item in dropped] == [
        (Purpose.ANSWER, "w", LIMIT + 1)
    ]
    with pytest.raises(OversizedMessageError):
        message.add(1)
    assert len(dropped) == 1


def test_a_message_that_states_too_large_a_length_is_dropped_before_it_is_read() -> None:
    received, dropped = account()
    message = received.open(Purpose.PEER, "m")
    message.expect(None)
    message.expect(LIMIT)
    with pytest.raises(OversizedMessageError):
        message.expect(LIMIT + 1)
    assert len(dropped) == 1


def test_the_largest_message_is_dropped_where_many_exceed_the_bound_together() -> None:
    received, dropped = account()
    small = [received.open(Purpose.EVENT, f"small {number}") for number in range(3)]
    large = [received.open(Purpose.ANSWER, f"large {number}") for number in range(3)]
    for message in small:
        message.add(20)
    for message in large:
        message.add(90)
    large[1].add(10)
    assert dropped == []
    small[0].add(12)
    assert [item.peer for item in dropped] == ["large 1"]
    assert received.kept_bytes == 32 + 20 + 20 + 90 + 90
    for message in (*small, large[0], large[2]):
        message.add(1)


def test_the_message_that_exceeds_the_bound_is_told_if_it_is_the_largest() -> None:
    received, _ = account(bound=150)
    one, two = received.open(Purpose.ANSWER, "1"), received.open(Purpose.ANSWER, "2")
    one.add(60)
    with pytest.raises(OversizedMessageError):
        two.add(95)
    assert received.kept_bytes == 60


def test_bytes_that_were_handled_are_no_longer_counted() -> None:
    received, _ = account()
    with received.open(Purpose.EVENT, "e") as message:
        for _ in range(10):
            message.set(90)
            message.set(0)
        message.set(30)
        assert received.kept[Purpose.EVENT] == 30
    assert received.kept_bytes == 0


STEPS = st.lists(
    st.tuples(st.integers(0, 5), st.sampled_from(["add", "set", "close"]), st.integers(0, 120)),
    max_size=60,
)


@given(STEPS)
def test_the_account_is_the_sum_of_its_messages_and_within_its_bound(
    steps: list[tuple[int, str, int]],
) -> None:
    received, _ = account()
    messages = {number: received.open(Purpose.ANSWER, str(number)) for number in range(6)}
    for number, step, count in steps:
        with suppress(OversizedMessageError):
            if step == "add":
                messages[number].add(count)
            elif step == "set":
                messages[number].set(count)
            else:
                messages[number].close()
                messages[number] = received.open(Purpose.ANSWER, str(number))
        assert 0 <= received.kept_bytes <= BOUND
        assert received.kept_bytes == sum(item.count for item in received._messages)
        assert all(item.count <= LIMIT for item in received._messages)


def test_settings_bound_the_account_and_the_answers_of_workers() -> None:
    received = ReceivedBytes()
    received.apply_limits(NodeLimitSettings(memory_mb=300.0, max_answer_mb=2.5))
    assert received.bound_bytes == int(0.15 * (300 - 56) * BYTES_PER_MB)
    assert received.limits[Purpose.ANSWER] == int(2.5 * BYTES_PER_MB)
    assert received.limits[Purpose.EVENT] == MAX_MESSAGE_BYTES[Purpose.EVENT]
    received.apply_limits(NodeLimitSettings())
    assert received.bound_bytes == 0
