"""Simulated engine that sends scripted response bytes with a chosen framing and ending."""

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from multidict import CIMultiDict
from platform_standins import ATTEMPT, INSTANCE, SEAL, Server, _ids, worker_entry

COMMENTS = b": still here\n\n" * 4_000


class Framing(StrEnum):
    CHUNKS = "chunks"
    LENGTH = "length"
    CONNECTION = "connection"


class Ending(StrEnum):
    PROPER = "proper"
    RESET = "reset"
    SILENCE = "silence"
    COMMENTS = "comments"


@dataclass(frozen=True)
class Answer:
    """A scripted response: its body, framing and ending.

    A reset follows the body after ``pause`` seconds; silence lasts, and comments follow, until the
    client closes the connection. ``Content-Length`` exceeds the sent bytes by ``missing``.
    """

    body: bytes
    status: int = 200
    framing: Framing = Framing.CHUNKS
    ending: Ending = Ending.PROPER
    pause: float = 0.02
    missing: int = 0


Script = Callable[[int], Answer]
"""Function from the id of the last event that the client received to a response."""


def events(first: int, last: int) -> bytes:
    return b"".join(
        b"id: %d\ndata: e%d\n\n" % (number, number) for number in range(first, last + 1)
    )


def honest(last: int) -> Script:
    return lambda after: Answer(events(after + 1, last))


@dataclass
class ScriptedEngine:
    """Simulated engine that uses its scripts in order and repeats the last one."""

    scripts: list[Script]
    worker_id: str = ""
    heads: list[CIMultiDict[str]] = field(default_factory=list)
    comment_bytes: int = 0

    def __post_init__(self) -> None:
        self.worker_id = self.worker_id or f"i-{next(_ids):08x}"
        self.server = _ScriptServer(self)

    def entry(self, service: str, zone: str = "z1", state: str = "ready") -> dict[str, object]:
        return worker_entry(service, self.server.address, zone=zone, slots=8, state=state)

    def answer(self, head: CIMultiDict[str]) -> Answer:
        self.heads.append(head)
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        return script(int(head.get("Last-Event-Id") or 0))

    def head_of(self, answer: Answer, attempt: str) -> bytes:
        lines = [
            f"HTTP/1.1 {answer.status} Status",
            f"{ATTEMPT}: {attempt}",
            f"{INSTANCE}: {self.worker_id}",
            f"{SEAL}: seal-{self.worker_id}",
            "Content-Type: text/event-stream",
        ]
        if answer.framing is Framing.CHUNKS:
            lines.append("Transfer-Encoding: chunked")
        elif answer.framing is Framing.LENGTH:
            lines.append(f"Content-Length: {len(answer.body) + answer.missing}")
        else:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


class _ScriptServer(Server):
    """A server of raw connections that replaces the HTTP library's server."""

    def __init__(self, engine: "ScriptedEngine") -> None:
        self._engine = engine
        self._server: asyncio.Server | None = None

    async def start(self, ip: str = "127.0.0.1") -> None:
        self._server = await asyncio.start_server(self._serve, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await self._answer_request(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = _parse(await reader.readuntil(b"\r\n\r\n"))
        await reader.readexactly(int(head.get("Content-Length") or 0))
        answer = self._engine.answer(head)
        data = self._engine.head_of(answer, head.get(ATTEMPT, ""))
        writer.write(data + _framed(answer))
        await writer.drain()
        if answer.ending is Ending.RESET:
            if answer.pause:
                await asyncio.sleep(answer.pause)
            reset(writer)
            return False
        if answer.ending is Ending.SILENCE:
            await reader.read()
            return False
        while answer.ending is Ending.COMMENTS:
            writer.write(b"%x\r\n%s\r\n" % (len(COMMENTS), COMMENTS))
            await writer.drain()
            self._engine.comment_bytes += len(COMMENTS)
        return answer.framing is not Framing.CONNECTION


def _framed(answer: Answer) -> bytes:
    if answer.framing is not Framing.CHUNKS:
        return answer.body
    chunk = b"%x\r\n%s\r\n" % (len(answer.body), answer.body) if answer.body else b""
    return chunk + (b"0\r\n\r\n" if answer.ending is Ending.PROPER else b"")


def _parse(raw: bytes) -> CIMultiDict[str]:
    head: CIMultiDict[str] = CIMultiDict()
    for line in raw.decode().split("\r\n")[1:]:
        name, colon, value = line.partition(":")
        if colon:
            head.add(name, value.strip())
    return head


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset instead of FIN, by a linger time of 0."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
