"""Bounds the bytes that a process keeps of the messages that peers send.

A peer may send bytes without end. Every reader that keeps received bytes, until a message is
complete or its next part can be handled, counts them here: one message within the limit of its
purpose, and all messages together within the bound of the process.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from types import TracebackType
from typing import Self

import aiohttp

from corkcrank.contracts.memory import BYTES_PER_MB, IDLE_MEMORY_MB
from corkcrank.contracts.node_settings import NodeLimitSettings
from corkcrank.links.kept_memory import KeptMemory, kept_bound_bytes

RECEIVED_MEMORY_SHARE = 0.15
"""Share of the memory above ``IDLE_MEMORY_MB`` that incomplete messages may use. A message needs
twice its bytes when its parts are joined."""

MIN_BOUND_BYTES = 4 * BYTES_PER_MB
"""Minimum bound of a process with little memory."""

CLOSED = "the connection was closed to free memory"


class Purpose(StrEnum):
    """What received bytes are kept for; a label of a metric."""

    ANSWER = "answer"
    """The answer of a worker that is passed on when it is complete."""
    EVENT = "event"
    """The events of a stream that are incomplete, or held back during a failover."""
    STAGE = "stage"
    """The results of a stage call."""
    REPORT = "report"
    """A report of a worker, or its answer to a health check."""
    RELAY = "relay"
    """A request that another gateway relays."""
    PEER = "peer"
    """The answer of another gateway."""
    STORE = "store"
    """The answer of the platform's store."""
    BACK_END = "back-end"
    """The answer of a back end of the own interface."""


MAX_MESSAGE_BYTES = {
    Purpose.ANSWER: 64 * BYTES_PER_MB,
    Purpose.EVENT: BYTES_PER_MB,
    Purpose.STAGE: BYTES_PER_MB,
    Purpose.REPORT: BYTES_PER_MB // 4,
    Purpose.RELAY: 8 * BYTES_PER_MB,
    Purpose.PEER: 8 * BYTES_PER_MB,
    Purpose.STORE: 16 * BYTES_PER_MB,
    Purpose.BACK_END: 64 * BYTES_PER_MB,
}
"""Limits of the messages of each purpose, in bytes, unless the settings name others. An event holds
a few tokens, the results of a stage call a handle for each piece, and an answer of the store at
most 1 MB of rows. The bound of the process may be lower than the limit of an answer."""


class OversizedMessageError(ValueError):
    """A message exceeds its limit, or was dropped because the process exceeds its bound."""


@dataclass(frozen=True, slots=True)
class OversizedMessage:
    """A message that was dropped. ``kept_bytes`` is what the process kept of all messages."""

    purpose: Purpose
    peer: str
    message_bytes: int
    limit_bytes: int
    kept_bytes: int
    bound_bytes: int


OversizeListener = Callable[[OversizedMessage], None]


def ignore_oversize(message: OversizedMessage) -> None:
    """Ignore a dropped message."""


def forget_readers(error: BaseException) -> None:
    """Drop the frames of the readers of a failed body, which keeps its error.

    Their bytes would be kept until the next garbage collection.
    """
    error.__traceback__ = None


class ReceivedBytes:
    """The account of one process.

    ``bound_bytes`` is its bound, 0 for none. ``kept_bytes`` counts all messages, ``kept`` those of
    each purpose. ``memory`` sums this account and all others of the process.
    """

    def __init__(self) -> None:
        self.bound_bytes = 0
        self.kept_bytes = 0
        self.limits = dict(MAX_MESSAGE_BYTES)
        self.on_oversize: OversizeListener = ignore_oversize
        self.kept = dict.fromkeys(Purpose, 0)
        self.memory = KeptMemory()
        self.memory.add_account(lambda: self.kept_bytes)
        self._messages: set[ReceivedMessage] = set()

    def apply_limits(self, limits: NodeLimitSettings) -> None:
        """Set the bounds that the settings of the process allow."""
        self.bound_bytes = received_bound_bytes(limits.memory_mb)
        self.memory.bound_bytes = kept_bound_bytes(limits.memory_mb)
        self.limits[Purpose.ANSWER] = int(limits.max_answer_mb * BYTES_PER_MB)

    def open(
        self,
        purpose: Purpose,
        peer: str,
        response: aiohttp.ClientResponse | None = None,
        limit_bytes: int | None = None,
    ) -> "ReceivedMessage":
        """Return the account of one message of a peer; a context manager.

        ``response`` is closed if the message is dropped while its reader waits for more bytes.
        ``limit_bytes`` replaces the limit of the purpose.
        """
        limit = self.limits[purpose] if limit_bytes is None else limit_bytes
        message = ReceivedMessage(self, purpose, peer, response, limit)
        self._messages.add(message)
        return message

    async def read(self, response: aiohttp.ClientResponse, purpose: Purpose, peer: str) -> bytes:
        """Return a complete body; raise ``OversizedMessageError`` if it exceeds a bound."""
        with self.open(purpose, peer, response) as message:
            message.expect(response.content_length)
            while piece := await response.content.readany():
                message.keep(piece)
            return b"".join(message.take())

    def change(self, message: "ReceivedMessage", change: int) -> None:
        """Count a change of a message; drop the largest messages while the bound is exceeded."""
        self.kept[message.purpose] += change
        self.kept_bytes += change
        while 0 < self.bound_bytes < self.kept_bytes:
            largest = max(self._messages, key=lambda item: item.count)
            if not largest.count:
                return
            largest.drop()

    def remove(self, message: "ReceivedMessage") -> None:
        """Remove a message that is complete, broken or dropped."""
        if message in self._messages:
            self._messages.remove(message)
            self.kept[message.purpose] -= message.count
            self.kept_bytes -= message.count

    def report(self, message: "ReceivedMessage", message_bytes: int) -> None:
        """Report a message that is being dropped."""
        self.on_oversize(
            OversizedMessage(
                message.purpose,
                message.peer,
                message_bytes,
                message.limit_bytes,
                self.kept_bytes,
                self.bound_bytes,
            )
        )


class ReceivedMessage:
    """The kept bytes of one message, ``count``. A dropped message accepts no more bytes.

    The pieces are kept here and freed once the message is counted no longer. A reader that keeps
    them itself keeps them after an error: the body holds the error, whose traceback holds the
    reader, until the next garbage collection.
    """

    def __init__(
        self,
        account: ReceivedBytes,
        purpose: Purpose,
        peer: str,
        response: aiohttp.ClientResponse | None,
        limit_bytes: int,
    ) -> None:
        self._account = account
        self._response = response
        self._dropped = False
        self._pieces: list[bytes] = []
        self.purpose = purpose
        self.peer = peer
        self.limit_bytes = limit_bytes
        self.count = 0

    @property
    def dropped(self) -> bool:
        """Return whether a bound was exceeded and the pieces were freed."""
        return self._dropped

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def expect(self, length: int | None) -> None:
        """Raise ``OversizedMessageError`` if a message states a length above its limit."""
        if length is not None and length > self.limit_bytes:
            self._fail(length)

    def keep(self, piece: bytes) -> None:
        """Keep a further piece; raise ``OversizedMessageError`` if a bound is exceeded."""
        self.add(len(piece))
        self._pieces.append(piece)

    def take(self) -> list[bytes]:
        """Return the kept pieces of a complete message; they are counted no longer."""
        pieces, self._pieces = self._pieces, []
        self.close()
        return pieces

    def add(self, count: int) -> None:
        """Count further bytes; raise ``OversizedMessageError`` if a bound is exceeded."""
        self.set(self.count + count)

    def set(self, count: int) -> None:
        """Set the number of kept bytes; raise ``OversizedMessageError`` if it exceeds a bound."""
        if self._dropped:
            raise OversizedMessageError(CLOSED)
        if count > self.limit_bytes:
            self._fail(count)
        change, self.count = count - self.count, count
        self._account.change(self, change)
        if self._dropped:
            raise OversizedMessageError(CLOSED)

    def drop(self) -> None:
        """Drop the message, because the process keeps too many bytes."""
        self._account.report(self, self.count)
        self._dropped = True
        self.close()
        if self._response is not None:
            self._response.close()

    def close(self) -> None:
        """Free the kept pieces, and count the message no longer."""
        self._pieces.clear()
        self._account.remove(self)

    def _fail(self, message_bytes: int) -> None:
        self._account.report(self, message_bytes)
        self._dropped = True
        self.close()
        raise OversizedMessageError(f"{message_bytes} bytes exceed {self.limit_bytes}")


def received_bound_bytes(memory_mb: float) -> int:
    """Return the bound of a process with this much memory, 0 if its memory is unknown.

    >>> received_bound_bytes(300.0) // BYTES_PER_MB, received_bound_bytes(0.0)
    (36, 0)
    >>> received_bound_bytes(40.0) // BYTES_PER_MB
    4
    """
    if memory_mb <= 0:
        return 0
    shared = (memory_mb - IDLE_MEMORY_MB) * RECEIVED_MEMORY_SHARE * BYTES_PER_MB
    return max(MIN_BOUND_BYTES, int(shared))
