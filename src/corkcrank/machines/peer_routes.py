"""HTTP routes that every daemon serves to peers and operators."""

from collections.abc import Callable
from http import HTTPStatus

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from corkcrank.contracts.bounded_values import MAX_REVISION, parse_unsigned
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

BINARY_CONTENT_TYPE = "application/octet-stream"


class PeerRoutes:
    """Handlers of the requests to a daemon's peer address."""

    def __init__(
        self,
        agent: MemberAgent,
        dump: Callable[[], msgspec.Struct],
        handle_heartbeat: Callable[[bytes], HeartbeatReply],
        traffic: ControlTraffic,
    ) -> None:
        self._traffic = traffic
        self._agent = agent
        self._dump = dump
        self._handle_heartbeat = handle_heartbeat
        self._encoded_digest: ZoneDigest | None = None
        self._encoded_body = b""

    def register_routes(self, application: web.Application) -> None:
        """Add the routes to an application, and count the bytes that peers exchange."""
        application.middlewares.append(self._count_traffic)
        application.add_routes(
            [
                web.post("/peer/heartbeat", self._receive_heartbeat),
                web.post("/peer/digest", self._receive_digest),
                web.get("/peer/digest", self._send_digest),
                web.get("/peer/configuration/{version}", self._send_configuration),
                web.get("/dump", self._send_dump),
                web.get("/metrics", self._send_metrics),
            ]
        )

    @web.middleware
    async def _count_traffic(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        response = await handler(request)
        if request.path.startswith("/peer/") and isinstance(response, web.Response):
            body = response.body if isinstance(response.body, bytes) else b""
            self._traffic.record_exchange(request.content_length or 0, len(body))
        return response

    async def _receive_heartbeat(self, request: web.Request) -> web.Response:
        try:
            reply = self._handle_heartbeat(await request.read())
        except PeerDecodeError as error:
            return web.Response(status=HTTPStatus.BAD_REQUEST, text=str(error))
        return web.Response(body=encode_heartbeat_reply(reply), content_type=BINARY_CONTENT_TYPE)

    async def _receive_digest(self, request: web.Request) -> web.Response:
        try:
            reply = self._agent.apply_encoded_digest(await request.read())
        except PeerDecodeError as error:
            return web.Response(status=HTTPStatus.BAD_REQUEST, text=str(error))
        return web.Response(body=encode_digest_reply(reply), content_type=BINARY_CONTENT_TYPE)

    async def _send_digest(self, request: web.Request) -> web.Response:
        view = self._agent.view
        if view.digest is None or view.digest.directory_hash != view.tables.directory_hash:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        if self._encoded_digest is not view.digest:
            self._encoded_digest = view.digest
            self._encoded_body = encode_digest(view.digest, view.tables, Enclosures(True, True))
        body = self._encoded_body
        return web.Response(body=body, content_type=BINARY_CONTENT_TYPE)

    async def _send_configuration(self, request: web.Request) -> web.Response:
        index = self._agent.view.adoption.index
        wanted = parse_unsigned(request.match_info["version"], MAX_REVISION)
        if index is None or wanted is None or index.configuration.version < wanted:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        return web.Response(
            body=encode_configuration(index.configuration), content_type="application/json"
        )

    async def _send_dump(self, request: web.Request) -> web.Response:
        body = msgspec.json.format(msgspec.json.encode(self._dump()), indent=2)
        return web.Response(body=body, content_type="application/json")

    async def _send_metrics(self, request: web.Request) -> web.Response:
        return web.Response(body=generate_latest(), headers={"Content-Type": CONTENT_TYPE_LATEST})
