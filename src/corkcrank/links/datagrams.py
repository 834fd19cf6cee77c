"""UDP datagrams between members: small, unordered and sometimes dropped."""

import asyncio
import socket
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Protocol

MAX_DATAGRAM_BYTES = 8_192
"""Maximum message size; longer messages are not sent. Heartbeats are far smaller."""

READ_INTERVAL_SECONDS = 0.04
"""Interval between reads of the socket: a sixth of the minimum interval between two heartbeats
of one member, and 1/25 of the wait for the answer to a probe."""

MAX_DATAGRAMS_PER_READ = 256
"""Maximum number of datagrams handled before other tasks run; they take about 2 ms."""

MAX_GROUP_MEMBERS = 8
"""Maximum number of datagrams sent at once: a slow link drops longer bursts."""


class DatagramSender(Protocol):
    """Interface that sends single datagrams."""

    def send(self, data: bytes, address: str) -> None:
        """Send one datagram without waiting."""


class DatagramLink:
    """Sends and receives datagrams on one address; network errors are ignored.

    Received datagrams are read in batches: one wake-up of the event loop for each datagram
    would be half of all wake-ups of an idle node in a large fleet.
    """

    def __init__(self, on_message: Callable[[bytes], None]) -> None:
        self._on_message = on_message
        self._socket: socket.socket | None = None

    async def open(self, address: str) -> None:
        """Bind to ``ip:port`` and start receiving."""
        host, port = address.rsplit(":", 1)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, int(port)))
        self._read()

    def send(self, data: bytes, address: str) -> None:
        """Send one datagram without waiting; drop it if the send buffer is full."""
        if self._socket is None or len(data) > MAX_DATAGRAM_BYTES:
            return
        host, port = address.rsplit(":", 1)
        # The member may have exited, so that nothing listens at its address.
        with suppress(OSError):
            self._socket.sendto(data, (host, int(port)))

    def close(self) -> None:
        """Stop receiving."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _read(self) -> None:
        """Handle the datagrams received so far and schedule the next read."""
        if self._socket is None:
            return
        # Scheduled first, so that an error in a message handler does not end the reads.
        asyncio.get_running_loop().call_later(READ_INTERVAL_SECONDS, self._read)
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # Reports that an earlier datagram was undeliverable; more may be waiting.
                continue
            self._on_message(data)
            if self._socket is None:
                return


async def send_in_groups(
    link: DatagramSender, message: Callable[[], bytes], addresses: Sequence[str], seconds: float
) -> None:
    """Send a message to every address, in groups that are spread evenly over ``seconds``.

    The message is built again for each group, so that the last group gets current data.
    Returns after ``seconds``, also if ``addresses`` is empty.
    """
    groups = max(1, -(-len(addresses) // MAX_GROUP_MEMBERS))
    for number in range(groups):
        data = message()
        for address in addresses[number::groups]:
            link.send(data, address)
        await asyncio.sleep(seconds / groups)
