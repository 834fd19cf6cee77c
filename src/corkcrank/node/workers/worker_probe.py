"""Probes machines and processes of workers with new connections."""

import asyncio
from enum import StrEnum

from corkcrank.contracts.socket_addresses import split_socket_address


class ProbeResult(StrEnum):
    """Result of an attempt to open a connection."""

    CONNECTED = "connected"
    REFUSED = "refused"
    """The machine responded that no process listens at the address."""
    SILENT = "silent"
    """No response, or no route to the machine."""


async def probe_worker(address: str, timeout_seconds: float) -> ProbeResult:
    """Open a connection to ``ip:port`` and close it again.

    ``timeout_seconds`` bounds the wait.
    """
    host, port = split_socket_address(address)
    try:
        async with asyncio.timeout(timeout_seconds):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return ProbeResult.REFUSED
    except (OSError, TimeoutError):
        return ProbeResult.SILENT
    writer.transport.abort()
    return ProbeResult.CONNECTED


async def has_exited(address: str, timeout_seconds: float) -> bool:
    """Return whether a machine refuses connections to ``ip:port``: no process listens there.

    A timeout does not show an exit: the machine may be partitioned from the network.
    """
    return await probe_worker(address, timeout_seconds) is ProbeResult.REFUSED
