"""Client of the platform's store, which serves rows as JSON over HTTP."""

from dataclasses import dataclass, field

import aiohttp
import msgspec

from corkcrank.links.platform_ports import (
    StoreFailure,
    StoreFailureReason,
    StoreRow,
    StoreRows,
    StoreTable,
    Unreadable,
)
from corkcrank.links.received_bytes import OversizedMessageError, Purpose, ReceivedBytes
from corkcrank.links.silence import (
    ConnectionKind,
    SilenceListener,
    SilentConnection,
    drop_all_idle,
    drop_idle,
    ignore_silence,
)
from corkcrank.platform import names
from corkcrank.platform.call_headers import MILLISECONDS_PER_SECOND
from corkcrank.platform.strict_json import decode_strictly

MAX_PAGE_ROWS = 500
"""Maximum number of rows that one request reads."""

_TABLES = {
    StoreTable.CONFIGURATION: names.OPERATOR_TABLE,
    StoreTable.WORKERS: names.WORKER_TABLE,
    StoreTable.MEMBERS: names.MEMBER_TABLE,
    StoreTable.QUARANTINE: names.QUARANTINE_TABLE,
    StoreTable.SOFTWARE: names.SOFTWARE_TABLE,
    StoreTable.ORIGINS: names.ORIGIN_TABLE,
    StoreTable.PART_SUCCESSES: names.PART_SUCCESS_TABLE,
}


class _Row(msgspec.Struct):
    key: str
    ver: int = 0
    value: bytes | None = None
    gone: bool = False


class _RowKeyOnly(msgspec.Struct):
    """The key of a row whose other fields are unreadable."""

    key: str


class _Page(msgspec.Struct):
    ver: int
    rows: list[msgspec.Raw]
    now_ms: float = 0.0
    more: bool = False


@dataclass(slots=True)
class _Rows:
    """The rows of one or more pages; an unreadable row does not affect the others."""

    rows: list[StoreRow] = field(default_factory=list)
    nameless: list[Unreadable] = field(default_factory=list)

    def add_page(self, page: _Page) -> None:
        """Decode and add the rows of a page."""
        for raw in page.rows:
            row = _decode_row(raw, page.ver)
            if isinstance(row, StoreRow):
                self.rows.append(row)
            else:
                self.nameless.append(row)

    def to_store_rows(self, revision: int, page: _Page) -> StoreRows:
        """Return all rows as of a revision, with the store time of a page."""
        at = page.now_ms / MILLISECONDS_PER_SECOND
        return StoreRows(tuple(self.rows), revision, at, tuple(self.nameless))


class _Put(msgspec.Struct):
    table: str
    part: str
    key: str
    value: bytes


class _RowKey(msgspec.Struct):
    table: str
    part: str
    key: str


class _Transaction(msgspec.Struct):
    expected_revision: list[_RowKey]
    put: list[_Put]
    remove: list[_RowKey]


class _TransactionAnswer(msgspec.Struct):
    ver: int


class PlatformStore:
    """A client of the store; each call returns within its timeout and is not retried.

    After a timeout no idle connection is reused: others that stopped responding at the same
    time would each delay a later call by a timeout.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str, timeout: float) -> None:
        self._session = session
        self._base = f"http://{address}"
        self._address = address
        self._timeout = timeout
        self.on_silence: SilenceListener = ignore_silence
        self.received = ReceivedBytes()

    async def read(self, table: StoreTable, key: str = "") -> StoreRows | StoreFailure:
        """Return all rows of a table, or the one with a key, read page by page.

        Pages are read at different revisions. The result has the revision of the first one, so
        that changes made while the others were read appear among the changes since then.
        """
        found = _Rows()
        revision: int | None = None
        query = {"table": _TABLES[table], "part": "", "limit": str(MAX_PAGE_ROWS)}
        if key:
            query |= {"source": key, "target_version": key + "\x00"}
        while True:
            body = await self._call("GET", names.ROWS_GET_PATH, query, None, self._timeout)
            page = _decode_page(body)
            if isinstance(page, StoreFailure):
                return page
            revision = page.ver if revision is None else revision
            known = len(found.rows)
            found.add_page(page)
            if not page.more:
                return found.to_store_rows(revision, page)
            if len(found.rows) == known:
                return StoreFailure(
                    StoreFailureReason.BROKEN,
                    "incomplete page without a readable row to continue from",
                )
            query["source"] = found.rows[-1].key + "\x00"

    async def watch(
        self, table: StoreTable, since: int, wait_seconds: float
    ) -> StoreRows | StoreFailure:
        """Return the rows changed after revision ``since``; none if the wait passes first.

        The timeout is the wait plus the usual timeout of a call.
        """
        query = {
            "table": _TABLES[table],
            "since_revision": str(since),
            "wait_ms": str(int(wait_seconds * MILLISECONDS_PER_SECOND)),
        }
        timeout = wait_seconds + self._timeout
        body = await self._call("GET", names.ROWS_FEED_PATH, query, None, timeout)
        if isinstance(page := _decode_page(body), StoreFailure):
            return page
        found = _Rows()
        found.add_page(page)
        return found.to_store_rows(page.ver, page)

    async def put(self, table: StoreTable, key: str, value: bytes) -> int | StoreFailure:
        """Write one row unconditionally; return its revision."""
        return await self._transact(put=[_Put(_TABLES[table], "", key, value)])

    async def remove(self, table: StoreTable, key: str) -> int | StoreFailure:
        """Remove one row if it exists; return the revision."""
        return await self._transact(remove=[_RowKey(_TABLES[table], "", key)])

    async def _transact(
        self, put: list[_Put] | None = None, remove: list[_RowKey] | None = None
    ) -> int | StoreFailure:
        data = msgspec.json.encode(_Transaction([], put or [], remove or []))
        body = await self._call("POST", names.ROWS_TX_PATH, None, data, self._timeout)
        if isinstance(body, StoreFailure):
            return body
        written = decode_strictly(body, _TransactionAnswer)
        if isinstance(written, Unreadable):
            return StoreFailure(StoreFailureReason.BROKEN, written.reason)
        return written.ver

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None,
        data: bytes | None,
        timeout: float,
    ) -> bytes | StoreFailure:
        try:
            async with self._session.request(
                method,
                self._base + path,
                params=query,
                data=data,
                headers={"Content-Type": "application/json"} if data else None,
                timeout=aiohttp.ClientTimeout(total=timeout, connect=self._timeout),
            ) as response:
                content = await self.received.read(response, Purpose.STORE, self._address)
                return _check_status(response.status, content)
        except aiohttp.ConnectionTimeoutError:
            return StoreFailure(StoreFailureReason.SILENT, "connect time-out")
        except TimeoutError:
            self._drop_idle(timeout)
            return StoreFailure(StoreFailureReason.SILENT)
        except (aiohttp.ClientError, OSError, EOFError, OversizedMessageError) as error:
            return StoreFailure(StoreFailureReason.BROKEN, type(error).__name__)

    def drop_all_idle(self) -> int:
        """Discard all idle connections; return their number."""
        return drop_all_idle(self._session)

    def _drop_idle(self, waited: float) -> None:
        idle = drop_idle(self._session, self._address)
        self.on_silence(SilentConnection(ConnectionKind.STORE, self._address, waited, idle))


def _check_status(status: int, content: bytes) -> bytes | StoreFailure:
    if status == 200:
        return content
    if status == 410:
        return StoreFailure(StoreFailureReason.HISTORY_GONE)
    return StoreFailure(StoreFailureReason.REFUSED, f"status {status}")


def _decode_page(body: bytes | StoreFailure) -> _Page | StoreFailure:
    if isinstance(body, StoreFailure):
        return body
    page = decode_strictly(body, _Page)
    if isinstance(page, Unreadable):
        return StoreFailure(StoreFailureReason.BROKEN, page.reason)
    return page


def _decode_row(raw: msgspec.Raw, newest: int) -> StoreRow | Unreadable:
    """Return a row, a row with a key and an unreadable value, or why even the key is unreadable.

    A row with an unreadable revision gets that of the answer, ``newest``: later changes of the
    row are newer.
    """
    row = decode_strictly(raw, _Row)
    if isinstance(row, Unreadable):
        named = decode_strictly(raw, _RowKeyOnly)
        return named if isinstance(named, Unreadable) else StoreRow(named.key, row, newest)
    if row.gone:
        return StoreRow(row.key, None, row.ver)
    if row.value is None or not row.ver:
        return StoreRow(row.key, Unreadable("row without value or revision"), row.ver or newest)
    return StoreRow(row.key, row.value, row.ver)
