"""Detects closed connections and unread bytes, and selects between FIN and reset on close.

The functions read the state from the kernel: an event loop reports a close only after all
earlier bytes were read, so late while the loop is busy, and never while reading is paused.
"""

import asyncio
import contextlib
import fcntl
import socket
import struct
import sys
import termios

TCP_CLOSE, TCP_CLOSE_WAIT = 7, 8
"""Linux TCP states after a reset and after a FIN of the peer."""

ACKNOWLEDGED_OFFSET = 120
"""Offset of ``tcpi_bytes_acked`` in Linux's ``struct tcp_info``."""

ACKNOWLEDGED_FORMAT = struct.Struct("=Q")
TCP_INFO_BYTES = ACKNOWLEDGED_OFFSET + ACKNOWLEDGED_FORMAT.size


def closed_by_peer(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether the peer sent a FIN or a reset, or the connection is closing locally.

    A peer that shuts down only its sending side looks the same on the wire as one that closed.
    """
    if transport is None or transport.is_closing():
        return True
    connection = transport.get_extra_info("socket")
    return connection is not None and socket_closed_by_peer(connection)


def socket_closed_by_peer(connection: socket.socket) -> bool:
    """Return whether the peer closed a connection that is still open locally."""
    try:
        state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return bool(state) and state[0] in (TCP_CLOSE, TCP_CLOSE_WAIT)


def has_unread_bytes(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether bytes of the peer wait in the socket; a close would answer with a reset.

    Return false where the operating system does not tell.
    """
    if transport is None or transport.is_closing():
        return False
    connection = transport.get_extra_info("socket")
    if connection is None:
        return False
    waiting = bytearray(struct.calcsize("i"))
    try:
        fcntl.ioctl(connection.fileno(), termios.FIONREAD, waiting)
    except OSError:
        return False
    return any(waiting)


def acknowledged_bytes(transport: asyncio.BaseTransport | None) -> int:
    """Return how many bytes the peer's kernel has taken, 0 where the operating system is silent.

    Its receive buffer takes the first ones, whether the peer reads or not.
    """
    connection = transport.get_extra_info("socket") if transport is not None else None
    if connection is None or not sys.platform.startswith("linux"):
        return 0
    try:
        state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0
    if len(state) < TCP_INFO_BYTES:
        return 0
    count: int = ACKNOWLEDGED_FORMAT.unpack_from(state, ACKNOWLEDGED_OFFSET)[0]
    return count


def set_reset_on_close(transport: asyncio.BaseTransport | None, reset: bool) -> None:
    """Set whether closing a connection, for any cause, sends a reset instead of a FIN."""
    if transport is None or transport.is_closing():
        return
    connection = transport.get_extra_info("socket")
    if connection is not None:
        linger = struct.pack("ii", int(reset), 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def limit_unsent_bytes(transport: asyncio.WriteTransport, count: int) -> None:
    """Limit the bytes that the kernel accepts beyond those sent, and the transport's own buffer.

    The amount in flight to the peer stays unlimited, so a peer that reads gets its bytes as fast
    as before.
    """
    transport.set_write_buffer_limits(high=count)
    _set_kernel_unsent_limit(transport, count)


def unlimit_unsent_bytes(transport: asyncio.WriteTransport) -> None:
    """Let the kernel accept the rest of an answer, which it sends on after the process ended."""
    _set_kernel_unsent_limit(transport, 0)


def _set_kernel_unsent_limit(transport: asyncio.WriteTransport, count: int) -> None:
    """Set the limit of the bytes that the kernel accepts beyond those sent, 0 for its default."""
    connection = transport.get_extra_info("socket")
    if connection is None:
        return
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, count)
