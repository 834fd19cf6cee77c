"""The platform's store: rows over HTTP and JSON."""

import asyncio

import aiohttp
import msgspec

from corkcrank.links.platform_ports import (
    StoreFailure,
    StoreRow,
    StoreRows,
    StoreTable,
    StoreTrouble,
)
from corkcrank.links.silence import (
    ConnectionKind,
    SilenceListener,
    SilentConnection,
    drop_idle,
    ignore_silence,
)
from corkcrank.platform import names
from corkcrank.platform.call_headers import MILLISECONDS

PAGE_ROWS = 500
"""Most rows that one read returns."""

_TABLES = {
    StoreTable.CONFIGURATION: names.OPERATOR_TABLE,
    StoreTable.WORKERS: names.WORKER_TABLE,
    StoreTable.MEMBERS: names.MEMBER_TABLE,
}


class _Row(msgspec.Struct):
    key: str
    ver: int = 0
    value: bytes | None = None
    gone: bool = False


class _Page(msgspec.Struct):
    ver: int
    rows: list[_Row]
    now_ms: float = 0.0
    more: bool = False


class _Put(msgspec.Struct):
    table: str
    part: str
    key: str
    value: bytes


class _Transaction(msgspec.Struct):
    expected_revision: list[_Put]
    put: list[_Put]
    remove: list[_Put]


class _Written(msgspec.Struct):
    ver: int


class PlatformStore:
    """A client of the store; each call answers within its time-out, and is not repeated.

    After a time-out no idle connection is used again: those that went silent at the same
    moment would each cost the next call a time-out.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str, timeout: float) -> None:
        self._session = session
        self._base = f"http://{address}"
        self._address = address
        self._timeout = timeout
        self.on_silence: SilenceListener = ignore_silence

    async def read(self, table: StoreTable) -> StoreRows | StoreFailure:
        """Return all rows of a table, page after page.

        Each page is as of a moment of its own. The revision is that of the first one: what
        changed in it while the others were read comes with the changes since.
        """
        rows: list[StoreRow] = []
        revision: int | None = None
        query = {"table": _TABLES[table], "part": "", "limit": str(PAGE_ROWS)}
        while True:
            body = await self._call("GET", names.ROWS_GET_PATH, query, None, self._timeout)
            page = _decode_page(body)
            if isinstance(page, StoreFailure):
                return page
            revision = page.ver if revision is None else revision
            rows.extend(_row(row) for row in page.rows)
            if not page.more:
                return StoreRows(tuple(rows), revision, page.now_ms / MILLISECONDS)
            if not page.rows:
                return StoreFailure(StoreTrouble.BROKEN, "more rows announced, none sent")
            query["source"] = page.rows[-1].key + "\x00"

    async def watch(
        self, table: StoreTable, since: int, wait_seconds: float
    ) -> StoreRows | StoreFailure:
        """Return what changed after revision ``since``, or nothing after the wait.

        The deadline is the wait and the time-out of a call that does not wait.
        """
        query = {
            "table": _TABLES[table],
            "since_revision": str(since),
            "wait_ms": str(int(wait_seconds * MILLISECONDS)),
        }
        timeout = wait_seconds + self._timeout
        body = await self._call("GET", names.ROWS_FEED_PATH, query, None, timeout)
        page = _decode_page(body)
        if isinstance(page, StoreFailure):
            return page
        return StoreRows(
            tuple(_row(row) for row in page.rows), page.ver, page.now_ms / MILLISECONDS
        )

    async def put(self, table: StoreTable, key: str, value: bytes) -> int | StoreFailure:
        """Write one row without condition; return its revision."""
        entry = _Put(_TABLES[table], "", key, value)
        data = msgspec.json.encode(_Transaction([], [entry], []))
        body = await self._call("POST", names.ROWS_TX_PATH, None, data, self._timeout)
        if isinstance(body, StoreFailure):
            return body
        try:
            return msgspec.json.decode(body, type=_Written).ver
        except msgspec.DecodeError as error:
            return StoreFailure(StoreTrouble.BROKEN, str(error))

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
                content = await response.read()
                return _judge(response.status, content)
        except aiohttp.ConnectionTimeoutError:
            return StoreFailure(StoreTrouble.SILENT, "connect time-out")
        except TimeoutError:
            self._drop(timeout)
            return StoreFailure(StoreTrouble.SILENT)
        except (aiohttp.ClientError, OSError, asyncio.IncompleteReadError) as error:
            return StoreFailure(StoreTrouble.BROKEN, type(error).__name__)

    def _drop(self, waited: float) -> None:
        idle = drop_idle(self._session, self._address)
        self.on_silence(SilentConnection(ConnectionKind.STORE, self._address, waited, idle))


def _judge(status: int, content: bytes) -> bytes | StoreFailure:
    if status == 200:
        return content
    if status == 410:
        return StoreFailure(StoreTrouble.HISTORY_GONE)
    return StoreFailure(StoreTrouble.REFUSED, f"status {status}")


def _decode_page(body: bytes | StoreFailure) -> _Page | StoreFailure:
    if isinstance(body, StoreFailure):
        return body
    try:
        return msgspec.json.decode(body, type=_Page)
    except msgspec.DecodeError as error:
        return StoreFailure(StoreTrouble.BROKEN, str(error))


def _row(row: _Row) -> StoreRow:
    return StoreRow(row.key, None if row.gone else row.value, row.ver)
