"""Baseline of the benchmarks: a minimal aiohttp forwarder to one fixed back end."""

import sys

import aiohttp
from aiohttp import web


async def make_application(target: str) -> web.Application:
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def forward(request: web.Request) -> web.Response:
        body = await request.read()
        async with session.post(f"http://{target}{request.path}", data=body) as response:
            return web.Response(status=response.status, body=await response.read())

    application = web.Application()
    application.add_routes([web.post("/{path:.*}", forward)])
    return application


if __name__ == "__main__":
    host, port = sys.argv[1].rsplit(":", 1)
    web.run_app(make_application(sys.argv[2]), host=host, port=int(port), access_log=None)
