"""A back end's queue: a bounded number of calls at once, better tiers first."""

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
        """Return the number of calls that wait."""
        return sum(not entry[2].done() for entry in self._waiting)

    async def enter(self, rank: int) -> None:
        """Wait for a slot and take it."""
        if self.running < self.slots:
            self.running += 1
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (rank, next(self._order), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.leave()
            raise

    def leave(self) -> None:
        """Give the slot to the next waiting call."""
        while self._waiting:
            turn = heapq.heappop(self._waiting)[2]
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1
