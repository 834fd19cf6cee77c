"""An engine that has begun to continue a stream is closed if nobody takes it."""

import asyncio
from typing import Any
from unittest.mock import MagicMock

import pytest

from corkcrank.node.streams.engine_exchange import BegunExchange
from corkcrank.node.streams.engine_failover import EngineFailover


class FakeAttempt:
    closed = False
    worker = MagicMock()

    def close(self) -> None:
        self.closed = True


def failover_of_nothing() -> EngineFailover:
    parts: list[Any] = [MagicMock() for _ in range(7)]
    return EngineFailover(*parts)


async def test_an_engine_that_has_begun_is_closed_if_the_caller_leaves_in_the_same_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    attempt: Any = FakeAttempt()
    failover = failover_of_nothing()

    async def find(*_: object) -> BegunExchange:
        await asyncio.sleep(0)
        asyncio.get_running_loop().call_soon(taking.cancel)
        return BegunExchange(attempt, MagicMock(), MagicMock())

    monkeypatch.setattr(failover, "_find", find)
    taking = asyncio.create_task(failover.take(begins=True))
    await asyncio.wait({taking})
    failover.cancel()
    assert taking.cancelled()
    assert attempt.closed


async def test_an_engine_that_has_begun_is_closed_if_the_search_ends_while_others_are_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    attempt: Any = FakeAttempt()
    failover = failover_of_nothing()
    closing = asyncio.Event()

    async def other() -> None:
        try:
            await asyncio.Event().wait()
        finally:
            closing.set()
            await asyncio.sleep(0.01)

    async def find_among(attempts: set[asyncio.Task[None]], *_: object) -> BegunExchange:
        attempts.add(asyncio.create_task(other()))
        await asyncio.sleep(0)
        return BegunExchange(attempt, MagicMock(), MagicMock())

    monkeypatch.setattr(failover, "_find_among", find_among)
    taking = asyncio.create_task(failover.take(begins=True))
    await closing.wait()
    failover.cancel()
    await asyncio.wait({taking})
    handed_over = not taking.cancelled() and taking.result() is not None
    assert attempt.closed or handed_over
