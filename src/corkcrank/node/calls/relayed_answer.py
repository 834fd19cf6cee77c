"""Relays a large answer of a worker at the pace of its caller, because memory is short."""

import asyncio
from collections import deque

import aiohttp
from aiohttp import HttpVersion11, web

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.closed_connections import set_reset_on_close
from corkcrank.links.received_bytes import Purpose, forget_readers
from corkcrank.node.callers.caller_connection import (
    MAX_UNSENT_BYTES,
    CallerConnection,
    has_request_behind,
)
from corkcrank.node.calls.attempts import Attempt
from corkcrank.node.calls.services import CallServices
from corkcrank.node.calls.worker_answers import (
    WorkerAnswer,
    read_answer,
    read_head,
    replace_headers,
)
from corkcrank.node.workers.silence_timeout import SilenceRule
from corkcrank.node.workers.worker_health import MIN_FAULT_STATUS
from corkcrank.scheduling.answer_budget import AnswerBudget, AnswerRoom

MIN_READ_SECONDS = 1.0
"""Minimum time to wait for further bytes of a worker: its answer has begun, and may come late."""


class BrokenAnswerError(Exception):
    """A worker's answer ended before it was whole, or does not end."""


class RelayedAnswer:
    """An answer of which only the head and the first pieces were read. It can be sent once.

    It is the source of its caller's connection: a caller that reads nothing loses it.
    """

    def __init__(
        self,
        services: CallServices,
        worker: WorkerRecord,
        upstream: aiohttp.ClientResponse,
        begun: WorkerAnswer,
    ) -> None:
        self._services = services
        self._worker = worker
        self._upstream = upstream
        self._head = begun.head
        self._pieces = deque(begun.pieces)
        self._room = begun.room
        self._request: web.BaseRequest | None = None
        self._passed_on_bytes = 0
        self.worker_waits = False

    @property
    def kept_bytes(self) -> int:
        """Return the number of bytes that were received and not yet written."""
        return self._upstream.content.total_bytes - self._passed_on_bytes

    @property
    def written_bytes(self) -> int:
        """Return the number of bytes written to the caller's connection so far."""
        return self._request.writer.output_size if self._request is not None else 0

    def read_ahead(self, count: int) -> None:
        """Keep no more bytes: memory is short."""

    def close(self) -> None:
        """Drop an answer that is not sent, or not whole."""
        self._upstream.close()

    async def send(self, call: OpaqueCall, request: web.BaseRequest) -> web.StreamResponse:
        """Send the answer; reset the caller's connection if the worker breaks it off."""
        self._request = request
        self._services.metrics.answers_relayed.inc()
        connection = request.protocol
        if isinstance(connection, CallerConnection):
            connection.call_id = call.call_id
            connection.source = self
        # Without chunks the end of the connection is that of the answer, unless it is a reset.
        set_reset_on_close(request.transport, True)
        try:
            response = await self._send_body(call, request)
        except BrokenAnswerError as error:
            self._services.record_connection_failure(call, self._worker)
            self.close()
            if request.transport is not None:
                request.transport.abort()
            raise ConnectionResetError(str(error)) from None
        except (ConnectionError, asyncio.CancelledError):
            self.close()
            raise
        set_reset_on_close(request.transport, False)
        return response

    async def _send_body(self, call: OpaqueCall, request: web.BaseRequest) -> web.StreamResponse:
        response = self._response(request)
        await response.prepare(request)
        transport = request.transport
        if transport is not None:
            # The next piece is read once the kernel has taken the whole piece before.
            transport.set_write_buffer_limits(high=0)
        while piece := await self._read(call):
            self.worker_waits = True
            self._passed_on_bytes += len(piece)
            await response.write(piece)
            # The library applies backpressure only after each 64 KiB.
            await request.writer.drain()
            self.worker_waits = False
        await response.write_eof()
        if transport is not None:
            transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        return response

    def _response(self, request: web.BaseRequest) -> web.StreamResponse:
        response = web.StreamResponse(status=self._head.status, reason=self._head.reason)
        replace_headers(response, self._head.headers)
        length = self._upstream.content_length
        if length is not None:
            response.content_length = length
        elif request.version >= HttpVersion11:
            response.enable_chunked_encoding()
        if self._services.drain.signal_received and not has_request_behind(request):
            response.force_close()
        return response

    async def _read(self, call: OpaqueCall) -> bytes:
        if self._pieces:
            return self._pieces.popleft()
        if self._room is not None:
            self._room.release()
        if self.written_bytes > self._services.client.received.limits[Purpose.ANSWER]:
            raise BrokenAnswerError(f"the answer has more than {self.written_bytes} bytes")
        try:
            async with asyncio.timeout(self._read_seconds(call)):
                return await self._upstream.content.readany()
        except (aiohttp.ClientError, OSError) as error:
            forget_readers(error)
            raise BrokenAnswerError("the worker broke its answer off") from None

    def _read_seconds(self, call: OpaqueCall) -> float:
        """Return the time to wait for further bytes of the worker.

        An answer with a length may be late. One without may have no end, so it ends with its call.
        """
        seconds = call.end_at - clock.now()
        if self._upstream.content_length is not None:
            return max(MIN_READ_SECONDS, seconds)
        if seconds <= 0:
            raise BrokenAnswerError("the answer has no end within the time of its call")
        return seconds


async def read_or_relay(
    services: CallServices, attempt: Attempt, seconds: float, silence: SilenceRule | None
) -> WorkerAnswer | RelayedAnswer | None:
    """Return a worker's whole answer, or one to relay if there is no room to keep it.

    Failures are kept whole, since another worker may be tried. Returns ``None`` as
    :func:`read_answer` does.
    """
    upstream = attempt.response
    assert upstream is not None
    may_fail = attempt.status >= MIN_FAULT_STATUS
    room = AnswerRoom(AnswerBudget() if may_fail else services.answers)
    length = upstream.content_length or 0
    if upstream.method != "HEAD" and not room.grow(length):
        answer = WorkerAnswer(read_head(services, upstream), [], room)
        return RelayedAnswer(services, attempt.worker, upstream, answer)
    whole = await read_answer(services, attempt, seconds, silence, room)
    if whole is None or upstream.content.at_eof():
        return whole
    return RelayedAnswer(services, attempt.worker, upstream, whole)
