"""Whole tables are read also if a page holds no row that can be read, and more rows follow."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest
from hypothesis import given
from hypothesis import strategies as st
from node_world import configuration, peer_of, route, until, world
from odd_entries import ended_loops
from platform_standins import StandinWorker
from standin_store import MAX_PAGE_ROWS, REVISION, RowText, StandinStore

from corkcrank.links.key_ranges import MAX_HALVINGS, MAX_KEY_CHARACTERS, KeyCursor
from corkcrank.links.platform_ports import StoreFailure, StoreRows, StoreTable
from corkcrank.load.loopback import loopback_address
from corkcrank.platform.store import PlatformStore

ROUTES = [route("safe", "safe", "plain")]
LARGE = b"x" * 700_000
"""Two rows with such a text do not fit into one page."""


def nameless(text: bytes = b"") -> RowText:
    """Return a row whose key cannot be read."""
    return RowText(b'{"table":"servers","key":"\\escape",' + text + b'"ver":' + REVISION + b"}")


@asynccontextmanager
async def client_of(store: StandinStore) -> AsyncIterator[PlatformStore]:
    await store.server.start()
    async with aiohttp.ClientSession() as session:
        yield PlatformStore(session, store.server.address, 5.0)
    await store.server.stop()


@pytest.mark.parametrize("prefix", ["", "i-", "worker-17-", "\u00e4", "\U0010ffff"])
@pytest.mark.parametrize("whole_page", [True, False])
async def test_rows_behind_a_page_without_a_readable_key_are_read(
    prefix: str, whole_page: bool
) -> None:
    store = StandinStore()
    for key in ("a", "z"):
        store.put("servers", prefix + key, b"value")
    if whole_page:
        for number in range(MAX_PAGE_ROWS + 1):
            store.put("servers", f"{prefix}f{number:04d}", nameless())
    else:
        for key in "cdx":
            store.put("servers", prefix + key, nameless(b'"x":"' + LARGE + b'",'))
    async with client_of(store) as client:
        found = await client.read(StoreTable.WORKERS)
    assert isinstance(found, StoreRows)
    assert [row.key for row in found.rows] == [prefix + "a", prefix + "z"]
    assert len(found.unreadable_keys) == (MAX_PAGE_ROWS + 1 if whole_page else 3)


async def test_a_key_within_an_unreadable_row_hides_no_rows_before_it() -> None:
    store = StandinStore()
    text = b'"x":[{"key":"y"}],"z":"' + LARGE + b'",'
    store.put("servers", "b", nameless(text))
    for key in "acdz":
        store.put("servers", key, LARGE if key in "ac" else b"value")
    async with client_of(store) as client:
        found = await client.read(StoreTable.WORKERS)
    assert isinstance(found, StoreRows)
    assert [row.key for row in found.rows] == ["a", "c", "d", "z"]


async def test_very_many_pages_without_a_readable_row_are_a_failure() -> None:
    store = StandinStore()
    for number in range(2 * MAX_HALVINGS):
        store.put("servers", f"{number:04d}", nameless(b'"x":"' + LARGE + b'",'))
    async with client_of(store) as client:
        found = await client.read(StoreTable.WORKERS)
    assert isinstance(found, StoreFailure)
    assert len(store.calls) <= 2 * (MAX_HALVINGS + 1)


async def test_a_gateway_starts_although_a_page_has_no_readable_key() -> None:
    worker = StandinWorker()
    async with world(configuration(1, ROUTES), {"one": (worker, "plain")}) as running:
        for key in ("!", "#"):
            running.store.put("servers", key, nameless(b'"x":"' + LARGE + b'",'))
        running.store.forget_history()
        async with peer_of(running, loopback_address(2)) as second:
            second.mirror.apply_worker_list = lambda *parts: None  # type: ignore[method-assign]
            await until(lambda: second.ready)
            await asyncio.sleep(0.3)
            assert [item.name for item in second.mirror.workers.records()] == [worker.worker_id]
            assert second.mirror.workers_cursor is not None
            assert (await running.call("/safe/x", number=1)).status == 200
            assert ended_loops(second) == []


CHARACTERS = st.characters(exclude_categories=["Cs"])
KEYS = st.text(st.one_of(st.sampled_from("-0ab\x00\x7f\x80\ud7ff\ue000\U0010ffff"), CHARACTERS))


@given(KEYS, st.none() | KEYS)
def test_halves_of_a_range_leave_out_no_key(first: str, end: str | None) -> None:
    if end is not None and end <= first:
        return
    cursor = KeyCursor(first, end)
    ranges = [(cursor.first, cursor.end)]
    while cursor.advance(None, b""):
        assert cursor.end is not None
        assert first < cursor.end <= (end or cursor.end)
        assert len(cursor.end) <= MAX_KEY_CHARACTERS
        ranges.append((cursor.first, cursor.end))
    for _, earlier_end in reversed(ranges[:-1]):
        before = cursor.end
        assert cursor.skip_range()
        assert (cursor.first, cursor.end) == (before, earlier_end)
    assert not cursor.skip_range()
