"""Client of a stand-in of the store that is called without a network."""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

from standin_store import StandinStore

from corkcrank.links.platform_ports import StoreRows, StoreTable
from corkcrank.platform.store import PlatformStore


class LocalStore(PlatformStore):
    """Reads the tables of a stand-in; ``calls`` counts the pages."""

    def __init__(self, standin: StandinStore) -> None:
        super().__init__(cast("Any", None), "127.0.0.1:1", 1.0)
        self._standin = standin
        self.calls = 0

    async def _call(
        self, method: str, path: str, query: dict[str, str] | None, data: Any, timeout: float
    ) -> bytes:
        self.calls += 1
        request = cast("Any", SimpleNamespace(query=query))
        if path == "/rows-get":
            response = self._standin._get(request)
        else:
            response = await self._standin._feed(request)
        assert isinstance(response.body, bytes)
        return response.body


def standin_of(rows: dict[str, Any]) -> StandinStore:
    """Return a stand-in with rows of the list of workers."""
    standin = StandinStore()
    for key, value in rows.items():
        standin.put("servers", key, value)
    return standin


def read_rows(rows: dict[str, Any]) -> StoreRows:
    """Return all rows as a client reads them."""
    found = asyncio.run(LocalStore(standin_of(rows)).read(StoreTable.WORKERS))
    assert isinstance(found, StoreRows), found
    return found
