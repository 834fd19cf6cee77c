"""After a suspension of the machine, ages and deadlines include the time of the suspension.

Python's monotonic clock stops while a machine is suspended. By that clock, a gateway that resumed
after 10 seconds had an up-to-date list of workers and peers, and unchanged deadlines of callers and
of its stop's grace period. So it sent calls that their callers had abandoned, and continued a stop
whose grace period the platform counted as over.
"""

import asyncio
import time

import pytest
from node_world import World, configuration, peer_of, route, stop, until, world
from platform_standins import StandinStageWorker, StandinWorker

from corkcrank.load.loopback import loopback_address

STAGES = [{"service": "encode", "since_revision": [], "byte_length": 1000}]
PIECES = {"X-Corkcrank-Segments": "1", "X-Corkcrank-Segment-Key": "abcd"}
ROUTES = [
    route("safe", "safe", "plain", max_attempts=3),
    route("once", "unsafe", "plain"),
    route("long", "unsafe", "plain", timeout_ms=60_000),
    route("staged", "stream", "model", stages=STAGES),
]
SUSPENDED_SECONDS = 10.0
LONG = {"X-Corkcrank-Deadline-Ms": "60000"}


class Suspensions:
    """Advances the clock that includes suspensions, as when a suspended machine resumes."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self._seconds = 0.0
        read = time.clock_gettime

        def clock_gettime(number: int) -> float:
            return read(number) + (self._seconds if number == time.CLOCK_BOOTTIME else 0.0)

        patch.setattr(time, "clock_gettime", clock_gettime)

    def suspend(self, seconds: float = SUSPENDED_SECONDS) -> None:
        self._seconds += seconds


@pytest.fixture
def suspensions(monkeypatch: pytest.MonkeyPatch) -> Suspensions:
    return Suspensions(monkeypatch)


async def test_a_call_past_its_deadline_is_not_sent_to_an_engine(suspensions: Suspensions) -> None:
    engine, encoder = StandinWorker(events=3), StandinStageWorker(gate=asyncio.Event())
    served = {"m": (engine, "model"), "e": (encoder, "encode")}
    async with world(configuration(1, ROUTES), served) as running:
        call = asyncio.create_task(running.call("/staged/x", headers=PIECES))
        await until(lambda: bool(encoder.calls))
        suspensions.suspend()
        assert encoder.gate is not None
        encoder.gate.set()
        assert (await call).status in (503, 504)
    assert not engine.seen


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
async def test_a_call_past_its_deadline_is_not_sent_again(
    path: str, suspensions: Suspensions
) -> None:
    workers = [StandinWorker(hold=asyncio.Event()) for _ in range(2)]
    served = {worker.worker_id: (worker, "plain") for worker in workers}
    async with world(configuration(1, ROUTES), served) as running:
        call = asyncio.create_task(running.call(path))
        await until(lambda: any(worker.seen for worker in workers))
        suspensions.suspend()
        (first,) = [worker for worker in workers if worker.seen]
        await first.server.stop()
        assert (await call).status in (502, 504)
    assert sum(len(worker.seen) for worker in workers) == 1


async def test_the_grace_period_of_a_stop_includes_a_suspension(suspensions: Suspensions) -> None:
    worker = StandinWorker(hold=asyncio.Event())
    document = configuration(1, ROUTES)
    async with world(document, {"one": (worker, "plain")}, grace=30.0) as running:
        call = asyncio.create_task(running.call("/long/x", headers=LONG))
        await until(lambda: bool(worker.seen))
        stopping = await stop(running)
        suspensions.suspend(30.0)
        async with asyncio.timeout(5.0):
            assert (await call).status == 504
            await stopping


async def test_the_age_of_the_configuration_includes_a_suspension(suspensions: Suspensions) -> None:
    served = {"one": (StandinWorker(), "plain")}
    async with (
        world(configuration(1, ROUTES), served) as running,
        peer_of(running, loopback_address(2)),
    ):
        await until(lambda: all(node.ready for node in running.nodes))
        node = running.nodes[0]
        before = configuration_age(running)
        suspensions.suspend()
        assert configuration_age(running) >= before + SUSPENDED_SECONDS - 1.0
        # The store responds, heartbeats of the peer arrive, and no member was removed as failed.
        await until(lambda: configuration_age(running) < 2.0)
        assert len(node.dump().members) == 1


def configuration_age(running: World) -> float:
    """Return the age in seconds of the last confirmation of the configuration by the store."""
    return running.nodes[0].dump().configuration_age


async def test_a_suspension_is_logged_and_counted(suspensions: Suspensions) -> None:
    async with world(configuration(1, ROUTES), {"one": (StandinWorker(), "plain")}) as running:
        node = running.nodes[0]
        suspensions.suspend()
        counter = node.services.metrics.suspensions
        await until(lambda: counter._value.get() == 1)
