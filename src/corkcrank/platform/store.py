"""Client of the platform's store, which serves rows as JSON over HTTP."""

import aiohttp
import msgspec

from corkcrank.contracts.bounded_values import Revision
from corkcrank.links.platform_ports import (
    StoreFailure,
    StoreFailureReason,
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
from corkcrank.links.strict_json import decode_strictly
from corkcrank.platform import names
from corkcrank.platform.call_headers import MILLISECONDS_PER_SECOND
from corkcrank.platform.store_pages import Page, PageRows, decode_page

MAX_PAGE_ROWS = 500
"""Maximum number of rows that one request reads."""

MAX_UNREADABLE_PAGES = 20
"""Maximum number of pages without a readable row in one read."""

_TABLES = {
    StoreTable.CONFIGURATION: names.OPERATOR_TABLE,
    StoreTable.WORKERS: names.WORKER_TABLE,
    StoreTable.MEMBERS: names.MEMBER_TABLE,
    StoreTable.QUARANTINE: names.QUARANTINE_TABLE,
    StoreTable.SOFTWARE: names.SOFTWARE_TABLE,
    StoreTable.ORIGINS: names.ORIGIN_TABLE,
    StoreTable.PART_SUCCESSES: names.PART_SUCCESS_TABLE,
}


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
    ver: Revision


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
        found = PageRows()
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
            source = query.get("source", "")
            last = found.add_page(page, source)
            if not page.more:
                return found.to_store_rows(revision, page)
            if last is None or last < source or found.unreadable_pages > MAX_UNREADABLE_PAGES:
                return StoreFailure(StoreFailureReason.BROKEN, "no readable row to continue from")
            query["source"] = last + "\x00"

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
        found = PageRows()
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
            oversized = isinstance(error, OversizedMessageError)
            return StoreFailure(StoreFailureReason.BROKEN, type(error).__name__, oversized)

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


def _decode_page(body: bytes | StoreFailure) -> Page | StoreFailure:
    if isinstance(body, StoreFailure):
        return body
    page = decode_page(body)
    if isinstance(page, Unreadable):
        return StoreFailure(StoreFailureReason.BROKEN, page.reason, undecodable=True)
    return page
