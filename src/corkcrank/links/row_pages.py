"""Collects the rows of pages of the store, of which some may be unreadable."""

from dataclasses import dataclass, field

from corkcrank.links.platform_ports import StoreRow, StoreRows, Unreadable


@dataclass(frozen=True, slots=True)
class RowPage:
    """The rows of one answer; ``revision`` is that of the store, ``last_text`` the last row's text.

    A row without a readable key is an ``Unreadable``. ``is_separable`` says whether it is certain
    where each row ends; without, there are none.
    """

    revision: int
    rows: tuple[StoreRow | Unreadable, ...] = ()
    store_time: float = 0.0
    more: bool = False
    last_text: bytes = b""
    is_separable: bool = True


@dataclass(slots=True)
class CollectedRows:
    """The rows of one or more pages."""

    rows: list[StoreRow] = field(default_factory=list)
    nameless: list[Unreadable] = field(default_factory=list)

    def add_page(self, page: RowPage) -> str | None:
        """Add the rows of a page; return the key after which the next page begins.

        It is the last one of a readable row, as keys of others may be wrong. If more follow, rows
        after it are not added, as they are read again.
        """
        rows, last = list(page.rows), None
        while page.more and rows and (last := _readable_key(rows[-1])) is None:
            rows.pop()
        self.rows += [row for row in rows if isinstance(row, StoreRow)]
        self.nameless += [row for row in rows if isinstance(row, Unreadable)]
        return last

    def to_store_rows(self, revision: int, page: RowPage) -> StoreRows:
        """Return all rows as of a revision, with the store time of a page."""
        return StoreRows(tuple(self.rows), revision, page.store_time, tuple(self.nameless))


def _readable_key(row: StoreRow | Unreadable) -> str | None:
    return None if isinstance(row, Unreadable) or isinstance(row.value, Unreadable) else row.key
