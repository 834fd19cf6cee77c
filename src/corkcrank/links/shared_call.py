"""Shares the calls of many that ask the same at the same time."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from corkcrank.contracts import clock

Result = TypeVar("Result")


class SharedCall(Generic[Result]):
    """Makes one call at a time, at a minimum interval, for all that wait.

    A result is as of the time at which its call began, so it is given to those only who asked
    before. ``interval`` returns the minimum time between the starts of two calls in seconds.
    """

    def __init__(
        self, call: Callable[[], Awaitable[Result]], interval: Callable[[], float]
    ) -> None:
        self._call = call
        self._interval = interval
        self._began_at = float("-inf")
        self._running: asyncio.Task[Result] | None = None
        self._next: asyncio.Task[Result] | None = None

    async def run(self) -> Result:
        """Return the result of a call that begins from now on."""
        if self._next is None:
            self._next = asyncio.create_task(self._run_after(self._running))
        # One that gives up waiting must not end the call of the others.
        return await asyncio.shield(self._next)

    async def _run_after(self, running: asyncio.Task[Result] | None) -> Result:
        if running is not None:
            await asyncio.wait([running])
        await asyncio.sleep(max(0.0, self._began_at + self._interval() - clock.now()))
        self._running, self._next = self._next, None
        self._began_at = clock.now()
        return await self._call()
