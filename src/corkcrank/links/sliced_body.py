"""The body of a request in parts, written as fast as its receiver takes it."""

from collections.abc import Sequence

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import Payload

MIN_SLICED_BYTES = 65_536
"""Size above which a body is sliced. A shorter one is written at once, with its head."""

SLICE_BYTES = 65_536
"""Size of one write. The connection keeps a copy of what the kernel has not taken."""


class SlicedBody(Payload):
    """A body that is written in slices, each when its connection has taken most of those before.

    The library joins a body with its head, and the connection copies what the receiver has not
    taken: a body of a receiver that does not read would be kept three times.
    """

    _autoclose = True

    def __init__(self, *parts: bytes) -> None:
        super().__init__(None)
        self._parts: Sequence[bytes] = parts
        self._size = sum(map(len, parts))

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the body as text."""
        return b"".join(self._parts).decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the whole body to the connection."""
        for part in self._parts:
            view = memoryview(part)
            for start in range(0, len(view), SLICE_BYTES):
                await writer.write(view[start : start + SLICE_BYTES])
                await writer.drain()


def request_body(*parts: bytes) -> bytes | SlicedBody:
    """Return the body of a request to an HTTP client, in slices if it is large.

    >>> request_body(b"a", b"b")
    b'ab'
    >>> request_body(b"a", b"b" * MIN_SLICED_BYTES).size
    65537
    """
    if sum(map(len, parts)) > MIN_SLICED_BYTES:
        return SlicedBody(*parts)
    return b"".join(parts)
