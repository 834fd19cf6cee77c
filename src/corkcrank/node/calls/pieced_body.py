"""The body of an answer in the pieces in which it was received."""

from collections import deque

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import Payload

from corkcrank.scheduling.answer_budget import AnswerRoom


class PiecedBody(Payload):
    """A body that frees each piece once it is written; it can be written once.

    Joining the pieces first, and keeping them until the caller has read them, would take three
    times the bytes of the answer: the connection keeps a copy of what it has not sent.
    """

    _autoclose = True

    def __init__(self, pieces: list[bytes], room: AnswerRoom | None) -> None:
        """``room`` is released when the body was written."""
        super().__init__(None)
        self._size = sum(map(len, pieces))
        self._pieces = deque(pieces)
        self._room = room

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the body as text."""
        return b"".join(self._pieces).decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the whole body to the connection, then wait until its reader has taken most of it.

        The library does not wait after a body that was written in pieces; answers to requests that
        were sent ahead would pile up in the connection.
        """
        while self._pieces:
            await writer.write(self._pieces.popleft(), drain=False)  # type: ignore[call-arg]
        await writer.drain()
        if self._room is not None:
            self._room.release()
