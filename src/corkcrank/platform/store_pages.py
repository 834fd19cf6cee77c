"""Decodes pages of rows of the store; an unreadable row does not affect the others.

Any writer of a table may leave a row that no JSON decoder accepts, for example one that nests too
deeply. Such a row makes the whole page undecodable, so its rows are then separated by their
brackets alone, and decoded one by one.
"""

import re
from dataclasses import dataclass, field

import msgspec

from corkcrank.contracts.bounded_values import Revision
from corkcrank.links.json_arrays import find_outer_text, find_texts, split_elements
from corkcrank.links.platform_ports import StoreRow, StoreRows, Unreadable
from corkcrank.links.strict_json import decode_strictly
from corkcrank.platform.call_headers import MILLISECONDS_PER_SECOND

_ROWS_START = re.compile(rb'"rows"\s*:\s*\[')


class _Row(msgspec.Struct):
    key: str
    ver: Revision = 0
    value: bytes | None = None
    gone: bool = False


class _RowKeyOnly(msgspec.Struct):
    """The key of a row whose other fields are unreadable."""

    key: str


class Page(msgspec.Struct):
    """Rows of one answer, not decoded yet; ``ver`` is the revision of the store."""

    ver: Revision
    rows: list[msgspec.Raw]
    now_ms: float = 0.0
    more: bool = False


@dataclass(slots=True)
class PageRows:
    """The rows of one or more pages."""

    rows: list[StoreRow] = field(default_factory=list)
    nameless: list[Unreadable] = field(default_factory=list)
    unreadable_pages: int = 0

    def add_page(self, page: Page, source: str = "") -> str | None:
        """Decode and add the rows of a page that begins at a key, ``source``.

        Return the key after which the next page begins: the last one of a readable row, as keys of
        others may be wrong. On a page of unreadable rows it is the lowest that may be the last's.
        """
        readable = None
        for raw in page.rows:
            row = _decode_row(raw, page.ver)
            if isinstance(row, Unreadable):
                self.nameless.append(row)
                continue
            self.rows.append(row)
            readable = readable if isinstance(row.value, Unreadable) else row.key
        if readable is not None or not page.rows:
            return readable
        self.unreadable_pages += 1
        return min((key for key in find_texts("key", page.rows[-1]) if key >= source), default=None)

    def to_store_rows(self, revision: int, page: Page) -> StoreRows:
        """Return all rows as of a revision, with the store time of a page."""
        at = page.now_ms / MILLISECONDS_PER_SECOND
        return StoreRows(tuple(self.rows), revision, at, tuple(self.nameless))


def decode_page(body: bytes) -> Page | Unreadable:
    """Return a page, or why it is unreadable even without its rows."""
    page = decode_strictly(body, Page)
    if not isinstance(page, Unreadable):
        return page
    start, end = _ROWS_START.search(body), body.rfind(b"]")
    if start is None or end < start.end():
        return page
    frame = decode_strictly(body[: start.end()] + body[end:], Page)
    if isinstance(frame, Unreadable):
        return page
    frame.rows = [msgspec.Raw(row) for row in split_elements(body[start.end() : end])]
    return frame


def _decode_row(raw: msgspec.Raw, newest: int) -> StoreRow | Unreadable:
    """Return a row, a row with a key and an unreadable value, or why even the key is unreadable.

    A row with an unreadable revision, or one newer than that of the answer, gets that of the
    answer, ``newest``: later changes of the row are newer.
    """
    row = decode_strictly(raw, _Row)
    if isinstance(row, Unreadable):
        key = _find_key(raw)
        return row if key is None else StoreRow(key, row, newest)
    if not 0 < row.ver <= newest:
        return StoreRow(
            row.key, Unreadable(f"revision {row.ver} at store revision {newest}"), newest
        )
    if row.gone:
        return StoreRow(row.key, None, row.ver)
    if row.value is None:
        return StoreRow(row.key, Unreadable("row without value"), row.ver)
    return StoreRow(row.key, row.value, row.ver)


def _find_key(raw: msgspec.Raw) -> str | None:
    """Return the key of an unreadable row, ``None`` if it cannot be read either."""
    named = decode_strictly(raw, _RowKeyOnly)
    return find_outer_text("key", raw) if isinstance(named, Unreadable) else named.key
