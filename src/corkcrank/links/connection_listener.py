"""Accepts connections up to a limit, and closes idle ones to admit new ones.

When the process has no file descriptor left, the server of asyncio keeps calling ``accept``,
a thousand times in one loop iteration with a log line each, and then pauses for a second.
This listener stays below the limit by closing connections without a request in progress, so
that a descriptor stays free, and retries soon if none is free all the same.
"""

import asyncio
import socket
from collections import Counter
from collections.abc import Callable
from enum import IntEnum
from typing import Protocol

from corkcrank.contracts import clock
from corkcrank.links.closed_connections import socket_closed_by_peer
from corkcrank.links.listener_state import BlockCause, ListenerState

ACCEPT_BACKLOG = 1024
"""Maximum number of connections waiting to be accepted."""

ACCEPT_RETRY_SECONDS = 0.05
"""Pause before a blocked accept is retried."""

MIN_WAIT_BEFORE_CLOSE_SECONDS = 0.1
"""Minimum age of a wait before a connection may be closed: its request may be in transit."""

CLOSED_BATCH_SHARE = 1 / 16
"""Share of the connection limit that is closed in one batch, so that searching for connections
to close stays cheap."""


class ConnectionPhase(IntEnum):
    """What a connection is waiting for, in the order in which connections are closed."""

    RESTING = 0
    HEAD = 1
    BODY = 2
    BUSY = 3
    """A complete request is in progress; such a connection is never closed to admit another."""


class IncomingConnection(asyncio.Protocol):
    """The part of a connection's interface that the listener uses."""

    @property
    def phase(self) -> ConnectionPhase:
        """Return what the connection is waiting for."""
        raise NotImplementedError

    @property
    def waiting_since(self) -> float:
        """Return when the current wait began, on the clock of :mod:`clock`."""
        raise NotImplementedError

    @property
    def has_unread_bytes(self) -> bool:
        """Return whether the caller has sent bytes that were not read yet."""
        raise NotImplementedError

    def force_close(self) -> None:
        """Close the connection at once."""
        raise NotImplementedError

    def discard(self) -> None:
        """Close the connection to admit another one; what is buffered for it need not be sent."""
        self.force_close()


class ListenerReport(Protocol):
    """Receives the events of the listener."""

    def record_closed(self, counts: Counter[ConnectionPhase], open_connections: int) -> None:
        """Record how many connections were closed to admit new ones, by phase."""

    def record_disconnected(self, count: int) -> None:
        """Record how many callers had disconnected before their connection was accepted."""

    def record_stalled(self, count: int) -> None:
        """Record how many connections were closed because their clients made no progress."""

    def record_blocked(self, state: ListenerState) -> None:
        """Record that accepting has been blocked for longer than the limit."""

    def record_accepting(self, state: ListenerState) -> None:
        """Record that accepting works again.

        ``state`` still holds the start of the block, from which its duration is computed.
        """


class ConnectionListener:
    """Listens on one address; ``make_connection`` returns the protocol of a new connection."""

    def __init__(
        self,
        make_connection: Callable[[], IncomingConnection],
        state: ListenerState,
        report: ListenerReport,
    ) -> None:
        self._make_connection = make_connection
        self._state = state
        self._report = report
        self._connections: set[IncomingConnection] = set()
        self._connecting_tasks: set[asyncio.Task[None]] = set()
        self._socket: socket.socket | None = None
        self._retry_timer: asyncio.TimerHandle | None = None
        self._failure_reported = False

    @property
    def connecting(self) -> int:
        """Return the number of accepted connections that are not set up yet."""
        return len(self._connecting_tasks)

    def start(self, address: str) -> None:
        """Listen on ``ip:port``."""
        host, port = address.rsplit(":", 1)
        self._socket = socket.create_server((host, int(port)), backlog=ACCEPT_BACKLOG)
        self._socket.setblocking(False)
        asyncio.get_running_loop().add_reader(self._socket, self._accept)
        self._state.listening = True

    def close(self) -> None:
        """Accept what waits in the accept queue, then stop listening; connections stay open.

        The operating system resets the connections that are in the queue of a closed listener.
        """
        if self._socket is None:
            return
        self._accept()
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._socket = None
        self._state.listening = False

    def remove_connection(self, connection: IncomingConnection) -> None:
        """Remove a connection that has been closed."""
        self._connections.discard(connection)
        self._state.open_connections = len(self._connections)

    def _accept(self) -> None:
        """Accept all waiting connections before other work: a full accept queue drops new ones."""
        assert self._socket is not None
        now = clock.now()
        disconnected = 0
        cause: BlockCause | None = None
        for _ in range(ACCEPT_BACKLOG):
            if not self._state.has_capacity and not self._close_waiting_connections(now):
                cause = BlockCause.CONNECTIONS
                break
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                break
            except OSError:
                self._close_waiting_connections(now)
                cause = BlockCause.DESCRIPTORS
                break
            # After a pause of the process the accept queue is full of callers that have
            # disconnected; setting up each connection costs as much as some requests.
            if socket_closed_by_peer(accepted):
                accepted.close()
                disconnected += 1
                continue
            self._open_connection(accepted)
            if self._state.blocked_by is BlockCause.CONNECTIONS:
                self._record_accepting()
        if disconnected:
            self._report.record_disconnected(disconnected)
        if cause is None:
            self._record_accepting()
        else:
            self._pause_accepting(cause)

    def _open_connection(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        connection = self._make_connection()
        self._connections.add(connection)
        self._state.open_connections = len(self._connections)
        task = asyncio.create_task(self._connect(connection, accepted))
        self._connecting_tasks.add(task)
        task.add_done_callback(self._connecting_tasks.discard)

    async def _connect(self, connection: IncomingConnection, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: connection, accepted)
        except OSError:
            accepted.close()
            self.remove_connection(connection)
        if connection not in self._connections:
            connection.force_close()

    def _close_waiting_connections(self, now: float) -> bool:
        """Close a batch of connections without a complete request; return whether any was closed.

        Connections are closed by phase, and within a phase by age of their wait, oldest first.
        A resting one that holds unread bytes stays open: it has sent a request.
        """
        waiting = [
            (phase, connection.waiting_since, connection)
            for connection in self._connections
            if (phase := connection.phase) is not ConnectionPhase.BUSY
            and now - connection.waiting_since > MIN_WAIT_BEFORE_CLOSE_SECONDS
            and not (phase is ConnectionPhase.RESTING and connection.has_unread_bytes)
        ]
        waiting.sort(key=lambda item: item[:2])
        count = max(1, int(self._state.connection_limit * CLOSED_BATCH_SHARE))
        closed = waiting[:count]
        for _, _, connection in closed:
            connection.discard()
            self.remove_connection(connection)
        if closed:
            phases: Counter[ConnectionPhase] = Counter(phase for phase, _, _ in closed)
            self._report.record_closed(phases, len(self._connections))
        return bool(closed)

    def _pause_accepting(self, cause: BlockCause) -> None:
        self._state.mark_blocked(cause)
        if self._state.blocked_too_long and not self._failure_reported:
            self._failure_reported = True
            self._report.record_blocked(self._state)
        assert self._socket is not None
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        self._retry_timer = loop.call_later(ACCEPT_RETRY_SECONDS, self._resume_accepting)

    def _resume_accepting(self) -> None:
        assert self._socket is not None
        asyncio.get_running_loop().add_reader(self._socket, self._accept)
        self._accept()

    def _record_accepting(self) -> None:
        if self._failure_reported:
            self._failure_reported = False
            self._report.record_accepting(self._state)
        self._state.mark_accepting()
