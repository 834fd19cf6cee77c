"""Serves callers' HTTP connections within the limits of the configuration.

aiohttp limits neither the time in which a request head must arrive nor, by configuration, the
idle time of a connection, and it cancels handlers on shutdown. This server adds both limits
and a stop that first lets connections end.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import cast

from aiohttp import web

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_configuration import RequestLimits
from corkcrank.links.connection_listener import ConnectionListener, ListenerReport
from corkcrank.links.listener_state import ListenerState
from corkcrank.links.silence import (
    ConnectionKind,
    SilenceListener,
    SilentConnection,
    ignore_silence,
)
from corkcrank.node.callers.caller_connection import CallerConnection
from corkcrank.node.callers.reader_watch import ReaderWatch

SWEEP_INTERVAL_SECONDS = 0.25
"""Interval of the check for connections that are idle, slow to send a head, or closed."""

HANDLER_SHUTDOWN_SECONDS = 0.1
"""Time that aiohttp gives handlers at a stop; the drain has answered their calls by then."""

CLOSE_WAIT_SECONDS = 0.05
"""Maximum time at a stop for callers to close their side of ended connections."""

CLOSE_CHECK_SECONDS = 0.01
"""Interval of the check whether callers have closed their side."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CallerServer:
    """Serves one request handler on one address, within limits that may change at any time."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], RequestLimits],
        state: ListenerState,
        report: ListenerReport,
        readers: ReaderWatch,
    ) -> None:
        self._handler = handler
        self._readers = readers
        self._limits = limits
        self._server = web.Server(self._handle_request, handler_cancellation=True)
        self._listener = ConnectionListener(self._make_connection, state, report)
        self._sweeper: asyncio.Task[None] | None = None
        self.on_silence: SilenceListener = ignore_silence

    @property
    def in_flight(self) -> int:
        """Return the number of connections with a request or a response in progress."""
        return sum(item.busy or item.unsent_bytes > 0 for item in self.connections())

    @property
    def unhandled_requests(self) -> int:
        """Return the number of connections with a request whose handler has not started."""
        return sum(item.has_unhandled_request for item in self.connections())

    @property
    def unread_connections(self) -> int:
        """Return the number of connections that are being set up or hold unread bytes."""
        unread = sum(item.has_unread_bytes for item in self.connections())
        return unread + self._listener.connecting

    def partial_heads(self, newer_than: float) -> int:
        """Return the number of incomplete heads that began within ``newer_than`` seconds."""
        began_after = clock.now() - newer_than
        return sum(
            item.head_since is not None and item.head_since > began_after
            for item in self.connections()
        )

    def connections(self) -> list[CallerConnection]:
        """Return every open connection."""
        return [cast(CallerConnection, item) for item in self._server.connections]

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``."""
        self._listener.start(address)
        self._sweeper = asyncio.create_task(self._sweep_connections())

    def stop_listening(self) -> None:
        """Accept the connections that wait to be accepted, and no more after them."""
        self._listener.close()

    def close_idle_connections(self, longer_than: float) -> None:
        """Close connections that have been idle for ``longer_than`` seconds.

        Connections stay open that have sent part of a head, or hold unread bytes of a request
        or of a response.
        """
        now = clock.now()
        for connection in self.connections():
            idle_seconds = now - connection.idle_since
            receiving_or_sending = connection.head_since is not None or connection.unsent_bytes > 0
            if connection.busy or receiving_or_sending or idle_seconds <= longer_than:
                continue
            if not connection.has_unread_bytes:
                connection.end()

    def end_connections(self) -> None:
        """End every connection without a request in progress; refuse incomplete heads."""
        for connection in self.connections():
            if not connection.busy:
                connection.refuse_partial_head()
                connection.end()

    async def stop(self) -> None:
        """Close the listener and all connections; callers have a moment to close their side."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        self.stop_listening()
        self.end_connections()
        for connection in self.connections():
            if connection.busy:
                connection.force_close()
        await self._wait_until_closed()
        await self._server.shutdown(HANDLER_SHUTDOWN_SECONDS)

    async def _wait_until_closed(self) -> None:
        close_at = clock.now() + CLOSE_WAIT_SECONDS
        while self.connections() and clock.now() < close_at:
            await asyncio.sleep(CLOSE_CHECK_SECONDS)

    def _make_connection(self) -> CallerConnection:
        return CallerConnection(
            self._server,
            asyncio.get_running_loop(),
            self._limits,
            self._listener.remove_connection,
            bounded=self._readers.budget.bound_bytes > 0,
        )

    async def _handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = cast(CallerConnection, request.protocol)
        connection.record_handler_start(request.content)
        try:
            return await self._handler(request)
        finally:
            connection.record_handler_end()

    async def _sweep_connections(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            limits = self._limits()
            now = clock.now()
            self._readers.sweep(self.connections())
            for connection in self.connections():
                if connection.busy and not connection.waits_for_reader:
                    connection.abort_if_caller_closed()
                    continue
                connection.observe_reading(now)
                if connection.has_unread_bytes and not connection.unsent_bytes:
                    continue
                if connection.head_since is not None:
                    if now - connection.head_since > limits.header_seconds:
                        connection.force_close()
                elif now - connection.idle_since > limits.idle_seconds:
                    self._close_idle(connection, now)

    def _close_idle(self, connection: CallerConnection, now: float) -> None:
        """Close a connection that has been idle, or has read no response bytes, for the limit."""
        if not connection.unsent_bytes:
            connection.end()
            return
        waited = now - connection.idle_since
        self.on_silence(SilentConnection(ConnectionKind.CALLER, connection.caller, waited))
        connection.abort_unsent()
