"""Decides by the kernel's state whether a client's request reached the target of a proxy.

A request that is sent to a connection that its peer has closed, or on one that was refused, has
not reached it. The event loop learns of a close only some turns later, and late under load.
"""

import asyncio

from corkcrank.links.closed_connections import closed_by_peer

Address = tuple[str, int]


class TargetSide:
    """A proxy's connection to its target, with the request in progress on it.

    ``unreached_clients`` receives the client's address if the target closed the connection
    while no request that had reached it awaited an answer.
    """

    def __init__(
        self, writer: asyncio.StreamWriter, client: Address, unreached_clients: set[Address]
    ) -> None:
        self._writer = writer
        self._client = client
        self._unreached_clients = unreached_clients
        self._awaits_answer = False

    @property
    def source(self) -> Address:
        """Return the address from which the target sees the connection."""
        return self._writer.get_extra_info("sockname")

    def write(self, data: bytes) -> None:
        """Forward a client's bytes; record whether the target had the connection open.

        The target may close between the first look and the write, so there is a second look.
        """
        was_open = not self._closed_by_target()
        self._writer.write(data)
        if was_open and not self._closed_by_target():
            self._awaits_answer = True
        elif not self._awaits_answer:
            self._unreached_clients.add(self._client)

    def record_answer_bytes(self) -> None:
        """Record that the target has sent bytes, so that it has read the request."""
        self._awaits_answer = False

    def record_close(self) -> None:
        """Record that the target's end of the connection was read, by a FIN or a reset."""
        if not self._awaits_answer:
            self._unreached_clients.add(self._client)

    def _closed_by_target(self) -> bool:
        """Return whether the kernel has a FIN or a reset of the target."""
        return closed_by_peer(self._writer.transport)
