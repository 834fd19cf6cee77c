"""HTTP stand-ins for the platform's object store and the rate-limited weight store."""

import asyncio

from aiohttp import web

from corkcrank.standins.faults import FaultSwitch

WEIGHT_SECONDS = 0.2
"""Time to serve the weights of one model."""


class ObjectStoreStandin:
    """An object store that keeps objects in memory."""

    def __init__(self) -> None:
        self.switch = FaultSwitch()
        self._objects: dict[str, bytes] = {}

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=1 << 26)
        application.add_routes(
            [
                web.get("/objects/{name:.+}", self._handle_get),
                web.put("/objects/{name:.+}", self._handle_put),
                web.post("/faults", self.switch.handle),
            ]
        )
        return application

    async def _handle_get(self, request: web.Request) -> web.Response:
        refused = await self.switch.before_work()
        if refused is not None:
            return refused
        content = self._objects.get(request.match_info["name"])
        return web.Response(status=404) if content is None else web.Response(body=content)

    async def _handle_put(self, request: web.Request) -> web.Response:
        refused = await self.switch.before_work()
        if refused is not None:
            return refused
        self._objects[request.match_info["name"]] = await request.read()
        return web.Response(text="ok")


class WeightStoreStandin:
    """A weight store that serves a limited number of requests at once."""

    def __init__(self, concurrent: int = 2) -> None:
        self.switch = FaultSwitch()
        self._semaphore = asyncio.Semaphore(concurrent)

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application()
        application.add_routes(
            [web.get("/weights", self._handle_get), web.post("/faults", self.switch.handle)]
        )
        return application

    async def _handle_get(self, request: web.Request) -> web.Response:
        refused = await self.switch.before_work()
        if refused is not None:
            return refused
        async with self._semaphore:
            await asyncio.sleep(WEIGHT_SECONDS * self.switch.faults.slow_factor)
        return web.Response(text="weights")
