r"""The event reader returns the same events however the bytes are split, in linear time.

Guards against quadratic time: for each complete event, the reader searched all buffered bytes
for each kind of line end and copied the remainder. A read of 128 KiB of short events, which the
stream of a slow caller buffers, blocked the event loop and every other stream of the gateway
for 0.56 s; it takes 0.015 s with the linear search.
"""

import itertools
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corkcrank.node.streams.events import EventReader, StreamEvent

SHORT_EVENT = b"id: 7\ndata: token\n\n"
LARGER = 8
"""Size of the larger of two reads as a multiple of the smaller one."""

LINE_ENDS = st.sampled_from([b"\n", b"\r\n", b"\r"])
LINES = st.sampled_from(
    [b"id: 1", b"id: 22", b"id", b"data: a", b"data", b": note", b"event: x", b"id: \xff", b""]
)


@st.composite
def streams(draw: st.DrawFn) -> bytes:
    lines = draw(st.lists(st.tuples(LINES, LINE_ENDS), max_size=30))
    return b"".join(line + end for line, end in lines)


def read(chunks: list[bytes]) -> tuple[list[StreamEvent], bytes]:
    reader = EventReader()
    found = [event for chunk in chunks for event in reader.feed(chunk)]
    return found, reader.remainder


@given(streams(), st.lists(st.integers(0, 300), max_size=20))
def test_events_do_not_depend_on_how_bytes_are_split(stream: bytes, cuts: list[int]) -> None:
    places = [0, *sorted(min(cut, len(stream)) for cut in cuts), len(stream)]
    chunks = [stream[start:end] for start, end in itertools.pairwise(places)]
    expected = read([stream])
    assert read(chunks) == expected
    assert read([bytes([byte]) for byte in stream]) == expected
    found, rest = expected
    assert b"".join(event.data for event in found) + rest == stream


def seconds_to_read(chunks: list[bytes]) -> float:
    """Return the minimum processor time of 5 runs. Wall-clock time is not used: at a load of 18
    on eight processors it was once 42 times as long for eight times the events."""
    times = []
    for _ in range(5):
        started = time.process_time()
        read(chunks)
        times.append(time.process_time() - started)
    return min(times)


def test_time_is_linear_in_the_number_of_events_in_one_read() -> None:
    few = SHORT_EVENT * 500
    ratio = seconds_to_read([few * LARGER]) / seconds_to_read([few])
    assert ratio < 3 * LARGER


def test_time_is_linear_in_the_number_of_reads_of_one_event() -> None:
    part = b"x" * 4096
    ratio = seconds_to_read([part] * 100 * LARGER) / seconds_to_read([part] * 100)
    assert ratio < 3 * LARGER


@given(streams())
def test_whether_an_event_has_begun_does_not_depend_on_how_bytes_are_split(stream: bytes) -> None:
    whole, split = EventReader(), EventReader()
    whole.feed(stream)
    for byte in stream:
        split.feed(bytes([byte]))
    assert split.event_begun == whole.event_begun


@pytest.mark.parametrize("lines", [b"id: 4", b"data: a", b": here\ndata:", b"event: e\r\nid:"])
def test_each_split_of_a_begun_event_shows_it(lines: bytes) -> None:
    for cut in range(len(lines) + 1):
        reader = EventReader()
        reader.feed(b": still here\n\n" + lines[:cut])
        reader.feed(lines[cut:])
        assert reader.event_begun
