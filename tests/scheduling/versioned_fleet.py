"""Callers that take streams up at other gateways, before engines of several software versions.

Extends the load simulation of ``fleet_play``: each caller leaves after some events and comes back
at another gateway. The first one is dead to it: it answers no question about the stream.
"""

import asyncio
import random
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec
import pytest
from fleet_play import FleetSimulation
from fleet_scenario import SimulatedRoute, SimulationScenario
from played_network import CONNECTED_REQUEST, HOP_SECONDS

from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.stream_origin import stream_key
from corkcrank.links.platform_ports import StoreFailure, StoreFailureReason
from corkcrank.machines.origin_reports import DATAGRAM_TAG
from corkcrank.node.callers.refusals import Refusal
from corkcrank.node.peers.peer_client import PeerFailure
from corkcrank.node.peers.peer_protocol import (
    STREAM_ORIGIN_PATH,
    StreamOriginAnswer,
    StreamOriginRequest,
)
from corkcrank.node.process import node
from corkcrank.node.streams import stream_run

ABSENCE_SECONDS = (0.0, 1.0)
"""Time for which callers are away."""


@dataclass
class TakenUp:
    """Streams that callers took up, by what became of them."""

    count: int = 0
    continued: int = 0
    mixed: int = 0
    refused: int = 0


class RefusingStore:
    """A store that refuses every call."""

    async def read(self, *parts: object) -> StoreFailure:
        return StoreFailure(StoreFailureReason.REFUSED)

    async def watch(self, *parts: object) -> StoreFailure:
        return StoreFailure(StoreFailureReason.REFUSED)


@dataclass
class VersionedFleet(FleetSimulation):
    """A simulation whose callers take their streams up once."""

    scenario: SimulationScenario
    lost_datagrams: float = 0.0
    taken_up: TakenUp = field(default_factory=TakenUp)
    origin_bytes: int = 0
    _dead: dict[bytes, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        super().__init__(self.scenario)
        self._losses = random.Random(self.scenario.seed)

    async def _run_caller(self, item: SimulatedRoute, second: int, zone: str) -> None:
        nodes = list(self.nodes.values())
        first, other = self.random.sample(nodes, 2)
        shape = self._random_shape(item)
        begun = self._build_call(item, shape, item.route.timeout)
        answer = await stream_run.StreamRun(begun, first.services, CONNECTED_REQUEST).run()
        if isinstance(answer, Refusal) or begun.origin is None:
            return
        self._dead[stream_key(begun.tenant, begun.call_id)] = first.fleet.local_address
        await asyncio.sleep(self.random.uniform(*ABSENCE_SECONDS))
        resumed = self._build_call(item, shape, item.route.timeout)
        resumed.envelope = replace(
            resumed.envelope, resume_after="3", resumed_attempt=begun.call_id
        )
        answer = await stream_run.StreamRun(resumed, other.services, CONNECTED_REQUEST).run()
        self._record(begun, resumed, answer)

    def _record(self, begun: OpaqueCall, resumed: OpaqueCall, answer: object) -> None:
        versions = {record.worker_id: record.version for record in self.scenario.workers}
        self.taken_up.count += 1
        if isinstance(answer, Refusal):
            self.taken_up.refused += 1
        elif versions[begun.workers_tried[-1]] == versions[resumed.workers_tried[-1]]:
            self.taken_up.continued += 1
        else:
            self.taken_up.mixed += 1

    def replace_origin_messages(self, patch: pytest.MonkeyPatch) -> None:
        """Lose some datagrams, count the bytes of origins, and answer questions about them."""
        peers = node.PeerClient

        class Peers(peers):  # type: ignore[misc, valid-type]
            async def request(
                self, address: str, path: str, message: bytes = b"", **options: object
            ) -> bytes | PeerFailure:
                if path != STREAM_ORIGIN_PATH:
                    answer: bytes = await super().request(address, path, message, **options)
                    return answer
                await asyncio.sleep(2 * HOP_SECONDS)
                return simulation.answer_origin(address, message)

        simulation = self
        patch.setattr(node, "PeerClient", Peers)

    def answer_origin(self, address: str, message: bytes) -> bytes | PeerFailure:
        """Return a gateway's answer to a question about an origin, none if it is dead."""
        key = msgspec.msgpack.decode(message, type=StreamOriginRequest).key
        if self._dead.get(key) == address:
            return PeerFailure.BROKEN
        found = self.nodes[address]._origins.kept_origin(key)
        return msgspec.msgpack.encode(StreamOriginAnswer(found))

    def build(self) -> None:
        """Create the nodes; their datagrams pass this simulation, and no store answers."""
        super().build()
        store: Any = RefusingStore()
        for item in self.nodes.values():
            origins = item._origins
            origins.send = lambda data, address: self._send(data, address)
            for part in (origins.table, origins.software, origins.software._list_check):
                part._store = store

    async def run(self) -> None:
        """Run the simulation with the nodes' repeated reports."""
        repeats = [
            asyncio.create_task(item._origins.repeat_reports()) for item in self.nodes.values()
        ]
        await super().run()
        for task in repeats:
            task.cancel()

    def _send(self, data: bytes, address: str) -> None:
        assert data.startswith(DATAGRAM_TAG)
        self.origin_bytes += len(data)
        if self._losses.random() >= self.lost_datagrams:
            receive = self.nodes[address]._origins.receive
            asyncio.get_running_loop().call_later(HOP_SECONDS, receive, data)

    @property
    def origin_bytes_per_second(self) -> float:
        """Return the bytes of origins that one gateway sends in a second, on average."""
        return self.origin_bytes / len(self.nodes) / self.scenario.seconds
