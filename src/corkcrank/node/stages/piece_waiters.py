"""Tracks callers that wait for the results of pieces queued at an owner of stage workers."""

import asyncio
from collections.abc import Sequence

from corkcrank.links.platform_ports import PieceOutcome, PieceResult
from corkcrank.scheduling.batch_filling import StageItem


class PieceWaiters:
    """A future for each queued or running piece that a caller awaits."""

    def __init__(self) -> None:
        self._futures: dict[int, asyncio.Future[PieceResult]] = {}

    def add(self, stage_item: StageItem) -> asyncio.Future[PieceResult]:
        """Return the future of a new piece."""
        future: asyncio.Future[PieceResult] = asyncio.get_running_loop().create_future()
        self._futures[id(stage_item)] = future
        return future

    @property
    def any_awaited(self) -> bool:
        """Return whether the caller of any piece still waits for it."""
        return any(not future.done() for future in self._futures.values())

    def awaits(self, stage_item: StageItem) -> bool:
        """Return whether the caller of a piece still waits for it."""
        future = self._futures.get(id(stage_item))
        return future is not None and not future.done()

    async def wait_while_awaited(self, stage_items: Sequence[StageItem]) -> None:
        """Wait until no caller waits for any of the pieces."""
        futures = [self._futures[id(item)] for item in stage_items if self.awaits(item)]
        if futures:
            await asyncio.wait(futures)

    def discard(self, stage_item: StageItem) -> None:
        """Remove a piece that its caller no longer awaits."""
        self._futures.pop(id(stage_item), None)

    def set_result(self, stage_item: StageItem, result: PieceResult) -> bool:
        """Set the result of a piece; return whether its caller was still waiting for it."""
        future = self._futures.pop(id(stage_item), None)
        if future is None or future.done():
            return False
        future.set_result(result)
        return True

    def refuse(self, stage_items: Sequence[StageItem]) -> None:
        """Return pieces as refused to their callers, which place them again."""
        for stage_item in stage_items:
            self.set_result(stage_item, PieceResult(PieceOutcome.REFUSED))
