"""An engine that has begun to continue a stream is closed if nobody takes it."""

import asyncio
from typing import Any
from unittest.mock import MagicMock

import pytest

from corkcrank.contracts import clock
from corkcrank.node.streams.engine_exchange import BegunExchange
from corkcrank.node.streams.engine_failover import EngineFailover

CALL_SECONDS = 60.0


class FakeAttempt:
    closed = False
    worker = MagicMock()

    def close(self) -> None:
        self.closed = True


def failover_of_nothing() -> EngineFailover:
    parts: list[Any] = [MagicMock() for _ in range(7)]
    parts[0].end_at = clock.now() + CALL_SECONDS
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


def search_that_closes_another_attempt(
    failover: EngineFailover, attempt: Any, monkeypatch: pytest.MonkeyPatch
) -> asyncio.Event:
    """Let a search find an engine; the returned event is set while another attempt is closed."""
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
    return closing


async def test_an_engine_that_has_begun_is_handed_over_while_others_are_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    attempt: Any = FakeAttempt()
    failover = failover_of_nothing()
    closing = search_that_closes_another_attempt(failover, attempt, monkeypatch)
    taking = asyncio.create_task(failover.take(begins=True))
    await closing.wait()
    failover.cancel()
    begun = await taking
    assert begun is not None
    assert begun.attempt is attempt
    # The search is cancelled at every chunk that the successor sends.
    failover.cancel()
    assert not attempt.closed


async def test_an_engine_that_has_begun_is_closed_if_the_silent_one_sends_while_others_are_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    attempt: Any = FakeAttempt()
    failover = failover_of_nothing()
    closing = search_that_closes_another_attempt(failover, attempt, monkeypatch)
    seeking = asyncio.ensure_future(failover.rule(MagicMock(), 0.0).give_up())
    await closing.wait()
    seeking.cancel()
    failover.cancel()
    assert attempt.closed
    await asyncio.wait({seeking})
