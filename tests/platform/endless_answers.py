"""A simulated peer whose answers never end, or end late, in one of several ways."""

import asyncio
import contextlib
from dataclasses import dataclass, field
from enum import StrEnum

from engine_script import reset
from multidict import CIMultiDict
from platform_standins import ATTEMPT, INSTANCE, SEAL, Server, _ids, worker_entry

PIECE = b"x" * 65_536
LAST_CHUNK = b"0\r\n\r\n"


class Endless(StrEnum):
    """What a peer sends without end."""

    BODY = "body without a length"
    CHUNKS = "chunks"
    EXTENSION = "extension of a chunk"
    INTERIM = "interim responses"
    FIELDS = "header fields"


OK = b"HTTP/1.1 200 OK\r\n"


def begin(how: Endless, ids: bytes, beginning: bytes) -> bytes:
    """Return the bytes before the endless ones; ``beginning`` is the body's beginning."""
    if how is Endless.BODY:
        return OK + ids + b"Connection: close\r\n\r\n" + beginning
    if how is Endless.CHUNKS:
        return OK + ids + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(beginning)
    if how is Endless.EXTENSION:
        return OK + ids + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(beginning) + b"1;e="
    if how is Endless.FIELDS:
        return OK + ids
    return b""


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


def endless_piece(how: Endless) -> bytes:
    """Return the bytes that are repeated without end."""
    if how is Endless.CHUNKS:
        return chunk(PIECE)
    if how is Endless.INTERIM:
        return b"HTTP/1.1 102 Processing\r\n\r\n" * 2_000
    if how is Endless.FIELDS:
        return b"X-Field: value\r\n" * 4_000
    return PIECE


@dataclass
class EndlessPeer:
    """A worker, member or store whose answers never end; ``sent`` counts the bytes of each.

    Answers to paths in ``sound`` are given as they stand there. A body begins with ``beginning``.
    With ``breaks_after``, the connection is reset after that many bytes; with ``ends_after``, a
    body in chunks is complete after them. With ``pause``, bytes come one at a time after a pause,
    the first ones after ``head_pause``.
    """

    how: Endless
    beginning: bytes = b""
    sound: dict[str, bytes] = field(default_factory=dict)
    breaks_after: int = 0
    ends_after: int = 0
    pause: float = 0.0
    head_pause: float = 0.0
    worker_id: str = ""
    sent: list[int] = field(default_factory=list)
    open: int = 0

    def __post_init__(self) -> None:
        self.worker_id = self.worker_id or f"i-{next(_ids):08x}"
        self.server = _EndlessServer(self)

    def entry(self, service: str, zone: str = "z1", state: str = "ready") -> dict[str, object]:
        return worker_entry(service, self.server.address, zone=zone, slots=8, state=state)


class _EndlessServer(Server):
    """A server of raw connections that replaces the HTTP library's server."""

    def __init__(self, peer: EndlessPeer) -> None:
        self._peer = peer
        self._server: asyncio.Server | None = None

    async def start(self, ip: str = "127.0.0.1") -> None:
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self._answer(reader, writer):
                pass
        writer.transport.abort()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether the connection stays open."""
        raw = await reader.readuntil(b"\r\n\r\n")
        path = raw.split(b" ", 2)[1].decode()
        head = parse(raw)
        await reader.readexactly(int(head.get("Content-Length") or 0))
        sound = self._peer.sound.get(path)
        if sound is not None:
            writer.write(OK + b"Content-Length: %d\r\n\r\n%s" % (len(sound), sound))
            return True
        await self._send_endlessly(reader, writer, self._ids(head))
        return False

    def _ids(self, head: CIMultiDict[str]) -> bytes:
        ids = {ATTEMPT: head.get(ATTEMPT, ""), INSTANCE: self._peer.worker_id, SEAL: "seal"}
        return "".join(f"{name}: {value}\r\n" for name, value in ids.items()).encode()

    async def _send_endlessly(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ids: bytes
    ) -> None:
        peer, number = self._peer, len(self._peer.sent)
        peer.sent.append(0)
        peer.open += 1
        piece = chunk(b"x") if peer.pause else endless_piece(peer.how)
        try:
            await asyncio.sleep(peer.head_pause)
            writer.write(begin(peer.how, ids, peer.beginning))
            last = peer.breaks_after or peer.ends_after
            while not last or peer.sent[number] < last:
                writer.write(piece)
                await writer.drain()
                peer.sent[number] += len(piece)
                await asyncio.sleep(peer.pause)
            if peer.breaks_after:
                reset(writer)
                return
            writer.write(LAST_CHUNK)
            await reader.read()
        finally:
            peer.open -= 1


def parse(raw: bytes) -> CIMultiDict[str]:
    head: CIMultiDict[str] = CIMultiDict()
    for line in raw.decode().split("\r\n")[1:]:
        name, colon, value = line.partition(":")
        if colon:
            head.add(name, value.strip())
    return head
