"""A stream whose caller names no attempt continues only where one software can have begun it.

Guards against streams joined from two versions: the workers of the old version had just left, so
the list of workers showed one version, and gateways continued streams of the old one there. After
all gateways were killed at once none of them had seen the old version.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import pytest
from node_world import peer_of, until
from platform_standins import StandinWorker
from test_owners import die
from test_stream_versions import code_of
from versioned_world import EVENTS, Stream, VersionedWorld, versioned_world

from corkcrank.load.loopback import loopback_address
from corkcrank.node.origins.software_rows import SoftwareRow
from corkcrank.node.process.node import Node

STREAMS = 4
SERVICE = "model"


def written_rows(played: VersionedWorld) -> list[SoftwareRow]:
    """Return the row of the service as it was after each write."""
    changes = played.running.store.changes
    values = [data for table, key, data, _ in changes if (table, key) == ("software", SERVICE)]
    return [msgspec.json.decode(data, type=SoftwareRow) for data in values if data is not None]


async def wait_for_row(played: VersionedWorld, listed: set[str]) -> None:
    await until(lambda: any(row.listed == listed for row in written_rows(played)[-1:]))


async def replace_version(played: VersionedWorld, version: str = "v2") -> None:
    """Replace all engines by engines of another version, as a release does that has ended."""
    store = played.running.store
    engines = [StandinWorker(events=EVENTS, gap=0.02, told={"version": version}) for _ in range(3)]
    for engine in engines:
        await engine.server.start()
        store.put("servers", engine.worker_id, engine.entry(SERVICE))
    for items in list(played.engines.values()):
        for engine in items:
            store.remove("servers", engine.worker_id)
    played.engines[version] = engines


def knows_only(node: Node, version: str) -> bool:
    workers = node.mirror.workers.for_service(SERVICE)
    return {worker.version for worker in workers} == {version}


async def kill_all(played: VersionedWorld) -> None:
    for node in played.nodes:
        await die(node)


@asynccontextmanager
async def restarted(played: VersionedWorld) -> AsyncIterator[int]:
    """Run a gateway that starts after all others were killed; give its number."""
    async with peer_of(played.running, loopback_address(9)) as node:
        await until(lambda: node.ready)
        yield played.nodes.index(node)


async def assert_refused(played: VersionedWorld, streams: list[Stream], gateway: int) -> None:
    requests = played.requests()
    parts = await asyncio.gather(*(played.attempt(item, gateway, resumes="") for item in streams))
    assert {code_of(part.body) for part in parts} == {("STREAM_ORIGIN_UNKNOWN", "no")}
    assert all(part.retry_after for part in parts)
    assert played.requests() == requests
    assert played.mixed(streams) == []


@pytest.mark.parametrize("gateway", [0, 1])
async def test_stream_is_refused_after_its_version_was_replaced(gateway: int) -> None:
    async with versioned_world(gateways=2, versions=["v1"]) as played:
        streams = await played.begin(STREAMS)
        await replace_version(played)
        await until(lambda: all(knows_only(node, "v2") for node in played.nodes))
        await assert_refused(played, streams, gateway)


async def test_stream_is_refused_after_its_version_was_replaced_and_all_were_killed() -> None:
    async with versioned_world(gateways=2, versions=["v1"]) as played:
        streams = await played.begin(STREAMS)
        await wait_for_row(played, {"v1"})
        await kill_all(played)
        await replace_version(played)
        async with restarted(played) as gateway:
            await assert_refused(played, streams, gateway)


async def test_stream_continues_at_the_only_version_after_all_were_killed() -> None:
    async with versioned_world(gateways=2, versions=["v1"]) as played:
        streams = await played.begin(STREAMS)
        await wait_for_row(played, {"v1"})
        await kill_all(played)
        async with restarted(played) as gateway:
            await asyncio.gather(*(played.attempt(item, gateway, resumes="") for item in streams))
            assert all(item.whole for item in streams)


async def test_stream_is_refused_where_the_store_does_not_answer() -> None:
    async with versioned_world(gateways=2, versions=["v1"]) as played:
        streams = await played.begin(STREAMS)
        await kill_all(played)
        async with restarted(played) as gateway:
            played.running.store.refused.add(loopback_address(9))
            await assert_refused(played, streams, gateway)


async def test_stream_is_refused_where_the_row_is_unreadable() -> None:
    async with versioned_world(gateways=2, versions=["v1"]) as played:
        streams = await played.begin(STREAMS)
        await wait_for_row(played, {"v1"})
        await kill_all(played)
        played.running.store.put("software", SERVICE, {"versions": 7})
        async with peer_of(played.running, loopback_address(9)) as node:
            await until(lambda: node.mirror.workers_known)
            await assert_refused(played, streams, played.nodes.index(node))


async def test_rows_are_written_only_when_versions_change() -> None:
    async with versioned_world(gateways=2, versions=["v1"]) as played:
        await wait_for_row(played, {"v1"})
        await played.begin(STREAMS)
        await replace_version(played)
        await wait_for_row(played, {"v2"})
        rows = written_rows(played)
        assert len({frozenset(row.listed) for row in rows}) == len(rows)
        assert rows[-1].versions["v1"] is not None
