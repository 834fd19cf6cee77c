"""Callers whose streams break off and who resume them, beside new ones at too little room.

Extends the load simulation of ``fleet_play``. Each resumed stream asks another gateway, which asks
the first one for its origin.
"""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field, replace

from fleet_scenario import SimulatedRoute
from played_network import CONNECTED_REQUEST
from versioned_fleet import VersionedFleet

from corkcrank.contracts.opaque_call import OpaqueCall, PromptShape
from corkcrank.node.callers.refusals import Refusal
from corkcrank.node.streams import stream_run

Shape = tuple[tuple[int, ...], PromptShape]
"""Numbers of pieces of a call's stages, and its prompt."""


@dataclass
class Streams:
    """Streams of one route that callers asked for, and those that began or went on."""

    new: int = 0
    begun: int = 0
    begun_in_time: int = 0
    resumed: int = 0
    continued: int = 0

    @property
    def begun_share(self) -> float:
        return self.begun / max(1, self.new)

    @property
    def in_time_share(self) -> float:
        return self.begun_in_time / max(1, self.new)

    @property
    def continued_share(self) -> float:
        return self.continued / max(1, self.resumed)


@dataclass
class ResumingFleet(VersionedFleet):
    """A simulation in which a share of the streams break off ``absence`` seconds after they began.

    Each is resumed ``repeats`` times; more than once is a caller that names one stream in many
    calls.
    """

    broken_share: float = 0.3
    absence: tuple[float, float] = (0.5, 3.0)
    repeats: Counter[str] = field(default_factory=Counter)
    streams: dict[str, Streams] = field(default_factory=dict)

    async def _run_caller(self, item: SimulatedRoute, second: int, zone: str) -> None:
        route = item.route
        streams = self.streams.setdefault(route.name, Streams())
        shape, asked_at = self._random_shape(item), time.monotonic()
        begun = self._build_call(item, shape, route.timeout)
        streams.new += 1
        if not await self._serve(begun):
            return
        streams.begun += 1
        streams.begun_in_time += self.first_event_at[begun.call_id] - asked_at <= route.objective
        if self.random.random() >= self.broken_share:
            return
        await asyncio.sleep(self.random.uniform(*self.absence))
        resuming = [
            self._resume(item, shape, begun, asked_at)
            for _ in range(self.repeats.get(route.name, 1))
        ]
        await asyncio.gather(*resuming)

    async def _resume(
        self, item: SimulatedRoute, shape: Shape, begun: OpaqueCall, asked_at: float
    ) -> None:
        left = item.route.timeout - (time.monotonic() - asked_at)
        if left <= 0:
            return
        resumed = self._build_call(item, shape, left)
        resumed.envelope = replace(
            resumed.envelope, resume_after="3", resumed_attempt=begun.call_id
        )
        streams = self.streams[item.route.name]
        streams.resumed += 1
        continued = await self._serve(resumed)
        streams.continued += continued

    async def _serve(self, call: OpaqueCall) -> bool:
        """Serve a call at a random gateway; return whether it brought a part of its stream."""
        chosen = self.random.choice(list(self.nodes.values()))
        run = stream_run.StreamRun(call, chosen.services, CONNECTED_REQUEST)
        try:
            return not isinstance(await run.run(), Refusal)
        finally:
            chosen.services.leases.release_call(call.call_id)
