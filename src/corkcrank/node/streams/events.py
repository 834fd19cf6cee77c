"""Splits the bytes of an event stream into complete events with their ids."""

import re
from dataclasses import dataclass

_END = re.compile(rb"\n\n|\r\n\r\n|\r\r")
_BEGIN = re.compile(rb"(?:^|[\r\n])(?:id|data):")
_MAX_BEGIN_BYTES = 6
"""Length of the longest match of ``_BEGIN``."""

_MAX_END_BYTES = 4
"""Length of the longest separator of events, CR LF CR LF."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete block of lines.

    ``event_id`` is ``None`` if the block has no numeric id. ``dispatched`` is unset for a comment
    or a hint to the reader, which has no position in the sequence.
    """

    data: bytes
    event_id: int | None
    dispatched: bool = True


class EventReader:
    """Buffers bytes and returns complete events.

    Searches each byte once, regardless of how many events arrive in one read and how many reads one
    event takes. A slow caller's stream buffers up to 128 KiB; searching the buffer again for each
    event would block the event loop.

    ``event_begun`` is set if the bytes after the last complete event show another one. Comments
    and hints to the reader do not.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.event_begun = False

    @property
    def kept_bytes(self) -> int:
        """Return the number of bytes after the last complete event."""
        return len(self._buffer)

    @property
    def remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        r"""Add bytes to the buffer and return the events that they complete.

        >>> reader = EventReader()
        >>> reader.feed(b"id: 4\ndata: a\n\nid: 5\n")
        [StreamEvent(data=b'id: 4\ndata: a\n\n', event_id=4, dispatched=True)]
        >>> [event.event_id for event in reader.feed(b"data: b\n\n")]
        [5]
        >>> reader.feed(b": still here\n\nda")[0].dispatched, reader.event_begun
        (False, False)
        >>> reader.feed(b"ta: c"), reader.event_begun
        ([], True)
        """
        unsearched = max(0, len(self._buffer) - _MAX_END_BYTES + 1)
        self._buffer += data
        events: list[StreamEvent] = []
        begin = 0
        for end in _END.finditer(self._buffer, unsearched):
            events.append(_parse_event(bytes(self._buffer[begin : end.end()])))
            begin = end.end()
        del self._buffer[:begin]
        if begin:
            self.event_begun, unsearched = False, 0
        elif not self.event_begun:
            unsearched = max(0, len(self._buffer) - len(data) - _MAX_BEGIN_BYTES + 1)
        if not self.event_begun:
            self.event_begun = _BEGIN.search(self._buffer, unsearched) is not None
        return events


def _parse_event(raw: bytes) -> StreamEvent:
    event_id: int | None = None
    dispatched = False
    for line in raw.splitlines():
        name, colon, value = line.partition(b":")
        if name == b"data":
            dispatched = True
        elif name == b"id" and colon:
            dispatched = True
            text = value.strip()
            event_id = int(text) if text.isdigit() else None
    return StreamEvent(raw, event_id, dispatched)
