"""Checks of workers after connection failures: calls share them, and stale results are not used.

Guards against one connection per failed call, and against a check that began before the worker's
exit and reports it as alive.
"""

import asyncio
import weakref

import pytest
from core_clock import core_clock
from node_world import configuration, route, until, world
from platform_standins import StandinWorker
from test_first_attempt import call_with

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import CallEnvelope, OpaqueCall
from corkcrank.links.decision_log import DecisionLog
from corkcrank.node.telemetry.metrics import NodeMetrics
from corkcrank.node.workers import crash_watch
from corkcrank.node.workers.crash_watch import CrashWatch
from corkcrank.scheduling.crash_reports import CrashReport, RequestAtCrash
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable

ROUTES = [route("talk", "stream", "model", stream_resume=True, max_attempts=1)]

REPORT_VALID_SECONDS = 2.0
"""Time after a crash for which a member's report of it stands for the gateway's own check."""

MARGIN_SECONDS = 0.01
CHECK_SECONDS = 0.05

MAX_CHECK_WAIT_SECONDS = 0.25
"""Time after which a call goes on although the check of its worker has no answer."""

FEW_TURNS = 5
"""Turns of the loop in which a call that waits for nothing goes on."""

WAIT_SLACK_SECONDS = 0.75
"""Time that a busy machine may take beside a wait."""


async def test_calls_that_fail_together_open_two_connections_at_most(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A reset of many connections is no exit; a check per call would open 20 connections."""
    checks = 0
    gate = asyncio.Event()

    async def has_exited(address: str, timeout_seconds: float) -> bool:
        nonlocal checks
        checks += 1
        await gate.wait()
        return False

    monkeypatch.setattr(crash_watch, "has_exited", has_exited)
    worker = StandinWorker(events=200, gap=0.05)
    async with core_clock(), world(configuration(1, ROUTES), {"m": (worker, "model")}) as running:
        calls = [await running.call("/talk/x") for _ in range(20)]
        await until(lambda: len(worker.seen) == 20)
        await worker.server.stop()
        failed_calls = running.nodes[0].crash_watch._tasks
        await until(lambda: len(failed_calls) == 20)
        gate.set()
        await until(lambda: not failed_calls)
        for call in calls:
            call.close()
        assert running.nodes[0].crash_watch.quarantine.empty
    assert checks <= 2


async def test_a_check_that_began_before_the_exit_is_repeated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    results = [asyncio.get_running_loop().create_future() for _ in range(2)]
    pending = iter(results)
    monkeypatch.setattr(
        crash_watch, "has_exited", lambda address, timeout_seconds: _result(next(pending))
    )
    watch = CrashWatch(WorkerStatisticsTable(), DecisionLog(None, "n"), NodeMetrics())
    worker = StandinWorker()
    await worker.server.start()
    record = _record(worker)
    checks = [asyncio.create_task(watch._has_exited(record))]
    await asyncio.sleep(0)
    checks.append(asyncio.create_task(watch._has_exited(record)))
    await asyncio.sleep(0)
    results[0].set_result(False)
    results[1].set_result(True)
    assert await asyncio.gather(*checks) == [False, True]
    await worker.server.stop()


async def _result(future: "asyncio.Future[bool]") -> bool:
    return await future


def _record(worker: StandinWorker) -> "crash_watch.WorkerRecord":
    return crash_watch.WorkerRecord(worker.worker_id, "model", worker.server.address, "z1")


@pytest.mark.parametrize("name", ["safe", "talk"])
async def test_workers_that_refuse_a_connection_are_no_evidence_against_a_call(name: str) -> None:
    """A call that reached no worker cannot have crashed any of them."""
    events = 2 if name == "talk" else 0
    workers = [StandinWorker(events=events) for _ in range(3)]
    routes = [
        route("safe", "safe", "plain", max_attempts=3),
        route("talk", "stream", "model", stream_resume=True, max_attempts=3),
    ]
    service = "model" if events else "plain"
    served = {str(number): (worker, service) for number, worker in enumerate(workers)}
    async with world(configuration(1, routes), served) as running:
        for worker in workers:
            await worker.server.stop()
        assert (await running.call(f"/{name}/x")).status == 503
        watch = running.nodes[0].crash_watch
        await until(lambda: not watch._tasks)
        assert watch.quarantine.empty


CALL = call_with(4.0)
WORKER = crash_watch.WorkerRecord("w", "model", "127.0.0.1:1", "z1")


def watch_without_a_way_to_workers(monkeypatch: pytest.MonkeyPatch) -> CrashWatch:
    """Return the crash watch of a gateway whose checks of workers get no answer."""

    async def has_exited(address: str, timeout_seconds: float) -> bool:
        await asyncio.Event().wait()
        return False

    monkeypatch.setattr(crash_watch, "has_exited", has_exited)
    return CrashWatch(WorkerStatisticsTable(), DecisionLog(None, "n"), NodeMetrics())


def call_that_ends_in(seconds: float) -> OpaqueCall:
    call = call_with(seconds)
    call.end_at = clock.now() + seconds
    return call


async def test_call_goes_on_only_after_the_check_of_the_worker_that_it_was_lost_at(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against sound calls that follow a crashing one to the next engines in no turn."""
    gate = asyncio.Event()

    async def has_exited(address: str, timeout_seconds: float) -> bool:
        await gate.wait()
        return True

    monkeypatch.setattr(crash_watch, "has_exited", has_exited)
    watch = CrashWatch(WorkerStatisticsTable(), DecisionLog(None, "n"), NodeMetrics())
    call = call_that_ends_in(4.0)
    watch.record_connection_failure(call, WORKER)
    waiting = asyncio.create_task(watch.wait_for_verdict(call))
    await asyncio.sleep(CHECK_SECONDS)
    assert not waiting.done()
    gate.set()
    await waiting
    (record,) = watch.quarantine.records
    assert call.fingerprint in record.requests
    await watch.close()


@pytest.mark.parametrize("seconds_left", [0.02, 4.0])
async def test_call_does_not_wait_for_a_check_without_an_answer(
    monkeypatch: pytest.MonkeyPatch, seconds_left: float
) -> None:
    watch = watch_without_a_way_to_workers(monkeypatch)
    call = call_that_ends_in(seconds_left)
    watch.record_connection_failure(call, WORKER)
    async with core_clock(), asyncio.timeout(MAX_CHECK_WAIT_SECONDS + WAIT_SLACK_SECONDS):
        assert await watch.wait_for_verdict(call) == 0.0
    await watch.close()


async def test_call_goes_on_as_soon_as_a_member_reports_the_crash_that_it_was_lost_at(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against calls that wait for their gateway's own check, which has no answer."""
    watch = watch_without_a_way_to_workers(monkeypatch)
    call = call_that_ends_in(4.0)
    watch.record_connection_failure(call, WORKER)
    waiting = asyncio.create_task(watch.wait_for_verdict(call))
    await asyncio.sleep(0)
    assert not waiting.done()
    watch.apply_reports([crash_of_worker(0.1)], "member")
    for _ in range(FEW_TURNS):
        await asyncio.sleep(0)
    assert waiting.done()
    assert all(call.fingerprint in record.requests for record in watch.quarantine.records)
    await watch.close()


async def test_the_check_of_a_worker_keeps_no_body_of_a_call_that_has_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against large bodies that callers send again and again, and no account counts."""
    watch = watch_without_a_way_to_workers(monkeypatch)
    call = call_that_ends_in(4.0)
    kept = weakref.ref(call)
    watch.record_connection_failure(call, WORKER)
    await asyncio.sleep(0)
    del call
    assert kept() is None
    await watch.close()


async def test_calls_that_were_not_lost_do_not_wait_for_the_checks_of_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    watch = watch_without_a_way_to_workers(monkeypatch)
    watch.record_connection_failure(call_that_ends_in(4.0), WORKER)
    other = call_that_ends_in(4.0)
    other.envelope = CallEnvelope("2", budget_seconds=4.0)
    waiting = asyncio.create_task(watch.wait_for_verdict(other))
    for _ in range(FEW_TURNS):
        await asyncio.sleep(0)
    assert waiting.done()
    await watch.close()


def crash_of_worker(age: float) -> CrashReport:
    return CrashReport.from_requests("w", age, [RequestAtCrash("07" * 8)], incomplete=False)


@pytest.fixture
def still_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Stop the clock, so that no report becomes older than the test says."""
    at = clock.now()
    monkeypatch.setattr(clock, "now", lambda: at)


@pytest.mark.usefixtures("still_clock")
@pytest.mark.parametrize("age", [0.1, REPORT_VALID_SECONDS - MARGIN_SECONDS])
@pytest.mark.parametrize("reported_first", [False, True])
async def test_request_sent_through_a_member_is_in_the_record_of_its_workers_crash(
    monkeypatch: pytest.MonkeyPatch, reported_first: bool, age: float
) -> None:
    """Guards against neighbours that are blamed for what a partitioned gateway's request did."""
    watch = watch_without_a_way_to_workers(monkeypatch)
    if reported_first:
        watch.apply_reports([crash_of_worker(age)], "member")
    watch.record_connection_failure(CALL, WORKER)
    await asyncio.sleep(0)
    if not reported_first:
        watch.apply_reports([crash_of_worker(age)], "member")
    (record,) = watch.quarantine.records
    assert CALL.fingerprint in record.requests
    await watch.close()


@pytest.mark.usefixtures("still_clock")
@pytest.mark.parametrize("reported_first", [False, True])
async def test_request_is_not_in_the_record_of_a_crash_long_before_it_failed(
    monkeypatch: pytest.MonkeyPatch, reported_first: bool
) -> None:
    watch = watch_without_a_way_to_workers(monkeypatch)
    age = REPORT_VALID_SECONDS + MARGIN_SECONDS
    if reported_first:
        watch.apply_reports([crash_of_worker(age)], "member")
    watch.record_connection_failure(CALL, WORKER)
    await asyncio.sleep(0)
    if not reported_first:
        watch.apply_reports([crash_of_worker(age)], "member")
    (record,) = watch.quarantine.records
    assert CALL.fingerprint not in record.requests
    await watch.close()
