"""Entries without a start time, among entries that have one and among entries that do not."""

import msgspec
import pytest
from platform_standins import worker_entry

from corkcrank.links.platform_ports import StoreRow, StoreRows
from corkcrank.machines.entry_reader import EntryReader
from corkcrank.platform.documents import PlatformDocumentCodec


def row(name: str, revision: int, **fields: object) -> StoreRow:
    return StoreRow(name, msgspec.json.encode(worker_entry("s", "10.0.0.1:80", **fields)), revision)


def named(reader: EntryReader, since: int, *rows: StoreRow) -> list[str]:
    changes = reader.changes(StoreRows(rows, rows[-1].revision), since)
    return [change.name for change in changes if change.record is not None]


@pytest.mark.parametrize("first", [True, False])
def test_an_entry_without_a_start_names_no_worker_where_others_have_one(first: bool) -> None:
    workers = [row("b", 2, born=17), row("c", 3, born=18)]
    rows = [row("a", 1), *workers] if first else [*workers, row("a", 4)]
    reader = EntryReader(PlatformDocumentCodec())
    assert named(reader, 0, *rows) == ["b", "c"]
    assert list(reader.unreadable) == ["a"]


def test_entries_without_starts_are_valid_where_only_one_entry_has_a_start() -> None:
    reader = EntryReader(PlatformDocumentCodec())
    rows = [row("a", 1), row("b", 2), row("x", 3, born=17), row("c", 4)]
    assert named(reader, 0, *rows) == ["a", "b", "x", "c"]
    assert named(reader, 4, row("a", 5, state="draining")) == ["a"]


def test_removed_entries_do_not_count() -> None:
    reader = EntryReader(PlatformDocumentCodec())
    assert named(reader, 0, row("a", 1, born=17), row("x", 2, born=18)) == ["a", "x"]
    assert named(reader, 2, row("b", 3)) == []
    reader.retain_only({"b"})
    assert named(reader, 3, row("c", 4)) == ["c"]


def test_an_odd_entry_is_known_although_peers_reported_a_list_as_new_first() -> None:
    started = [row(name, number, born=17) for number, name in enumerate("bcde", 2)]
    reader = EntryReader(PlatformDocumentCodec())
    assert reader.changes(StoreRows((row("a", 1), *started), 5), 5) == []
    assert list(reader.unreadable) == ["a"]
    assert named(reader, 5, row("f", 6)) == []


def test_an_answer_that_is_older_than_the_reports_of_peers_tells_nothing_of_their_rows() -> None:
    reader = EntryReader(PlatformDocumentCodec())
    rows = (row("a", 1), row("b", 2, born=17), row("c", 3, born=18))
    assert reader.changes(StoreRows(rows, 3), 9) == []
    assert not reader.unreadable
