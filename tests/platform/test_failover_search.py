"""A search for another engine lasts as long as one may still be found."""

import asyncio
from http import HTTPStatus

import pytest
from mortal_workers import KillableServer
from node_world import route, until
from test_silent_engines import SlowEngine
from test_stream_failover import (
    EVENTS,
    EVENTS_BEFORE_SILENCE,
    HOLD,
    ROUTES,
    SILENCE_SECONDS,
    FailoverWorld,
    engines_by_use,
    failover_world,
    pass_silence,
    short_silences,
    stand_still,
)

from corkcrank.contracts import clock
from corkcrank.node.streams import engine_failover

__all__ = ["short_silences"]

OBJECTIVE_MS = 1_500
REFUSAL_SECONDS = OBJECTIVE_MS / 1000 / 4
"""Time within which a call that cannot be served is refused: a quarter of its objective."""

LONGEST_TRY_SECONDS = 0.8 + 0.3
"""Longest pause between two tries of a search, and the time for which it waits for reports."""


SHORT_TIMEOUT_MS = 2_000
LONG_PAUSE_SECONDS = 40.0
"""A pause of a search that lasts several times as long as the call."""


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
        await asyncio.wait({stream}, timeout=LONGEST_TRY_SECONDS)
        assert stream.done()
        assert await stream == (EVENTS, True)


def spend_repeats(failover: FailoverWorld) -> None:
    """Spend the repeats that calls of a first attempt may use."""
    node = failover.running.nodes[0]
    budget, members = node.services.budget("model"), node.fleet.share_member_count()
    while budget.try_spend(clock.now(), members):
        pass


async def test_a_silent_engine_is_left_where_calls_without_an_answer_have_spent_their_repeats() -> (
    None
):
    async with failover_world(HOLD) as failover:
        stream = asyncio.create_task(failover.read_events("/talk/x"))
        silent, other = await engines_by_use(failover)
        other.hold = None
        stand_still(failover, silent)
        spend_repeats(failover)
        await asyncio.wait({stream}, timeout=15 * SILENCE_SECONDS)
        assert stream.done()
        assert await stream == (EVENTS, True)


async def test_a_call_without_an_answer_leaves_a_repeat_to_a_stream_that_waits() -> None:
    async with failover_world(HOLD, "full") as failover:
        node = failover.running.nodes[0]
        stream = asyncio.create_task(failover.read_events("/talk/x"))
        silent, other = await engines_by_use(failover)
        other.hold = None
        stand_still(failover, silent)
        await until(lambda: not failover.faults)
        await until(lambda: bool(node.services.budget("model").waiting_streams))
        spend_repeats(failover)
        assert node.services.repeats_left(clock.now())["model"] >= 1.0
        await asyncio.wait({stream}, timeout=15 * SILENCE_SECONDS)
        assert stream.done()
        assert await stream == (EVENTS, True)
        assert not node.services.budget("model").waiting_streams


async def test_a_stream_whose_engines_all_stand_still_keeps_no_repeat() -> None:
    async with failover_world(HOLD) as failover:
        budget = failover.running.nodes[0].services.budget("model")
        stream = asyncio.create_task(failover.read_events("/talk/x"))
        await until(lambda: failover.requests == 1)
        goes_on = stand_still(failover, *failover.engines)
        await until(lambda: bool(budget.waiting_streams))
        await until(lambda: not budget.waiting_streams)
        assert not stream.done()
        goes_on.set()
        failover.hold.set()
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


class MortalEngine(SlowEngine):
    """An engine that loses all its connections when its server is killed."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.server = KillableServer(self._handle)

    def kill(self) -> None:
        assert isinstance(self.server, KillableServer)
        self.server.kill()


async def test_a_call_that_lost_its_engine_before_its_answer_does_not_wait_for_a_free_repeat(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fields = {"timeout_ms": 20_000, "target_latency_ms": OBJECTIVE_MS}
    talk = route("talk", "stream", "model", stream_resume=True, **fields)
    async with failover_world("hang", routes=[talk], engine_type=MortalEngine) as failover:
        services = failover.running.nodes[0].services
        monkeypatch.setattr(type(services), "can_spend_repeat", lambda _, service: False)
        headers = {"X-Corkcrank-Deadline-Ms": "20000"}
        call = asyncio.create_task(failover.running.call("/talk/x", headers=headers))
        await until(lambda: bool(services.silent_engines))
        silent = next(engine for engine in failover.engines if engine.seen)
        assert isinstance(silent, MortalEngine)
        begun = clock.now()
        silent.kill()
        response = await call
        assert response.status >= HTTPStatus.BAD_GATEWAY
        assert clock.now() - begun < REFUSAL_SECONDS


@pytest.mark.parametrize("path", ["/staged/x", "/talk/x"])
async def test_a_search_ends_with_its_call_and_not_with_its_pause(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against streams that were held past their route's timeout by a pause of a search."""
    for name in ("MIN_PAUSE_SECONDS", "MAX_PAUSE_SECONDS"):
        monkeypatch.setattr(engine_failover, name, LONG_PAUSE_SECONDS)
    routes = [{**one, "timeout_ms": SHORT_TIMEOUT_MS} for one in ROUTES]
    async with failover_world(f"break-after-{EVENTS_BEFORE_SILENCE}", routes=routes) as failover:
        spend_no_repeat_until(failover, monkeypatch)
        failover.hold.set()
        stream = asyncio.create_task(failover.read_events(path))
        await asyncio.wait({stream}, timeout=LONG_PAUSE_SECONDS / 2)
        assert stream.done()
        assert await stream == (EVENTS_BEFORE_SILENCE, False)
