"""Handles connections that were dropped because no byte arrived within a time limit.

A connection may go silent permanently, without a FIN or a reset, while new ones to the same
peer work. Only a deadline detects this. After a timeout, the user of a connection pool calls
:func:`drop_idle`, so that a pool full of silent connections costs one timeout, not one each.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import aiohttp


class ConnectionKind(StrEnum):
    """Kind of the remote end; a label of a metric."""

    STORE = "store"
    PEER = "peer"
    WORKER = "worker"
    CALLER = "caller"


@dataclass(frozen=True, slots=True)
class SilentConnection:
    """A connection that was dropped for silence, to ``peer``, an ``ip:port``.

    ``waited`` is the time without a byte received or accepted, in seconds; ``idle_dropped`` is
    the number of idle connections to the same peer that were closed with it.
    """

    kind: ConnectionKind
    peer: str
    waited: float
    idle_dropped: int = 0


SilenceListener = Callable[[SilentConnection], None]


def ignore_silence(connection: SilentConnection) -> None:
    """Ignores the dropped connection."""


def drop_all_idle(session: aiohttp.ClientSession) -> int:
    """Close every idle connection of a session; return their number.

    Used after a suspension of the machine, when peers have closed or lost these connections.
    """
    connector = session.connector
    if connector is None or connector.closed:
        return 0
    addresses = {f"{key.host}:{key.port}" for key in connector._conns}
    return sum(drop_idle(session, address) for address in addresses)


def drop_idle(session: aiohttp.ClientSession, address: str) -> int:
    """Close the idle connections of a session to ``ip:port``; return their number.

    It is unknown when the silence of a busy connection began, so no idle connection is
    trusted that was last used before now. Busy connections have their own deadlines.
    """
    connector = session.connector
    if connector is None or connector.closed:
        return 0
    host, _, port = address.rpartition(":")
    keys = [key for key in connector._conns if key.host == host and str(key.port) == port]
    dropped = [protocol for key in keys for protocol, _ in connector._conns.pop(key)]
    for protocol in dropped:
        protocol.close()
    return len(dropped)
