"""Cancels a slow connection attempt if a member can connect to the same worker."""

import asyncio
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Self

USUAL_CONNECT_SECONDS = 0.12
"""Time after which a connection attempt counts as slow: many round trips within a region."""


class ConnectWatch:
    """Raises ``TimeoutError`` while connecting if ``reached_elsewhere`` returns true.

    ``reached_elsewhere`` is awaited if :meth:`try_begin` was not called within
    :data:`USUAL_CONNECT_SECONDS`. A request that was written is never abandoned.
    """

    def __init__(self, reached_elsewhere: Callable[[], Awaitable[bool]]) -> None:
        self._reached_elsewhere = reached_elsewhere
        self._scope = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        self._decision: asyncio.Task[None] | None = None
        self._begun = False
        self.gave_up = False
        """Whether the attempt was abandoned, so that the request must not be written."""

    def try_begin(self) -> bool:
        """Return whether the request may be written; called when its connection is ready."""
        if self._timer is not None:
            self._timer.cancel()
        self._begun = not self.gave_up
        return self._begun

    async def __aenter__(self) -> Self:
        await self._scope.__aenter__()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(USUAL_CONNECT_SECONDS, self._start_decision)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._decision is not None:
            self._decision.cancel()
        await self._scope.__aexit__(kind, error, trace)

    def _start_decision(self) -> None:
        self._decision = asyncio.create_task(self._decide())

    async def _decide(self) -> None:
        if await self._reached_elsewhere() and not self._begun:
            # The connection may become ready before the cancellation takes effect.
            self.gave_up = True
            self._scope.reschedule(asyncio.get_running_loop().time())
