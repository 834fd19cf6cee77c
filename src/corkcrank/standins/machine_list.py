"""HTTP stand-in for the platform's delayed list of live and leaving machines."""

import asyncio

import msgspec
from aiohttp import web

from corkcrank.contracts.identifiers import WorkerId
from corkcrank.contracts.messages import MachineList, WorkerEntry
from corkcrank.standins.faults import FaultSwitch, json_response


class ListChange(msgspec.Struct, frozen=True):
    """A change to the current list: entries to add or replace, and workers to remove."""

    put: tuple[WorkerEntry, ...] = ()
    remove: tuple[WorkerId, ...] = ()


class MachineListStandin:
    """A machine list that publishes each change after a delay."""

    def __init__(self, workers: tuple[WorkerEntry, ...], lag_seconds: float) -> None:
        self.switch = FaultSwitch()
        self._lag = lag_seconds
        self._current = {worker.worker: worker for worker in workers}
        self._version = 1
        self._published = MachineList(1, workers)
        self._tasks: set[asyncio.Task[None]] = set()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=1 << 24)
        application.add_routes(
            [
                web.get("/machines", self._handle_list),
                web.post("/machines", self._handle_change),
                web.post("/faults", self.switch.handle),
            ]
        )
        return application

    async def _handle_list(self, request: web.Request) -> web.Response:
        refused = await self.switch.before_work()
        if refused is not None:
            return refused
        tag = f'"{self._published.version}"'
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=304)
        response = json_response(self._published)
        response.headers["ETag"] = tag
        return response

    async def _handle_change(self, request: web.Request) -> web.Response:
        change = msgspec.json.decode(await request.read(), type=ListChange)
        for entry in change.put:
            self._current[entry.worker] = entry
        for worker in change.remove:
            self._current.pop(worker, None)
        self._version += 1
        snapshot = MachineList(self._version, tuple(self._current.values()))
        task = asyncio.create_task(self._publish_later(snapshot))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return web.Response(text="ok")

    async def _publish_later(self, snapshot: MachineList) -> None:
        await asyncio.sleep(self._lag)
        if snapshot.version > self._published.version:
            self._published = snapshot
