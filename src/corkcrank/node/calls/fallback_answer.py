"""Keeps the last failure that a worker answered while another worker is tried."""

from contextlib import suppress
from types import TracebackType
from typing import Self

from aiohttp import web

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.received_bytes import (
    OversizedMessageError,
    Purpose,
    ReceivedBytes,
    ReceivedMessage,
)
from corkcrank.node.calls.worker_answers import AnswerHead, WorkerAnswer


class FallbackAnswer:
    """The answer of one call if no other worker answers it; a context manager that frees it.

    Its body is counted as received until it is taken or discarded, and may be dropped to free
    memory: the call then ends as it would without the answer. ``status`` is that of the last
    answer, 0 for none, whether or not its body is still kept.
    """

    def __init__(self, received: ReceivedBytes) -> None:
        self._received = received
        self._head: AnswerHead | None = None
        self._message: ReceivedMessage | None = None
        self._taken: web.Response | None = None
        self.status = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.discard()

    def keep(self, worker: WorkerRecord, answer: WorkerAnswer) -> None:
        """Keep a worker's answer in place of an earlier one."""
        self.discard()
        self.status, self._head = answer.head.status, answer.head
        self._message = self._received.open(Purpose.ANSWER, worker.address)
        with suppress(OversizedMessageError):
            for piece in answer.pieces:
                self._message.keep(piece)

    def take(self) -> web.Response | None:
        """Return the answer to send it, ``None`` without one; its body is counted no longer.

        A stop of the gateway may take it again from an abandoned call.
        """
        if self._head is not None and self._message is not None and not self._message.dropped:
            self._taken = WorkerAnswer(self._head, self._message.take()).response()
            self._message = None
        return self._taken

    def discard(self) -> None:
        """Free the answer."""
        if self._message is not None:
            self._message.close()
        self._message = self._taken = None
