"""Partial answers of the store, and answers in several pages, never count as a whole table.

Found in a review: a list of more than one page was followed from the revision of its last page.
A change to a row of an earlier page, made while the pages were read, was missed, so a removed
worker stayed in the list. A page without rows that announced more pages ended the list as
complete, and a page without the field of rows was read as an empty table.
"""

import asyncio
import base64
import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import pytest
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st
from local_store import LocalStore, read_rows, standin_of
from odd_entries import odd_rows
from platform_standins import Server
from standin_store import MAX_PAGE_BYTES, RowText, StandinStore

from corkcrank.links.key_ranges import MAX_PAGE_ROWS
from corkcrank.links.platform_ports import (
    StoreFailure,
    StoreFailureReason,
    StoreRow,
    StoreRows,
    StoreTable,
    Unreadable,
)
from corkcrank.links.row_pages import CollectedRows, RowPage
from corkcrank.links.time_slices import run_at_once
from corkcrank.platform.store import PlatformStore
from corkcrank.platform.store_pages import decode_page

TIMEOUT = 0.5

MAX_DECODE_SECONDS = 2.0
"""Far above what a page of 1 MB takes, far below what a search in quadratic time takes."""

MAX_CALLS = 16
"""For a page of one row without a readable key, whatever its text holds."""

VALUE = base64.b64encode(b"value").decode()


def row(key: str, revision: int) -> dict[str, Any]:
    return {"table": "servers", "part": "", "key": key, "value": VALUE, "ver": revision}


@asynccontextmanager
async def store_answering(*bodies: dict[str, Any]) -> AsyncIterator[PlatformStore]:
    """Yield a client of a store that answers its calls with these bodies in order."""
    remaining = list(bodies)

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        body = json.dumps(remaining.pop(0)).encode()
        return web.Response(body=body, content_type="application/json")

    server = Server(answer)
    await server.start()
    async with aiohttp.ClientSession() as session:
        yield PlatformStore(session, server.address, TIMEOUT)
    await server.stop()


async def test_a_list_of_several_pages_is_followed_from_the_revision_of_its_first() -> None:
    first = {"rows": [row("a", 3)], "more": True, "ver": 10, "now_ms": 1000}
    second = {"rows": [row("b", 12)], "more": False, "ver": 14, "now_ms": 2000}
    async with store_answering(first, second) as store:
        answer = await store.read(StoreTable.WORKERS)
    assert isinstance(answer, StoreRows)
    assert [item.key for item in answer.rows] == ["a", "b"]
    assert answer.revision == 10
    assert answer.store_time == 2.0


PARTS = {
    "more without rows": [
        {"rows": [row("a", 3)], "more": True, "ver": 10, "now_ms": 1000},
        {"rows": [], "more": True, "ver": 10, "now_ms": 1000},
    ],
    "no field of rows": [{"ver": 10, "now_ms": 1000, "more": False}],
}


@pytest.mark.parametrize("part", PARTS)
async def test_a_partial_list_is_a_failure(part: str) -> None:
    async with store_answering(*PARTS[part]) as store:
        answer = await store.read(StoreTable.WORKERS)
    assert isinstance(answer, StoreFailure)
    assert answer.failure_reason is StoreFailureReason.BROKEN


async def test_a_feed_answer_without_the_field_of_rows_is_a_failure() -> None:
    async with store_answering({"ver": 10, "now_ms": 1000}) as store:
        answer = await store.watch(StoreTable.WORKERS, 5, 0.1)
    assert isinstance(answer, StoreFailure)
    assert answer.failure_reason is StoreFailureReason.BROKEN


@pytest.mark.parametrize("name", odd_rows())
@pytest.mark.parametrize("place", ["!", "m", "~"])
def test_an_undecodable_row_does_not_lose_its_page(name: str, place: str) -> None:
    rows = {"a": b"value", place: odd_rows()[name], "z": b"value"}
    found = read_rows(rows)
    values = {item.key: item for item in found.rows}
    assert values["a"] == StoreRow("a", b"value", 2)
    assert values["z"] == StoreRow("z", b"value", 4)
    assert len(found.rows) + len(found.unreadable_keys) == 3
    assert all(0 < item.revision <= found.revision for item in found.rows)


NESTED = b",".join([json.dumps(row("i", 3)).encode()] * 3)
WITHIN = {
    "pairs": b'{"x":[' + NESTED + b'],"y":"\\x"}',
    "stray quote": b'{"x":[' + NESTED + b'],"y":"a"b"}',
    "stray bracket": b'{"x":[' + NESTED + b',"y":[1}',
    "closing brackets": b'{"x":1}]}' + NESTED + b"}",
    "open string": b'{"x":"' + NESTED + b"}",
    "elements": b'{"x":1},' + NESTED + b"," + NESTED,
}


@pytest.mark.parametrize("kind", WITHIN)
@pytest.mark.parametrize("others", [0, 1, 600])
def test_objects_within_an_undecodable_row_are_no_rows(kind: str, others: int) -> None:
    """An object within the row has the shape of a row of the table."""
    sound = {f"{number:04d}": b"value" for number in range(others)}
    if kind == "elements":
        sound |= {f"z{number:04d}": b"value" for number in range(MAX_PAGE_ROWS)}
    found = read_rows({**sound, "k": RowText(WITHIN[kind])})
    assert [item.key for item in found.rows] == sorted(sound)
    assert len(found.unreadable_keys) == 1


async def test_changes_beside_a_row_that_cannot_be_separated_ask_for_the_whole_table() -> None:
    standin = standin_of({"a": b"value", "k": RowText(WITHIN["stray quote"])})
    answer = await LocalStore(standin).watch(StoreTable.WORKERS, 1, 0.1)
    assert isinstance(answer, StoreFailure)
    assert answer.needs_whole_read
    assert answer.failure_reason is StoreFailureReason.HISTORY_GONE


@pytest.mark.parametrize("other", [b"null", b"[[],{}]", b"7", b'"x"'])
def test_rows_beside_elements_that_are_no_objects_are_read(other: bytes) -> None:
    rows = {"0": odd_rows()["row-quote"], "a": b"value", "m": RowText(other), "z": b"value"}
    assert [item.key for item in read_rows(rows).rows] == ["row-quote", "a", "z"]


NAMED = ["row-nested-last", "row-escape", "row-control", "row-quote", "row-bracket"]


@pytest.mark.parametrize("name", NAMED)
def test_an_undecodable_row_keeps_its_key(name: str) -> None:
    found = read_rows({name: odd_rows()[name]})
    assert [item.key for item in found.rows] == [name]
    assert isinstance(found.rows[0].value, Unreadable)


ANY_BYTES = st.one_of(
    st.binary(max_size=30),
    st.text(alphabet='{}[]",:\\ae1 ', max_size=30).map(str.encode),
)


@given(st.lists(ANY_BYTES, max_size=4), st.lists(ANY_BYTES, max_size=4), st.integers(1, 9))
def test_any_bytes_in_a_page_never_raise(
    before: list[bytes], after: list[bytes], max_rows: int
) -> None:
    sound = json.dumps(row("a", 3)).encode()
    body = b'{"rows":[' + b",".join([*before, sound, *after]) + b'],"ver":10}'
    page = run_at_once(decode_page(body, max_rows))
    if isinstance(page, RowPage):
        CollectedRows().add_page(page)


@given(st.lists(st.tuples(ANY_BYTES, st.booleans()), min_size=1, max_size=4))
def test_sound_rows_are_read_beside_objects_of_any_bytes(odd: list[tuple[bytes, bool]]) -> None:
    """Brackets and quotes without a counterpart resemble the ends of rows."""
    sound = [f"sound-{number}" for number in range(len(odd) + 1)]
    rows: dict[str, bytes | RowText] = {key: b"value" for key in sound}
    for number, (text, named) in enumerate(odd):
        key = b'"key":"odd",' if named else b""
        rows[f"sound-{number}-odd"] = RowText(b"{" + key + b'"x":' + text + b"}")
    found = read_rows(rows)
    assert {item.key for item in found.rows if item.value == b"value"} >= set(sound)


def test_a_page_of_brackets_is_decoded_in_linear_time() -> None:
    rows = b'{"x":' * 100_000 + b"[" * 400_000
    started = time.perf_counter()
    run_at_once(decode_page(b'{"rows":[' + rows + b'],"ver":10}', MAX_PAGE_ROWS))
    assert time.perf_counter() - started < MAX_DECODE_SECONDS


async def test_a_page_of_one_undecodable_row_does_not_end_the_list() -> None:
    store = StandinStore()
    await store.server.start()
    for key in ("a", "z"):
        store.put("servers", key, b"value")
    name = "row-nested"
    text = odd_rows()[name].text
    store.put("servers", name, RowText(text[:-1] + b',"y":"' + b"x" * MAX_PAGE_BYTES + b'"}'))
    async with aiohttp.ClientSession() as session:
        found = await PlatformStore(session, store.server.address, 2.0).read(StoreTable.WORKERS)
    await store.server.stop()
    assert isinstance(found, StoreRows)
    assert [item.key for item in found.rows] == ["a", "z"]
    assert len(found.unreadable_keys) == 1
    assert len(store.calls) == 4


async def test_keys_within_an_undecodable_row_are_no_rows_and_cost_few_calls() -> None:
    names = b"".join(b'{"key":"b%05d"},' % number for number in range(40_000))
    store = StandinStore()
    await store.server.start()
    store.put("servers", "c", RowText(b'{"x":[' + names + b'0],"y":"\\x","key":"c"}'))
    store.put("servers", "z", b"value" * MAX_PAGE_BYTES)
    async with aiohttp.ClientSession() as session:
        client = PlatformStore(session, store.server.address, 5.0)
        found = await client.read(StoreTable.WORKERS)
    await store.server.stop()
    assert isinstance(found, StoreRows)
    assert [item.key for item in found.rows] == ["z"]
    assert len(store.calls) <= MAX_CALLS


CUTS = [b"", b'{"rows":[],"ver":10', b'{"rows":[],"ver":10,"now_ms":1}']


@pytest.mark.parametrize("body", CUTS)
@pytest.mark.parametrize("reset", [False, True])
async def test_a_truncated_body_of_a_long_poll_is_a_failure(body: bytes, reset: bool) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n" + body)
        await writer.drain()
        if reset:
            writer.transport.abort()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with aiohttp.ClientSession() as session:
        store = PlatformStore(session, f"127.0.0.1:{port}", TIMEOUT)
        answer = await store.watch(StoreTable.WORKERS, 5, 0.1)
    server.close()
    assert isinstance(answer, StoreFailure)
