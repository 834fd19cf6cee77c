"""Network links of single gateways to workers, which a test cuts and heals.

All gateways of a test run in one event loop. The tasks of a gateway inherit the context in which it
was started, so a connection attempt shows which gateway makes it; connections to workers pass a
proxy of that gateway.
"""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from contextvars import ContextVar
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import pytest
from silent_link import SilentLink

_gateway: ContextVar[int | None] = ContextVar("_gateway", default=None)


class Cut(StrEnum):
    """What a cut does to new connections, and to those that are open."""

    SILENT = "new ones hang, open ones are silent"
    RESET = "new ones hang, open ones are reset"
    REFUSED = "new ones are refused, open ones live on"
    REFUSED_RESET = "new ones are refused, open ones are reset"


@dataclass
class GatewayLinks:
    """The links of each gateway, by its number, to the workers whose addresses are given.

    The gateways in ``direct`` connect without a proxy, which would delay a reset.
    """

    workers: set[str] = field(default_factory=set)
    direct: set[int] = field(default_factory=set)
    _cuts: dict[tuple[int, str], Cut] = field(default_factory=dict)
    _links: dict[tuple[int, str], SilentLink] = field(default_factory=dict)

    @contextmanager
    def of_gateway(self, number: int | None) -> Iterator[None]:
        """Let the gateway that is started in this context use the links of a number, or none."""
        token = _gateway.set(number)
        try:
            yield
        finally:
            _gateway.reset(token)

    def cut(self, number: int, how: Cut, workers: set[str] | None = None) -> None:
        """Cut a gateway's links to all workers, or to those with the given addresses."""
        for address in workers if workers is not None else self.workers:
            self._cuts[number, address] = how
            link = self._links.get((number, address))
            if link is not None and how is Cut.SILENT:
                link.silence()
            elif link is not None and how in (Cut.RESET, Cut.REFUSED_RESET):
                link.reset()

    def heal(self, number: int) -> None:
        """Let new connections of a gateway through again."""
        for key in [key for key in self._cuts if key[0] == number]:
            del self._cuts[key]

    async def connect(self, connect: Any, sock: Any, address: Any) -> None:
        """Connect a socket of the current gateway: to the proxy, if the address is a worker's."""
        gateway, target = _gateway.get(), f"{address[0]}:{address[1]}"
        if gateway is None or target not in self.workers:
            return await connect(sock, address)
        cut = self._cuts.get((gateway, target))
        if cut in (Cut.REFUSED, Cut.REFUSED_RESET):
            raise ConnectionRefusedError
        if cut is not None:
            await asyncio.Event().wait()
        if gateway in self.direct:
            return await connect(sock, address)
        link = await self._link(gateway, target)
        host, port = link.address.rsplit(":", 1)
        return await connect(sock, (host, int(port)))

    async def _link(self, gateway: int, target: str) -> SilentLink:
        link = self._links.get((gateway, target))
        if link is None:
            link = SilentLink()
            # The proxy's own connections are no gateway's.
            with self.of_gateway(None):
                await link.start(target)
            link = self._links.setdefault((gateway, target), link)
        return link

    async def stop(self) -> None:
        """Close every link."""
        for link in self._links.values():
            await link.stop()


@asynccontextmanager
async def gateway_links(patch: pytest.MonkeyPatch) -> AsyncIterator[GatewayLinks]:
    """Route all connections to workers through links of each gateway."""
    links = GatewayLinks()
    loop = asyncio.get_running_loop()
    connect = loop.sock_connect
    patch.setattr(loop, "sock_connect", lambda sock, address: links.connect(connect, sock, address))
    try:
        yield links
    finally:
        patch.setattr(loop, "sock_connect", connect)
        await links.stop()
