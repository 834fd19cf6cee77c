"""A TCP proxy that forwards bytes between one process and one address until it is cut."""

import asyncio
import contextlib

from corkcrank.contracts.identifiers import Address

CHUNK_BYTES = 65_536
"""Maximum number of bytes per read."""


class CuttableLink:
    """Forwards connections to ``target`` until :meth:`cut`."""

    def __init__(self, address: Address, target: Address) -> None:
        self.address = address
        self._target = target
        self._is_cut = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening."""
        host, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._accept, host, int(port))

    def cut(self) -> None:
        """Close all connections and accept no new ones."""
        self._is_cut = True
        for writer in self._writers:
            writer.close()

    def restore(self) -> None:
        """Accept connections again."""
        self._is_cut = False

    async def stop(self) -> None:
        """Stop listening."""
        self.cut()
        if self._server is not None:
            self._server.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._is_cut:
            writer.close()
            return
        host, port = self._target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        self._writers |= {writer, far_writer}
        await asyncio.gather(self._forward(reader, far_writer), self._forward(far_reader, writer))
        self._writers -= {writer, far_writer}

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                writer.write(data)
                await writer.drain()
        writer.close()
