"""HTTP routes that every daemon serves to peers and operators."""

from collections.abc import Callable
from http import HTTPStatus

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from corkcrank.contracts.configuration import encode_configuration
from corkcrank.links.peer_codec import (
    PeerDecodeError,
    encode_digest,
    encode_digest_reply,
    encode_heartbeat_reply,
)
from corkcrank.links.traffic import ControlTraffic
from corkcrank.machines.member import MemberAgent
from corkcrank.zones.digest import ZoneDigest
from corkcrank.zones.peer_messages import Enclosures, HeartbeatReply

BINARY = "application/octet-stream"


class PeerRoutes:
    """Handlers of the requests to a daemon's peer address."""

    def __init__(
        self,
        agent: MemberAgent,
        dump: Callable[[], msgspec.Struct],
        hear_heartbeat: Callable[[bytes], HeartbeatReply],
        traffic: ControlTraffic,
    ) -> None:
        self._traffic = traffic
        self._agent = agent
        self._dump = dump
        self._hear_heartbeat = hear_heartbeat
        self._encoded_for: ZoneDigest | None = None
        self._encoded = b""

    def add_to(self, application: web.Application) -> None:
        """Add the routes to an application, and count the bytes that peers exchange."""
        application.middlewares.append(self._count)
        application.add_routes(
            [
                web.post("/peer/heartbeat", self._heartbeat),
                web.post("/peer/digest", self._take_digest),
                web.get("/peer/digest", self._give_digest),
                web.get("/peer/configuration/{version}", self._configuration),
                web.get("/dump", self._give_dump),
                web.get("/metrics", self._metrics),
            ]
        )

    @web.middleware
    async def _count(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        response = await handler(request)
        if request.path.startswith("/peer/") and isinstance(response, web.Response):
            body = response.body if isinstance(response.body, bytes) else b""
            self._traffic.count(request.content_length or 0, len(body))
        return response

    async def _heartbeat(self, request: web.Request) -> web.Response:
        try:
            reply = self._hear_heartbeat(await request.read())
        except PeerDecodeError as error:
            return web.Response(status=HTTPStatus.BAD_REQUEST, text=str(error))
        return web.Response(body=encode_heartbeat_reply(reply), content_type=BINARY)

    async def _take_digest(self, request: web.Request) -> web.Response:
        try:
            reply = self._agent.apply_encoded_digest(await request.read())
        except PeerDecodeError as error:
            return web.Response(status=HTTPStatus.BAD_REQUEST, text=str(error))
        return web.Response(body=encode_digest_reply(reply), content_type=BINARY)

    async def _give_digest(self, request: web.Request) -> web.Response:
        view = self._agent.view
        if view.digest is None or view.digest.directory_hash != view.tables.directory_hash:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        if self._encoded_for is not view.digest:
            self._encoded_for = view.digest
            self._encoded = encode_digest(view.digest, view.tables, Enclosures(True, True))
        body = self._encoded
        return web.Response(body=body, content_type=BINARY)

    async def _configuration(self, request: web.Request) -> web.Response:
        index = self._agent.view.adoption.index
        wanted = request.match_info["version"]
        if index is None or not wanted.isdigit() or index.configuration.version < int(wanted):
            return web.Response(status=HTTPStatus.NOT_FOUND)
        return web.Response(
            body=encode_configuration(index.configuration), content_type="application/json"
        )

    async def _give_dump(self, request: web.Request) -> web.Response:
        body = msgspec.json.format(msgspec.json.encode(self._dump()), indent=2)
        return web.Response(body=body, content_type="application/json")

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(body=generate_latest(), headers={"Content-Type": CONTENT_TYPE_LATEST})
