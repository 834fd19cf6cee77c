"""Workers that say how many rejections in a second they bear, and fall over beyond that."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from aiohttp import web
from mortal_workers import KillableServer
from platform_standins import NOT_RUN, StandinWorker

from corkcrank.contracts import clock

DOWN_SECONDS = 1.5


@dataclass
class BrittleWorker(StandinWorker):
    """A worker with ``room`` for calls, which a test may shrink; each call takes ``seconds``.

    It states that it bears ``tolerated`` rejections in a second. ``falls`` counts how often it
    rejected more and aborted all connections.
    """

    room: int = 4
    tolerated: int = 3
    seconds: float = 0.1
    falls: int = 0
    rejections: int = 0
    _running: int = 0
    _rejected_at: deque[float] = field(default_factory=deque)
    _restarts: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.named = {"Server-Brittle": str(self.tolerated)}
        self.server = KillableServer(self._handle)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if self._running >= self.room:
            await request.read()
            return self._reject(request)
        self._running += 1
        try:
            return await super()._handle(request)
        finally:
            self._running -= 1

    async def _answer(self, request: web.BaseRequest, fault: str) -> web.StreamResponse:
        await asyncio.sleep(self.seconds)
        return await super()._answer(request, fault)

    def _reject(self, request: web.BaseRequest) -> web.Response:
        now = clock.now()
        self.rejections += 1
        self._rejected_at.append(now)
        while self._rejected_at[0] <= now - 1.0:
            self._rejected_at.popleft()
        if len(self._rejected_at) > self.tolerated:
            self._fall()
            raise ConnectionResetError
        return web.Response(status=503, headers={NOT_RUN: "1", **self._ids(request)})

    def _fall(self) -> None:
        assert isinstance(self.server, KillableServer)
        if not self.server.listening:
            return
        self.falls += 1
        self._rejected_at.clear()
        self.server.kill()
        task = asyncio.create_task(self._restart())
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart(self) -> None:
        assert isinstance(self.server, KillableServer)
        await asyncio.sleep(DOWN_SECONDS)
        await self.server.restart()
