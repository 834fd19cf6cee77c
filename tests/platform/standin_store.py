"""Stand-in for the platform's store: rows with revisions, a feed, and failures to switch on."""

import asyncio
import base64
import json
import time
from dataclasses import dataclass
from typing import Any

from aiohttp import web
from platform_standins import Server

MAX_PAGE_ROWS = 500
MAX_PAGE_BYTES = 1_000_000

REVISION = b"(revision)"


@dataclass(frozen=True)
class RowText:
    """A row as it stands in answers, which may be no JSON; ``REVISION`` stands for its revision."""

    text: bytes


class StandinStore:
    """Rows with revisions, a feed, and failures that a test can switch on."""

    def __init__(self) -> None:
        self.server = Server(self._handle)
        self.revision = 1
        self.rows: dict[tuple[str, str], tuple[bytes | RowText, int]] = {}
        self.changes: list[tuple[str, str, bytes | RowText | None, int]] = []
        self.oldest_revision = 0
        self.refused: set[str] = set()
        self.undecodable_before = 0
        """Changes since an older revision are answered by bytes that are no page."""
        self.silent = False
        self.calls: list[str] = []
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: Any) -> None:
        """Put a row; a :class:`RowText` stands for the whole row in the store's answers."""
        data = value if isinstance(value, bytes | RowText) else json.dumps(value).encode()
        self.revision += 1
        self.rows[table, key] = (data, self.revision)
        self._record_change(table, key, data)

    def remove(self, table: str, key: str) -> None:
        self.revision += 1
        self.rows.pop((table, key), None)
        self._record_change(table, key, None)

    def forget_history(self) -> None:
        self.changes.clear()
        self.oldest_revision = self.revision
        self._changed.set()
        self._changed = asyncio.Event()

    def _record_change(self, table: str, key: str, data: "bytes | RowText | None") -> None:
        self.changes.append((table, key, data, self.revision))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls.append(request.path)
        if self.silent:
            await asyncio.Event().wait()
        if request.remote in self.refused:
            return web.Response(status=503)
        if request.path == "/rows-get":
            return self._get(request)
        if request.path == "/rows-feed":
            return await self._feed(request)
        if request.path == "/rows-tx":
            return await self._transaction(request)
        return web.Response(status=404)

    def _get(self, request: web.BaseRequest) -> web.Response:
        table, first = request.query["table"], request.query.get("source", "")
        end = request.query.get("target_version")
        limit = int(request.query.get("limit", MAX_PAGE_ROWS))
        rows = [
            _row_text(table, key, data, revision)
            for (name, key), (data, revision) in sorted(self.rows.items(), key=lambda item: item[0])
            if name == table and key >= first and (end is None or key < end)
        ]
        page = rows[:1]
        for row in rows[1 : min(limit, MAX_PAGE_ROWS)]:
            if sum(map(len, page)) + len(row) > MAX_PAGE_BYTES:
                break
            page.append(row)
        return self._answer(page, more=len(page) < len(rows))

    async def _feed(self, request: web.BaseRequest) -> web.Response:
        table = request.query["table"]
        since = int(request.query["since_revision"])
        if since < self.oldest_revision:
            return web.Response(status=410)
        if since < self.undecodable_before:
            return web.Response(body=b'{"rows":{', content_type="application/json")
        if not self._rows_since(table, since):
            changed = self._changed
            try:
                async with asyncio.timeout(int(request.query["wait_ms"]) / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
            if since < self.oldest_revision:
                return web.Response(status=410)
        return self._answer(self._rows_since(table, since))

    def _rows_since(self, table: str, since: int) -> list[bytes]:
        return [
            _row_text(table, key, data, revision)
            for name, key, data, revision in self.changes
            if name == table and revision > since
        ]

    async def _transaction(self, request: web.BaseRequest) -> web.Response:
        body = json.loads(await request.read())
        for entry in body["put"]:
            self.put(entry["table"], entry["key"], base64.b64decode(entry["value"]))
        for entry in body["remove"]:
            self.remove(entry["table"], entry["key"])
        return self._answer()

    def _answer(self, rows: list[bytes] | None = None, **fields: Any) -> web.Response:
        fields |= {"ver": self.revision, "now_ms": time.monotonic() * 1000}
        body = json.dumps(fields).encode()
        if rows is not None:
            body = b'{"rows":[' + b",".join(rows) + b"]," + body[1:]
        return web.Response(body=body, content_type="application/json")


def _row_text(table: str, key: str, data: bytes | RowText | None, revision: int) -> bytes:
    if isinstance(data, RowText):
        return data.text.replace(REVISION, str(revision).encode())
    row: dict[str, Any] = {"table": table, "part": "", "key": key, "ver": revision}
    row.update({"gone": True} if data is None else {"value": base64.b64encode(data).decode()})
    return json.dumps(row).encode()
