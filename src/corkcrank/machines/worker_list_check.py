"""Brings a gateway's list of workers up to date with the store at once.

The list lags behind the store, and by any time at a gateway that is cut off or stands still. Who
must not miss a worker that others know asks the store. Those who ask at the same time share a call.
"""

from corkcrank.links.platform_ports import (
    StoreFailure,
    StoreRows,
    StoreTable,
)
from corkcrank.links.shared_call import SharedCall
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.store_mirror import StoreMirror

MIN_INTERVAL_SECONDS = 0.1
"""Minimum interval of a gateway's calls."""

MAX_INTERVAL_SECONDS = 1.0
"""Maximum interval of a gateway's calls: callers wait for it."""

MAX_CALLS_PER_SECOND = 200.0
"""Calls of all gateways together; a tenth of the reads that a store of the design size takes."""


class WorkerListCheck:
    """Compares one gateway's list of workers with the store."""

    def __init__(self, fleet: Fleet, mirror: StoreMirror) -> None:
        self._fleet = fleet
        self._mirror = mirror
        self._store = mirror.revisions
        self._call = SharedCall(self._bring_up_to_date, self._interval)

    async def bring_up_to_date(self) -> bool:
        """Apply all changes of the list until now; return whether the store answered."""
        return await self._call.run()

    def _interval(self) -> float:
        seconds = self._fleet.known_member_count() / MAX_CALLS_PER_SECOND
        return min(MAX_INTERVAL_SECONDS, max(MIN_INTERVAL_SECONDS, seconds))

    async def _bring_up_to_date(self) -> bool:
        cursor = self._mirror.workers_cursor
        whole = cursor is None
        answer: StoreRows | StoreFailure
        if cursor is None:
            answer = await self._store.read(StoreTable.WORKERS)
        else:
            answer = await self._store.watch(StoreTable.WORKERS, cursor, 0.0)
            if isinstance(answer, StoreFailure) and answer.needs_whole_read:
                whole = True
                answer = await self._store.read(StoreTable.WORKERS)
        self._mirror.record_call(StoreTable.WORKERS, answer)
        if isinstance(answer, StoreFailure):
            return False
        self._mirror.apply_answer(StoreTable.WORKERS, answer, whole=whole)
        return True
