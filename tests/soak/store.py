"""Simulated store with faults that a soak switches on."""

import asyncio
import random
from dataclasses import dataclass, field

from aiohttp import web
from standin_store import StandinStore

UNAVAILABLE = 503


@dataclass(slots=True)
class StoreTroubles:
    """Faults in force; addresses in ``turned_away`` receive status 503."""

    down: bool = False
    delay: float = 0.0
    lost_share: float = 0.0
    turned_away: set[str] = field(default_factory=set)


class SoakStore(StandinStore):
    """A store that can be down, slow, lose its history, or lose responses to applied writes."""

    def __init__(self, source: random.Random) -> None:
        super().__init__()
        self.troubles = StoreTroubles()
        self._source = source

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        troubles = self.troubles
        if troubles.down or request.remote in troubles.turned_away:
            return web.Response(status=UNAVAILABLE)
        if troubles.delay:
            await asyncio.sleep(troubles.delay)
        answer = await super()._handle(request)
        if self._source.random() < troubles.lost_share:
            assert request.transport is not None
            request.transport.abort()
            raise ConnectionResetError
        return answer
