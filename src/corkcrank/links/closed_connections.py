"""How a TCP connection ends: whether the other end has closed it, and how a close looks there.

An event loop tells of a close only once everything before it was read: late while the loop
is busy, and never while reading is paused.
"""

import asyncio
import socket
import struct

TCP_CLOSE, TCP_CLOSE_WAIT = 7, 8
"""Linux's states of a connection after a reset, and after the end of the other side."""


def closed_by_peer(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether the other end sent its end or a reset, or the connection is closing here.

    An end may be of the other's sending only; on the wire that looks as a close does.
    """
    if transport is None or transport.is_closing():
        return True
    connection = transport.get_extra_info("socket")
    return connection is not None and socket_closed_by_peer(connection)


def socket_closed_by_peer(connection: socket.socket) -> bool:
    """Return whether the other end of a connection that is open here has closed it."""
    try:
        state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return bool(state) and state[0] in (TCP_CLOSE, TCP_CLOSE_WAIT)


def close_by_reset(transport: asyncio.BaseTransport | None, reset: bool) -> None:
    """Have a close of a connection, by whatever cause, be seen as a reset, or properly again."""
    if transport is None or transport.is_closing():
        return
    connection = transport.get_extra_info("socket")
    if connection is not None:
        linger = struct.pack("ii", int(reset), 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
