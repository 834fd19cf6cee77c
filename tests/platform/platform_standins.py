"""Small simulations of the platform's stage workers, engines and plain workers.

They implement the published protocol on loopback with plain dictionaries instead of the
product's message types, and can inject each failure that was observed in a simulated day.
"""

import asyncio
import itertools
import json
import socket
import struct
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, NoReturn

from aiohttp import web
from multidict import CIMultiDict

from corkcrank.contracts import clock

SEAL = "X-Corkcrank-Server-Seal"
ATTEMPT = "X-Corkcrank-Attempt-Id"
NOT_RUN = "X-Corkcrank-Not-Executed"
INSTANCE = "X-Corkcrank-Instance-Id"
EXPECT = "X-Corkcrank-Expect-Instance"
MAX_BODY_BYTES = 64 * 2**20

_ids = itertools.count(1)


def worker_entry(service: str, address: str, **told: Any) -> dict[str, Any]:
    """Return a worker's entry in the store; ``told`` adds or replaces fields."""
    return {
        "service": service,
        "address": address,
        "zone": "z1",
        "version": "v1",
        "slots": 1,
        "state": "ready",
        "warmup_left_ms": 0,
        "sequence": 1,
        **told,
    }


Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@dataclass
class Server:
    """An HTTP server on a free loopback port."""

    handler: Handler
    address: str = ""
    _runner: web.ServerRunner | None = None

    async def start(self, ip: str = "127.0.0.1") -> None:
        server = web.Server(self.handler, handler_cancellation=True, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, ip, 0)
        await site.start()
        assert site._server is not None
        port = site._server.sockets[0].getsockname()[1]  # type: ignore[attr-defined]
        self.address = f"{ip}:{port}"

    async def stop(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()


@dataclass
class Seen:
    """A request as a worker received it."""

    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes
    at: float = field(default_factory=lambda: clock.now())


@dataclass
class StandinWorker:
    """A simulated plain worker or model engine.

    Each request consumes one of ``faults``: ``full``, ``reset``, ``no-seal``, ``foreign-id``,
    ``cut-chunk``, ``unframed-reset``, ``unframed-reset-at-once``, ``partial-head``, ``surplus``,
    ``hang``, ``error``, ``gone``, and for streams ``break-after-N`` and ``silent-after-N``.
    ``partial_head`` is sent for ``partial-head``, before a close. Each event carries ``padding``
    extra bytes; ``left`` counts the requests whose connection closed before their response.
    ``told`` adds or replaces fields of the entry; ``named`` adds response headers. While
    ``retry_after`` is set, every request is rejected with it; ``rejected_at`` holds their times.
    ``reports`` counts the requests for its report, which wait until ``paused`` is set.
    """

    events: int = 0
    faults: deque[str] = field(default_factory=deque)
    worker_id: str = ""
    seen: list[Seen] = field(default_factory=list)
    left: int = 0
    gap: float = 0.0
    padding: int = 0
    hold: asyncio.Event | None = None
    told: dict[str, Any] = field(default_factory=dict)
    named: dict[str, str] = field(default_factory=dict)
    partial_head: bytes = b"HTTP/1.1 200 OK\r\n"
    retry_after: str = ""
    rejected_at: list[float] = field(default_factory=list)
    reports: int = 0
    paused: asyncio.Event | None = None

    def __post_init__(self) -> None:
        self.worker_id = self.worker_id or f"i-{next(_ids):08x}"
        self.server = Server(self._handle)

    def entry(self, service: str, zone: str = "z1", state: str = "ready") -> dict[str, Any]:
        return worker_entry(
            service, self.server.address, zone=zone, slots=8, state=state, **self.told
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        request._client_max_size = MAX_BODY_BYTES
        body = await request.read()
        if request.headers.get(EXPECT) not in (None, self.worker_id):
            return web.Response(status=421, headers={INSTANCE: self.worker_id})
        if request.path == "/report":
            return await self._report()
        if self.retry_after:
            self.rejected_at.append(clock.now())
            headers = {NOT_RUN: "1", "Retry-After": self.retry_after, **self._ids(request)}
            return web.Response(status=503, headers=headers)
        fault = self.faults.popleft() if self.faults else ""
        if fault == "full":
            return web.Response(status=503, headers={NOT_RUN: "1", **self._ids(request)})
        if fault == "gone":
            return web.Response(status=409, headers={NOT_RUN: "1", **self._ids(request)})
        self.seen.append(Seen(request.method, request.raw_path, CIMultiDict(request.headers), body))
        try:
            return await self._answer(request, fault)
        except asyncio.CancelledError:
            self.left += 1
            raise

    async def _report(self) -> web.Response:
        self.reports += 1
        if self.paused is not None:
            await self.paused.wait()
        return web.json_response({"queued": 0, "active": 0}, headers=self.named)

    async def _answer(self, request: web.BaseRequest, fault: str) -> web.StreamResponse:
        transport = request.transport
        assert transport is not None
        if fault == "hang":
            await asyncio.Event().wait()
        if self.hold is not None:
            await self.hold.wait()
        if fault == "reset":
            transport.abort()
            raise ConnectionResetError
        if fault == "partial-head":
            transport.write(self.partial_head)
            transport.close()
            raise ConnectionResetError
        if fault in ("unframed-reset", "unframed-reset-at-once", "surplus"):
            return await self._send_raw(request, transport, fault)
        if self.events:
            return await self._stream(request, fault)
        headers = self._head(request, fault)
        if fault == "cut-chunk":
            return await self._send_partial_chunks(request, headers)
        status = 500 if fault == "error" else 200
        return web.Response(
            status=status, body=b"answer of " + self.worker_id.encode(), headers=headers
        )

    async def _stream(self, request: web.BaseRequest, fault: str) -> web.StreamResponse:
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        response = web.StreamResponse(headers=self._head(request, fault))
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(first, self.events + 1):
            if fault == f"break-after-{number - 1}":
                assert request.transport is not None
                await response.write(b"id: %d\nda" % number)
                await asyncio.sleep(0.05)
                request.transport.abort()
                raise ConnectionResetError
            if fault == f"silent-after-{number - 1}":
                await asyncio.Event().wait()
            data = self.worker_id.encode() + b"." * self.padding
            await response.write(b"id: %d\ndata: %s\n\n" % (number, data))
            if self.gap:
                await asyncio.sleep(self.gap)
        await response.write_eof()
        return response

    async def _send_partial_chunks(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        await response.write(b"half of it")
        assert request.transport is not None
        request.transport.abort()
        raise ConnectionResetError

    async def _send_raw(
        self, request: web.BaseRequest, transport: asyncio.BaseTransport, fault: str
    ) -> web.StreamResponse:
        assert isinstance(transport, asyncio.Transport)
        head = "".join(f"{name}: {value}\r\n" for name, value in self._head(request, "").items())
        if fault == "surplus":
            answer = f"HTTP/1.1 200 OK\r\n{head}Content-Length: 2\r\n\r\nok".encode()
            transport.write(answer + answer)
            await asyncio.Event().wait()
        transport.write(f"HTTP/1.1 200 OK\r\n{head}Connection: close\r\n\r\nhalf".encode())
        if fault == "unframed-reset":
            await asyncio.sleep(0.05)
        # With a linger time of 0, closing sends a TCP reset instead of FIN.
        linger = struct.pack("ii", 1, 0)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        transport.abort()
        raise ConnectionResetError

    def _head(self, request: web.BaseRequest, fault: str) -> dict[str, str]:
        headers = self._ids(request)
        if fault == "foreign-id":
            headers[ATTEMPT] = "0" * 16
        if fault != "no-seal":
            headers[SEAL] = f"seal-{self.worker_id}"
        return headers

    def _ids(self, request: web.BaseRequest) -> dict[str, str]:
        attempt = request.headers.get(ATTEMPT, "")
        return {ATTEMPT: attempt, INSTANCE: self.worker_id, **self.named}


@dataclass
class StandinStageWorker:
    """A simulated stage worker that stores at most ``room`` results.

    Running calls wait until ``gate`` is set. Each call consumes one of ``faults``: ``full``,
    ``reset`` at once, and ``reset-at-work`` and ``partial-head`` once the gate is set.

    It reports ``free_mb`` of result memory; ``reports`` counts its reports. A release of results is
    answered with ``free_body``. ``left`` counts the
    calls whose connection closed before their response. ``told`` adds or replaces fields of the
    entry and of the reports; ``named`` adds response headers. While ``retry_after`` is set, every
    request is rejected with it; ``rejected_at`` holds their times.
    """

    room: int = 100
    worker_id: str = ""
    gate: asyncio.Event | None = None
    faults: deque[str] = field(default_factory=deque)
    calls: list[list[dict[str, Any]]] = field(default_factory=list)
    calls_at: list[float] = field(default_factory=list)
    heads: list[CIMultiDict[str]] = field(default_factory=list)
    held: set[str] = field(default_factory=set)
    made: set[str] = field(default_factory=set)
    free_mb: float = 1e6
    free_body: bytes = b"{}"
    reports: int = 0
    lies_of_room: bool = False
    left: int = 0
    told: dict[str, Any] = field(default_factory=dict)
    named: dict[str, str] = field(default_factory=dict)
    retry_after: str = ""
    rejected_at: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.worker_id = self.worker_id or f"i-{next(_ids):08x}"
        self.server = Server(self._handle)

    def entry(self, service: str, zone: str = "z1", state: str = "ready") -> dict[str, Any]:
        return worker_entry(
            service, self.server.address, zone=zone, slots=1, state=state, **self.told
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.headers.get(EXPECT) not in (None, self.worker_id):
            return web.Response(status=421, headers={INSTANCE: self.worker_id})
        self.heads.append(CIMultiDict(request.headers))
        if self.retry_after:
            self.rejected_at.append(clock.now())
            headers = {NOT_RUN: "1", "Retry-After": self.retry_after, **self.named}
            return web.Response(status=503, headers=headers)
        if request.path == "/report":
            self.reports += 1
            full = len(self.held) >= self.room and not self.lies_of_room
            free = 0.0 if full else self.free_mb
            body = {"queued": 0, "utilization": False, "free_mb": free, **self.told}
            return web.json_response(body, headers=self.named)
        body = json.loads(await request.read())
        if request.path == "/stage-free":
            self.held.difference_update(body["handles"])
            return web.Response(body=self.free_body, headers=self.named)
        fault = self.faults.popleft() if self.faults else ""
        if fault == "full":
            return web.Response(status=503, headers={NOT_RUN: "1", **self.named})
        if fault == "reset":
            assert request.transport is not None
            request.transport.abort()
            raise ConnectionResetError
        self.calls.append(body["items"])
        self.calls_at.append(clock.now())
        if self.gate is not None:
            try:
                await self.gate.wait()
            except asyncio.CancelledError:
                self.left += 1
                raise
        if fault in ("reset-at-work", "partial-head"):
            _break_off(request, fault)
        items = [self._make(item) for item in body["items"]]
        return web.Response(
            body=json.dumps({"items": items}).encode(),
            content_type="application/json",
            headers=self.named,
        )

    def _make(self, item: dict[str, Any]) -> dict[str, str]:
        if len(self.held) >= self.room:
            return {"reason": "room"}
        handle = f"{self.server.address}/{next(_ids):012x}"
        self.held.add(handle)
        self.made.add(handle)
        return {"handle": handle}


def _break_off(request: web.BaseRequest, fault: str) -> NoReturn:
    """Reset a connection, or close it after a part of an answer's head."""
    assert isinstance(request.transport, asyncio.Transport)
    if fault == "partial-head":
        request.transport.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
        request.transport.close()
    else:
        request.transport.abort()
    raise ConnectionResetError


def raw_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a response as it is sent, for workers that write to their transport."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
