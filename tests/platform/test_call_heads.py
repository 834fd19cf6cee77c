"""Request headers with arbitrary values are read, or refused with a reason.

Guards against negative, infinite or huge numbers in a caller's headers reaching the scheduler.
"""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corkcrank.platform import names
from corkcrank.platform.call_headers import MAX_PIECES, MAX_TOKENS, PlatformCallCodec

NUMBERS = st.one_of(
    st.integers(-(10**30), 10**30).map(str),
    st.floats().map(str),
    st.sampled_from(["nan", "inf", "-inf", "1e999", "9" * 5_000, "1_0", "٣", " 7", ""]),
    st.text(max_size=8),
)
LISTS = st.lists(NUMBERS, max_size=5).map(",".join)
PARTS = st.lists(st.tuples(st.text(max_size=4), NUMBERS).map(":".join), max_size=5).map(",".join)


@given(deadline=NUMBERS, counts=LISTS, tokens=LISTS, parts=PARTS)
def test_any_headers_are_read_or_refused(
    deadline: str, counts: str, tokens: str, parts: str
) -> None:
    head = {
        names.DEADLINE_MS: deadline,
        names.SEGMENTS: counts,
        names.TOKEN_COUNT: tokens,
        names.PREFIX: parts,
    }
    envelope = PlatformCallCodec().read_envelope(head)
    if isinstance(envelope, str):
        assert envelope
        return
    assert envelope.budget_seconds is None or 0 <= envelope.budget_seconds < math.inf
    assert all(count >= 0 for count in envelope.piece_counts)
    assert sum(envelope.piece_counts) <= MAX_PIECES
    prompt = envelope.prompt
    stated = [prompt.tokens_in, prompt.tokens_out, *(part.tokens for part in prompt.parts)]
    assert all(0 <= count <= MAX_TOKENS for count in stated)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (names.DEADLINE_MS, "nan"),
        (names.DEADLINE_MS, "-1"),
        (names.DEADLINE_MS, "inf"),
        (names.SEGMENTS, "1,-1"),
        (names.SEGMENTS, str(10**9)),
        (names.TOKEN_COUNT, "1" + "0" * 40 + ",1"),
        (names.PREFIX, "aa:-5"),
    ],
)
def test_the_reason_names_the_header_with_an_invalid_number(name: str, value: str) -> None:
    problem = PlatformCallCodec().read_envelope({name: value})
    assert isinstance(problem, str)
    assert name in problem
