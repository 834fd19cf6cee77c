"""Odd entries of another writer, all at once beside those of sound workers."""

import asyncio
import json
import time
from collections import Counter
from typing import Any

import pytest
from core_clock import core_clock
from node_world import CONDITION_SECONDS, World, configuration, peer_of, route, until, world
from odd_entries import ENTRY, ODD_KEYS, ended_loops, odd_rows, odd_values
from platform_standins import StandinWorker
from process_world import NAME, process_world
from standin_store import StandinStore

from corkcrank.contracts import clock
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.platform_ports import StoreTable
from corkcrank.load.loopback import loopback_address
from corkcrank.node.process.node import Node

DESCRIPTORS = 512
CALL_SECONDS = 4.0
"""The time that callers of this stand-in wait."""

ROUTES = [
    route("safe", "safe", "plain"),
    route("once", "unsafe", "plain"),
    route("talk", "stream", "plain", stream_resume=True),
]


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> list[tuple[LogEvent, dict[str, Any]]]:
    """Collect the events that gateways log; each must be encodable."""
    events: list[tuple[LogEvent, dict[str, Any]]] = []

    def write(log: DecisionLog, event: LogEvent, **fields: Any) -> None:
        json.dumps(fields, default=str).encode()
        events.append((event, {"process": log._process, **fields}))

    monkeypatch.setattr(DecisionLog, "write", write)
    return events


async def fetch(running: World, node: Node, path: str) -> bytes:
    assert running.session is not None
    async with running.session.get(f"http://{node.fleet.local_address}{path}") as response:
        assert response.status == 200
        return await response.read()


async def all_served(running: World, paths: tuple[str, ...] = ("safe", "once")) -> None:
    for number in range(len(running.nodes)):
        for path in paths:
            for _ in range(4):
                response = await running.call(f"/{path}/x", number=number)
                assert response.status == 200, await response.text()


def put_all(store: StandinStore) -> None:
    for key, value in odd_values().items():
        store.put("servers", key, value)
    for key in ODD_KEYS:
        store.put("servers", key, {**ENTRY})
    for key, row in odd_rows().items():
        store.put("servers", key, row)


def usable(node: Node) -> set[str]:
    return {worker.name for worker in node.mirror.workers.usable_workers("plain")}


@pytest.mark.parametrize("first", [True, False])
async def test_odd_entries_stop_neither_calls_nor_the_list(
    first: bool, logged: list[tuple[LogEvent, dict[str, Any]]]
) -> None:
    one, two, late = StandinWorker(), StandinWorker(), StandinWorker()
    await late.server.start()
    served = {"one": (one, "plain"), "two": (two, "plain")}
    async with core_clock(), world(configuration(1, ROUTES), served) as running:
        if not first:
            put_all(running.store)
        async with peer_of(running, loopback_address(2)) as second:
            nodes = [running.nodes[0], second]
            if first:
                await until(lambda: all(len(usable(node)) == 2 for node in nodes))
                put_all(running.store)
            await until(lambda: second.ready)
            await until(lambda: all(len(usable(node)) == 2 for node in nodes))
            await all_served(running)
            running.store.put("servers", late.worker_id, late.entry("plain"))
            expected = {one.worker_id, two.worker_id, late.worker_id}
            await until(lambda: all(usable(node) == expected for node in nodes))
            await all_served(running)
            assert late.seen
            running.store.put("servers", two.worker_id, two.entry("plain", state="draining"))
            expected = {one.worker_id, late.worker_id}
            await until(lambda: all(usable(node) == expected for node in nodes))
            count = len(two.seen)
            await all_served(running)
            assert len(two.seen) == count
            await no_odd_worker_is_used(running, nodes, expected | {two.worker_id})
            await mended_entries_are_retired(running, nodes)
    await late.server.stop()
    assert not [fields for event, fields in logged if event is LogEvent.INTERNAL_FAULT]
    lines = [fields for event, fields in logged if event is LogEvent.DOCUMENT_UNREADABLE]
    assert {line["code"] for line in lines} == {ResultCode.WORKER_ENTRY_UNREADABLE.number}
    named = Counter((line["process"], line["name"], line["reason"]) for line in lines)
    assert {count for (_, name, _), count in named.items() if name} == {1}
    assert set(odd_values()) <= {name for _, name, _ in named}


async def test_a_process_lives_on_beside_odd_entries() -> None:
    async with process_world(DESCRIPTORS) as running:
        put_all(running.store)
        late = StandinWorker()
        await late.server.start()
        running.store.put("servers", late.worker_id, late.entry("plain"))
        deadline = time.monotonic() + CONDITION_SECONDS
        while not late.seen:
            assert time.monotonic() < deadline
            assert await running.call(CALL_SECONDS) == 200
        assert running.group.processes[NAME].poll() is None
        assert await running.readiness() == 200
        assert await running.metric("corkcrank_unreadable_documents_total") >= len(odd_values())
        lines = [json.loads(line) for line in running.log_lines()]
        codes = {line["code"] for line in lines if "code" in line}
        assert codes == {ResultCode.WORKER_ENTRY_UNREADABLE.number}
        await late.server.stop()


async def no_odd_worker_is_used(running: World, nodes: list[Node], known: set[str]) -> None:
    """Check the list, the loops, and what operators read, after some heartbeats."""
    await asyncio.sleep(0.6)
    for node in nodes:
        assert {worker.name for worker in node.mirror.workers.records()} == known
        assert node.mirror.workers.revision <= running.store.revision
        assert ended_loops(node) == []
        assert len(node.fleet.live_members(clock.now())) == 1
        assert node.mirror.call_counts.get(f"{StoreTable.WORKERS}:broken", 0) == 0
        assert b"corkcrank_unreadable_documents" in await fetch(running, node, "/metrics")
        assert json.loads(await fetch(running, node, "/dump"))["unreadable_entries"]


async def mended_entries_are_retired(running: World, nodes: list[Node]) -> None:
    """Write an odd entry again, then remove or replace all."""
    for value in [odd_values()["duplicate-address"]] * 3:
        running.store.put("servers", "duplicate-address", value)
        await asyncio.sleep(0.1)
    known = len(usable(nodes[0]))
    running.store.put("servers", "duplicate-address", {**ENTRY})
    for node in nodes:
        await until(lambda node=node: len(usable(node)) == known + 1)  # type: ignore[misc]
        assert "duplicate-address" not in node.dump().unreadable_entries
    for key in [key for table, key in running.store.rows if table == "servers"]:
        if key not in usable(nodes[0]):
            running.store.remove("servers", key)
    await until(lambda: all(node.dump().unreadable_entries.keys() <= NAMELESS for node in nodes))


NAMELESS = {"row-bytes", "row-a"}
"""Keys within the text of odd rows; the store knows these rows by others."""
