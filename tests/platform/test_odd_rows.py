"""Odd rows of another writer in the tables of the gateways themselves, and of the operator."""

import asyncio
import json
import zlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, cast

import msgspec
import pytest
from node_world import World, configuration, peer_of, route, until, world
from odd_entries import ADDRESSES, DEPTH, LONG, ended_loops, odd_rows
from platform_standins import StandinWorker

from corkcrank.contracts import clock
from corkcrank.contracts.stream_origin import StreamOrigin
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.platform_ports import StoreRow
from corkcrank.load.loopback import loopback_address
from corkcrank.machines.claim_reports import DATAGRAM_TAG as CLAIM_TAG
from corkcrank.machines.heartbeat import Heartbeat
from corkcrank.machines.heartbeat_codec import encode_heartbeat
from corkcrank.machines.origin_reports import DATAGRAM_TAG as ORIGIN_TAG
from corkcrank.machines.origin_reports import OriginReport
from corkcrank.machines.worker_changes import WorkerChange, WorkerChangeBatch
from corkcrank.node.peers.peer_protocol import ConfigurationAnswer
from corkcrank.node.process.node import Node
from corkcrank.node.workers.worker_probe import ProbeResult, probe_worker
from corkcrank.platform.documents import PlatformDocumentCodec
from corkcrank.scheduling.return_claims import ReturnClaim

ROUTES = [route("safe", "safe", "plain")]
STAGED_ROUTES = [
    *ROUTES,
    route("staged", "safe", "plain", stages=[{"service": "encode", "since_revision": [0]}]),
]
STREAM_ROUTES = [*ROUTES, route("talk", "stream", "plain", stream_resume=True)]
ODD_MEMBERS = {
    "no text": [b"\xff\xfe"],
    "no address": [b"[" * DEPTH, b"\xd9\xa1:\xd9\xa1", *(text.encode() for text in ADDRESSES)],
    "a port out of range": [b"127.0.0.1:99999"],
    "no IPv4": [b"[::1]:80"],
}


@pytest.mark.parametrize("kind", ODD_MEMBERS)
async def test_odd_members_end_no_heartbeats(kind: str) -> None:
    worker = StandinWorker()
    async with world(configuration(1, ROUTES), {"one": (worker, "plain")}) as running:
        for number, value in enumerate(ODD_MEMBERS[kind]):
            running.store.put("members", f"node-{number}", value)
        for key, row in odd_rows().items():
            running.store.put("members", key, row)
        async with peer_of(running, loopback_address(2)) as second:
            nodes = [running.nodes[0], second]
            await asyncio.sleep(1.5)
            for number, node in enumerate(nodes):
                assert ended_loops(node) == []
                assert len(node.fleet.live_members(clock.now())) == 1
                response = await running.call("/safe/x", number=number)
                assert response.status == 200


def with_surplus(packed: tuple[object, ...]) -> bytes:
    """Return an array with one more element than its reader knows, which nests deeply."""
    items = b"".join(msgspec.msgpack.encode(item) for item in packed)
    head = b"\xdc" + (len(packed) + 1).to_bytes(2, "big")
    return head + items + b"\x91" * 5_000 + b"\xc0"


def odd_datagrams(sound: Heartbeat) -> list[bytes]:
    """Return datagrams that are no heartbeats, or state an address that is none."""
    nested = b"\x91" * 5_000 + b"\xc0"
    beats = [
        msgspec.structs.replace(sound, name=f"odd-{number}", address=address, probe=probe)
        for number, address in enumerate([*ADDRESSES[:-1], "[::1]:80"])
        for probe in (True, False)
    ]
    tags = (b"", CLAIM_TAG, ORIGIN_TAG)
    datagrams = [encode_heartbeat(beat) for beat in beats]
    datagrams += [zlib.compress(tag + nested) for tag in tags]
    report = OriginReport(bytes(8), StreamOrigin("plain", "v1"), 9.0)
    claim = ReturnClaim(bytes(8), "t", (0, 1), (), 0.5)
    surplus = with_surplus(msgspec.structs.astuple(report))
    datagrams += [
        zlib.compress(with_surplus(msgspec.structs.astuple(sound))),
        CLAIM_TAG + with_surplus(msgspec.structs.astuple(claim)),
        ORIGIN_TAG + b"\x91" + surplus,
    ]
    return datagrams + [tag + body for tag in tags for body in (nested, b"", b"\xff", b"\xa1\xff")]


async def test_odd_datagrams_end_no_heartbeats() -> None:
    worker = StandinWorker()
    faults: list[dict[str, object]] = []
    asyncio.get_running_loop().set_exception_handler(lambda loop, fault: faults.append(fault))
    async with (
        world(configuration(1, ROUTES), {"one": (worker, "plain")}) as running,
        peer_of(running, loopback_address(2)) as second,
    ):
        first = running.nodes[0]
        await until(lambda: len(first.fleet.live_members(clock.now())) == 1)
        sound = second.heartbeats._build_heartbeat(clock.now())
        for data in odd_datagrams(sound):
            second.heartbeats.send_datagram(data, first.fleet.local_address)
        await asyncio.sleep(1.0)
        for number, node in enumerate(running.nodes):
            assert ended_loops(node) == []
            assert len(node.fleet.live_members(clock.now())) == 1
            assert (await running.call("/safe/x", number=number)).status == 200
    assert faults == []


def quarantine_values() -> list[bytes]:
    end = {"worker_id": "i-1", "at": 1.0, "suspects": [["a" * 16, False, None]]}
    odd_fields = [
        {"at": 1e308},
        {"at": -1e308},
        {"worker_id": "a\x00\r\n" + "b" * LONG},
        {"suspects": [["", True, [""] * 1_000]]},
        {"suspects": [["\u2028", False, ["x" * LONG]]] * 2},
        {"succeeded": ["x"] * 1_000, "cleared": ["x", "\x00"]},
        {"at": 10**23},
    ]
    return [json.dumps({"ends": [end | odd]}).encode() for odd in odd_fields]


def software_values() -> list[bytes]:
    odd_versions = [
        {"v0": 1e308},
        {"v0": -1e308},
        {"\x00": None},
        {"v" * LONG: None},
        {"v0": 10**23},
    ]
    return [json.dumps({"versions": versions}).encode() for versions in odd_versions]


def origin_values() -> list[bytes]:
    times = [float("nan"), float("inf"), float("-inf"), 1e308]
    groups = [("plain", "v1", expires_at, bytes(8)) for expires_at in times]
    groups += [("a\x00" + "b" * LONG, "", 1e9, bytes(16)), ("plain", "v1", 1e9, bytes(7))]
    return [msgspec.msgpack.encode((1, [group])) for group in groups]


UNDECODABLE = [
    b"",
    b"\xff\xfe",
    b"[]",
    b'{"ends":[],"versions":{},"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}",
    b'{"ends":[{"worker_id":"w","at":1,"suspects":[],"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}]}",
    b"\x93\x01\x90" + b"\x91" * 60_000 + b"\xc0",
]

OWN_ROWS = {
    "software": [software_values()[0], software_values()[3], UNDECODABLE[3]],
    "origins": [origin_values()[0], origin_values()[4], UNDECODABLE[5]],
}


@pytest.mark.parametrize(
    ("table", "number"),
    [("quarantine", 0)]
    + [(table, number) for table, values in OWN_ROWS.items() for number in range(len(values))],
)
async def test_odd_rows_of_gateways_end_no_loop(table: str, number: int) -> None:
    """The rows of quarantines are all read at once, of the others only one each."""
    worker = StandinWorker(events=2)
    values = [*quarantine_values(), *UNDECODABLE]
    if table in OWN_ROWS:
        values = [OWN_ROWS[table][number]]
    async with (
        world(configuration(1, STREAM_ROUTES), {"one": (worker, "plain")}) as running,
        later_gateway(running, table, values) as second,
    ):
        await asyncio.sleep(1.3)
        assert ended_loops(second) == []
        for path in ("/safe/x", "/talk/x"):
            response = await running.call(path, number=1)
            assert response.status == 200, await response.text()
        headers = {"Last-Event-Id": "1"}
        response = await running.call("/talk/x", number=1, headers=headers)
        assert response.status in (200, 503), await response.text()
        assert ended_loops(second) == []
        second.dump()


@asynccontextmanager
async def later_gateway(running: World, table: str, values: list[bytes]) -> AsyncIterator[Node]:
    """Start a gateway that reads odd rows."""
    ip = loopback_address(2)
    for number, value in enumerate(values):
        for key in ("plain", f"node-{ip}", f"{number:016x}"):
            running.store.put(table, key, value)
    for key, row in odd_rows().items():
        running.store.put(table, key, row)
    async with peer_of(running, ip) as second:
        await until(lambda: second.ready)
        yield second


NUMBER_PLACES: list[list[str | int]] = [
    ["version"],
    ["routes", 0, "max_attempts"],
    ["routes", 0, "priority"],
    ["services", 0, "max_connections"],
    ["services", 1, "engine", "slots"],
    ["services", 1, "engine", "kv_capacity"],
    ["services", 2, "segments", "slots"],
    ["services", 2, "segments", "queue"],
    ["services", 2, "segments", "batch"],
    ["limits", "max_header_bytes"],
    ["limits", "max_body_bytes"],
    ["tenants", 0, "priority"],
]


def with_number(place: list[str | int], number: float) -> dict[str, Any]:
    document: Any = json.loads(json.dumps(configuration(2, STAGED_ROUTES)))
    inner = document
    for step in place[:-1]:
        inner = inner[step]
    inner[place[-1]] = number
    return cast("dict[str, Any]", document)


BYTES_PLACE: list[str | int] = ["routes", 1, "stages", 0, "byte_length"]
STAGES_PLACE: list[str | int] = ["routes", 1, "stages", 0, "since_revision", 0]


@pytest.mark.parametrize("place", [*NUMBER_PLACES, BYTES_PLACE, STAGES_PLACE], ids=str)
@pytest.mark.parametrize("number", [10**23, -(10**23), 1e300, 1 << 64])
def test_every_peer_can_be_told_a_configuration_that_is_read(
    place: list[str | int], number: float
) -> None:
    row = StoreRow("config", json.dumps(with_number(place, number)).encode(), 4)
    found = PlatformDocumentCodec().configuration([row])
    if not isinstance(found, str):
        msgspec.msgpack.encode(ConfigurationAnswer(found))


async def test_odd_configurations_end_no_heartbeats() -> None:
    worker = StandinWorker()
    nested = b'{"version":3,"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}"
    async with (
        world(configuration(1, ROUTES), {"one": (worker, "plain")}) as running,
        peer_of(running, loopback_address(2)) as second,
    ):
        await until(lambda: second.ready)
        for place in NUMBER_PLACES:
            running.store.put("op", "config", with_number(place, 10**23))
            await asyncio.sleep(0.1)
        for value in (nested, b"\xff", b"[]", b""):
            running.store.put("op", "config", value)
        for key, row in odd_rows().items():
            running.store.put("op", key, row)
        running.store.put("op", "evacuate/\u2028\x00" + "z" * 180, nested)
        await asyncio.sleep(0.5)
        running.store.put("op", "config", configuration(9, ROUTES))
        await until(lambda: all(node.mirror.version == 9 for node in running.nodes))
        await asyncio.sleep(0.5)
        for number, node in enumerate(running.nodes):
            assert ended_loops(node) == []
            assert len(node.fleet.live_members(clock.now())) == 1
            assert (await running.call("/safe/x", number=number)).status == 200


@pytest.mark.parametrize("address", ["[fe80::1%[]:80", "127.0.0.1:99999"])
@pytest.mark.parametrize("whole", [True, False])
async def test_entries_that_peers_of_an_older_release_accept_get_no_calls(
    address: str, whole: bool
) -> None:
    worker = StandinWorker()
    odd = [WorkerRecord(f"odd-{number}", "plain", address, "z1", revision=9) for number in range(4)]
    async with world(configuration(1, ROUTES), {"one": (worker, "plain")}) as running:
        first = running.nodes[0].mirror
        running.store.revision = 500
        for record in odd:
            first.workers.apply_row(record.name, record, 500)
        first.workers.mark_complete_up_to(500)
        changes = tuple(WorkerChange(record.name, 500, record) for record in odd)
        if not whole:
            first.recent_changes.add_batch(WorkerChangeBatch(9, 500, changes), clock.now() + 3)
        async with peer_of(running, loopback_address(2), refused=True) as second:
            await until(lambda: second.ready)
            await asyncio.sleep(0.5)
            records = second.mirror.workers.records()
            assert [record.name for record in records] == [worker.worker_id]
            assert second.mirror.workers.revision == 500
            for _ in range(20):
                assert (await running.call("/safe/x", number=1)).status == 200


async def test_workers_with_ipv6_addresses_can_be_probed() -> None:
    server = await asyncio.start_server(lambda reader, writer: writer.close(), "::1", 0)
    port = server.sockets[0].getsockname()[1]
    assert await probe_worker(f"[::1]:{port}", 1.0) is ProbeResult.CONNECTED
    server.close()
    await server.wait_closed()
    assert await probe_worker(f"[::1]:{port}", 1.0) is ProbeResult.REFUSED
