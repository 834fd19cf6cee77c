"""HTTP sessions for workers that check each connection before a request is written."""

from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from corkcrank.links.client_connections import ClientConnector, ResponseConnection
from corkcrank.links.raw_headers import install_raw_headers
from corkcrank.node.workers.connect_watch import ConnectWatch

CONNECT_TIMEOUT_SECONDS = 0.5
"""Timeout for a connection to a worker."""

MAX_HEADER_BYTES = 32_768
"""Maximum length of a header field in a worker's response."""

MAX_RECEIVED_BYTES = 16_384
"""Maximum size of one read from a worker's socket, and of a connection's buffer before reading
pauses; the buffer may then hold at most twice as many bytes. By default the event loop reads
256 KiB at a time, even if the caller of a stream reads nothing."""

AUTOMATIC_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
"""Headers that the client library would add to those of a caller."""


@dataclass(slots=True)
class SendGuard:
    """Checks of a request at the time its connection is ready.

    A new connection keeps the context of the request for which it was opened, and this guard with
    it. So the guard is cleared after the request: its checks refer to the call and its body.
    """

    still_wanted: Callable[[], bool] | None
    watch: ConnectWatch | None
    connection: ResponseConnection | None = None
    """The connection on which the request was written."""

    def clear(self) -> None:
        """Drop the checks, because the request was written or given up."""
        self.still_wanted = self.watch = self.connection = None

    def allows_write(self) -> bool:
        """Return whether the request may be written now."""
        if self.watch is not None and not self.watch.try_begin():
            return False
        return self.still_wanted is None or self.still_wanted()


send_guard: ContextVar[SendGuard | None] = ContextVar("send_guard", default=None)
"""The checks of the current task's request; ``None`` if it is always written."""


class WithdrawnError(aiohttp.ClientError):
    """The request is no longer wanted."""


class CheckedConnector(ClientConnector):
    """A connector that discards idle connections with unexpected bytes and withdrawn requests.

    Every request on an idle connection has its complete response. Further bytes belong to no
    request, and the next request would read them as its response.

    Connecting may take half a second. A request that is no longer wanted when its connection is
    ready is not written.

    With ``needs_confirmation``, a connection is reused only after its last response was confirmed
    to belong to its request. A worker may send a response twice; the second one arrives as that of
    the next request, and then each response on the connection belongs to the request before.
    """

    def __init__(self, *, needs_confirmation: bool = False, **options: Any) -> None:
        super().__init__(**options)
        self._needs_confirmation = needs_confirmation

    async def connect(  # type: ignore[no-untyped-def]
        self, req, traces, timeout
    ) -> Connection:
        """Return a connection on which the current request may be written."""
        connection = await super().connect(req, traces, timeout)
        guard = send_guard.get()
        if guard is not None and not guard.allows_write():
            connection.release()
            raise WithdrawnError
        protocol = connection.protocol
        if guard is not None and isinstance(protocol, ResponseConnection):
            protocol.confirmed = not self._needs_confirmation
            guard.connection = protocol
        if connection.transport is not None:
            connection.transport.max_size = MAX_RECEIVED_BYTES  # type: ignore[attr-defined]
        return connection

    async def _get(self, key, traces):  # type: ignore[no-untyped-def]
        connection = await super()._get(key, traces)
        while connection is not None and not _is_reusable(connection.protocol):
            connection.close()
            connection = await super()._get(key, traces)
        return connection


def _is_reusable(protocol: ResponseHandler | None) -> bool:
    """Return whether an idle connection is open, without surplus bytes, and confirmed.

    The library keeps a connection only if ``should_close`` is false after a response. It becomes
    true later if bytes arrive, because the protocol stores them unread.
    """
    if not isinstance(protocol, ResponseConnection) or protocol.should_close:
        return False
    return protocol.confirmed


def create_session(connector: ClientConnector) -> aiohttp.ClientSession:
    """Return a session that sends requests unchanged and at most once."""
    install_raw_headers()
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        skip_auto_headers=AUTOMATIC_HEADERS,
        cookie_jar=aiohttp.DummyCookieJar(),
        trust_env=False,
        read_bufsize=MAX_RECEIVED_BYTES,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS),
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )
    # By default the library resends an idempotent request if a keep-alive connection fails. Only
    # the retry budget may decide on retries.
    session._retry_connection = False
    return session
