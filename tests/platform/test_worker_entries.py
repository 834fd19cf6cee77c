"""Which rows of the store name a worker, independent of their writer.

A row of another writer with an unknown state was read as a ready worker, and a row with no address
as an unreachable worker: each call sent there was lost.
"""

import base64
import json
import socket
from typing import Any

import aiohttp
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from node_world import configuration, peer_of, route, until, world
from odd_entries import ADDRESSES, TEXTS, odd_values
from platform_standins import Server, StandinWorker

from corkcrank.contracts.bounded_values import MAX_TEXT_CHARACTERS
from corkcrank.contracts.socket_addresses import split_socket_address
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.platform_ports import StoreRow, StoreRows, StoreTable, Unreadable
from corkcrank.links.strict_json import MAX_REASON_CHARACTERS
from corkcrank.load.loopback import loopback_address
from corkcrank.machines.worker_changes import WorkerChange, WorkerChangeBatch
from corkcrank.node.process.node import Node
from corkcrank.node.workers.worker_addresses import exact_url
from corkcrank.platform.documents import PlatformDocumentCodec
from corkcrank.platform.store import PlatformStore

ROUTES = [route("safe", "safe", "plain")]

ENTRY: dict[str, Any] = {
    "service": "plain",
    "address": "10.0.0.1:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 4,
}

OTHER_VALUES: dict[str, list[Any]] = {
    "service": [None, 3, "", ["plain"]],
    "address": [None, "", "10.0.0.1", "host:80", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:x"],
    "zone": [None, 1],
    "version": [None, 1],
    "slots": [None, 0, -3, 1.5, "8", True, 10**30],
    "state": [None, "frob", "", "READY", 1],
    "warmup_left_ms": [None, "0", True],
    "sequence": [None, 1.5, "4", True],
    "born": [None, 0, -1, 1.5, 17.0, "17", True, 10**30],
}


def read(value: object, key: str = "i-1") -> WorkerRecord | Unreadable | None:
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return PlatformDocumentCodec().worker(StoreRow(key, data, 7))


def test_an_entry_names_a_worker_with_or_without_its_start() -> None:
    older, newer = read(ENTRY), read({**ENTRY, "born": 1_764_000_000_123})
    assert older == WorkerRecord("i-1", "plain", "10.0.0.1:8080", "z1", 8, revision=7, version="v1")
    assert isinstance(newer, WorkerRecord)
    assert (newer.name, newer.born) == ("i-1", 1_764_000_000_123)
    assert isinstance(older, WorkerRecord)
    assert newer.worker_id != older.worker_id


def test_unknown_fields_are_ignored() -> None:
    assert read({**ENTRY, "models": [{"name": "m"}], "stage": "both"}) == read(ENTRY)


@pytest.mark.parametrize("field", sorted(ENTRY))
def test_an_entry_that_lacks_a_field_names_no_worker(field: str) -> None:
    found = read({name: value for name, value in ENTRY.items() if name != field})
    assert isinstance(found, Unreadable)
    assert field in found.reason


@pytest.mark.parametrize(
    ("field", "value"), [(field, value) for field in OTHER_VALUES for value in OTHER_VALUES[field]]
)
def test_an_entry_with_an_invalid_field_names_no_worker(field: str, value: object) -> None:
    assert isinstance(read({**ENTRY, field: value}), Unreadable)


@pytest.mark.parametrize("key", ["", "a b", "a\r\nHost: x", "\x00", "ä"])
def test_a_key_that_is_invalid_in_a_header_names_no_worker(key: str) -> None:
    assert isinstance(read(ENTRY, key), Unreadable)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
)


@given(st.binary() | JSON.map(lambda value: json.dumps(value).encode()), st.text())
def test_any_bytes_are_read_or_given_a_short_reason(data: bytes, key: str) -> None:
    found = read(data, key)
    assert isinstance(found, Unreadable)
    assert len(found.reason) <= MAX_REASON_CHARACTERS


@given(st.dictionaries(st.sampled_from([*ENTRY, "born"]), JSON), st.text())
def test_entries_with_any_values_never_raise(values: dict[str, object], key: str) -> None:
    found = read({**ENTRY, **values}, key)
    assert isinstance(found, WorkerRecord | Unreadable)


@pytest.mark.parametrize("name", odd_values())
def test_an_odd_entry_names_no_worker(name: str) -> None:
    found = read(odd_values()[name])
    assert isinstance(found, Unreadable)
    assert len(found.reason) <= MAX_REASON_CHARACTERS


IPV4 = st.ip_addresses(v=4).map(lambda ip: f"{ip}:80")
IPV6 = st.ip_addresses(v=6).map(lambda ip: f"[{ip}]:80")
ODD_TEXTS = st.text() | st.sampled_from([text for text in [*ADDRESSES, *TEXTS] if text])
ODD_FIELDS = {
    "service": ODD_TEXTS,
    "address": ODD_TEXTS
    | st.ip_addresses().map(lambda ip: f"[{ip}]:80" if ip.version == 6 else f"{ip}:80"),
    "zone": ODD_TEXTS,
    "version": ODD_TEXTS,
    "slots": st.integers(),
    "warmup_left_ms": st.integers() | st.floats(),
    "sequence": st.integers(),
    "born": st.integers(),
}


@given(st.fixed_dictionaries({}, optional=ODD_FIELDS), st.text(), st.integers(1, 1 << 62))
def test_every_later_step_can_use_any_worker_that_is_read(
    fields: dict[str, object], key: str, revision: int
) -> None:
    data = json.dumps({**ENTRY, **fields}).encode()
    for name in (key, "i-1"):
        found = PlatformDocumentCodec().worker(StoreRow(name, data, revision))
        if isinstance(found, WorkerRecord):
            check_usable(found)


def check_usable(worker: WorkerRecord) -> None:
    """Check what requests, probes, heartbeats, logs, metrics and the dump do with a worker."""
    url = exact_url(worker.address, "/a?b")
    assert url.host
    assert url.port
    host, port = split_socket_address(worker.address)
    info = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM, flags=socket.AI_NUMERICHOST)
    assert [address[4][:2] for address in info] == [(host, port)]
    change = WorkerChange(worker.name, worker.revision, worker)
    batch = WorkerChangeBatch(worker.revision - 1, worker.revision, (change,))
    packed = msgspec.msgpack.encode(batch)
    assert msgspec.msgpack.decode(packed, type=WorkerChangeBatch) == batch
    assert msgspec.json.encode(batch)
    for text in (worker.name, worker.service, worker.zone, worker.version, worker.address):
        assert len(text) <= MAX_TEXT_CHARACTERS
        assert text.splitlines() in ([], [text])
        text.encode()
    assert json.dumps(change.log_fields()).encode()
    assert 0.0 <= worker.warmup <= 60.0


def test_deeply_nested_bytes_are_unreadable() -> None:
    assert isinstance(read(b'{"service":' + b"[" * 100_000), Unreadable)
    assert isinstance(read(b'{"other":' + b"[" * 100_000), Unreadable)


BROKEN_ROWS: list[Any] = [
    {"key": "i-odd", "value": "%%%", "ver": 3},
    {"key": "i-odd", "value": 7, "ver": 3},
    {"key": "i-odd", "value": "e30=", "ver": "x"},
    {"key": "i-odd", "value": "e30=", "ver": 3, "gone": "no"},
    {"key": "i-odd", "value": "e30="},
    {"key": "i-odd", "ver": 3},
]

NAMELESS_ROWS: list[Any] = [{"key": 5, "value": "e30=", "ver": 3}, {"value": "e30="}, None, [1], 4]


class RowsServer:
    """A store that answers with the given pages in order."""

    def __init__(self, pages: list[dict[str, Any]]) -> None:
        self.pages = pages
        self.server = Server(self._handle)
        self.sources: list[str] = []

    async def _handle(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.StreamResponse:
        self.sources.append(request.query.get("source", ""))
        return aiohttp.web.json_response(self.pages.pop(0))


async def rows_of(pages: list[dict[str, Any]], *, watch: bool = False) -> tuple[Any, list[str]]:
    store = RowsServer(pages)
    await store.server.start()
    try:
        async with aiohttp.ClientSession() as session:
            client = PlatformStore(session, store.server.address, 1.0)
            if watch:
                return await client.watch(StoreTable.WORKERS, 1, 0.0), store.sources
            return await client.read(StoreTable.WORKERS), store.sources
    finally:
        await store.server.stop()


def valid_row(key: str) -> dict[str, Any]:
    return {"key": key, "value": base64.b64encode(b"{}").decode(), "ver": 2}


@pytest.mark.parametrize("watch", [False, True])
@pytest.mark.parametrize("broken", BROKEN_ROWS)
async def test_a_malformed_row_does_not_affect_the_others(broken: object, *, watch: bool) -> None:
    page = {"ver": 9, "rows": [valid_row("i-a"), broken, valid_row("i-z")]}
    found, _ = await rows_of([page], watch=watch)
    assert isinstance(found, StoreRows)
    assert [row.key for row in found.rows] == ["i-a", "i-odd", "i-z"]
    assert isinstance(found.rows[1].value, Unreadable)
    assert 0 < found.rows[1].revision <= 9
    assert found.rows[2].value == b"{}"


@pytest.mark.parametrize("broken", NAMELESS_ROWS)
async def test_a_row_without_a_key_is_reported_and_skipped(broken: object) -> None:
    pages = [
        {"ver": 9, "rows": [valid_row("i-a"), broken], "more": True},
        {"ver": 9, "rows": [valid_row("i-z")]},
    ]
    found, sources = await rows_of(pages)
    assert isinstance(found, StoreRows)
    assert [row.key for row in found.rows] == ["i-a", "i-z"]
    assert len(found.unreadable_keys) == 1
    assert sources == ["", "i-a\x00"]


@pytest.mark.parametrize("broken", [valid_row("z-odd") | {"ver": -1}, valid_row("") | {"ver": "x"}])
async def test_the_key_of_an_unreadable_row_leaves_no_row_out(broken: object) -> None:
    pages = [
        {"ver": 9, "rows": [valid_row("i-a"), broken], "more": True},
        {"ver": 9, "rows": [valid_row("i-z")]},
    ]
    found, sources = await rows_of(pages)
    assert isinstance(found, StoreRows)
    assert [row.key for row in found.rows if row.value == b"{}"] == ["i-a", "i-z"]
    assert sources == ["", "i-a\x00"]


async def test_reading_ends_at_pages_that_lead_nowhere() -> None:
    pages = [
        {"ver": 9, "rows": [valid_row("i-b")], "more": True},
        {"ver": 9, "rows": [valid_row("i-a")], "more": True},
    ]
    found, _ = await rows_of(pages)
    assert not isinstance(found, StoreRows)


async def test_reading_ends_at_a_page_without_keys() -> None:
    found, _ = await rows_of([{"ver": 9, "rows": [None], "more": True}])
    assert not isinstance(found, StoreRows)


def unreadable_entry_count(node: Node) -> float:
    kinds = node.services.metrics.unreadable_documents
    return kinds.labels("entry")._value.get()


@pytest.mark.parametrize(
    "foreign", [{**ENTRY, "state": "frob"}, {"service": "plain"}, b"\xff\xfe\x00", b"[]"]
)
async def test_a_foreign_entry_removes_its_worker_and_no_other(foreign: object) -> None:
    one, two = StandinWorker(), StandinWorker()
    served = {"one": (one, "plain"), "two": (two, "plain")}
    async with (
        world(configuration(1, ROUTES), served) as running,
        peer_of(running, loopback_address(2)) as second,
    ):
        nodes = [running.nodes[0], second]
        await until(
            lambda: all(len(node.mirror.workers.usable_workers("plain")) == 2 for node in nodes)
        )
        running.store.put("servers", one.worker_id, foreign)
        running.store.put("servers", "i-unheard", foreign)
        await until(
            lambda: all(len(node.mirror.workers.usable_workers("plain")) == 1 for node in nodes)
        )
        for _ in range(5):
            assert (await running.call("/safe/x", method="GET")).status == 200
        unreadable = running.nodes[0].dump().unreadable_entries
        assert set(unreadable) == {one.worker_id, "i-unheard"}
        assert unreadable_entry_count(running.nodes[0]) == 2
        running.store.put("servers", one.worker_id, one.entry("plain"))
        await until(
            lambda: all(len(node.mirror.workers.usable_workers("plain")) == 2 for node in nodes)
        )
        assert set(running.nodes[0].dump().unreadable_entries) == {"i-unheard"}
    assert not one.seen


async def test_a_removal_by_a_foreign_entry_after_an_outage_is_not_deferred() -> None:
    """An existing row has not lapsed, so its worker is removed at once."""
    one, two = StandinWorker(), StandinWorker()
    served = {"one": (one, "plain"), "two": (two, "plain")}
    async with world(configuration(1, ROUTES), served) as running:
        mirror = running.nodes[0].mirror
        running.store.refused.add(loopback_address(1))
        running.store.forget_history()
        await until(lambda: mirror.call_counts.get("workers:refused", 0) > 0)
        running.store.put("servers", one.worker_id, b"\xff")
        answered = mirror.call_counts["workers:answered"]
        running.store.refused.clear()
        await until(lambda: mirror.call_counts["workers:answered"] > answered)
        assert [worker.name for worker in mirror.workers.records()] == [two.worker_id]


async def test_a_worker_of_a_service_without_a_route_is_harmless() -> None:
    one, two = StandinWorker(), StandinWorker()
    served = {"one": (one, "plain"), "two": (two, "unnamed")}
    async with world(configuration(1, ROUTES), served) as running:
        assert (await running.call("/safe/x", method="GET")).status == 200
        assert running.nodes[0].dump().unreadable_entries == {}
    assert len(one.seen) == 1
