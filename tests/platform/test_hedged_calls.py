"""A repeatable plain call is answered by its silent worker if the next one fails.

Guards against a call that left a silent but sound worker for another one, which rejected it: the
call ended with WORKER_LOST a moment before the first worker answered.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
from lost_workers import SilentWorld, silent_world, spend_repeats
from node_world import WorldLinks, configuration, route, until, world
from platform_standins import NOT_RUN, StandinWorker
from silent_link import SilentLink
from test_evacuated_zones import ZonedWorker
from test_silent_workers import SlowWorker

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.node.calls import plain_run
from corkcrank.node.calls.services import CallServices

SILENCE_SECONDS = 0.2
KEPT = 3
"""Number of idle connections to a worker when they go silent."""

ROUTES = [
    route("safe", "safe", "plain", timeout_ms=20_000, max_attempts=2),
    route("once", "unsafe", "plain", timeout_ms=20_000, max_attempts=2),
]
FAILURES = [
    "full",
    "gone",
    "reset",
    "partial-head",
    "cut-chunk",
    "unframed-reset",
    "no-seal",
    "foreign-id",
]


@pytest.fixture(autouse=True)
def short_silences(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(plain_run, "MIN_SILENCE_SECONDS", SILENCE_SECONDS)
    monkeypatch.setattr(plain_run, "SILENCE_FACTOR", 0.0)


@dataclass
class HedgedWorld:
    """Two workers: the first one that is sent a call answers once ``silent.hold`` is set."""

    silent: SilentWorld
    patch: pytest.MonkeyPatch
    first: list[ZonedWorker] = field(default_factory=list)
    released: list[str] = field(default_factory=list)

    def prepare_second(self, fault: str = "", hold: asyncio.Event | None = None) -> None:
        """Set what the worker does that has no request when the first call is sent."""

        def prepare(address: str) -> None:
            for worker in self.silent.workers:
                if worker.server.address == address:
                    self.first.append(worker)
                    continue
                worker.hold = hold
                if fault:
                    worker.faults.append(fault)

        self.silent.when_sent(self.patch, prepare)
        self._record_releases()

    def _record_releases(self) -> None:
        """Record the workers whose leases are released for a call, and hold one of each."""
        leases = self.silent.services.leases
        release = leases.release

        def record_release(call_id: str, worker_id: str, **reasons: bool) -> None:
            if worker_id in leases._owners.get(call_id, {}):
                self.released.append(worker_id)
            release(call_id, worker_id, **reasons)

        start = self.silent.services.try_start_attempt

        def start_with_leases(call: OpaqueCall) -> bool:
            started = start(call)
            for worker in self.silent.workers if started and not call.workers_tried else ():
                owner = self.silent.services.fleet.local_name
                leases.record(call.call_id, worker.worker_id, owner)
            return started

        self.patch.setattr(leases, "release", record_release)
        self.patch.setattr(
            CallServices, "try_start_attempt", lambda _, call: start_with_leases(call)
        )

    @property
    def second(self) -> ZonedWorker:
        """Return the worker that was not sent the call first."""
        return next(worker for worker in self.silent.workers if worker is not self.first[0])

    def failures(self, worker: ZonedWorker) -> int:
        """Return the failures that the gateway counts at a worker."""
        statistics = self.silent.services.worker_statistics.get_or_create(worker.worker_id)
        return statistics.recent_failures(clock.now())

    def count(self, outcome: str) -> float:
        """Return the attempts that ended with an outcome."""
        return self.silent.services.metrics.attempts.labels(outcome)._value.get()

    def attempts(self) -> int:
        """Return the requests that workers have received; a rejection is no request."""
        return self.silent.requests

    async def check_released(self) -> None:
        """Check that nothing of the call is left, and that each lease was released once."""
        table = self.silent.services.worker_statistics
        ids = [worker.worker_id for worker in self.silent.workers]
        await until(lambda: self.silent.running.nodes[0].callers.in_flight == 0)
        assert [table.get_or_create(worker_id).in_flight for worker_id in ids] == [0, 0]
        assert [table.requests.at(worker_id) for worker_id in ids] == [0, 0]
        assert sorted(self.released) == sorted(ids)
        assert not self.silent.services.leases._owners


@asynccontextmanager
async def hedged_world(patch: pytest.MonkeyPatch) -> AsyncIterator[HedgedWorld]:
    one, two = SlowWorker("z1"), SlowWorker("z2")
    async with silent_world(ROUTES, "plain", one, two) as silent:
        yield HedgedWorld(silent, patch)


async def pass_silence(times: float = 1.5) -> None:
    await asyncio.sleep(times * SILENCE_SECONDS)


@pytest.mark.parametrize("fault", FAILURES)
async def test_a_silent_worker_answers_after_the_next_one_has_failed(
    fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with hedged_world(monkeypatch) as hedged:
        hedged.prepare_second(fault)
        call = hedged.silent.start_call("/safe/x")
        await until(lambda: bool(hedged.first) and not hedged.second.faults)
        await pass_silence()
        assert not call.done()
        hedged.silent.hold.set()
        response = await call
        assert response.status == 200
        assert await response.read() == b"answer of " + hedged.first[0].worker_id.encode()
        await hedged.check_released()


async def test_a_silent_worker_answers_after_the_connection_to_the_next_one_was_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with hedged_world(monkeypatch) as hedged:
        hedged.prepare_second()
        call = hedged.silent.start_call("/safe/x")
        await until(lambda: bool(hedged.first))
        await hedged.second.server.stop()
        await until(lambda: hedged.count("not-sent") == 1)
        assert not call.done()
        hedged.silent.hold.set()
        assert (await call).status == 200
        await hedged.check_released()


async def test_the_first_of_two_silent_workers_that_answers_serves_the_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with hedged_world(monkeypatch) as hedged:
        hedged.prepare_second(hold=asyncio.Event())
        call = hedged.silent.start_call("/safe/x")
        await until(lambda: hedged.attempts() == 2)
        await pass_silence()
        hedged.silent.hold.set()
        response = await call
        assert await response.read() == b"answer of " + hedged.first[0].worker_id.encode()
        await until(lambda: hedged.second.left == 1)
        assert hedged.first[0].left == 0
        assert (hedged.failures(hedged.first[0]), hedged.failures(hedged.second)) == (0, 1)
        await hedged.check_released()


async def test_an_answer_ends_the_attempt_at_the_silent_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with hedged_world(monkeypatch) as hedged:
        hedged.prepare_second()
        response = await hedged.silent.start_call("/safe/x")
        assert await response.read() == b"answer of " + hedged.second.worker_id.encode()
        await until(lambda: hedged.first[0].left == 1)
        assert (hedged.failures(hedged.first[0]), hedged.failures(hedged.second)) == (1, 0)
        assert (hedged.count("lost"), hedged.count("dropped")) == (1, 0)
        await hedged.check_released()


async def test_a_worker_that_was_asked_a_moment_ago_is_not_blamed_for_an_attempt_that_is_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with hedged_world(monkeypatch) as hedged:
        hedged.prepare_second(hold=asyncio.Event())
        call = hedged.silent.start_call("/safe/x")
        await until(lambda: hedged.attempts() == 2)
        hedged.silent.hold.set()
        assert (await call).status == 200
        await until(lambda: hedged.second.left == 1)
        assert (hedged.failures(hedged.first[0]), hedged.failures(hedged.second)) == (0, 0)
        assert (hedged.count("lost"), hedged.count("dropped")) == (0, 1)
        await hedged.check_released()


async def test_a_caller_that_leaves_ends_both_attempts(monkeypatch: pytest.MonkeyPatch) -> None:
    async with hedged_world(monkeypatch) as hedged:
        hedged.prepare_second(hold=asyncio.Event())
        call = hedged.silent.start_call("/safe/x")
        await until(lambda: hedged.attempts() == 2)
        call.cancel()
        await until(lambda: (hedged.first[0].left, hedged.second.left) == (1, 1))
        assert (hedged.failures(hedged.first[0]), hedged.failures(hedged.second)) == (0, 0)
        await hedged.check_released()


async def test_a_silent_call_is_sent_no_more_often_than_the_route_allows(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with hedged_world(monkeypatch) as hedged:
        third = SlowWorker("z1", hold=hedged.silent.hold)
        await third.server.start()
        hedged.silent.running.store.put("servers", third.worker_id, third.entry("plain"))
        usable = hedged.silent.services.mirror.workers.usable_workers
        await until(lambda: len(usable("plain")) == 3)
        call = hedged.silent.start_call("/safe/x")
        await pass_silence(8.0)
        assert hedged.silent.requests + len(third.seen) == 2
        hedged.silent.hold.set()
        assert (await call).status == 200
        await third.server.stop()


async def test_a_silent_call_is_not_repeated_beyond_the_retry_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with hedged_world(monkeypatch) as hedged:
        hedged.silent.when_sent(monkeypatch, lambda address: spend_repeats(hedged.silent, address))
        call = hedged.silent.start_call("/safe/x")
        await pass_silence(5.0)
        assert hedged.silent.requests == 1
        hedged.silent.hold.set()
        assert (await call).status == 200


async def test_a_call_that_all_workers_rejected_is_refused_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with hedged_world(monkeypatch) as hedged:
        hedged.prepare_second("full")
        call = hedged.silent.start_call("/safe/x")
        await until(lambda: hedged.count("not-run") == 1)
        monkeypatch.setattr(
            SlowWorker, "_head", lambda worker, request, _: {NOT_RUN: "1", **worker._ids(request)}
        )
        hedged.silent.hold.set()
        told = await (await call).json()
        assert (told["name"], told["ran"]) == ("WORKERS_FULL", "no")


async def test_an_unrepeatable_call_is_never_hedged(monkeypatch: pytest.MonkeyPatch) -> None:
    async with hedged_world(monkeypatch) as hedged:
        call = hedged.silent.start_call("/once/x")
        await pass_silence(5.0)
        hedged.silent.hold.set()
        assert ((await call).status, hedged.silent.requests) == (200, 1)


async def test_a_call_does_not_wait_on_a_kept_connection_that_is_as_silent_as_one_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    worker = StandinWorker(hold=asyncio.Event())
    links = WorldLinks(workers={"only": SilentLink()})
    served = {"only": (worker, "plain")}
    async with world(configuration(1, ROUTES), served, links) as running:
        calls = [asyncio.create_task(running.call("/safe/x")) for _ in range(KEPT)]
        await until(lambda: len(worker.seen) == KEPT)
        worker.hold.set()
        assert [(await call).status for call in calls] == [200] * KEPT
        links.workers["only"].silence()
        first = asyncio.create_task(running.call("/safe/x"))
        await pass_silence()
        async with asyncio.timeout(2.0):
            assert (await running.call("/safe/x")).status == 200
        assert links.workers["only"].used_when_silent == 1
        assert not first.done()
        first.cancel()
