"""Queue of a back end: runs a bounded number of calls at once, lower ranks first."""

import asyncio
import heapq
import itertools


class PrioritySemaphore:
    """Admits at most ``slots`` holders; lower ranks first, then in order of arrival."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running = 0
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._order = itertools.count()

    @property
    def waiting(self) -> int:
        """Return the number of waiting calls."""
        return sum(not entry[2].done() for entry in self._waiting)

    async def enter(self, rank: int) -> None:
        """Wait for a free slot and occupy it."""
        if self.running < self.slots:
            self.running += 1
            return
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (rank, next(self._order), granted))
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self.leave()
            raise

    def leave(self) -> None:
        """Release a slot; the next waiting call gets it."""
        while self._waiting:
            granted = heapq.heappop(self._waiting)[2]
            if not granted.done():
                granted.set_result(None)
                return
        self.running -= 1
