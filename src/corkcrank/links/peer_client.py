"""Client for calls between corkcrank processes: packed Cap'n Proto bodies over HTTP."""

import aiohttp

from corkcrank.contracts.configuration import Configuration, decode_configuration
from corkcrank.contracts.identifiers import Address
from corkcrank.links.client_connections import ClientConnector
from corkcrank.links.peer_codec import (
    PeerDecodeError,
    decode_digest_reply,
    decode_heartbeat_reply,
    encode_heartbeat,
)
from corkcrank.links.received_bytes import OversizedMessageError, Purpose, ReceivedBytes
from corkcrank.links.traffic import UNUSED_HEADERS, ControlTraffic
from corkcrank.zones.peer_messages import DigestReply, Heartbeat, HeartbeatReply

PEER_TIMEOUT_SECONDS = 0.8
"""Timeout for a request to a peer."""


class PeerClient:
    """Sends requests to peers; each returns ``None`` if no valid answer arrives."""

    def __init__(self, traffic: ControlTraffic) -> None:
        self._traffic = traffic
        self._received = ReceivedBytes()
        self._session = aiohttp.ClientSession(
            connector=ClientConnector(limit=0, keepalive_timeout=15.0),
            timeout=aiohttp.ClientTimeout(total=PEER_TIMEOUT_SECONDS),
            skip_auto_headers=UNUSED_HEADERS,
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def push_heartbeat(self, address: Address, heartbeat: Heartbeat) -> HeartbeatReply | None:
        """Send a heartbeat."""
        body = await self._call("POST", address, "/peer/heartbeat", encode_heartbeat(heartbeat))
        try:
            return decode_heartbeat_reply(body) if body else None
        except PeerDecodeError:
            return None

    async def push_digest(self, address: Address, digest: bytes) -> DigestReply | None:
        """Send an encoded digest."""
        body = await self._call("POST", address, "/peer/digest", digest)
        try:
            return decode_digest_reply(body) if body else None
        except PeerDecodeError:
            return None

    async def pull_digest(self, address: Address) -> bytes | None:
        """Request the latest digest, with its directory."""
        return await self._call("GET", address, "/peer/digest", b"")

    async def pull_summary(self, address: Address, known_directory: int) -> bytes | None:
        """Request from a zone's holder the summary that it sends to other zones."""
        return await self._call("GET", address, f"/peer/summary/{known_directory}", b"")

    async def pull_configuration(self, address: Address, version: int) -> Configuration | None:
        """Request a configuration of at least ``version``."""
        body = await self._call("GET", address, f"/peer/configuration/{version}", b"")
        try:
            return decode_configuration(body) if body else None
        except ValueError:
            return None

    async def _call(self, method: str, address: Address, path: str, body: bytes) -> bytes | None:
        try:
            async with self._session.request(
                method, f"http://{address}{path}", data=body or None
            ) as response:
                content = await self._received.read(response, Purpose.PEER, address)
                self._traffic.record_exchange(len(body), len(content))
                return content if response.status == 200 else None
        except (TimeoutError, aiohttp.ClientError, OversizedMessageError, OSError):
            return None
