"""Events of a stream: cut out whole, with their ids, from bytes as they come."""

from dataclasses import dataclass

_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")


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
    """Collects bytes and gives out whole events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def rest(self) -> bytes:
        """Return bytes that are no whole event yet."""
        return self._buffer

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
        self._buffer += data
        events: list[StreamEvent] = []
        while True:
            end = _first_end(self._buffer)
            if end is None:
                return events
            raw, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(_event(raw))


def _first_end(buffer: bytes) -> int | None:
    ends = [position + len(end) for end in _ENDS if (position := buffer.find(end)) >= 0]
    return min(ends, default=None)


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
