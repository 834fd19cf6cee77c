"""Holds whether a gateway accepts callers' connections, for its readiness and its listener.

A gateway is ready while it serves, listens and accepts. High load does not make it unready. It
is unready if accepting has failed, or was blocked by the connection limit, for
``UNREADY_AFTER_SECONDS``, until a connection is accepted again or none is waiting.
"""

import resource
from collections.abc import Callable
from enum import StrEnum

from corkcrank.contracts import clock
from corkcrank.contracts.memory import BYTES_PER_MB
from corkcrank.contracts.node_settings import NodeLimitSettings

RESERVED_FILE_DESCRIPTORS = 200
"""Descriptors reserved for files, never used for sockets; half of all if there are few."""

MAX_CALLERS_DESCRIPTOR_SHARE = 0.5
"""Maximum share of the socket descriptors for callers' connections.

A request in progress uses one connection to a worker for each caller's connection. The other
half is for workers, the store, peers, readiness and metrics."""

MAX_PEERS_DESCRIPTOR_SHARE = 0.25
"""Maximum share of the socket descriptors for connections of other gateways, and of operators that
read metrics."""

MAX_READINESS_DESCRIPTOR_SHARE = 0.05
"""Maximum share of the socket descriptors for connections of the load balancer's health check."""

MAX_CALLERS_MEMORY_SHARE = 0.5
"""Maximum share of the memory for connections that wait for a request."""

MAX_CONNECTION_BYTES = 24_000
"""Maximum memory of a connection without a request in progress: it is idle after a request, or
its head is incomplete. A connection that never sent a byte uses a quarter of it."""


DEFAULT_DESCRIPTOR_LIMIT = 2**20
"""Number of descriptors if neither the operating system nor the settings limit them."""

MIN_CONNECTION_LIMIT = 8
"""Minimum connection limit, also if descriptors or memory allow fewer."""

RESUME_SHARE = 15 / 16
"""Share of the connection limit below which a gateway that reached it accepts again."""

UNREADY_AFTER_SECONDS = 0.5
"""Time for which accepting may be blocked before the gateway reports that it is not ready."""


class BlockCause(StrEnum):
    """Why no connection is accepted."""

    CONNECTIONS = "connections"
    """The connection limit is reached, and every connection has a request in progress."""

    DESCRIPTORS = "descriptors"
    """The operating system has no descriptor or no memory for the connection."""


class ListenerState:
    """State of accepting connections at one gateway; times are of :mod:`clock`, in seconds."""

    def __init__(self, connection_limit: int, serving: Callable[[], bool]) -> None:
        self.connection_limit = connection_limit
        self.listening = False
        self.open_connections = 0
        self.blocked_by: BlockCause | None = None
        self._serving = serving
        self._blocked_since = 0.0

    @property
    def ready(self) -> bool:
        """Return whether the load balancer may send callers to this gateway."""
        return self._serving() and self.listening and not self.blocked_too_long

    @property
    def blocked_too_long(self) -> bool:
        """Return whether accepting has been blocked for more than ``UNREADY_AFTER_SECONDS``."""
        return self.blocked_by is not None and self.blocked_seconds > UNREADY_AFTER_SECONDS

    @property
    def blocked_seconds(self) -> float:
        """Return for how many seconds accepting has been blocked, 0 if it is not."""
        return clock.now() - self._blocked_since if self.blocked_by is not None else 0.0

    @property
    def has_capacity(self) -> bool:
        """Return whether the limit permits one more connection.

        After the limit has blocked accepting, the number of connections must first fall below
        ``RESUME_SHARE`` of it, so that readiness does not change with each connection.
        """
        limit = self.connection_limit
        if self.blocked_by is BlockCause.CONNECTIONS:
            return self.open_connections < max(1, int(limit * RESUME_SHARE))
        return self.open_connections < limit

    def mark_blocked(self, cause: BlockCause) -> None:
        """Record that a connection could not be accepted."""
        if self.blocked_by is None:
            self._blocked_since = clock.now()
        self.blocked_by = cause

    def mark_accepting(self) -> None:
        """Record that accepting works."""
        self.blocked_by = None


def connection_limit(limits: NodeLimitSettings) -> int:
    """Return the maximum number of callers' connections, from descriptors and memory.

    >>> connection_limit(NodeLimitSettings(file_descriptors=900, memory_mb=300))
    350
    >>> connection_limit(NodeLimitSettings(file_descriptors=900, memory_mb=10))
    218
    """
    allowed = int(_socket_limit(limits) * MAX_CALLERS_DESCRIPTOR_SHARE)
    if limits.memory_mb:
        memory_bytes = limits.memory_mb * BYTES_PER_MB
        allowed = min(allowed, int(memory_bytes * MAX_CALLERS_MEMORY_SHARE / MAX_CONNECTION_BYTES))
    return max(MIN_CONNECTION_LIMIT, allowed)


def peer_connection_limit(limits: NodeLimitSettings) -> int:
    """Return the maximum number of connections of other gateways and of operators.

    >>> peer_connection_limit(NodeLimitSettings(file_descriptors=1_638))
    359
    """
    return max(MIN_CONNECTION_LIMIT, int(_socket_limit(limits) * MAX_PEERS_DESCRIPTOR_SHARE))


def readiness_connection_limit(limits: NodeLimitSettings) -> int:
    """Return the maximum number of connections of the load balancer's health check.

    >>> readiness_connection_limit(NodeLimitSettings(file_descriptors=1_638))
    71
    """
    return max(MIN_CONNECTION_LIMIT, int(_socket_limit(limits) * MAX_READINESS_DESCRIPTOR_SHARE))


def _socket_limit(limits: NodeLimitSettings) -> int:
    """Return the number of descriptors for sockets."""
    descriptors = _descriptor_limit(limits)
    return max(descriptors - RESERVED_FILE_DESCRIPTORS, descriptors // 2)


def _descriptor_limit(limits: NodeLimitSettings) -> int:
    """Return the descriptor limit of this process, of the operating system or a lower setting."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    configured = limits.file_descriptors
    if allowed == resource.RLIM_INFINITY:
        allowed = configured or DEFAULT_DESCRIPTOR_LIMIT
    return min(allowed, configured) if configured else allowed
