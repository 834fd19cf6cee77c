"""Client connections that know whether the body of a response without a length is complete.

Such a body ends with its connection (RFC 9112, 6.3), and is complete only if the sender closed the
connection. The HTTP library ends the body in the same way after a reset and after a local close,
so the cause is lost unless the connection keeps it.

The connection also bounds the bytes that a peer sends without content, and keeps whether its last
response was confirmed to belong to its request. Every HTTP client of this project uses
:class:`ClientConnector`.
"""

import asyncio
import functools
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception

INCOMPLETE_BODY = "the connection ended before its sender closed it"
TOO_MUCH_FRAMING = "too many bytes without content"

MAX_FRAMING_BYTES = 65_536
"""Maximum number of bytes that a peer sends without content: the head of a response with the
interim responses before it, or the extensions of a chunk."""

MAX_UNREAD_RESPONSES = 256
"""Maximum number of responses on a connection that no request has taken. One is expected; interim
responses arrive together after a stall."""


MIN_FINAL_STATUS = 200
"""Minimum status of a final response; the library also returns a 101 (protocol switch) as one."""

MAX_FINAL_STATUS = 599
"""Maximum status of a response (RFC 9110, 15)."""


def is_final_status(status: int) -> bool:
    """Return whether a response with this status is an answer at all.

    >>> [is_final_status(status) for status in (0, 101, 200, 599, 600, 999)]
    [False, False, True, True, False, False]
    """
    return MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS


SurplusListener = Callable[[str], None]
"""Called with the ``ip:port`` of a peer that sent a response while no request waited."""


def ignore_surplus(peer: str) -> None:
    """Ignore a surplus response."""


class ResponseConnection(ResponseHandler):
    """A connection that fails the body it receives unless the body is complete.

    The body fails when the connection ends, before any reader is informed of the end. So it does
    not matter when a reader begins to read, or whether the library has released the connection.

    ``confirmed`` is unset while it is not known whether the last response belongs to its request.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, on_surplus: SurplusListener = ignore_surplus
    ) -> None:
        super().__init__(loop)
        self._on_surplus = on_surplus
        self._peer = ""
        self._closed_by_sender = False
        self._framing_bytes = 0
        self._answered = False
        self.confirmed = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the address of the peer."""
        super().connection_made(transport)
        address = transport.get_extra_info("peername")
        self._peer = f"{address[0]}:{address[1]}" if address else ""

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the response to the next request."""
        self._framing_bytes = 0
        self._answered = False
        super().set_response_params(**params)

    async def read(self) -> Any:
        """Return the next head with its body; record whether it is the final one of a response."""
        message = await super().read()
        self._answered = is_final_status(message[0].code)
        return message

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; abort the connection if they hold no content for too long."""
        content = self._content_mark()
        super().data_received(data)
        if self._reading_paused or self._content_mark() != content:
            self._framing_bytes = 0
        else:
            self._framing_bytes += len(data)
        if self._framing_bytes > MAX_FRAMING_BYTES or len(self._buffer) > MAX_UNREAD_RESPONSES:
            self._abort_with(aiohttp.ClientPayloadError(TOO_MUCH_FRAMING))

    def eof_received(self) -> None:
        """Record that the sender closed its side of the connection."""
        self._closed_by_sender = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body without an end, unless the sender closed the connection."""
        if exc is not None or not self._closed_by_sender:
            self._fail_open_body(exc)
        self._report_surplus()
        super().connection_lost(exc)

    def close(self) -> None:
        """Fail a body without an end, and close the connection."""
        self._fail_open_body(None)
        self._report_surplus()
        super().close()

    def abort(self) -> None:
        """Fail a body without an end, and abort the connection."""
        self._fail_open_body(None)
        super().abort()

    def _content_mark(self) -> tuple[object, int]:
        """Return a value that changes when content of a response arrives."""
        body = self._payload
        return body, 0 if body is None else body.total_bytes

    def _abort_with(self, error: aiohttp.ClientError) -> None:
        """Fail the current response, and abort the connection."""
        self._fail_open_body(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def _report_surplus(self) -> None:
        """Report a response that came while no request waited, once."""
        if self._answered and self._buffer:
            self._answered = False
            self._on_surplus(self._peer)

    def _fail_open_body(self, cause: BaseException | None) -> None:
        body = self._payload
        if body is None or body.is_eof() or body.exception() is not None:
            return
        error = aiohttp.ClientPayloadError(INCOMPLETE_BODY)
        set_exception(body, error, cause or error)


class ClientConnector(aiohttp.TCPConnector):
    """A connector whose connections are :class:`ResponseConnection`."""

    def __init__(self, *, on_surplus: SurplusListener = ignore_surplus, **options: Any) -> None:
        super().__init__(**options)
        create: Callable[..., ResponseHandler] = ResponseConnection
        self._factory = functools.partial(create, loop=self._loop, on_surplus=on_surplus)
