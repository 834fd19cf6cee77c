"""Decodes pages of rows of the store; an unreadable row does not affect the others.

Any writer of a table may leave a row that no JSON decoder accepts, for example one that nests too
deeply. Such a row makes the whole page undecodable, so its rows are then separated by their
brackets alone, and decoded one by one. Objects within a row whose brackets are not in pairs could
be taken for rows, so such a page must be read again in smaller ones.
"""

from collections.abc import Sequence

import msgspec

from corkcrank.contracts.bounded_values import Revision
from corkcrank.links.json_arrays import cut_array, find_outer_text, split_elements
from corkcrank.links.platform_ports import StoreRow, Unreadable
from corkcrank.links.row_pages import RowPage
from corkcrank.links.strict_json import decode_strictly
from corkcrank.links.time_slices import Steps
from corkcrank.platform.call_headers import MILLISECONDS_PER_SECOND


class _Row(msgspec.Struct):
    key: str
    ver: Revision = 0
    value: bytes | None = None
    gone: bool = False


class _RowKeyOnly(msgspec.Struct):
    """The key of a row whose other fields are unreadable."""

    key: str


class _Page(msgspec.Struct):
    """Rows of one answer, not decoded yet; ``ver`` is the revision of the store."""

    ver: Revision
    rows: list[msgspec.Raw]
    now_ms: float = 0.0
    more: bool = False


def decode_page(body: bytes, max_rows: int) -> Steps[RowPage | Unreadable]:
    """Return a page of up to ``max_rows`` rows, or why it is unreadable even without its rows."""
    page = decode_strictly(body, _Page)
    rows: Sequence[bytes | msgspec.Raw] | None = None
    if not isinstance(page, Unreadable) and len(page.rows) <= max_rows:
        rows = page.rows
    else:
        frame, text = cut_array("rows", body)
        page = decode_strictly(frame, _Page)
        if isinstance(page, Unreadable):
            return page
        rows = yield from _separate_rows(text, max_rows)
    if rows is None or len(rows) > max_rows:
        return RowPage(page.ver, is_separable=False)
    decoded: list[StoreRow | Unreadable] = []
    for row in rows:
        decoded.append(_decode_row(row, page.ver))
        yield
    at, last_text = page.now_ms / MILLISECONDS_PER_SECOND, bytes(rows[-1]) if rows else b""
    return RowPage(page.ver, tuple(decoded), at, page.more, last_text)


def _separate_rows(text: bytes, max_rows: int) -> Steps[Sequence[bytes] | None]:
    """Return the texts of rows, ``None`` if it is not certain where they end.

    The text of a page of one row is that of the row, whatever it holds.
    """
    if max_rows > 1:
        return (yield from split_elements(text))
    return [text] if text else []


def _decode_row(raw: bytes | msgspec.Raw, newest: int) -> StoreRow | Unreadable:
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


def _readable_key(row: StoreRow | Unreadable) -> str | None:
    return None if isinstance(row, Unreadable) or isinstance(row.value, Unreadable) else row.key


def _find_key(raw: bytes | msgspec.Raw) -> str | None:
    """Return the key of an unreadable row, ``None`` if it cannot be read either."""
    named = decode_strictly(raw, _RowKeyOnly)
    return find_outer_text("key", raw) if isinstance(named, Unreadable) else named.key
