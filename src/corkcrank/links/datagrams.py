"""Datagrams between members: small, unordered, lost now and then."""

import asyncio
from collections.abc import Callable
from typing import cast

MAXIMUM_DATAGRAM_BYTES = 8_192
"""Longer messages are not sent; heartbeats are far smaller."""


class DatagramLink(asyncio.DatagramProtocol):
    """Sends and receives datagrams on one address; errors of the network are ignored."""

    def __init__(self, on_message: Callable[[bytes], None]) -> None:
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: str) -> None:
        """Bind to ``ip:port``."""
        host, port = address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, int(port)))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        """Hand a message on."""
        self._on_message(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore an address that nobody listens at: members come and go."""

    def send(self, data: bytes, address: str) -> None:
        """Send one datagram without waiting."""
        transport = self._transport
        if transport is None or transport.is_closing() or len(data) > MAXIMUM_DATAGRAM_BYTES:
            return
        host, port = address.rsplit(":", 1)
        transport.sendto(data, (host, int(port)))

    def close(self) -> None:
        """Stop receiving."""
        if self._transport is not None:
            self._transport.close()
