"""Keeps one row of a table in the store: the row that has this gateway's name as its key.

It outlasts the memory of all gateways. The gateway reads it once after a start, and writes it from
then on: a row that was not read would be overwritten.
"""

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass

from corkcrank.contracts import clock
from corkcrank.links.platform_ports import MetadataStore, StoreFailure, StoreRows, StoreTable
from corkcrank.machines.fleet import Fleet


@dataclass(frozen=True)
class OwnRowPace:
    """How often a row is written.

    ``retry_seconds`` is the delay after a failed call to the store. ``max_writes_per_second`` is
    the limit of all gateways together.
    """

    min_interval_seconds: float
    max_writes_per_second: float
    retry_seconds: float


class OwnRow(ABC):
    """The row of this gateway in one table."""

    def __init__(
        self, store: MetadataStore, fleet: Fleet, table: StoreTable, pace: OwnRowPace
    ) -> None:
        self._store = store
        self._fleet = fleet
        self._table = table
        self._pace = pace
        self.restored = False
        self.failures = 0

    async def keep_row_current(self) -> None:
        """Read the row once, then write it whenever it is due, until cancelled."""
        while True:
            await self._pause(accepted=await self._keep())

    async def _keep(self) -> bool:
        """Read the row if it was not read, else write it; return whether the store accepted it."""
        if self.restored:
            return await self._write()
        rows = await self._read()
        if isinstance(rows, StoreFailure):
            self.failures += 1
            return False
        await self._restore(rows)
        self.restored = True
        return await self._write()

    @abstractmethod
    async def _restore(self, rows: StoreRows) -> None:
        """Apply what this gateway had written before it started again."""

    @abstractmethod
    async def _write(self) -> bool:
        """Write the row if it is due; return whether the store accepted it."""

    async def _pause(self, *, accepted: bool) -> None:
        """Wait until the row may be written again."""
        await asyncio.sleep(self._interval() if accepted else self._pace.retry_seconds)

    async def _put(self, value: bytes) -> bool:
        """Write the row; return whether the store accepted it."""
        written = await self._store.put(self._table, self._fleet.local_name, value)
        accepted = not isinstance(written, StoreFailure)
        self.failures += not accepted
        return accepted

    async def _read(self) -> StoreRows | StoreFailure:
        return await self._store.read(self._table, self._fleet.local_name)

    def _interval(self) -> float:
        members = len(self._fleet.live_members(clock.now())) + 1
        return max(self._pace.min_interval_seconds, members / self._pace.max_writes_per_second)
