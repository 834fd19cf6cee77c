"""The server that callers connect to, with the configuration's limits on connections.

The library bounds neither the time a head may take nor, by configuration, the time a
connection may rest, and it cancels handlers on shutdown. This server adds both limits and
a stop that first lets connections end.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import cast

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from corkcrank.contracts.opaque_configuration import RequestLimits
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.gateway.opaque.refusals import Refusal
from corkcrank.links.silence import (
    ConnectionKind,
    SilenceListener,
    SilentConnection,
    ignore_silence,
)

SWEEP_SECONDS = 0.25
"""Time between looks at connections that rest or send their head too slowly."""

MAXIMUM_FIELD_BYTES = 65_536
"""Bound of the library's parser; the configuration's own limit is lower."""

NEVER_SECONDS = 86_400.0
"""Keep-alive of the library, which the sweep replaces."""

BACKLOG = 1024
"""Connections that may wait to be accepted."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CallerConnection(RequestHandler):
    """One connection, with the times that the sweep needs."""

    def __init__(self, manager: web.Server, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(
            manager,
            loop=loop,
            keepalive_timeout=NEVER_SECONDS,
            max_line_size=MAXIMUM_FIELD_BYTES,
            max_field_size=MAXIMUM_FIELD_BYTES,
            lingering_time=0.5,
            auto_decompress=False,
        )
        self.resting_since = time.monotonic()
        self.head_since: float | None = None
        self.unsent_bytes = 0
        self._begun = 0
        self._busy = False

    @property
    def caller(self) -> str:
        """Return the caller's ``ip:port``, empty once the connection is closed."""
        name = self.peername
        return f"{name[0]}:{name[1]}" if isinstance(name, tuple) else ""

    @property
    def busy(self) -> bool:
        """Return whether a request is being handled, or was read and will be next.

        The library hands a request to its handler some loop turns after it was read.
        """
        return self._busy or self._request_count > self._begun

    def data_received(self, data: bytes) -> None:
        """Note when a head begins; a parsed head ends it."""
        before = self._request_count
        super().data_received(data)
        if self._request_count != before:
            self.head_since = None
        elif not self.busy and self.head_since is None and data:
            self.head_since = time.monotonic()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer what the parser rejects with a numbered code, and close."""
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has begun; it can only be broken off")
        code = ResultCode.MALFORMED_REQUEST if status < 500 else ResultCode.INTERNAL_ERROR
        return Refusal(code, message or "", close=True).response()

    def begin(self) -> None:
        """Note that a request is being handled."""
        self._busy = True
        self.head_since = None
        self._begun += 1

    def rest(self) -> None:
        """Note that no request is being handled."""
        self._busy = False
        self.resting_since = time.monotonic()

    def note_unsent(self, now: float) -> None:
        """Count the rest anew whenever the caller accepted some of what was written."""
        transport = self.transport
        unsent = transport.get_write_buffer_size() if transport is not None else 0
        if unsent != self.unsent_bytes:
            self.unsent_bytes = unsent
            self.resting_since = now

    def drop_unsent(self) -> None:
        """Close without sending what the caller does not accept; closing would wait for it."""
        if self.transport is not None:
            self.transport.abort()
        self.force_close()


class _ConnectionServer(web.Server):
    def __call__(self) -> RequestHandler:
        return CallerConnection(self, self._loop)


class CallerServer:
    """Serves one handler on one address, within limits that may change at any time."""

    def __init__(self, handler: Handler, limits: Callable[[], RequestLimits]) -> None:
        self._handler = handler
        self._limits = limits
        self._server = _ConnectionServer(self._handle, handler_cancellation=True)
        self._listener: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None
        self.closing_connections = False
        self.on_silence: SilenceListener = ignore_silence

    @property
    def in_flight(self) -> int:
        """Return the number of requests being handled."""
        return sum(connection.busy for connection in self.connections())

    def connections(self) -> list[CallerConnection]:
        """Return every open connection."""
        return [cast(CallerConnection, item) for item in self._server.connections]

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``."""
        host, port = address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, host, int(port), backlog=BACKLOG, reuse_address=True
        )
        self._sweeper = asyncio.create_task(self._sweep())

    def stop_listening(self) -> None:
        """Accept no further connections."""
        if self._listener is not None:
            self._listener.close()

    def close_resting(self, longer_than: float) -> None:
        """Close connections that have rested for some seconds and have sent nothing new."""
        now = time.monotonic()
        for connection in self.connections():
            rested = now - connection.resting_since
            if not connection.busy and connection.head_since is None and rested > longer_than:
                connection.force_close()

    async def stop(self) -> None:
        """Close everything at once."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        self.stop_listening()
        for connection in self.connections():
            connection.force_close()
        await self._server.shutdown(0.1)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = cast(CallerConnection, request.protocol)
        connection.begin()
        try:
            return await self._handler(request)
        finally:
            connection.rest()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            limits = self._limits()
            now = time.monotonic()
            for connection in self.connections():
                if connection.busy:
                    continue
                connection.note_unsent(now)
                if connection.head_since is not None:
                    if now - connection.head_since > limits.header_seconds:
                        connection.force_close()
                elif now - connection.resting_since > limits.idle_seconds:
                    self._close_idle(connection, now)

    def _close_idle(self, connection: CallerConnection, now: float) -> None:
        """Close a connection that has rested, or accepted no bytes, for the longest time."""
        if not connection.unsent_bytes:
            connection.force_close()
            return
        waited = now - connection.resting_since
        self.on_silence(SilentConnection(ConnectionKind.CALLER, connection.caller, waited))
        connection.drop_unsent()
