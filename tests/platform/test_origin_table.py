"""Streams whose origin only the rows of absent gateways hold continue at their version.

Guards against streams that were refused although their origin was in the store: each gateway read
its own row alone.
"""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import msgspec
import pytest
from node_world import peer_of, until
from test_origin_rows import TABLE, kill_all, rows_of, take_up, wait_for_rows
from test_stream_versions import code_of
from test_unnamed_streams import wait_for_row
from versioned_world import VERSIONS, Stream, VersionedWorld, versioned_world

from corkcrank.links.platform_ports import StoreTable
from corkcrank.load.loopback import loopback_address
from corkcrank.node.origins.origin_rows import ROW_FORMAT, OriginGroup, OriginRow
from corkcrank.node.process.node import Node

STREAMS = 12
GATEWAYS = 3
MAX_LOOKUP_SECONDS = 1.2
UNKNOWN = {("STREAM_ORIGIN_UNKNOWN", "no")}


@asynccontextmanager
async def newcomer(played: VersionedWorld) -> AsyncIterator[Node]:
    """Start a gateway of a name that has no row, after all others were killed."""
    async with peer_of(played.running, loopback_address(9)) as node:
        await until(lambda: node.ready and node.mirror.workers_known)
        await until(lambda: node._origins.rows.restored)
        yield node


def count_reads(node: Node) -> list[str]:
    """Return a list that will hold a gateway's reads of all origins."""
    store: Any = node._ports.store
    read, reads = store.read, []

    async def count(table: StoreTable, key: str = "") -> Any:
        if table is StoreTable.ORIGINS:
            reads.append(key)
        return await read(table, key)

    store.read = count
    return reads


def codes(streams: list[Stream]) -> set[tuple[str, str]]:
    return {code_of(item.parts[-1].body) for item in streams}


@asynccontextmanager
async def killed_world(streams: list[Stream]) -> AsyncIterator[VersionedWorld]:
    """Begin streams, and kill all gateways when their rows have been written."""
    async with versioned_world(gateways=GATEWAYS) as played:
        streams += await played.begin(STREAMS)
        begun = {frozenset(played.versions(item)) for item in streams}
        assert begun == {frozenset([version]) for version in VERSIONS}
        await wait_for_rows(played, streams, rows=2)
        await kill_all(played)
        yield played


async def test_streams_continue_although_the_gateways_that_wrote_them_are_gone() -> None:
    streams: list[Stream] = []
    async with killed_world(streams) as played, newcomer(played) as node:
        reads = count_reads(node)
        await take_up(played, streams, node)
        assert played.mixed(streams) == []
        assert all(item.whole for item in streams)
        assert reads == [""]


async def test_streams_continue_at_a_gateway_that_others_of_their_writers_join_later() -> None:
    streams: list[Stream] = []
    async with killed_world(streams) as played, newcomer(played) as node:
        await take_up(played, streams[::2], node)
        async with peer_of(played.running, loopback_address(1)) as writer:
            await until(lambda: writer.ready and writer._origins.rows.restored)
            await take_up(played, streams[1::2], writer)
        assert played.mixed(streams) == []
        assert all(item.whole for item in streams)


async def test_lookups_of_unknown_streams_share_the_reads() -> None:
    streams: list[Stream] = []
    async with killed_world(streams) as played, newcomer(played) as node:
        reads = count_reads(node)
        gateway = played.nodes.index(node)
        for _ in range(3):
            await asyncio.gather(
                *(played.attempt(item, gateway, resumes="0" * 16) for item in streams)
            )
        assert codes(streams) == UNKNOWN
        assert len(reads) <= 3


def refuse(played: VersionedWorld) -> None:
    played.running.store.refused.add(loopback_address(9))


def silence(played: VersionedWorld) -> None:
    played.running.store.silent = True


def write_unreadable(played: VersionedWorld) -> None:
    for name in rows_of(played):
        played.running.store.put(TABLE, name, b"\xc1")


def write_other_version(played: VersionedWorld) -> None:
    """Write each stream with a second version, as if its attempt id had been used twice."""
    rows = rows_of(played).values()
    keys = {
        version: b"".join(
            group.keys for row in rows for group in row.groups if group.version == version
        )
        for version in VERSIONS
    }
    other = tuple(
        OriginGroup("model", version, 1e12, keys[begun])
        for version, begun in zip(VERSIONS, reversed(VERSIONS), strict=True)
    )
    value = msgspec.msgpack.encode(OriginRow(ROW_FORMAT, other))
    played.running.store.put(TABLE, "another", value)


@pytest.mark.parametrize("fault", [refuse, silence, write_unreadable, write_other_version])
async def test_streams_of_origins_that_the_store_does_not_show_are_refused(
    fault: Callable[[VersionedWorld], None],
) -> None:
    streams: list[Stream] = []
    async with killed_world(streams) as played, newcomer(played) as node:
        fault(played)
        requests = played.requests()
        began_at = time.monotonic()
        await take_up(played, streams, node)
        assert time.monotonic() - began_at < MAX_LOOKUP_SECONDS
        assert codes(streams) == UNKNOWN
        assert played.requests() == requests
        played.running.store.silent = False


async def test_an_unreadable_row_hides_no_other() -> None:
    streams: list[Stream] = []
    async with killed_world(streams) as played, newcomer(played) as node:
        played.running.store.put(TABLE, "another", b"\xc1")
        await take_up(played, streams, node)
        assert played.mixed(streams) == []
        assert all(item.whole for item in streams)


async def test_other_tenant_does_not_find_an_origin_in_the_store() -> None:
    streams: list[Stream] = []
    async with killed_world(streams) as played, newcomer(played) as node:
        foreign = {"X-Corkcrank-Credential": "key-of-another-tenant"}
        await played.attempt(streams[0], played.nodes.index(node), **foreign)
        assert codes(streams[:1]) == UNKNOWN


async def test_origins_are_not_read_while_a_service_has_one_version() -> None:
    async with versioned_world(gateways=GATEWAYS, versions=["v1"]) as played:
        streams = await played.begin(STREAMS)
        await wait_for_row(played, {"v1"})
        await kill_all(played)
        async with newcomer(played) as node:
            reads = count_reads(node)
            await take_up(played, streams, node)
            assert all(item.whole for item in streams)
            assert reads == []


@pytest.mark.parametrize("number", [1, 9])
async def test_no_stream_is_mixed_where_one_version_left_while_no_gateway_ran(number: int) -> None:
    """The gateway that comes back has a row of origins, or none."""
    async with versioned_world(gateways=GATEWAYS) as played:
        streams = await played.begin(STREAMS)
        stay = [item for item in streams if played.versions(item) == {VERSIONS[1]}]
        await wait_for_rows(played, streams, rows=2)
        await kill_all(played)
        for engine in played.engines[VERSIONS[0]]:
            played.running.store.remove("servers", engine.worker_id)
        async with peer_of(played.running, loopback_address(number)) as node:
            await until(lambda: node.ready and node._origins.rows.restored)
            await take_up(played, streams, node)
            assert played.mixed(streams) == []
            assert stay
            assert number > GATEWAYS or all(item.whole for item in stay)


async def test_gateway_is_ready_at_once_while_the_rows_cannot_be_read() -> None:
    async with versioned_world(gateways=2) as played:
        began_at = time.monotonic()
        async with peer_of(played.running, loopback_address(9), refused=True) as node:
            await until(lambda: node.ready)
            assert time.monotonic() - began_at < MAX_LOOKUP_SECONDS
            assert not node._origins.rows.restored
