"""Test workers that crash when they begin certain requests, and restart at their address."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web
from platform_standins import ATTEMPT, Server, StandinStageWorker, StandinWorker, _ids
from standin_store import StandinStore

from corkcrank.contracts import clock

CRASHING = b"crashing"
"""Content of a request body that crashes the worker that runs the request."""

CRASHING_KEY = "crashing"
"""Key of the pieces that crash the stage worker that runs them."""

PARTS = "X-Corkcrank-Prefix-Hash"

FIRST_START = 1_764_000_000_000


@dataclass
class CrashControl:
    """Crashes and restarts one worker; ``crashes`` counts, ``down_seconds`` is until the restart.

    A restarted worker keeps its name and has a later start time, as in the platform's worker list.
    """

    store: StandinStore | None = None
    service: str = ""
    down_seconds: float = 0.2
    crashes: int = 0
    _restarts: set[asyncio.Task[None]] = field(default_factory=set)

    def crash(self, worker: "CrashingWorker | CrashingStageWorker") -> None:
        """Abort every connection and refuse new ones, like a process that has exited."""
        if not worker.server.listening:
            return
        self.crashes += 1
        worker.server.kill()
        task = asyncio.create_task(self._restart(worker))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart(self, worker: "CrashingWorker | CrashingStageWorker") -> None:
        await asyncio.sleep(self.down_seconds)
        await worker.server.restart()
        worker.told["born"] = FIRST_START + 1000 * self.crashes
        if self.store is not None:
            self.store.put("servers", worker.worker_id, worker.entry(self.service))


class KillableServer(Server):
    """A server that can abort all connections at once, and listen on its port again."""

    listening = False
    _server: web.Server
    _site: asyncio.Server

    async def start(self, ip: str = "127.0.0.1") -> None:
        self._server = web.Server(self.handler, handler_cancellation=True, access_log=None)
        loop = asyncio.get_running_loop()
        host, port = (self.address.rsplit(":", 1)) if self.address else (ip, "0")
        self._site = await loop.create_server(self._server, host, int(port))
        self.address = f"{host}:{self._site.sockets[0].getsockname()[1]}"
        self.listening = True

    def kill(self) -> None:
        self.listening = False
        self._site.close()
        for connection in self._server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    async def restart(self) -> None:
        await self.start()

    async def stop(self) -> None:
        if self.listening:
            self.kill()
        await self._server.shutdown(0.1)


@dataclass
class CrashingWorker(StandinWorker):
    """A plain worker or an engine; an engine sends ``events_before`` events before it crashes.

    ``crashes_always`` makes every request crash it, ``crashing_parts`` those whose prompt has one
    of these parts. ``crashed_under`` holds the attempts that crashed it.
    """

    crash_control: CrashControl = field(default_factory=CrashControl)
    events_before: int = 0
    crashes_always: bool = False
    crashing_parts: set[str] = field(default_factory=set)
    crashed_under: list[tuple[float, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.worker_id = self.worker_id or f"i-{next(_ids):08x}"
        self.told.setdefault("born", FIRST_START)
        self.server = KillableServer(self._handle)

    async def _answer(self, request: web.BaseRequest, fault: str) -> web.StreamResponse:
        if not self._crashes(request):
            return await super()._answer(request, fault)
        if self.events and self.events_before:
            await self._send_first_events(request)
        self.crashed_under.append((clock.now(), request.headers[ATTEMPT]))
        self.crash_control.crash(self)
        raise ConnectionResetError

    def _crashes(self, request: web.BaseRequest) -> bool:
        parts = request.headers.get(PARTS, "").split(",")
        named = {part.partition(":")[0] for part in parts}
        return (
            self.crashes_always
            or CRASHING in self.seen[-1].body
            or not self.crashing_parts.isdisjoint(named)
        )

    async def _send_first_events(self, request: web.BaseRequest) -> None:
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        response = web.StreamResponse(headers=self._head(request, ""))
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(first, first + self.events_before):
            await response.write(b"id: %d\ndata: some\n\n" % number)
        await asyncio.sleep(0.02)


@dataclass
class CrashingStageWorker(StandinStageWorker):
    """A stage worker that crashes when it runs a piece with the crashing key."""

    crash_control: CrashControl = field(default_factory=CrashControl)

    def __post_init__(self) -> None:
        self.worker_id = self.worker_id or f"i-{next(_ids):08x}"
        self.told.setdefault("born", FIRST_START)
        self.server = KillableServer(self._handle)

    def _make(self, item: dict[str, Any]) -> dict[str, str]:
        if item.get("key") == CRASHING_KEY:
            self.crash_control.crash(self)
            raise ConnectionResetError
        return super()._make(item)


def crash_count(workers: "list[CrashingWorker] | list[CrashingStageWorker]") -> int:
    """Return how often workers have crashed."""
    return sum(worker.crash_control.crashes for worker in workers)


def join_store(
    store: StandinStore, workers: "list[CrashingWorker] | list[CrashingStageWorker]", service: str
) -> None:
    """Have workers write their entries to the store when they restart."""
    for worker in workers:
        worker.crash_control.store, worker.crash_control.service = store, service
