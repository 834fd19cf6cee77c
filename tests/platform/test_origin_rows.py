"""Streams that callers take up after all gateways were killed at once continue at their version.

Guards against streams that were refused, or joined from two versions, because the origins of all
streams had been in the memory of the gateways only.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import pytest
from node_world import peer_of, until
from test_owners import die
from test_stream_versions import code_of
from versioned_world import VERSIONS, Stream, VersionedWorld, versioned_world

from corkcrank.contracts.stream_origin import stream_key
from corkcrank.load.loopback import loopback_address
from corkcrank.node.origins.origin_rows import MAX_ROW_ORIGINS, ROW_FORMAT, OriginGroup, OriginRow
from corkcrank.node.process.node import Node

STREAMS = 12
MAX_ROW_BYTES = 65_536
GATEWAYS = 2
TABLE = "origins"


def rows_of(played: VersionedWorld) -> dict[str, OriginRow]:
    """Return the rows in the store by gateway."""
    rows: dict[str, OriginRow] = {}
    for table, key, value, _ in played.running.store.changes:
        if table == TABLE and value is not None:
            rows[key] = msgspec.msgpack.decode(value, type=OriginRow)
    return rows


def written_versions(played: VersionedWorld, stream: Stream) -> list[str]:
    """Return the version that each row has for a stream."""
    key = stream_key("tenant", stream.first)
    return [
        group.version
        for row in rows_of(played).values()
        for group in row.groups
        if key in {group.keys[at : at + 8] for at in range(0, len(group.keys), 8)}
    ]


async def wait_for_rows(played: VersionedWorld, streams: list[Stream], rows: int) -> None:
    await until(lambda: all(len(written_versions(played, item)) >= rows for item in streams))


async def kill_all(played: VersionedWorld) -> None:
    for node in list(played.nodes):
        await die(node)


@asynccontextmanager
async def restarted(played: VersionedWorld, number: int) -> AsyncIterator[Node]:
    """Start a gateway again under its name; it knows nothing of before."""
    async with peer_of(played.running, loopback_address(number)) as node:
        await until(lambda: node.ready and node.mirror.workers_known)
        await until(lambda: node._origins.rows.restored)
        yield node


async def take_up(played: VersionedWorld, streams: list[Stream], node: Node) -> None:
    gateway = played.nodes.index(node)
    await asyncio.gather(*(played.attempt(item, gateway) for item in streams))


@pytest.mark.parametrize("number", range(1, GATEWAYS + 1))
async def test_streams_continue_at_their_version_after_all_gateways_were_killed(
    number: int,
) -> None:
    """Either gateway is the only one that comes back; each stream is in two rows."""
    async with versioned_world(gateways=GATEWAYS) as played:
        streams = await played.begin(STREAMS)
        assert {frozenset(played.versions(item)) for item in streams} == {
            frozenset([version]) for version in VERSIONS
        }
        await wait_for_rows(played, streams, rows=2)
        await kill_all(played)
        async with restarted(played, number) as node:
            await take_up(played, streams, node)
            assert played.mixed(streams) == []
            assert all(item.whole for item in streams)


async def test_streams_continue_after_all_gateways_were_killed_twice() -> None:
    async with versioned_world(gateways=GATEWAYS) as played:
        streams = await played.begin(STREAMS)
        await wait_for_rows(played, streams, rows=2)
        await kill_all(played)
        async with restarted(played, 1) as first:
            later = await played.begin(STREAMS, gateway=played.nodes.index(first))
            await wait_for_rows(played, later, rows=1)
            await die(first)
        async with restarted(played, 1) as node:
            await take_up(played, streams + later, node)
            assert played.mixed(streams + later) == []
            assert all(item.whole for item in streams + later)


async def test_stream_that_was_not_written_is_refused() -> None:
    async with versioned_world(gateways=GATEWAYS) as played:
        played.running.store.refused.update(loopback_address(n) for n in (1, 2))
        streams = await played.begin(STREAMS)
        await kill_all(played)
        played.running.store.refused.clear()
        async with restarted(played, 1) as node:
            requests = played.requests()
            await take_up(played, streams, node)
            codes = {code_of(item.parts[-1].body) for item in streams}
            assert codes == {("STREAM_ORIGIN_UNKNOWN", "no")}
            assert played.requests() == requests


async def test_other_tenant_does_not_find_a_restored_origin() -> None:
    async with versioned_world(gateways=GATEWAYS) as played:
        streams = await played.begin(1)
        await wait_for_rows(played, streams, rows=2)
        await kill_all(played)
        async with restarted(played, 1) as node:
            part = await played.attempt(
                streams[0],
                played.nodes.index(node),
                **{"X-Corkcrank-Credential": "key-of-another-tenant"},
            )
            assert code_of(part.body) == ("STREAM_ORIGIN_UNKNOWN", "no")


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xc1",
        msgspec.msgpack.encode({"groups": 7}),
        msgspec.msgpack.encode(OriginRow(ROW_FORMAT + 1, ())),
        msgspec.msgpack.encode(OriginRow(ROW_FORMAT, (OriginGroup("s", "v", 1e12, b"odd"),))),
    ],
)
async def test_unreadable_row_counts_as_unknown(value: bytes) -> None:
    async with versioned_world(gateways=GATEWAYS) as played:
        streams = await played.begin(STREAMS)
        names = [node.fleet.local_name for node in played.nodes]
        await wait_for_rows(played, streams, rows=2)
        await kill_all(played)
        for name in names:
            played.running.store.put(TABLE, name, value)
        async with restarted(played, 1) as node:
            await take_up(played, streams, node)
            assert {code_of(item.parts[-1].body) for item in streams} == {
                ("STREAM_ORIGIN_UNKNOWN", "no")
            }


async def test_nothing_is_written_while_a_service_has_one_version() -> None:
    async with versioned_world(gateways=GATEWAYS, versions=["v1"]) as played:
        streams = await played.begin(STREAMS)
        await take_up(played, streams, played.nodes[1])
        assert all(item.whole for item in streams)
        assert rows_of(played) == {}


async def test_row_keeps_the_newest_streams(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("corkcrank.node.origins.origin_rows.MAX_ROW_ORIGINS", 5)
    async with versioned_world(gateways=1) as played:
        streams = []
        for _ in range(STREAMS):
            streams += await played.begin(1)
        await wait_for_rows(played, streams[-5:], rows=1)
        assert not any(written_versions(played, item) for item in streams[:-5])


def test_row_of_the_largest_number_of_streams_fits_the_store() -> None:
    """The store's limit holds for the value in base64; most streams share a group."""
    keys = b"".join(number.to_bytes(8, "big") for number in range(MAX_ROW_ORIGINS))
    row = OriginRow(ROW_FORMAT, (OriginGroup("model", "v1.1", 1e6, keys),))
    assert len(msgspec.msgpack.encode(row)) * 4 / 3 < MAX_ROW_BYTES
