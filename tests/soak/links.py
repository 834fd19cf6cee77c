"""TCP links between the processes of a soak that can be delayed, silenced, cut and reset."""

import asyncio
import contextlib
import socket
import struct
import time
from dataclasses import dataclass
from enum import Enum

CHUNK_BYTES = 16_384
RESET_LINGER = struct.pack("ii", 1, 0)


class LinkTrouble(Enum):
    """What befalls a link; all but ``RESET`` leave its connections open."""

    DELAYED = "delayed"
    SILENT = "silent"
    CUT_TO_TARGET = "cut to target"
    CUT_FROM_TARGET = "cut from target"
    RESET = "reset"


BLOCKED_TO_TARGET = {LinkTrouble.SILENT, LinkTrouble.CUT_TO_TARGET}
BLOCKED_FROM_TARGET = {LinkTrouble.SILENT, LinkTrouble.CUT_FROM_TARGET}


class Silence(Enum):
    """In which directions the connections that are open lose every byte from now on."""

    BOTH = "both ways"
    TO_TARGET = "to target"
    FROM_TARGET = "from target"


@dataclass(eq=False)
class _Passage:
    """One connection's two directions, each lost for good or not.

    ``used_at`` is when its client first sent something since then, ``left`` whether the
    client has closed it.
    """

    client: tuple[str, int] | None = None
    lost_to_target: bool = False
    lost_from_target: bool = False
    used_at: float | None = None
    left: bool = False

    @property
    def silent(self) -> bool:
        """Return whether a request on it gets no answer any more."""
        return self.lost_to_target or self.lost_from_target

    def lose(self, silence: Silence) -> None:
        """Lose what is sent from now on, the end of the connection too."""
        self.lost_to_target |= silence is not Silence.FROM_TARGET
        self.lost_from_target |= silence is not Silence.TO_TARGET

    def lost(self, blocked: set[LinkTrouble]) -> bool:
        """Return whether the direction that these troubles block is lost."""
        return self.lost_to_target if blocked is BLOCKED_TO_TARGET else self.lost_from_target


class FaultLink:
    """Forwards connections to ``target``; bytes that a cut holds up arrive when it is mended.

    ``source_host`` is the address that the target sees the connections come from.
    """

    def __init__(self, host: str, target: str = "", source_host: str | None = None) -> None:
        self.target = target
        self.address = ""
        self._host = host
        self._source_host = source_host
        self._trouble: LinkTrouble | None = None
        self._delay = 0.0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._passages: set[_Passage] = set()
        self._mended_at = 0.0
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on a port, by default on a free one."""
        self._server = await asyncio.start_server(self._accept, self._host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"

    async def stop(self) -> None:
        """Stop listening and close everything."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in list(self._writers):
            writer.close()

    def trouble(self, trouble: LinkTrouble, delay: float) -> None:
        """Put a trouble in force."""
        self._trouble = trouble
        self._delay = delay
        if trouble is LinkTrouble.RESET:
            for writer in list(self._writers):
                _reset(writer)
        self._note_change()

    def harmed_since(self, moment: float) -> bool:
        """Return whether the link was cut, slow or reset at any time after a moment."""
        return self._trouble is not None or self._mended_at >= moment

    @property
    def listening(self) -> bool:
        """Return whether new connections are taken at all."""
        return self._server is not None and self._server.is_serving()

    def refuse(self) -> None:
        """Reset every connection and refuse new ones, like the machine of a dead process."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            _reset(writer)

    async def listen_again(self) -> None:
        """Take connections again at the same address."""
        if not self.listening:
            await self.start(int(self.address.rsplit(":", 1)[1]))

    def silence_kept(self, silence: Silence) -> int:
        """Have the connections that are open go silent for good; return how many they are.

        Their bytes are acknowledged and lost; new connections pass.
        """
        for passage in self._passages:
            passage.lose(silence)
        self._note_change()
        return len(self._passages)

    def silent_clients(self) -> set[tuple[str, int]]:
        """Return the clients' ends of the connections that are silent for good."""
        return {item.client for item in self._passages if item.silent and item.client}

    def longest_unnoticed(self) -> float:
        """Return for how long a client has waited on a silent connection that it used.

        What a trouble of the whole link holds up is not counted.
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
        """End the trouble."""
        self._trouble = None
        self._mended_at = time.monotonic()
        self._note_change()

    def _note_change(self) -> None:
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
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port), local_addr=local
            )
        except OSError:
            _reset(writer)
            return
        self._writers.add(far_writer)
        passage = _Passage(writer.get_extra_info("peername"))
        self._passages.add(passage)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(passage, reader, far_writer, BLOCKED_TO_TARGET))
                group.create_task(self._pump(passage, far_reader, writer, BLOCKED_FROM_TARGET))
        except* OSError:
            _reset(writer)
            _reset(far_writer)
        finally:
            self._passages.discard(passage)
            self._writers.discard(far_writer)
            far_writer.close()

    async def _pump(
        self,
        passage: _Passage,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocked: set[LinkTrouble],
    ) -> None:
        try:
            await self._pass_on(passage, reader, writer, blocked)
        except OSError:
            passage.left |= blocked is BLOCKED_TO_TARGET
            # The reset of one side is lost as its bytes are.
            if not passage.lost(blocked):
                raise

    async def _pass_on(
        self,
        passage: _Passage,
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
            writer.write(data)
            await writer.drain()
        if from_client:
            passage.left = True
        while self._trouble in blocked and not passage.lost(blocked):
            await self._changed.wait()
        if passage.lost(blocked):
            return
        # The other direction goes on until it ends by itself.
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset in place of an end."""
    found = writer.get_extra_info("socket")
    if found is not None:
        with contextlib.suppress(OSError):
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()
