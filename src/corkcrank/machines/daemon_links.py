"""Connections that every daemon has: table, peers and back ends, with a count of their traffic."""

import aiohttp

from corkcrank.contracts.settings import Settings
from corkcrank.links.back_ends import BackEndClient
from corkcrank.links.client_connections import ClientConnector
from corkcrank.links.http_table import HttpTable
from corkcrank.links.peer_client import PeerClient
from corkcrank.links.traffic import UNUSED_HEADERS, ControlTraffic


class DaemonLinks:
    """Opens a daemon's connections and closes them together."""

    def __init__(self, settings: Settings) -> None:
        self.traffic = ControlTraffic()
        self._session = aiohttp.ClientSession(
            connector=ClientConnector(), skip_auto_headers=UNUSED_HEADERS
        )
        self.table = HttpTable(self._session, settings.platform.table, self.traffic)
        self.peers = PeerClient(self.traffic)
        self.back_ends = BackEndClient(self.traffic)

    async def close(self) -> None:
        """Close every connection."""
        await self.peers.close()
        await self.back_ends.close()
        await self._session.close()
