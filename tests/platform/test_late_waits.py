"""Tests that a request that waited for something through a drain reaches no worker late in it."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import pytest
from node_world import World, configuration, route, until, world
from platform_standins import StandinWorker
from test_stop_ends import head, opened

from corkcrank.contracts import clock
from corkcrank.node.callers.drain import DrainSchedule
from corkcrank.node.limits.limit_grants import LimitGrantClient, LimitVerdict
from corkcrank.node.limits.worker_limits import WorkerLimits
from corkcrank.node.workers.crash_watch import CrashWatch

GRACE = 8.0
"""Seconds from the signal to the end of the process; nothing new goes to a worker after 3.8."""

EARLY, MIDDLE, LATE = 1.0, 2.3, 4.8
"""Times after the signal at which a request is read, or at which it would reach a worker."""

EVENTS = 4
LONG = {"timeout_ms": 15_000, "target_latency_ms": 400}
ROUTES = [
    route("safe", "safe", "plain", **LONG),
    route("once", "unsafe", "plain", **LONG),
    route("talk", "stream", "model", **LONG),
]
PLAIN = ("safe", "once")
KINDS = (*PLAIN, "talk")
BODY = b"0123456789"
LINES = ("X-Corkcrank-Token-Count: 10,4", "X-Corkcrank-Deadline-Ms: 15000")
HEADERS = {"X-Corkcrank-Token-Count": f"10,{EVENTS}", "X-Corkcrank-Deadline-Ms": "15000"}


@dataclass
class Gateway:
    """A gateway that has measured requests of each kind, and the workers of those."""

    running: World
    workers: list[StandinWorker]
    stopping: asyncio.Task[None] | None = None

    @property
    def drain(self) -> DrainSchedule:
        return self.running.nodes[0].services.drain

    @property
    def seen(self) -> int:
        return sum(len(worker.seen) for worker in self.workers)

    async def signal(self, age: float) -> None:
        """Begin the drain of a signal that was given ``age`` seconds ago."""
        node = self.running.nodes[0]
        self.stopping = asyncio.create_task(node.stop(clock.now() - age))
        await until(lambda: node.life.draining)

    async def until_late(self) -> None:
        await until(lambda: clock.now() >= self.drain.signalled_at + LATE)

    async def expect_refusal(self, name: str) -> None:
        """Send a request and fail unless it is refused as not run."""
        response = await self.running.call(f"/{name}/x", headers=HEADERS)
        expect_not_run(f"HTTP/1.1 {response.status}".encode() + await response.read())


@asynccontextmanager
async def gateway() -> AsyncIterator[Gateway]:
    workers = [StandinWorker(), StandinWorker(events=EVENTS, gap=0.01)]
    served = {"p": (workers[0], "plain"), "m": (workers[1], "model")}
    async with world(configuration(1, ROUTES), served, grace=GRACE) as running:
        for name in KINDS * 2:
            response = await running.call(f"/{name}/x", headers=HEADERS)
            assert response.status == 200
            await response.read()
        for worker in workers:
            worker.seen.clear()
        played = Gateway(running, workers)
        yield played
        if played.stopping is not None:
            await played.stopping


def expect_not_run(data: bytes) -> None:
    assert data.startswith(b"HTTP/1.1 503")
    assert b"DRAINING" in data
    assert b'"ran":"no"' in data


@pytest.mark.parametrize("name", KINDS)
@pytest.mark.parametrize(("age", "served"), [(EARLY, True), (LATE, False)])
async def test_a_body_that_arrives_through_the_signal_is_judged_when_it_is_whole(
    name: str, age: float, served: bool
) -> None:
    async with gateway() as played:
        reader, writer = await opened(played.running)
        writer.write(head(f"/{name}/x", *LINES, f"Content-Length: {len(BODY)}") + BODY[:3])
        await until(lambda: played.running.nodes[0].callers.in_flight == 1)
        await played.signal(age)
        writer.write(BODY[3:])
        data = await reader.read()
        if served:
            assert data.startswith(b"HTTP/1.1 200")
            assert data.count(b"id: ") == (EVENTS if name == "talk" else 0)
        else:
            expect_not_run(data)
            assert played.seen == 0
        writer.close()


@pytest.mark.parametrize("name", KINDS)
async def test_a_request_that_waits_for_a_grant_is_not_begun_late(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with gateway() as played:

        async def grant_late(
            _: object, call: object, workers: list[Any], *, begins: bool = False
        ) -> LimitVerdict:
            await played.until_late()
            return LimitVerdict(workers[0])

        monkeypatch.setattr(WorkerLimits, "limited", lambda _, workers, now: list(workers))
        monkeypatch.setattr(LimitGrantClient, "request_grant", grant_late)
        await played.signal(MIDDLE)
        await played.expect_refusal(name)
        assert played.seen == 0
        assert clock.now() < played.drain.signalled_at + LATE


async def test_a_stream_that_waits_for_a_crash_check_is_not_begun_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with gateway() as played:

        async def wait(*_: object) -> float:
            await played.until_late()
            return 0.0

        monkeypatch.setattr(CrashWatch, "wait_for_verdict", wait)
        await played.signal(MIDDLE)
        await played.expect_refusal("talk")
        assert played.seen == 0


@pytest.mark.parametrize("name", KINDS)
async def test_a_request_whose_worker_is_full_until_late_is_not_begun_then(name: str) -> None:
    async with gateway() as played:
        for worker in played.workers:
            worker.faults.extend(["full"] * 1_000)
        await played.signal(MIDDLE)
        freed = asyncio.create_task(free_late(played))
        response = await played.running.call(f"/{name}/x", headers=HEADERS)
        assert response.status == 503
        assert b'"ran":"no"' in await response.read()
        assert played.seen == 0
        freed.cancel()


async def free_late(played: Gateway) -> None:
    await played.until_late()
    for worker in played.workers:
        worker.faults.clear()
