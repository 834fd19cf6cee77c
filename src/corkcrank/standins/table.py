"""HTTP stand-in for the platform's transactional table."""

import asyncio

import msgspec
from aiohttp import web

from corkcrank.contracts import clock
from corkcrank.links.table import (
    CommitAnswer,
    CommitRequest,
    ReadAnswer,
    ReadRequest,
    Row,
)
from corkcrank.standins.faults import FaultSwitch, cut_connection, json_response

COMMIT_SECONDS = 0.004
"""Time of one commit."""

READ_SECONDS = 0.001
"""Time of one read."""


class TableCounters(msgspec.Struct):
    """Counters of operations since the start."""

    reads: int = 0
    rows_read: int = 0
    commits: int = 0
    conflicts: int = 0
    refused: int = 0


class _RateLimit:
    """Allows a fixed number of operations in each second of the clock."""

    def __init__(self, per_second: int) -> None:
        self._per_second = per_second
        self._second = 0
        self._used = 0

    def try_acquire(self, amount: int) -> bool:
        second = int(clock.now())
        if second != self._second:
            self._second, self._used = second, 0
        self._used += amount
        return self._used <= self._per_second


class TableStandin:
    """An in-memory table with compare-and-set over several rows."""

    def __init__(self, writes_per_second: int, reads_per_second: int) -> None:
        self.switch = FaultSwitch()
        self.counters = TableCounters()
        self._rows: dict[str, Row] = {}
        self._revision = 0
        self._writes = _RateLimit(writes_per_second)
        self._reads = _RateLimit(reads_per_second)

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=1 << 24)
        application.add_routes(
            [
                web.post("/read", self._handle_read),
                web.post("/commit", self._handle_commit),
                web.post("/faults", self.switch.handle),
                web.get("/counters", self._handle_counters),
            ]
        )
        return application

    async def _handle_counters(self, request: web.Request) -> web.Response:
        return json_response(self.counters)

    async def _handle_read(self, request: web.Request) -> web.Response:
        refused = await self.switch.before_work()
        if refused is not None:
            return refused
        body = msgspec.json.decode(await request.read(), type=ReadRequest)
        if not self._reads.try_acquire(len(body.keys)):
            self.counters.refused += 1
            return web.Response(status=429)
        await asyncio.sleep(READ_SECONDS * self.switch.faults.slow_factor)
        self.counters.reads += 1
        self.counters.rows_read += len(body.keys)
        return json_response(ReadAnswer(tuple(self._row(key) for key in body.keys)))

    async def _handle_commit(self, request: web.Request) -> web.Response:
        refused = await self.switch.before_work()
        if refused is not None:
            return refused
        body = msgspec.json.decode(await request.read(), type=CommitRequest)
        if not self._writes.try_acquire(1):
            self.counters.refused += 1
            return web.Response(status=429)
        await asyncio.sleep(COMMIT_SECONDS * self.switch.faults.slow_factor)
        answer = self._commit(body)
        if self.switch.faults.consume_lost_answer():
            cut_connection(request)
        return json_response(answer)

    def _commit(self, body: CommitRequest) -> CommitAnswer:
        failed = [
            self._row(condition.key)
            for condition in body.conditions
            if self._row(condition.key).revision != condition.revision
        ]
        if failed:
            self.counters.conflicts += 1
            return CommitAnswer(False, tuple(failed))
        self.counters.commits += 1
        self._revision += 1
        for write in body.writes:
            self._rows[write.key] = Row(write.key, self._revision, write.value)
        return CommitAnswer(True, tuple(self._row(write.key) for write in body.writes))

    def _row(self, key: str) -> Row:
        return self._rows.get(key, Row(key, 0, None))
