"""Cuts a gateway off from the store and from the other gateways, for a time that a test sets."""

from enum import StrEnum
from typing import Any

from node_world import until

from corkcrank.links.platform_ports import StoreFailure, StoreFailureReason
from corkcrank.node.peers.peer_client import PeerFailure
from corkcrank.node.process.node import Node

CALLS_TO_EACH_TABLE = 8
"""Calls after which each table that a gateway follows has been asked again."""


class CutOff(StrEnum):
    """What a gateway does not reach."""

    NOTHING = "nothing"
    STORE = "the store"
    STORE_AND_MEMBERS = "the store and the members"


async def isolation_of(node: Node) -> "Isolation":
    """Return the links of a gateway that follows the store, which a test can cut from now on."""
    isolation = Isolation(node)
    await isolation.wait_until_in_force()
    return isolation


class Isolation:
    """The links of one gateway to the store and to the members; answers under way are lost too."""

    def __init__(self, node: Node) -> None:
        self.cut_off = CutOff.NOTHING
        self.calls = 0
        store: Any = node._ports.store
        peers: Any = node._peers
        datagrams: Any = node.heartbeats._link
        self._call, self._request = store._call, peers.request
        self._send, self._on_message = datagrams.send, datagrams._on_message
        store._call = self._call_store
        peers.request = self._request_peer
        datagrams.send = self._send_datagram
        datagrams._on_message = self._receive_datagram

    async def wait_until_in_force(self) -> None:
        """Wait until no call to the store is under way that began before."""
        await until(lambda: self.calls >= CALLS_TO_EACH_TABLE)

    @property
    def _without_members(self) -> bool:
        return self.cut_off is CutOff.STORE_AND_MEMBERS

    async def _call_store(self, *parts: Any) -> Any:
        self.calls += 1
        answer = await self._call(*parts)
        if self.cut_off is CutOff.NOTHING:
            return answer
        return StoreFailure(StoreFailureReason.SILENT)

    async def _request_peer(self, *parts: Any, **options: Any) -> Any:
        if self._without_members:
            return PeerFailure.BROKEN
        answer = await self._request(*parts, **options)
        return PeerFailure.BROKEN if self._without_members else answer

    def _send_datagram(self, data: bytes, address: str) -> None:
        if not self._without_members:
            self._send(data, address)

    def _receive_datagram(self, data: bytes) -> None:
        if not self._without_members:
            self._on_message(data)
