"""What speaks for a prompt part outlasts the memory of all gateways, as what speaks against it.

Guards against a hold of what most prompts share, after all gateways had stopped: none knew that
runs with it had progressed, and three crashes for other reasons were enough.
"""

import asyncio

import msgspec
import pytest
from crashing_parts_world import (
    BAD_PART,
    FIRST_PART,
    OTHER_PARTS,
    CrashingPartsWorld,
    crashing_parts_world,
    fingerprint,
)
from node_world import peer_of, until
from test_odd_rows import with_surplus
from test_owners import die

from corkcrank.contracts import clock
from corkcrank.load.loopback import loopback_address
from corkcrank.node.membership.part_success_rows import (
    MAX_ROW_PARTS,
    ROW_FORMAT,
    WRITE_INTERVAL_SECONDS,
    PartSuccessRow,
)
from corkcrank.node.process.node import Node
from corkcrank.scheduling.crash_records import MAX_SETTLE_SECONDS
from corkcrank.scheduling.part_success_saves import MIN_USUAL_SUCCESSES
from corkcrank.scheduling.part_successes import SUCCESS_MEMORY_SECONDS

TABLE = "part-successes"
USUAL = (FIRST_PART, OTHER_PARTS[0])


async def serve_usual_part(played: CrashingPartsWorld) -> str:
    """Serve a request at the first gateway until its row names its parts; return its name."""
    name = played.nodes[0].fleet.local_name
    assert (await played.ask("/resumed/x", 0, USUAL)).served
    await until(lambda: {fingerprint(part) for part in USUAL} <= written(played, name).keys())
    return name


def written(played: CrashingPartsWorld, name: str) -> dict[str, int]:
    """Return the successes in the row of a gateway."""
    value = row_value(played, name)
    return msgspec.msgpack.decode(value, type=PartSuccessRow).by_part() if value else {}


def row_values(played: CrashingPartsWorld, name: str) -> list[bytes | None]:
    """Return the values of all writes to a gateway's row."""
    return [item[2] for item in played.running.store.changes if item[:2] == (TABLE, name)]


def row_value(played: CrashingPartsWorld, name: str) -> bytes | None:
    rows = row_values(played, name)
    return rows[-1] if rows else None


async def restored(node: Node) -> None:
    await until(lambda: node.ready and node._quarantine_rows.part_successes.restored)


def crash_engines(node: Node, part: str, count: int) -> None:
    """Have engines crash under different requests with a part."""
    for number in range(count):
        node.crash_watch.quarantine.record_crash(
            f"{number:016x}", f"gone-{number}", clock.now(), parts=(fingerprint(part),)
        )


async def blamed_parts(node: Node) -> list[str]:
    await asyncio.sleep(MAX_SETTLE_SECONDS + 0.1)
    return node.crash_watch.quarantine.blamed_parts(clock.now())


async def test_usual_part_is_not_held_after_all_gateways_were_killed() -> None:
    async with crashing_parts_world(gateways=1) as played:
        await serve_usual_part(played)
        await die(played.nodes[0])
        async with peer_of(played.running, loopback_address(1)) as node:
            await restored(node)
            crash_engines(node, FIRST_PART, 3)
            assert await blamed_parts(node) == []


async def test_success_that_is_restored_after_the_crashes_frees_the_part() -> None:
    """The store answers only after engines have crashed, and no other gateway has read the row."""
    async with crashing_parts_world(gateways=1) as played:
        name = await serve_usual_part(played)
        await die(played.nodes[0])
        address, row = loopback_address(1), row_value(played, name)
        played.running.store.remove(TABLE, name)
        async with peer_of(played.running, loopback_address(2)) as first:
            await restored(first)
            played.running.store.put(TABLE, name, row)
            played.running.store.refused.add(address)
            async with peer_of(played.running, address) as node:
                await until(lambda: node.ready)
                crash_engines(node, FIRST_PART, 3)
                assert await blamed_parts(node) == [fingerprint(FIRST_PART)]
                played.running.store.refused.clear()
                await restored(node)
                await until(lambda: not node.crash_watch.quarantine.blamed_parts(clock.now()))


async def test_success_in_the_row_of_a_gateway_that_is_gone_frees_the_part() -> None:
    async with crashing_parts_world(gateways=1) as played:
        await serve_usual_part(played)
        await die(played.nodes[0])
        async with peer_of(played.running, loopback_address(2)) as node:
            await restored(node)
            crash_engines(node, FIRST_PART, 3)
            assert await blamed_parts(node) == []


async def test_part_that_turned_bad_is_found_after_all_gateways_were_killed() -> None:
    async with crashing_parts_world(gateways=1) as played:
        await serve_usual_part(played)
        await die(played.nodes[0])
        async with peer_of(played.running, loopback_address(1)) as node:
            await restored(node)
            crash_engines(node, FIRST_PART, 5)
            assert await blamed_parts(node) == [fingerprint(FIRST_PART)]


async def test_part_without_a_success_is_held_as_before() -> None:
    async with crashing_parts_world(gateways=1) as played:
        await serve_usual_part(played)
        await die(played.nodes[0])
        async with peer_of(played.running, loopback_address(1)) as node:
            await restored(node)
            crash_engines(node, BAD_PART, 3)
            assert await blamed_parts(node) == [fingerprint(BAD_PART)]


async def test_success_that_is_too_old_is_no_evidence() -> None:
    async with crashing_parts_world(gateways=1) as played:
        name = await serve_usual_part(played)
        await die(played.nodes[0])
        old = {part: at - int(SUCCESS_MEMORY_SECONDS) for part, at in written(played, name).items()}
        row = msgspec.msgpack.encode(PartSuccessRow.from_times(old))
        played.running.store.put(TABLE, name, row)
        async with peer_of(played.running, loopback_address(1)) as node:
            await restored(node)
            crash_engines(node, FIRST_PART, 3)
            assert await blamed_parts(node) == [fingerprint(FIRST_PART)]


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xc1",
        msgspec.msgpack.encode({"parts": 7}),
        msgspec.msgpack.encode(PartSuccessRow(ROW_FORMAT + 1, b"", ())),
        msgspec.msgpack.encode(PartSuccessRow(ROW_FORMAT, b"odd", (1,))),
        with_surplus((ROW_FORMAT, b"", ())),
    ],
)
async def test_unreadable_row_is_replaced(value: bytes) -> None:
    async with crashing_parts_world(gateways=1) as played:
        name = await serve_usual_part(played)
        await die(played.nodes[0])
        played.running.store.put(TABLE, name, value)
        async with peer_of(played.running, loopback_address(1)) as node:
            await restored(node)
            assert (await played.ask("/resumed/x", 1, USUAL)).served
            await until(lambda: row_value(played, name) != value)
            assert fingerprint(FIRST_PART) in written(played, name)


async def test_row_is_written_for_new_parts_only() -> None:
    async with crashing_parts_world(gateways=1) as played:
        name = await serve_usual_part(played)
        before = row_values(played, name)
        await asyncio.sleep(1.0)
        for _ in range(MIN_USUAL_SUCCESSES):
            assert (await played.ask("/resumed/x", 0, USUAL)).served
        await asyncio.sleep(WRITE_INTERVAL_SECONDS + 0.5)
        assert row_values(played, name) == before


async def test_row_is_not_written_for_each_part_of_a_single_run() -> None:
    async with crashing_parts_world(gateways=1) as played:
        name = await serve_usual_part(played)
        before = row_values(played, name)
        for part in OTHER_PARTS[1:]:
            assert (await played.ask("/resumed/x", 0, (FIRST_PART, part))).served
            await asyncio.sleep(WRITE_INTERVAL_SECONDS / 2.0)
        assert row_values(played, name) == before


async def test_new_part_of_several_runs_is_written_at_once() -> None:
    async with crashing_parts_world(gateways=1) as played:
        name = await serve_usual_part(played)
        for _ in range(MIN_USUAL_SUCCESSES):
            assert (await played.ask("/resumed/x", 0, (FIRST_PART, OTHER_PARTS[1]))).served
        await until(
            lambda: fingerprint(OTHER_PARTS[1]) in written(played, name),
            WRITE_INTERVAL_SECONDS + 1.0,
        )


async def test_row_keeps_the_latest_successes() -> None:
    async with crashing_parts_world(gateways=1) as played:
        name = played.nodes[0].fleet.local_name
        successes = played.nodes[0].crash_watch.quarantine.part_successes
        for number in range(MAX_ROW_PARTS + 5):
            successes.record(f"{number:016x}", clock.now())
        await until(lambda: len(written(played, name)) == MAX_ROW_PARTS)
        assert next(iter(written(played, name))) == f"{5:016x}"
