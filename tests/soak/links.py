"""TCP proxies between the processes of a soak that can delay, silence, cut and reset."""

import asyncio
import contextlib
import socket
import struct
import time
from dataclasses import dataclass
from enum import Enum

from soak.reachability import Address, TargetSide

CHUNK_BYTES = 16_384
RESET_LINGER = struct.pack("ii", 1, 0)


class LinkTrouble(Enum):
    """Fault of a link; all but ``RESET`` leave its connections open."""

    DELAYED = "delayed"
    SILENT = "silent"
    CUT_TO_TARGET = "cut to target"
    CUT_FROM_TARGET = "cut from target"
    RESET = "reset"


BLOCKED_TO_TARGET = {LinkTrouble.SILENT, LinkTrouble.CUT_TO_TARGET}
BLOCKED_FROM_TARGET = {LinkTrouble.SILENT, LinkTrouble.CUT_FROM_TARGET}


class Silence(Enum):
    """Directions in which the open connections lose every later byte."""

    BOTH = "both ways"
    TO_TARGET = "to target"
    FROM_TARGET = "from target"


@dataclass(eq=False)
class _ProxiedConnection:
    """State of one proxied connection, whose two directions can be silenced permanently.

    ``used_at`` is when the client first sent data on the silent connection, ``left`` whether
    the client has closed it.
    """

    client: Address
    target: TargetSide
    lost_to_target: bool = False
    lost_from_target: bool = False
    used_at: float | None = None
    left: bool = False

    @property
    def silent(self) -> bool:
        """Return whether requests on the connection no longer receive responses."""
        return self.lost_to_target or self.lost_from_target

    def lose(self, silence: Silence) -> None:
        """Discard all later bytes, and the close of the connection."""
        self.lost_to_target |= silence is not Silence.FROM_TARGET
        self.lost_from_target |= silence is not Silence.TO_TARGET

    def lost(self, blocked: set[LinkTrouble]) -> bool:
        """Return whether the direction that these faults block is silenced permanently."""
        return self.lost_to_target if blocked is BLOCKED_TO_TARGET else self.lost_from_target


class FaultLink:
    """A TCP proxy to ``target``; bytes delayed by a cut arrive once the cut ends.

    ``source_host`` is the address that the target sees the connections come from.
    """

    def __init__(self, host: str, target: str = "", source_host: str | None = None) -> None:
        self.target = target
        self.address = ""
        self.unreached_clients: set[Address] = set()
        """Clients whose connection the target refused, or closed before it was sent a request."""
        self._host = host
        self._source_host = source_host
        self._trouble: LinkTrouble | None = None
        self._delay = 0.0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._passages: set[_ProxiedConnection] = set()
        self._mended_at = 0.0
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on a port, by default on a free one."""
        self._server = await asyncio.start_server(self._accept, self._host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in list(self._writers):
            writer.close()

    def trouble(self, trouble: LinkTrouble, delay: float) -> None:
        """Start a fault on the link."""
        self._trouble = trouble
        self._delay = delay
        if trouble is LinkTrouble.RESET:
            for writer in list(self._writers):
                _reset(writer)
        self._signal_change()

    def harmed_since(self, moment: float) -> bool:
        """Return whether the link had a fault at any time after ``moment``."""
        return self._trouble is not None or self._mended_at >= moment

    def passes_answers(self, source: Address) -> bool:
        """Return whether the target's bytes reach the client of a connection at once.

        ``source`` is the address from which the target sees the connection.
        """
        if self._trouble is not None:
            return False
        found = [passage for passage in self._passages if passage.target.source == source]
        return not any(passage.lost_from_target for passage in found)

    @property
    def listening(self) -> bool:
        """Return whether the link accepts new connections."""
        return self._server is not None and self._server.is_serving()

    def refuse(self) -> None:
        """Reset every connection and refuse new ones, as a host does for an exited process."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            _reset(writer)

    async def listen_again(self) -> None:
        """Accept connections again at the same address."""
        if not self.listening:
            await self.start(int(self.address.rsplit(":", 1)[1]))

    def silence_open_connections(self, silence: Silence) -> int:
        """Silence the open connections permanently; return how many are open.

        Their bytes are acknowledged and discarded; new connections are forwarded.
        """
        for passage in self._passages:
            passage.lose(silence)
        self._signal_change()
        return len(self._passages)

    def silence_client(self, host: str) -> None:
        """Silence the open connections of one client permanently."""
        for passage in self._passages:
            if passage.client[0] == host:
                passage.lose(Silence.BOTH)
        self._signal_change()

    def reset_client(self, host: str) -> None:
        """Reset the open connections of one client."""
        for writer in list(self._writers):
            peer = writer.get_extra_info("peername")
            if peer is not None and peer[0] == host:
                _reset(writer)

    def silent_clients(self) -> set[Address]:
        """Return the client addresses of the permanently silent connections."""
        return {item.client for item in self._passages if item.silent}

    def longest_silent_wait(self) -> float:
        """Return the longest time a client has been waiting on a silent connection it used.

        Return 0 while the whole link has a fault.
        """
        if self._trouble is not None:
            return 0.0
        now = time.monotonic()
        waits = [
            now - max(passage.used_at, self._mended_at)
            for passage in self._passages
            if passage.used_at is not None and not passage.left
        ]
        return max(waits, default=0.0)

    def mend(self) -> None:
        """End the fault of the link."""
        self._trouble = None
        self._mended_at = time.monotonic()
        self._signal_change()

    def _signal_change(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._trouble is LinkTrouble.RESET:
            _reset(writer)
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, port = self.target.rsplit(":", 1)
        local = (self._source_host, 0) if self._source_host else None
        client = writer.get_extra_info("peername")
        self.unreached_clients.discard(client)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port), local_addr=local
            )
        except OSError:
            self.unreached_clients.add(client)
            _reset(writer)
            return
        self._writers.add(target_writer)
        side = TargetSide(target_writer, client, self.unreached_clients)
        passage = _ProxiedConnection(client, side)
        self._passages.add(passage)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._forward_until_reset(passage, reader, target_writer, BLOCKED_TO_TARGET)
                )
                group.create_task(
                    self._forward_until_reset(passage, target_reader, writer, BLOCKED_FROM_TARGET)
                )
        except* OSError:
            _reset(writer)
            _reset(target_writer)
        finally:
            self._passages.discard(passage)
            self._writers.discard(target_writer)
            target_writer.close()

    async def _forward_until_reset(
        self,
        passage: _ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocked: set[LinkTrouble],
    ) -> None:
        try:
            await self._forward(passage, reader, writer, blocked)
        except OSError:
            passage.left |= blocked is BLOCKED_TO_TARGET
            if blocked is BLOCKED_FROM_TARGET:
                passage.target.record_close()
            # A silent direction does not forward a reset, just as it forwards no bytes.
            if not passage.lost(blocked):
                raise

    async def _forward(
        self,
        passage: _ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocked: set[LinkTrouble],
    ) -> None:
        from_client = blocked is BLOCKED_TO_TARGET
        while data := await reader.read(CHUNK_BYTES):
            if passage.silent and from_client and passage.used_at is None:
                passage.used_at = time.monotonic()
            while self._trouble in blocked and not passage.lost(blocked):
                await self._changed.wait()
            if self._trouble is LinkTrouble.DELAYED:
                await asyncio.sleep(self._delay)
            if passage.lost(blocked):
                continue
            if from_client:
                passage.target.write(data)
            else:
                passage.target.record_answer_bytes()
                writer.write(data)
            await writer.drain()
        if from_client:
            passage.left = True
        else:
            passage.target.record_close()
        while self._trouble in blocked and not passage.lost(blocked):
            await self._changed.wait()
        if passage.lost(blocked):
            return
        # The other direction stays open until its sender closes it.
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset instead of FIN."""
    found = writer.get_extra_info("socket")
    if found is not None:
        with contextlib.suppress(OSError):
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()
