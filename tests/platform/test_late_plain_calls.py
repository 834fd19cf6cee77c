"""Tests that no plain call is begun late in a drain because of a forecast alone.

The failure: a gateway with a grace period of 8 s read plain calls about 5 s after its signal. Their
usual time fitted into the rest of the drain, their worker had turned slow, and their outcome was
unknown at the end (504), long before their own time was over.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
import pytest
from aiohttp import web
from node_world import World, configuration, route, until, world
from platform_standins import NOT_RUN, StandinStageWorker, StandinWorker

from corkcrank.contracts import clock
from corkcrank.node.workers.crash_watch import CrashWatch

GRACE = 8.0
"""Seconds from the signal to the end of the process; every call is answered within 7.4 of them."""

EARLY, MIDDLE, NOTICED, LATE = 1.0, 2.3, 2.8, 4.8
"""Times after the signal at which a call is read, or at which it would reach a worker."""

SHORT_GRACE = 2.4
KINDS = ("safe", "once")
LONG = {"timeout_ms": 15_000, "target_latency_ms": 400}
SERVICES = [
    {"name": name, "health_path": "/healthz", "max_connections": 50} for name in ("plain", "kept")
]
ROUTES = [
    route("safe", "safe", "plain", **LONG),
    route("once", "unsafe", "plain", **LONG),
    route("safe-brief", "safe", "plain", timeout_ms=1_000),
    route("once-brief", "unsafe", "plain", timeout_ms=1_000),
    route("kept", "safe", "kept", **LONG),
]
DEADLINE = {"X-Corkcrank-Deadline-Ms": "15000"}
SHORT_DEADLINE = {"X-Corkcrank-Deadline-Ms": "1000"}


@dataclass
class Draining:
    """A gateway in its drain that has measured plain calls, and the worker of those."""

    running: World
    plain: StandinWorker

    async def call(
        self, name: str, headers: dict[str, str] = DEADLINE
    ) -> tuple[aiohttp.ClientResponse, bytes]:
        """Send a call and return its answer with the body."""
        response = await self.running.call(f"/{name}/x", headers=headers)
        return response, await response.read()


class SlowlyRejecting(StandinWorker):
    """A worker that has no place, and says so after a time."""

    rejected = 0
    rejects_at = 0.0

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        await until(lambda: clock.now() >= self.rejects_at)
        self.rejected += 1
        return web.Response(status=503, headers={NOT_RUN: "1", **self._ids(request)})


@asynccontextmanager
async def draining_gateway(after: float, grace: float = GRACE) -> AsyncIterator[Draining]:
    """Run a gateway that was signalled to stop ``after`` seconds ago and waits for a call."""
    plain, kept = StandinWorker(), StandinWorker(hold=asyncio.Event())
    served = {"p": (plain, "plain"), "k": (kept, "kept")}
    async with world(configuration(1, ROUTES, services=SERVICES), served, grace=grace) as running:
        node, played = running.nodes[0], Draining(running, plain)
        for name in KINDS * 2:
            assert (await played.call(name))[0].status == 200
        plain.seen.clear()
        keeps_it_open = asyncio.create_task(played.call("kept"))
        await until(lambda: bool(kept.seen))
        stopping = asyncio.create_task(node.stop(clock.now() - after))
        await until(lambda: node.life.draining)
        try:
            yield played
        finally:
            assert kept.hold is not None
            kept.hold.set()
            await keeps_it_open
            await stopping


def expect_not_run(response: aiohttp.ClientResponse, body: bytes) -> None:
    assert response.status == 503
    assert b"DRAINING" in body
    assert b'"ran":"no"' in body
    assert float(response.headers["Retry-After"]) < 1.0


@pytest.mark.parametrize("name", KINDS)
async def test_a_call_that_its_worker_may_not_end_in_time_is_not_begun_late(name: str) -> None:
    async with draining_gateway(LATE) as played:
        played.plain.hold = asyncio.Event()
        expect_not_run(*await played.call(name))
        assert played.plain.seen == []


@pytest.mark.parametrize("name", KINDS)
async def test_a_call_whose_own_time_ends_before_the_drain_is_served_late(name: str) -> None:
    async with draining_gateway(LATE) as played:
        assert (await played.call(name, SHORT_DEADLINE))[0].status == 200
        assert (await played.call(f"{name}-brief"))[0].status == 200


@pytest.mark.parametrize("name", KINDS)
async def test_a_call_is_served_while_the_balancer_may_not_have_noticed_the_stop(name: str) -> None:
    async with draining_gateway(EARLY) as played:
        assert (await played.call(name))[0].status == 200


async def test_only_a_repeatable_call_is_begun_once_the_balancer_has_noticed_the_stop() -> None:
    async with draining_gateway(NOTICED) as played:
        assert (await played.call("safe"))[0].status == 200
        assert len(played.plain.seen) == 1
        expect_not_run(*await played.call("once"))
        assert len(played.plain.seen) == 1


@pytest.mark.parametrize("name", KINDS)
async def test_a_call_that_waits_for_a_crash_check_is_not_begun_late(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with draining_gateway(MIDDLE) as played:
        drain = played.running.nodes[0].services.drain

        async def wait(*_: object) -> float:
            await until(lambda: clock.now() >= drain.signalled_at + LATE)
            return 0.0

        monkeypatch.setattr(CrashWatch, "wait_for_verdict", wait)
        played.plain.hold = asyncio.Event()
        expect_not_run(*await played.call(name))
        assert played.plain.seen == []


async def test_a_call_that_a_full_worker_rejects_late_is_not_begun_at_another() -> None:
    workers = [SlowlyRejecting() for _ in range(2)]
    served: dict[str, tuple[StandinWorker | StandinStageWorker, str]] = {
        f"p{number}": (worker, "plain") for number, worker in enumerate(workers)
    }
    async with world(configuration(1, ROUTES, services=SERVICES), served, grace=GRACE) as running:
        node, played = running.nodes[0], Draining(running, workers[0])
        stopping = asyncio.create_task(node.stop(clock.now() - MIDDLE))
        await until(lambda: node.life.draining)
        for worker in workers:
            worker.rejects_at = node.services.drain.signalled_at + LATE
        expect_not_run(*await played.call("once"))
        assert sum(worker.rejected for worker in workers) == 1
        await stopping


@pytest.mark.parametrize("name", KINDS)
async def test_a_call_whose_deadline_passes_late_is_answered_when_it_does(name: str) -> None:
    async with draining_gateway(LATE) as played:
        started = clock.now()
        played.plain.hold = asyncio.Event()
        response, body = await played.call(f"{name}-brief")
        assert response.status == 504
        assert b"DEADLINE_EXCEEDED" in body
        assert clock.now() < played.running.nodes[0].services.drain.answer_by
        assert clock.now() - started < 2.0


@pytest.mark.parametrize("name", KINDS)
async def test_an_answer_that_is_ready_late_in_the_drain_is_delivered(name: str) -> None:
    async with draining_gateway(0.0, SHORT_GRACE) as played:
        drain = played.running.nodes[0].services.drain
        played.plain.hold = asyncio.Event()
        call = asyncio.create_task(played.call(name))
        await until(lambda: bool(played.plain.seen))
        await until(lambda: clock.now() > drain.engines_until + 0.2)
        played.plain.hold.set()
        assert (await call)[0].status == 200
