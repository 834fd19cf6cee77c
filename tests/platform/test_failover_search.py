"""A search for another engine lasts as long as one may still be found."""

import asyncio
from http import HTTPStatus

import pytest
from node_world import until
from test_stream_failover import (
    EVENTS,
    EVENTS_BEFORE_SILENCE,
    HOLD,
    LONG_SECONDS,
    SILENCE_SECONDS,
    FailoverWorld,
    engines_by_use,
    failover_world,
    pass_silence,
    short_silences,
    stand_still,
)

from corkcrank.contracts import clock

__all__ = ["short_silences"]


def spend_no_repeat_until(
    failover: FailoverWorld, monkeypatch: pytest.MonkeyPatch
) -> asyncio.Event:
    """Let the retry budget be empty until the returned event is set."""
    free = asyncio.Event()
    services = type(failover.running.nodes[0].services)
    for name in ("can_spend_repeat", "try_spend_repeat"):
        usual = getattr(services, name)
        monkeypatch.setattr(
            services,
            name,
            lambda self, service, usual=usual: free.is_set() and usual(self, service),
        )
    return free


@pytest.mark.parametrize("path", ["/staged/x", "/talk/x"])
async def test_a_begun_stream_that_lost_its_engine_waits_for_a_free_repeat(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with failover_world(f"break-after-{EVENTS_BEFORE_SILENCE}") as failover:
        free = spend_no_repeat_until(failover, monkeypatch)
        failover.hold.set()
        stream = asyncio.create_task(failover.read_events(path))
        await asyncio.wait({stream}, timeout=2 * SILENCE_SECONDS)
        free.set()
        assert await stream == (EVENTS, True)


async def test_a_silent_engine_is_left_once_a_repeat_is_free(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with failover_world(HOLD) as failover:
        stream = asyncio.create_task(failover.read_events("/talk/x"))
        _, other = await engines_by_use(failover)
        other.hold = None
        free = spend_no_repeat_until(failover, monkeypatch)
        await pass_silence(stream)
        free.set()
        await asyncio.wait({stream}, timeout=15 * SILENCE_SECONDS)
        assert stream.done()
        assert await stream == (EVENTS, True)


async def test_a_stream_that_loses_its_engine_in_a_silence_of_all_waits_for_another_one() -> None:
    async with failover_world(HOLD) as failover:
        stream = asyncio.create_task(failover.read_events("/talk/x"))
        silent, other = await engines_by_use(failover)
        other.hold = None
        goes_on = stand_still(failover, *failover.engines)
        await until(lambda: other.reports > 0)
        await silent.server.stop()
        await asyncio.wait({stream}, timeout=2 * SILENCE_SECONDS)
        assert not stream.done()
        goes_on.set()
        assert await stream == (EVENTS, True)


async def test_a_call_that_lost_its_engine_before_its_answer_does_not_wait_for_a_free_repeat(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with failover_world("hang") as failover:
        services = failover.running.nodes[0].services
        monkeypatch.setattr(type(services), "can_spend_repeat", lambda _, service: False)
        headers = {"X-Corkcrank-Deadline-Ms": "20000"}
        call = asyncio.create_task(failover.running.call("/talk/x", headers=headers))
        await until(lambda: bool(services.silent_engines))
        begun = clock.now()
        silent = next(engine for engine in failover.engines if engine.seen)
        await silent.server.stop()
        response = await call
        assert response.status >= HTTPStatus.BAD_GATEWAY
        assert clock.now() - begun < LONG_SECONDS / 2
