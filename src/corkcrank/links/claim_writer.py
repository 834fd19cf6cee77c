"""Group commit: single-row writes of one process share transactions.

Writes that arrive while a transaction is in flight are sent together in the next one. The
number of transactions a second therefore grows with gateways rather than with requests, and
a single write never waits. If the condition of a row fails, the other rows are retried.
"""

import asyncio
from dataclasses import dataclass

from corkcrank.links.table import (
    Committed,
    Condition,
    Conflicted,
    Row,
    Table,
    Unanswered,
    Write,
)

MAX_BATCH_ROWS = 64
"""Maximum number of rows in one transaction."""


@dataclass(slots=True)
class _PendingWrite:
    condition: Condition
    write: Write
    done: asyncio.Future[Committed | Conflicted | Unanswered]


class ClaimWriter:
    """Writes single rows in batches; ``transactions`` and ``writes`` are running totals."""

    def __init__(self, table: Table) -> None:
        self._table = table
        self._queue: list[_PendingWrite] = []
        self._task: asyncio.Task[None] | None = None
        self.transactions = 0
        self.writes = 0

    async def write_row(
        self, key: str, expected_revision: int, value: str
    ) -> Committed | Conflicted | Unanswered:
        """Write one row if it still has revision ``expected_revision``."""
        done: asyncio.Future[Committed | Conflicted | Unanswered] = (
            asyncio.get_running_loop().create_future()
        )
        pending = _PendingWrite(Condition(key, expected_revision), Write(key, value), done)
        self._queue.append(pending)
        self.writes += 1
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        return await done

    async def _run(self) -> None:
        while self._queue:
            batch = self._take_batch()
            outcome = await self._commit(batch)
            self._resolve_batch(batch, outcome)

    def _take_batch(self) -> list[_PendingWrite]:
        # Two writes of one key must not share a transaction: the second depends on the first.
        batch: list[_PendingWrite] = []
        keys: set[str] = set()
        remaining: list[_PendingWrite] = []
        for pending in self._queue:
            if len(batch) < MAX_BATCH_ROWS and pending.write.key not in keys:
                batch.append(pending)
                keys.add(pending.write.key)
            else:
                remaining.append(pending)
        self._queue = remaining
        return batch

    async def _commit(self, batch: list[_PendingWrite]) -> Committed | Conflicted | Unanswered:
        self.transactions += 1
        conditions = [pending.condition for pending in batch]
        writes = [pending.write for pending in batch]
        return await self._table.commit(conditions, writes)

    def _resolve_batch(
        self, batch: list[_PendingWrite], outcome: Committed | Conflicted | Unanswered
    ) -> None:
        match outcome:
            case Committed(rows=rows):
                self._resolve_committed(batch, rows)
            case Conflicted(rows=rows):
                self._resolve_conflicted(batch, rows)
            case Unanswered():
                for pending in batch:
                    _resolve(pending, outcome)

    @staticmethod
    def _resolve_committed(batch: list[_PendingWrite], rows: tuple[Row, ...]) -> None:
        by_key = {row.key: row for row in rows}
        for pending in batch:
            _resolve(pending, Committed((by_key[pending.write.key],)))

    def _resolve_conflicted(self, batch: list[_PendingWrite], rows: tuple[Row, ...]) -> None:
        by_key = {row.key: row for row in rows}
        for pending in batch:
            row = by_key.get(pending.write.key)
            if row is None:
                self._queue.append(pending)
            else:
                _resolve(pending, Conflicted((row,)))


def _resolve(pending: _PendingWrite, outcome: Committed | Conflicted | Unanswered) -> None:
    if not pending.done.done():
        pending.done.set_result(outcome)
