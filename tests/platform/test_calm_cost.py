"""What a gateway runs while nothing happens is counted, since each of many gateways pays for it.

Guards against processor time that grows by what is checked again although it has not changed.
Counts of calls are as they were before values of other processes were checked.
"""

import sys
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from types import FrameType

import msgspec
from node_world import World, configuration, peer_of, route, until, world
from platform_standins import StandinWorker
from test_owners import acquainted

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_configuration import OpaqueRoute
from corkcrank.contracts.zone_evacuations import ZoneEvacuations, ZoneState
from corkcrank.load.loopback import loopback_address
from corkcrank.machines.heartbeat_codec import decode_heartbeat, encode_heartbeat
from corkcrank.machines.worker_changes import WorkerChange, WorkerChangeBatch
from corkcrank.node.process.node import Node

REPEATS = 50
MAX_CALLS_PER_HEARTBEAT = 49
MAX_CALLS_PER_REPEATED_CHANGE = 2
MAX_ROUTE_READS = 4
"""By the history of routes, and by the services with resumable streams, once each and a spare."""


class CountedRoutes(tuple[OpaqueRoute, ...]):
    """Routes that count how often they are read."""

    reads = 0

    def __iter__(self) -> Iterator[OpaqueRoute]:
        CountedRoutes.reads += 1
        return super().__iter__()


class CallCounter:
    """Counts calls of Python functions in a block."""

    def __init__(self) -> None:
        self.calls = 0

    def __enter__(self) -> "CallCounter":
        sys.setprofile(self._record)
        return self

    def __exit__(self, *_: object) -> None:
        sys.setprofile(None)

    def _record(self, frame: FrameType, event: str, argument: object) -> None:
        own = frame.f_code is CallCounter.__exit__.__code__
        self.calls += event == "call" and not own


@asynccontextmanager
async def calm_gateways() -> AsyncIterator[tuple[World, Node, Node]]:
    """Run two gateways until each has told the other all it knows."""
    routes = [route("plain", "safe", "plain"), route("s", "stream", "model", stream_resume=True)]
    workers = {"engine": (StandinWorker(1), "model"), "plain": (StandinWorker(), "plain")}
    async with (
        world(configuration(1, routes), workers) as running,
        peer_of(running, loopback_address(2)) as second,
    ):
        first = running.nodes[0]
        await acquainted(first, second)
        await until(lambda: not news(first) and not news(second))
        yield running, first, second


def news(node: Node) -> WorkerChangeBatch | None:
    return node.mirror.recent_changes.current_batch(clock.now())


def count_calls(node: Node, data: bytes) -> float:
    """Return the mean number of calls for a heartbeat that was received before."""
    node.heartbeats._receive(data)
    with CallCounter() as counter:
        for _ in range(REPEATS):
            node.heartbeats._receive(data)
    return counter.calls / REPEATS


async def test_heartbeat_without_news_costs_no_more_calls_than_before() -> None:
    async with calm_gateways() as (_, first, second):
        data = second.heartbeats._encode_heartbeat()
        assert count_calls(first, data) <= MAX_CALLS_PER_HEARTBEAT


async def test_known_changes_in_a_heartbeat_are_not_checked_again() -> None:
    async with calm_gateways() as (_, first, second):
        calm = second.heartbeats._encode_heartbeat()
        heartbeat = decode_heartbeat(calm)
        assert heartbeat is not None
        revision = first.mirror.workers.revision
        changes = tuple(
            WorkerChange(record.name, record.revision, record)
            for record in first.mirror.workers.records()
        )
        batch = WorkerChangeBatch(0, revision, changes)
        told = encode_heartbeat(msgspec.structs.replace(heartbeat, worker_changes=batch))
        more = count_calls(first, told) - count_calls(first, calm)
        assert more <= MAX_CALLS_PER_REPEATED_CHANGE * len(changes)


async def test_unchanged_routes_are_not_read_again_by_checks_of_versions() -> None:
    async with calm_gateways() as (_, first, _):
        configured = first.mirror.configuration
        assert configured is not None
        routes = CountedRoutes(configured.routes)
        first.mirror.configuration = msgspec.structs.replace(configured, routes=routes)
        CountedRoutes.reads = 0
        for _ in range(REPEATS):
            assert await first._origins.software._check()
            assert await first._origins.rows._write()
        assert CountedRoutes.reads <= MAX_ROUTE_READS


def test_known_zone_states_are_not_searched_for_the_newest_revision() -> None:
    zones = ZoneEvacuations()
    states = [ZoneState(f"zone-{number}", number + 1, True) for number in range(8)]
    zones.apply_states(states)
    with CallCounter() as counter:
        for _ in range(REPEATS):
            assert zones.newest_revision == len(states)
    assert counter.calls == 0
