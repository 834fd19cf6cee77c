"""One caller's HTTP connection: its timestamps, its limits, and a close that resets nothing."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from aiohttp import StreamReader, web

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_configuration import RequestLimits
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.links.closed_connections import (
    acknowledged_bytes,
    closed_by_peer,
    has_unread_bytes,
    limit_unsent_bytes,
    set_reset_on_close,
    unlimit_unsent_bytes,
)
from corkcrank.links.connection_listener import ConnectionPhase, IncomingConnection
from corkcrank.links.server_connections import BoundedRequestHandler
from corkcrank.node.callers.refusals import Refusal
from corkcrank.scheduling.reader_budget import CutCause, Observation

MAX_FIELD_BYTES = 65_536
"""Limit of aiohttp's parser for one header field; the limit of the configuration is lower."""

HEAD_SLACK_BYTES = 1_024
"""Size that an incomplete head may have beyond the configured limit of headers, for the request
line. aiohttp limits single fields only, and not their sum."""

LIBRARY_KEEPALIVE_SECONDS = 86_400.0
"""Keep-alive timeout of aiohttp, in effect off: the periodic sweep closes idle connections."""

LINGER_SECONDS = 0.5
"""Time for which the rest of a request body is read and discarded after the response, and for
which a connection whose sending side is closed waits for its caller to close."""


MAX_UNSENT_BYTES = 32_768
"""Maximum number of bytes that the kernel keeps unsent for one caller, and of those that the
process keeps before it writes no further."""


class AnswerSource(Protocol):
    """The part of a caller's answer that has not been written to its connection yet."""

    @property
    def kept_bytes(self) -> int:
        """Return the number of bytes kept."""

    @property
    def written_bytes(self) -> int:
        """Return the number of bytes written to the connection so far."""

    @property
    def worker_waits(self) -> bool:
        """Return whether the worker cannot send the rest of the answer."""

    def read_ahead(self, count: int) -> None:
        """Let the worker send about ``count`` bytes more, although the caller has not read."""


class CallerConnection(BoundedRequestHandler, IncomingConnection):
    """One caller's connection, with the timestamps that the sweep and the listener use.

    ``bounded`` limits the bytes that the kernel and the process keep unsent. ``source`` is the
    rest of a streamed answer, ``call_id`` names the latest streamed call, and ``cut_cause`` says
    why its caller lost its answer.
    """

    def __init__(
        self,
        manager: web.Server,
        loop: asyncio.AbstractEventLoop,
        limits: Callable[[], RequestLimits],
        on_lost: Callable[[IncomingConnection], None],
        *,
        bounded: bool = False,
    ) -> None:
        super().__init__(
            manager,
            loop=loop,
            keepalive_timeout=LIBRARY_KEEPALIVE_SECONDS,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            lingering_time=LINGER_SECONDS,
            auto_decompress=False,
        )
        self.idle_since = clock.now()
        self.head_since: float | None = None
        self.lost_at: float | None = None
        self._limits = limits
        self._on_lost = on_lost
        self._bounded = bounded
        self.source: AnswerSource | None = None
        self.call_id = ""
        self.cut_cause: CutCause | None = None
        self._head_bytes = 0
        self._handlers_started = 0
        self._previous_unsent_bytes = 0
        self._handling = False
        self._handler_started_at = 0.0
        self._content: StreamReader | None = None
        self._ended = False

    @property
    def caller(self) -> str:
        """Return the caller's ``ip:port``, or an empty string once the connection is closed."""
        name = self.peername
        return f"{name[0]}:{name[1]}" if isinstance(name, tuple) else ""

    @property
    def busy(self) -> bool:
        """Return whether a request is being handled, or was read and waits for its handler.

        aiohttp passes a request to its handler some loop iterations after it was read.
        """
        return self._handling or self.has_unhandled_request

    @property
    def waits_for_reader(self) -> bool:
        """Return whether a complete answer waits for its caller; a request may wait behind it."""
        return not self._handling and self.unsent_bytes > 0

    @property
    def has_unread_bytes(self) -> bool:
        """Return whether the caller has sent bytes that were not read yet."""
        return not self._ended and has_unread_bytes(self.transport)

    @property
    def has_unhandled_request(self) -> bool:
        """Return whether a request was read whose handler has not started."""
        return self._request_count > self._handlers_started

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes of a response are buffered until the caller reads more."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def observe_reading(self, now: float) -> None:
        """Restart the idle time if the caller has read buffered bytes since the last check."""
        if self.unsent_bytes != self._previous_unsent_bytes:
            self.idle_since = now
        self._previous_unsent_bytes = self.unsent_bytes

    @property
    def phase(self) -> ConnectionPhase:
        """Return what the connection is waiting for."""
        if self.busy or self._current_request is not None or self.unsent_bytes > 0:
            content = self._content
            unfinished = content is not None and not content.is_eof()
            return ConnectionPhase.BODY if unfinished else ConnectionPhase.BUSY
        return ConnectionPhase.RESTING if self.head_since is None else ConnectionPhase.HEAD

    @property
    def waiting_since(self) -> float:
        """Return when the current phase began, on the clock of :mod:`clock`."""
        if self.busy:
            return self._handler_started_at
        return self.idle_since if self.head_since is None else self.head_since

    def observe_kept(self) -> Observation:
        """Return what is kept for the caller: its unsent bytes and the rest of its answer.

        Nothing counts as kept while the caller reads as fast as its answer arrives.
        """
        unsent = self.unsent_bytes
        source = self.source
        if not unsent:
            return Observation(0, 0)
        kept = unsent + (MAX_UNSENT_BYTES if self._bounded else 0)
        # The kernel keeps bytes that have left the buffer, and tells when the caller takes them.
        taken = acknowledged_bytes(self.transport) - unsent
        if source is None:
            return Observation(kept, taken)
        return Observation(
            kept + source.kept_bytes, source.written_bytes + taken, source.worker_waits
        )

    def read_ahead(self, count: int) -> None:
        """Let the worker send on, although the caller has not read what it sent before."""
        if self.source is not None:
            self.source.read_ahead(count)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit the bytes that wait for a caller that does not read."""
        super().connection_made(transport)
        if self._bounded and self.transport is not None:
            limit_unsent_bytes(self.transport, MAX_UNSENT_BYTES)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record when the connection was closed, inform the listener, and end the handler."""
        self.lost_at = clock.now()
        self._on_lost(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Record when a request head begins to arrive; clear it once the head was parsed."""
        if self._ended:
            return
        before = self._request_count
        super().data_received(data)
        if self._request_count != before:
            self.head_since = None
            self._head_bytes = 0
        elif not self.busy and data:
            self._record_partial_head(len(data))

    def _record_partial_head(self, size: int) -> None:
        if self.head_since is None:
            self.head_since = clock.now()
        self._head_bytes += size
        max_bytes = self._limits().header_bytes + HEAD_SLACK_BYTES
        if self._head_bytes > max_bytes and self.transport is not None:
            self.transport.write(Refusal(ResultCode.HEADERS_TOO_LARGE).encode_closing_response())
            self.end()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that the parser rejects with a numbered code, then close."""
        if request.writer.output_size > 0:
            raise ConnectionError(
                "the response has already started; closing the connection without completing it"
            )
        code = (
            ResultCode.MALFORMED_REQUEST
            if status < HTTPStatus.INTERNAL_SERVER_ERROR
            else ResultCode.INTERNAL_ERROR
        )
        return Refusal(code, message or "", close=True).to_response()

    def abort_if_caller_closed(self) -> None:
        """Abort the request being handled if its caller has closed the connection.

        aiohttp detects a close only by reading. Reading is paused while pipelined requests
        wait, and after the caller has closed its end the connection stays open until all
        data was written.
        """
        if self._handling and self.transport is not None and closed_by_peer(self.transport):
            self.transport.abort()

    def record_handler_start(self, content: StreamReader) -> None:
        """Record that a handler has started; the request body may still be arriving."""
        self._handling = True
        self._handler_started_at = clock.now()
        self._content = content
        self.head_since = None
        self._handlers_started += 1

    def record_handler_end(self) -> None:
        """Record that the handler has ended and the connection is idle."""
        self._handling = False
        self._content = None
        self.source = None
        self.idle_since = clock.now()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response; end the connection after one that closes it."""
        response, disconnected = await super().finish_response(request, resp, start_time)
        if not disconnected and not response.keep_alive:
            self.end()
        return response, disconnected

    def refuse_partial_head(self) -> None:
        """Refuse a request whose head is incomplete when the gateway stops."""
        if self.head_since is not None and self.transport is not None:
            refusal = Refusal.draining("the head was incomplete when the gateway stopped")
            self.transport.write(refusal.encode_closing_response())

    def end(self) -> None:
        """Close the sending side, and discard what arrives until the caller has closed its own.

        A close with unread bytes would reset the connection. The caller would get an error
        instead of the end, and might lose the response before it.
        """
        transport = self.transport
        if self._ended or transport is None or transport.is_closing():
            return
        self._ended = True
        self._force_close = True
        self._handlers_started = self._request_count
        self.head_since = None
        if self._waiter is not None:
            self._waiter.cancel()
        if self._bounded:
            unlimit_unsent_bytes(transport)
        try:
            transport.write_eof()
        except OSError:
            transport.abort()
            return
        transport.resume_reading()
        self._loop.call_later(LINGER_SECONDS, transport.close)

    def cut_reader(self, cause: CutCause) -> None:
        """Reset the connection of a caller that does not read, so that its answer is incomplete.

        The reset also frees the bytes that the kernel keeps.
        """
        self.cut_cause = cause
        set_reset_on_close(self.transport, True)
        self.abort_unsent()

    def abort_unsent(self) -> None:
        """Close without sending buffered bytes; a regular close would wait until they are read."""
        if self.transport is not None:
            self.transport.abort()
        self.force_close()


def has_request_behind(request: web.BaseRequest) -> bool:
    """Return whether another request was read behind one on its connection.

    An answer that closes the connection would leave that one without an answer.
    """
    connection = request.protocol
    return isinstance(connection, CallerConnection) and connection.has_unhandled_request


def reader_was_cut(request: web.BaseRequest) -> bool:
    """Return whether this gateway closed a request's connection because its caller did not read."""
    return getattr(request.protocol, "cut_cause", None) is not None


def seconds_since_close(request: web.BaseRequest) -> float:
    """Return the seconds since a request's connection was found closed, 0 while it is open."""
    lost_at = getattr(request.protocol, "lost_at", None)
    return clock.now() - lost_at if lost_at is not None else 0.0
