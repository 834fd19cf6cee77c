"""Tells whether the process of a worker has exited, by a new connection to its address."""

import asyncio


async def has_exited(address: str, timeout_seconds: float) -> bool:
    """Return whether a machine refuses connections to ``ip:port``: no process listens there.

    ``timeout_seconds`` bounds the wait. Silence does not show an exit: the machine may be cut off
    from the network.
    """
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(timeout_seconds):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError, ValueError):
        return False
    writer.transport.abort()
    return False
