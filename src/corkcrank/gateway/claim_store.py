"""Stores claims in the table: inserts, reads, and records with retries."""

import asyncio

import msgspec

from corkcrank.contracts.claims import (
    ClaimRow,
    InsertCommitted,
    RowSeen,
    TableUnanswered,
)
from corkcrank.links.claim_writer import ClaimWriter
from corkcrank.links.platform_ports import Unreadable
from corkcrank.links.strict_json import decode_strictly
from corkcrank.links.table import Committed, Conflicted, Row, Table, Unanswered

RECORD_PAUSE_SECONDS = 0.5
"""Pause between retries of a row while the table is unavailable."""


class ClaimStore:
    """The claims of one gateway."""

    def __init__(self, table: Table) -> None:
        self._table = table
        self.writer = ClaimWriter(table)
        self._recording: set[asyncio.Task[None]] = set()

    @property
    def unrecorded(self) -> int:
        """Return the number of rows that are not yet written to the table."""
        return len(self._recording)

    async def insert(
        self, key: str, row: ClaimRow, expected_revision: int
    ) -> InsertCommitted | RowSeen | TableUnanswered:
        """Insert a claim if its row is still at ``expected_revision``."""
        outcome = await self.writer.write_row(key, expected_revision, _encode(row))
        match outcome:
            case Committed():
                return InsertCommitted()
            case Conflicted(rows=rows):
                return _seen(rows[0])
            case Unanswered():
                return TableUnanswered()

    async def read(self, key: str) -> RowSeen | TableUnanswered:
        """Read a claim."""
        outcome = await self._table.read((key,))
        return TableUnanswered() if isinstance(outcome, Unanswered) else _seen(outcome.rows[0])

    def record(self, key: str, row: ClaimRow) -> None:
        """Write the final state of a claim in the background, with retries."""
        task = asyncio.create_task(self._record(key, row))
        self._recording.add(task)
        task.add_done_callback(self._recording.discard)

    async def _record(self, key: str, row: ClaimRow) -> None:
        while not await self._try_record(key, row):
            await asyncio.sleep(RECORD_PAUSE_SECONDS)

    async def _try_record(self, key: str, row: ClaimRow) -> bool:
        seen = await self.read(key)
        if isinstance(seen, TableUnanswered):
            return False
        if seen.row is not None and seen.row.attempt != row.attempt:
            return True
        if seen.row == row:
            return True
        # An absent row is written too, which blocks an earlier insert that is still in flight.
        outcome = await self.writer.write_row(key, seen.revision, _encode(row))
        return isinstance(outcome, Committed)


def _encode(row: ClaimRow) -> str:
    return msgspec.json.encode(row).decode()


def _seen(row: Row) -> RowSeen | TableUnanswered:
    """Return what a row shows; nothing if it is unreadable, as the call may then have run."""
    if row.value is None:
        return RowSeen(None, row.revision)
    decoded = decode_strictly(row.value.encode(), ClaimRow)
    return TableUnanswered() if isinstance(decoded, Unreadable) else RowSeen(decoded, row.revision)
