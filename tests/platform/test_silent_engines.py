"""A stream that may be resumed leaves a silent engine only for another one that may get it.

Guards against a stream that was broken off long before its deadline: its engine was given up as
silent, and no other engine could resume it.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest
from aiohttp import web
from lost_workers import LOSSES, SilentWorld, evacuate_others, silent_world
from node_world import route
from test_evacuated_zones import ZonedWorker

from corkcrank.node.streams import engine_exchange, stream_relay

SILENCE_SECONDS = 0.2
EVENTS = 4
SILENT_AFTER = {"without a head": "", "after the head": "hold-after-0", "midway": "hold-after-2"}

ROUTES = [
    route(
        "talk",
        "stream",
        "model",
        stream_resume=True,
        timeout_ms=20_000,
        max_attempts=3,
        target_gap_ms=20,
    ),
    route("once", "stream", "model", timeout_ms=20_000, max_attempts=3, target_gap_ms=20),
]

AFTER = pytest.mark.parametrize("after", SILENT_AFTER.values(), ids=SILENT_AFTER.keys())


class SlowEngine(ZonedWorker):
    """An engine that sends some events, and the others once it may go on."""

    async def _answer(self, request: web.BaseRequest, fault: str) -> web.StreamResponse:
        if not fault.startswith("hold-after-"):
            return await super()._answer(request, fault)
        last = int(fault.rsplit("-", 1)[1])
        response = web.StreamResponse(headers=self._head(request, ""))
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(1, self.events + 1):
            if number == last + 1:
                assert self.hold is not None
                await self.hold.wait()
            await response.write(b"id: %d\ndata: e\n\n" % number)
        await response.write_eof()
        return response


@pytest.fixture(autouse=True)
def short_silences(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(engine_exchange, "MIN_FIRST_EVENT_SECONDS", SILENCE_SECONDS)
    monkeypatch.setattr(engine_exchange, "FIRST_EVENT_FACTOR", 0.0)
    monkeypatch.setattr(stream_relay, "MIN_SILENCE_SECONDS", SILENCE_SECONDS)


@asynccontextmanager
async def silent_streams(fault: str) -> AsyncIterator[SilentWorld]:
    faults = (fault,) if fault else ()
    one, two = (SlowEngine(zone, events=EVENTS, faults=deque(faults)) for zone in ("z1", "z2"))
    async with silent_world(ROUTES, "model", one, two) as silent:
        yield silent


async def read_events(silent: SilentWorld, path: str) -> int:
    """Return how many events a whole answer has."""
    response = await silent.start_call(path)
    assert response.status == 200
    return (await response.read()).count(b"id:")


async def pass_silence(task: asyncio.Task[int]) -> None:
    """Wait for longer than a silence after which a stream looks for another engine."""
    await asyncio.wait({task}, timeout=2.5 * SILENCE_SECONDS)


@AFTER
@LOSSES
async def test_a_stream_waits_for_its_silent_engine_while_no_other_may_resume_it(
    after: str, lose: Callable[[SilentWorld, str], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    async with silent_streams(after) as silent:
        silent.when_sent(monkeypatch, lambda address: lose(silent, address))
        stream = asyncio.create_task(read_events(silent, "/talk/x"))
        await pass_silence(stream)
        silent.hold.set()
        assert await stream == EVENTS
        assert silent.requests == 1


@AFTER
async def test_a_stream_moves_once_another_engine_has_returned(
    after: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with silent_streams(after) as silent:
        silent.when_sent(monkeypatch, lambda address: evacuate_others(silent, address))
        stream = asyncio.create_task(read_events(silent, "/talk/x"))
        await pass_silence(stream)
        assert silent.requests == 1
        other = silent.other_worker()
        other.hold = None
        other.faults.clear()
        silent.services.mirror.workers.evacuated = frozenset()
        assert await stream == EVENTS
        assert len(other.seen) == 1


@AFTER
async def test_a_stream_that_may_not_be_resumed_never_leaves_a_silent_engine(after: str) -> None:
    async with silent_streams(after) as silent:
        stream = asyncio.create_task(read_events(silent, "/once/x"))
        await pass_silence(stream)
        silent.hold.set()
        assert await stream == EVENTS
        assert silent.requests == 1
