"""Datagrams between members: small, unordered, lost now and then."""

import asyncio
import socket
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Protocol

MAXIMUM_DATAGRAM_BYTES = 8_192
"""Longer messages are not sent; heartbeats are far smaller."""

READ_SECONDS = 0.04
"""Time between looks at what has come: a sixth of the shortest time between two heartbeats of
one member, and 1 in 25 of the wait for the answer to a probe."""

MOST_READ_TOGETHER = 256
"""Datagrams that are handled before other work gets its turn, in about 2 ms."""

GROUP_MEMBERS = 8
"""Members that are told at one moment: a slow link drops a longer burst of datagrams."""


class DatagramSender(Protocol):
    """Sends single datagrams."""

    def send(self, data: bytes, address: str) -> None:
        """Send one datagram without waiting."""


class DatagramLink:
    """Sends and receives datagrams on one address; errors of the network are ignored.

    Received datagrams are read together: a wake of the event loop for each of them would be
    half of all wakes of an idle node in a large fleet.
    """

    def __init__(self, on_message: Callable[[bytes], None]) -> None:
        self._on_message = on_message
        self._socket: socket.socket | None = None

    async def open(self, address: str) -> None:
        """Bind to ``ip:port``."""
        host, port = address.rsplit(":", 1)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, int(port)))
        self._read()

    def send(self, data: bytes, address: str) -> None:
        """Send one datagram without waiting; it is lost where the link is full."""
        if self._socket is None or len(data) > MAXIMUM_DATAGRAM_BYTES:
            return
        host, port = address.rsplit(":", 1)
        # Members come and go: nobody may listen there.
        with suppress(OSError):
            self._socket.sendto(data, (host, int(port)))

    def close(self) -> None:
        """Stop receiving."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _read(self) -> None:
        """Hand on what has come, and look again a moment later."""
        if self._socket is None:
            return
        # First of all, so that a fault in handling a message does not end the reading.
        asyncio.get_running_loop().call_later(READ_SECONDS, self._read)
        for _ in range(MOST_READ_TOGETHER):
            try:
                data = self._socket.recv(MAXIMUM_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # An earlier datagram found nobody; the next one may still have come.
                continue
            self._on_message(data)
            if self._socket is None:
                return


async def send_spread(
    link: DatagramSender, message: Callable[[], bytes], addresses: Sequence[str], seconds: float
) -> None:
    """Send a message to every address in groups that are spread evenly over ``seconds``.

    The message is made anew for each group, so that the last is told nothing old. Returns
    after ``seconds``, also where there is no address.
    """
    groups = max(1, -(-len(addresses) // GROUP_MEMBERS))
    for number in range(groups):
        data = message()
        for address in addresses[number::groups]:
            link.send(data, address)
        await asyncio.sleep(seconds / groups)
