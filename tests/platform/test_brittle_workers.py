"""Workers that say that they are brittle are not sent more than they have room for.

Guards against gateways that each send until the worker rejects: it bears few rejections a second
from all of them together, and falls over beyond that.
"""

import asyncio

import pytest
from brittle_workers import BrittleWorker
from core_clock import core_clock
from node_world import World
from test_limited_workers import SERVICES, ServedWorkers, call, two_gateways

from corkcrank.contracts import clock
from corkcrank.node.limits import limit_grants
from corkcrank.node.peers.peer_protocol import LimitGrant, LimitGrantRequest
from corkcrank.scheduling.concurrency_caps import PLACE_WAIT_SECONDS

WORKERS = 4
SHRINK_SECONDS = 3.0
"""Time from a worker's first answer until it has room for fewer calls."""

LOAD_SECONDS = 7.0
ROOM_AFTERWARDS = 2
CALLS_PER_SECOND = 50
CALLS_PER_SECOND_OF_ROOM = 80
MIN_SERVED_SHARE = 0.95
REFUSAL_SECONDS = 0.5
TOTAL_PLACE_WAIT_SECONDS = 0.2
"""Time for which a call may wait at owners for places, all its waits together."""


def allowed_falls(workers: int) -> float:
    """Return how often workers may fall over in one time in which they are brittle."""
    return 2 + workers / 10


async def timed_call(running: World, name: str, number: int) -> tuple[int, float]:
    started = clock.now()
    try:
        response = await call(running, name, number)
    except OSError:
        return 0, clock.now() - started
    return response.status, clock.now() - started


async def play(
    running: World, workers: list[BrittleWorker], name: str, rate: int
) -> list[tuple[int, float]]:
    """Send calls to all gateways in turn; the workers' room shrinks meanwhile."""
    asyncio.get_running_loop().call_later(SHRINK_SECONDS, shrink, workers)
    tasks = []
    for number in range(int(rate * LOAD_SECONDS)):
        tasks.append(asyncio.create_task(timed_call(running, name, number)))
        await asyncio.sleep(1.0 / rate)
    return await asyncio.gather(*tasks)


def shrink(workers: list[BrittleWorker]) -> None:
    for worker in workers:
        worker.room = ROOM_AFTERWARDS


@pytest.mark.parametrize("rate", [CALLS_PER_SECOND, CALLS_PER_SECOND_OF_ROOM + 10])
@pytest.mark.parametrize("name", ["safe", "once", "talk", "resumed"])
async def test_brittle_workers_do_not_fall_over(name: str, rate: int) -> None:
    events = 2 if SERVICES[name] == "model" else 0
    workers = [BrittleWorker(events=events) for _ in range(WORKERS)]
    served: ServedWorkers = {str(n): (worker, SERVICES[name]) for n, worker in enumerate(workers)}
    async with core_clock(), two_gateways(served) as running:
        answers = await play(running, workers, name, rate)
        assert sum(worker.falls for worker in workers) <= allowed_falls(WORKERS)
        dumps = [worker for node in running.nodes for worker in node.dump().workers]
        assert any(worker.places is not None for worker in dumps)
        statuses = [status for status, _ in answers]
        if rate < CALLS_PER_SECOND_OF_ROOM:
            assert statuses.count(200) >= MIN_SERVED_SHARE * len(statuses)
        waits = [seconds for status, seconds in answers if status == 503]
        assert max(waits, default=0.0) < REFUSAL_SECONDS


async def test_a_gateway_that_waits_too_long_for_a_place_is_noticed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The clock that leaves out waits for a core would be useless if it left out these."""
    monkeypatch.setattr(limit_grants, "MAX_PLACE_WAIT_SECONDS", REFUSAL_SECONDS + 0.1)
    workers = [BrittleWorker() for _ in range(WORKERS)]
    served: ServedWorkers = {str(n): (worker, "plain") for n, worker in enumerate(workers)}
    async with core_clock(), two_gateways(served) as running:
        answers = await play(running, workers, "once", CALLS_PER_SECOND_OF_ROOM + 10)
    assert max(seconds for status, seconds in answers if status == 503) >= REFUSAL_SECONDS


async def test_an_owner_without_candidates_does_not_wait_for_a_place() -> None:
    worker = BrittleWorker()
    async with two_gateways({"only": (worker, "plain")}) as running:
        owner = running.nodes[0]._peer_server._limit_owner
        request = LimitGrantRequest("call", "plain", "z1", ("gone",), patience=2.0)
        started = clock.now()
        assert (await owner.grant_or_wait(request)).worker_id == ""
        assert clock.now() - started < REFUSAL_SECONDS


async def test_a_call_that_is_rejected_after_a_wait_does_not_wait_as_long_again() -> None:
    """Refusals of calls that were rejected took the wait at each worker that they tried."""
    workers = [BrittleWorker(room=0, tolerated=CALLS_PER_SECOND) for _ in range(2)]
    served: ServedWorkers = {str(n): (worker, "plain") for n, worker in enumerate(workers)}
    async with two_gateways(served) as running:
        for number in range(4):
            assert (await call(running, "once", number)).status == 503
        waited: list[float] = []

        async def wait_and_grant(request: LimitGrantRequest) -> LimitGrant:
            if request.patience <= 0:
                return LimitGrant("", PLACE_WAIT_SECONDS)
            waited.append(request.patience)
            await asyncio.sleep(request.patience)
            return LimitGrant(request.workers[0])

        for node in running.nodes:
            node._peer_server._limit_owner.grant_or_wait = wait_and_grant  # type: ignore[method-assign]
        rejections = sum(worker.rejections for worker in workers)
        assert (await call(running, "once", 0)).status == 503
        assert sum(worker.rejections for worker in workers) > rejections
        assert waited
        assert sum(waited) <= TOTAL_PLACE_WAIT_SECONDS
