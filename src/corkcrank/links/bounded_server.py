"""HTTP servers that bound the connections that clients hold open.

The HTTP library accepts any number of connections and never closes one whose client is silent
within a head or does not read its answer. Such clients would take every descriptor of the process.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any, cast

from aiohttp import web

from corkcrank.contracts import clock
from corkcrank.links.connection_listener import (
    ConnectionListener,
    ConnectionPhase,
    IncomingConnection,
    ListenerReport,
)
from corkcrank.links.listener_state import ListenerState
from corkcrank.links.server_connections import BoundedRequestHandler

MAX_STALL_SECONDS = 10.0
"""Maximum time without progress of an incomplete request, or of an answer that is not read."""

MAX_IDLE_SECONDS = 75.0
"""Maximum time for which a connection may rest between two requests. Other gateways and scrapers
close theirs earlier."""

SWEEP_INTERVAL_SECONDS = 1.0
"""Interval of the check for connections that are idle or make no progress."""


class IgnoredEvents(ListenerReport):
    """A report that ignores the events of a listener."""

    def record_closed(self, counts: Counter[ConnectionPhase], open_connections: int) -> None:
        """Ignore closed connections."""

    def record_disconnected(self, count: int) -> None:
        """Ignore clients that had disconnected."""

    def record_stalled(self, count: int) -> None:
        """Ignore clients that made no progress."""

    def record_blocked(self, state: ListenerState) -> None:
        """Ignore that accepting is blocked."""

    def record_accepting(self, state: ListenerState) -> None:
        """Ignore that accepting works again."""


class BoundedConnection(BoundedRequestHandler, IncomingConnection):
    """One connection, with the time since which its client has made no progress."""

    def __init__(
        self,
        server: "BoundedServer",
        on_lost: Callable[[IncomingConnection], None],
        *,
        loop: asyncio.AbstractEventLoop,
        **options: Any,
    ) -> None:
        super().__init__(server, loop=loop, **options)
        self._on_lost = on_lost
        self._received_bytes = 0
        self._in_head = False
        self._progress = (0, 0, 0)
        self._unchanged_since = clock.now()

    @property
    def phase(self) -> ConnectionPhase:
        """Return whether the connection is in use or waits for its client."""
        return ConnectionPhase.RESTING if self._waits_for_client else ConnectionPhase.BUSY

    @property
    def waiting_since(self) -> float:
        """Return since when the client has made no progress, on the clock of :mod:`clock`."""
        self.observe(clock.now())
        return self._unchanged_since

    @property
    def has_unread_bytes(self) -> bool:
        """Return false: bytes are read as soon as they arrive, unless a request is in progress."""
        return False

    @property
    def _unsent_bytes(self) -> int:
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    @property
    def _waits_for_client(self) -> bool:
        request = self._current_request
        if request is None:
            return not self._messages or self._unsent_bytes > 0
        return self._unsent_bytes > 0 or not request.content.is_eof()

    def observe(self, now: float) -> None:
        """Record whether the client has sent, read or completed anything since the last call."""
        progress = (self._received_bytes, self._unsent_bytes, self._request_count)
        if progress != self._progress or not self._waits_for_client:
            self._progress, self._unchanged_since = progress, now

    def is_stalled(self, now: float) -> bool:
        """Return whether the client has used up the time that it may take."""
        sending_or_reading = self._in_head or self._current_request is not None
        resting = self._request_count > 0 and not sending_or_reading and not self._unsent_bytes
        allowed = MAX_IDLE_SECONDS if resting else MAX_STALL_SECONDS
        return self._waits_for_client and now - self._unchanged_since > allowed

    def data_received(self, data: bytes) -> None:
        """Count the bytes received, and record whether a head is incomplete."""
        self._received_bytes += len(data)
        requests = self._request_count
        super().data_received(data)
        if self._request_count != requests:
            self._in_head = False
        elif data and self._current_request is None and not self._messages:
            self._in_head = True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Inform the listener, and end the handler."""
        self._on_lost(self)
        super().connection_lost(exc)

    def discard(self) -> None:
        """Close the connection at once, without sending what is buffered."""
        if self.transport is not None:
            self.transport.abort()
        self.force_close()


class BoundedServer(web.Server):
    """A server with at most ``max_connections`` connections an address; none stalls for long."""

    def __init__(
        self,
        handler: Any,
        *,
        max_connections: int,
        report: ListenerReport | None = None,
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self._max_connections = max_connections
        self._report = report or IgnoredEvents()
        self._listeners: list[ConnectionListener] = []
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)

    def listen(self, address: str) -> None:
        """Accept connections on ``ip:port``."""
        state = ListenerState(self._max_connections, lambda: True)
        listener = ConnectionListener(
            lambda: BoundedConnection(
                self, listener.remove_connection, loop=self._loop, **self._kwargs
            ),
            state,
            self._report,
        )
        listener.start(address)
        self._listeners.append(listener)

    def stop_listening(self) -> None:
        """Accept no more connections; those that are open stay so."""
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()

    async def shutdown(self, timeout: float | None = None) -> None:
        """Close every connection."""
        self.stop_listening()
        self._sweep_timer.cancel()
        await super().shutdown(timeout)

    def _sweep(self) -> None:
        now = clock.now()
        stalled = 0
        for item in self.connections:
            connection = cast(BoundedConnection, item)
            connection.observe(now)
            if connection.is_stalled(now):
                connection.discard()
                stalled += 1
        if stalled:
            self._report.record_stalled(stalled)
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)


class BoundedAppRunner(web.AppRunner):
    """Runs an application on a :class:`BoundedServer`."""

    def __init__(self, application: web.Application, *, max_connections: int, **options: Any):
        super().__init__(application, **options)
        self._max_connections = max_connections

    def listen(self, address: str) -> None:
        """Accept connections on ``ip:port``, once the runner is set up."""
        cast(BoundedServer, self.server).listen(address)

    def stop_listening(self) -> None:
        """Accept no more connections; those that are open stay so."""
        cast(BoundedServer, self.server).stop_listening()

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return BoundedServer(
            server.request_handler,
            max_connections=self._max_connections,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )
