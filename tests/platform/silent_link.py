"""TCP proxy whose open connections can go silent permanently, while new ones work."""

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field

CHUNK_BYTES = 16_384


@dataclass(eq=False)
class _Connection:
    """The two ends of one connection; ``lost`` counts discarded bytes."""

    client_side: asyncio.StreamWriter
    target_side: asyncio.StreamWriter
    silent_to_target: bool = False
    silent_from_target: bool = False
    lost: int = 0

    @property
    def silent(self) -> bool:
        return self.silent_to_target or self.silent_from_target


@dataclass(eq=False)
class SilentLink:
    """Forwards connections to ``target``; bytes sent on a silent one are accepted and discarded.

    A silent direction does not forward the close of the connection either.
    """

    target: str = ""
    address: str = ""
    accepted: int = 0
    _server: asyncio.Server | None = None
    _connections: set[_Connection] = field(default_factory=set)
    _silenced: list[_Connection] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self, target: str, address: str = "127.0.0.1:0") -> None:
        """Listen on an address."""
        self.target = target
        host, port = address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._accept, host, int(port))
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening and closes every connection."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def open(self) -> int:
        """Return the number of connections whose client has not closed them."""
        return len(self._connections)

    @property
    def used_when_silent(self) -> int:
        """Return how many connections were sent data after they had gone silent."""
        return sum(connection.lost > 0 for connection in self._silenced)

    def silence(self, *, to_target: bool = True, from_target: bool = True) -> None:
        """Make all open connections permanently silent, in one direction or both."""
        for connection in self._connections:
            connection.silent_to_target = connection.silent_to_target or to_target
            connection.silent_from_target = connection.silent_from_target or from_target
            self._silenced.append(connection)

    def reset(self) -> None:
        """Reset all open connections at the client's side."""
        # With a linger time of 0, closing sends a TCP reset instead of FIN.
        linger = struct.pack("ii", 1, 0)
        for connection in list(self._connections):
            transport = connection.client_side.transport
            connected = transport.get_extra_info("socket")
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, port = self.target.rsplit(":", 1)
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        connection = _Connection(writer, far_writer)
        self._connections.add(connection)
        self.accepted += 1
        answers = asyncio.create_task(self._pump(connection, far_reader, to_target=False))
        try:
            await self._pump(connection, reader, to_target=True)
            self._connections.discard(connection)
            if connection.silent_to_target:
                # The close is not forwarded to the target, so its side stays open.
                await asyncio.Event().wait()
        finally:
            self._connections.discard(connection)
            answers.cancel()
            await asyncio.gather(answers, return_exceptions=True)
            far_writer.close()

    async def _pump(
        self, connection: _Connection, reader: asyncio.StreamReader, *, to_target: bool
    ) -> None:
        writer = connection.target_side if to_target else connection.client_side
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if connection.silent_to_target if to_target else connection.silent_from_target:
                    connection.lost += len(data) if to_target else 0
                    continue
                if to_target and connection.silent:
                    connection.lost += len(data)
                writer.write(data)
                await writer.drain()
        if not to_target and not connection.silent_from_target:
            writer.close()
