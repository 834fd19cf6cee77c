"""Whether this gateway takes callers' connections: what readiness and accepting derive from.

A gateway is ready while it serves, listens and accepts. Being busy does not make it unready:
only accepting that has failed, or has found no place for a connection, for
``PATIENCE_SECONDS`` does, until a connection is accepted again or nobody waits.
"""

import resource
from collections.abc import Callable
from enum import StrEnum

from corkcrank.contracts import clock
from corkcrank.contracts.node_settings import NodeLimitSettings

FILE_DESCRIPTORS = 200
"""Descriptors kept for files, which sockets never get; half of all where there are few."""

CALLERS_SHARE = 0.5
"""Share of the descriptors for sockets that callers' connections may take.

A request in progress needs a connection to a worker for each of a caller's. The other half
serves workers, the store, peers, readiness and metrics."""

CALLERS_MEMORY_SHARE = 0.5
"""Share of the memory that connections which wait for a request may take."""

CONNECTION_BYTES = 24_000
"""Most that a connection takes while no request is in progress: it has served one and rests, or
its head has not ended. One that never sent a byte takes a quarter of it."""

BYTES_OF_MB = 2**20

UNLIMITED_DESCRIPTORS = 2**20
"""Descriptors assumed where neither the operating system nor the settings bound them."""

FEWEST_CONNECTIONS = 8
"""Connections that are allowed whatever the limits say."""

RESUME_SHARE = 15 / 16
"""Share of the connection limit below which a full gateway accepts again."""

PATIENCE_SECONDS = 0.5
"""Time without accepting after which a gateway says that it is not ready."""


class BlockCause(StrEnum):
    """Why no connection is accepted."""

    CONNECTIONS = "connections"
    """The limit is reached, and every connection has a request in progress."""

    DESCRIPTORS = "descriptors"
    """The operating system gave no descriptor or no memory for the connection."""


class ListenerState:
    """One gateway's state of accepting; times are of :mod:`clock`, in seconds."""

    def __init__(self, connection_limit: int, serving: Callable[[], bool]) -> None:
        self.connection_limit = connection_limit
        self.listening = False
        self.open_connections = 0
        self.blocked_by: BlockCause | None = None
        self._serving = serving
        self._blocked_since = 0.0

    @property
    def ready(self) -> bool:
        """Return whether the balancer may send callers here."""
        return self._serving() and self.listening and not self.failing

    @property
    def failing(self) -> bool:
        """Return whether accepting has been blocked for too long."""
        return self.blocked_by is not None and self.blocked_seconds > PATIENCE_SECONDS

    @property
    def blocked_seconds(self) -> float:
        """Return for how long accepting has been blocked."""
        return clock.now() - self._blocked_since if self.blocked_by is not None else 0.0

    @property
    def has_place(self) -> bool:
        """Return whether a further connection is within the limit.

        Once the limit has blocked, some places must be free, so that readiness does not
        change with each connection.
        """
        limit = self.connection_limit
        if self.blocked_by is BlockCause.CONNECTIONS:
            return self.open_connections < max(1, int(limit * RESUME_SHARE))
        return self.open_connections < limit

    def block(self, cause: BlockCause) -> None:
        """Note that a connection could not be accepted."""
        if self.blocked_by is None:
            self._blocked_since = clock.now()
        self.blocked_by = cause

    def unblock(self) -> None:
        """Note that accepting works."""
        self.blocked_by = None


def connection_limit(limits: NodeLimitSettings) -> int:
    """Return how many connections callers may hold, from descriptors and memory.

    >>> connection_limit(NodeLimitSettings(file_descriptors=900, memory_mb=300))
    350
    >>> connection_limit(NodeLimitSettings(file_descriptors=900, memory_mb=10))
    218
    """
    descriptors = _descriptors(limits)
    sockets = max(descriptors - FILE_DESCRIPTORS, descriptors // 2)
    allowed = int(sockets * CALLERS_SHARE)
    if limits.memory_mb:
        memory_bytes = limits.memory_mb * BYTES_OF_MB
        allowed = min(allowed, int(memory_bytes * CALLERS_MEMORY_SHARE / CONNECTION_BYTES))
    return max(FEWEST_CONNECTIONS, allowed)


def _descriptors(limits: NodeLimitSettings) -> int:
    """Return the descriptors of this process: the operating system's limit or a lower one."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    told = limits.file_descriptors
    if allowed == resource.RLIM_INFINITY:
        allowed = told or UNLIMITED_DESCRIPTORS
    return min(allowed, told) if told else allowed
