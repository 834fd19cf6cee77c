"""Timeout of a wait for a worker, which may end earlier if the worker is silent."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from types import TracebackType
from typing import Self

NEXT_WAIT_FACTOR = 2.0
"""Factor by which each further wait for a silent worker is longer than the previous one."""


@dataclass(frozen=True, slots=True)
class SilenceRule:
    """When to abandon a silent worker before the deadline.

    After ``seconds`` without a byte, ``give_up`` is awaited while the wait for the worker
    continues. It returns whether to abandon the worker, which requires that the call can be sent to
    another one.
    """

    seconds: float
    give_up: Callable[[], Awaitable[bool]]


class SilenceTimeout:
    """Raises ``TimeoutError`` at a deadline, or when a silent worker is abandoned.

    A response that arrives while ``give_up`` is awaited ends the wait normally.
    """

    def __init__(self, seconds: float, rule: SilenceRule | None) -> None:
        self._limit = asyncio.timeout(seconds)
        self._rule = rule
        self._silence_seconds = rule.seconds if rule is not None else 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._decision: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        await self._limit.__aenter__()
        if self._rule is not None:
            self._start_timer(self._rule)
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
        await self._limit.__aexit__(kind, error, trace)

    def _start_timer(self, rule: SilenceRule) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._silence_seconds, self._start_decision, rule)

    def _start_decision(self, rule: SilenceRule) -> None:
        # A task starts in the next iteration of the event loop, so a response that was received in
        # this iteration is read first.
        self._decision = asyncio.create_task(self._decide(rule))

    async def _decide(self, rule: SilenceRule) -> None:
        given_up = await rule.give_up()
        if self._limit.expired():
            return
        if given_up:
            self._limit.reschedule(asyncio.get_running_loop().time())
            return
        self._silence_seconds *= NEXT_WAIT_FACTOR
        self._start_timer(rule)
