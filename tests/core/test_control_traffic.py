"""The estimate for HTTP heads in the count of control traffic is an upper bound."""

import asyncio

from aiohttp import web

from corkcrank.contracts.identifiers import Address, MemberId
from corkcrank.links.peer_client import PeerClient
from corkcrank.links.peer_codec import encode_heartbeat_reply
from corkcrank.links.traffic import HEAD_ALLOWANCE_BYTES, ControlTraffic
from corkcrank.load.cuttable_link import CuttableLink
from corkcrank.load.local_cluster import PortSource
from corkcrank.machines.daemon import serve_application
from corkcrank.zones.peer_messages import Heartbeat, HeartbeatReply

MAX_CONNECTIONS = 8

ROUNDS = 20


class CountingLink(CuttableLink):
    """Link that counts the bytes of both directions."""

    total = 0

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65_536):
            self.total += len(data)
            writer.write(data)
            await writer.drain()
        writer.close()


async def test_counted_bytes_cover_the_bytes_on_the_wire() -> None:
    ports = PortSource()
    address, link_address = ports.address(), ports.address()
    ports.release()

    async def answer(request: web.Request) -> web.Response:
        await request.read()
        body = encode_heartbeat_reply(HeartbeatReply(7, True, 2.9))
        return web.Response(body=body, content_type="application/octet-stream")

    application = web.Application()
    application.add_routes([web.post("/peer/heartbeat", answer)])
    runner = await serve_application(application, address, MAX_CONNECTIONS)
    link = CountingLink(link_address, address)
    await link.start()
    traffic = ControlTraffic()
    peers = PeerClient(traffic)
    heartbeat = Heartbeat(MemberId("gateway-1"), "gateway", "zone", Address("10.0.0.1:9000"), 7)
    for _ in range(ROUNDS):
        assert await peers.push_heartbeat(link_address, heartbeat) is not None
    await peers.close()
    await link.stop()
    await runner.cleanup()
    assert traffic.exchanges == ROUNDS
    assert link.total <= traffic.total_bytes
    assert link.total >= traffic.total_bytes - ROUNDS * HEAD_ALLOWANCE_BYTES
