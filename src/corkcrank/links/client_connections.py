"""Client connections that know whether the body of a response without a length is complete.

Such a body ends with its connection (RFC 9112, 6.3), and is complete only if the sender closed the
connection. The HTTP library ends the body in the same way after a reset and after a local close,
so the cause is lost unless the connection keeps it. Every HTTP client of this project uses
:class:`ClientConnector`.
"""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception

INCOMPLETE_BODY = "the connection ended before its sender closed it"


class ResponseConnection(ResponseHandler):
    """A connection that fails the body it receives unless the body is complete.

    The body fails when the connection ends, before any reader is informed of the end. So it does
    not matter when a reader begins to read, or whether the library has released the connection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._closed_by_sender = False

    def eof_received(self) -> None:
        """Record that the sender closed its side of the connection."""
        self._closed_by_sender = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body without an end, unless the sender closed the connection."""
        if exc is not None or not self._closed_by_sender:
            self._fail_open_body(exc)
        super().connection_lost(exc)

    def close(self) -> None:
        """Fail a body without an end, and close the connection."""
        self._fail_open_body(None)
        super().close()

    def abort(self) -> None:
        """Fail a body without an end, and abort the connection."""
        self._fail_open_body(None)
        super().abort()

    def _fail_open_body(self, cause: BaseException | None) -> None:
        body = self._payload
        if body is None or body.is_eof() or body.exception() is not None:
            return
        error = aiohttp.ClientPayloadError(INCOMPLETE_BODY)
        set_exception(body, error, cause or error)


class ClientConnector(aiohttp.TCPConnector):
    """A connector whose connections are :class:`ResponseConnection`."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        create: type[ResponseHandler] = ResponseConnection
        self._factory = functools.partial(create, loop=self._loop)
