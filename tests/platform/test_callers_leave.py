"""Half a second after a caller closes its connection, no work for it is sent or running.

Each test closes a caller's connection at one step of its call.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from callers import (
    LEAVE_SECONDS,
    Caller,
    Served,
    accepted_callers,
    caller_of,
    ends_in_time,
    request_bytes,
    requests_seen,
    results_held,
    send_and_leave_unread,
)
from node_world import World, configuration, route, until, world
from platform_standins import StandinStageWorker, StandinWorker

from corkcrank.contracts import clock

STAGES = [
    {"service": "encode", "since_revision": [], "byte_length": 1000},
    {"service": "rerank", "since_revision": [0], "byte_length": 500},
]
ROUTES = [
    route("safe", "safe", "plain", max_attempts=3),
    route("once", "unsafe", "plain"),
    route("talk", "stream", "model"),
    route("resumed", "stream", "model", stream_resume=True, max_attempts=3),
    route("staged", "stream", "model", stages=STAGES),
]
PIECES = {"X-Corkcrank-Segments": "2,1", "X-Corkcrank-Segment-Key": "k"}
CLOSED_CALLERS = 5
WAYS = ["close", "reset", "write-side"]


def staged_workers(gate: asyncio.Event | None = None, **fields: int) -> Served:
    return {
        "m": (StandinWorker(events=3), "model"),
        "e": (StandinStageWorker(gate=gate, **fields), "encode"),  # type: ignore[arg-type]
        "r": (StandinStageWorker(), "rerank"),
    }


@asynccontextmanager
async def calling(served: Served, path: str) -> AsyncIterator[tuple[World, Caller]]:
    """Run a gateway and one caller that has sent a request."""
    async with (
        world(configuration(1, ROUTES), served) as running,
        caller_of(running) as caller,
    ):
        caller.send(path, PIECES if "staged" in path else None)
        yield running, caller


async def assert_nothing_is_sent(running: World, served: Served, caller: Caller) -> None:
    """Check that the call ends in time and that no worker gets a request later."""
    await ends_in_time(running)
    before = requests_seen(served)
    await caller.half_a_second_later()
    assert requests_seen(served) == before


@pytest.mark.parametrize("how", WAYS)
@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/talk/x"])
async def test_before_an_answer_the_worker_sees_the_close(path: str, how: str) -> None:
    plain, model = StandinWorker(faults=deque(["hang"])), StandinWorker(faults=deque(["hang"]))
    served: Served = {"p": (plain, "plain"), "m": (model, "model")}
    async with calling(served, path) as (running, caller):
        await until(lambda: requests_seen(served) == 1)
        caller.leave(how)
        await until(lambda: plain.left + model.left == 1, seconds=LEAVE_SECONDS)
        await assert_nothing_is_sent(running, served, caller)
        assert requests_seen(served) == 1


@pytest.mark.parametrize("how", WAYS)
async def test_in_mid_stream_the_engine_sees_the_close(how: str) -> None:
    model = StandinWorker(events=1000, gap=0.02)
    served: Served = {"m": (model, "model")}
    async with calling(served, "/talk/x") as (running, caller):
        await caller.reader.readuntil(b"id: 3")
        caller.leave(how)
        await until(lambda: model.left == 1, seconds=LEAVE_SECONDS)
        await assert_nothing_is_sent(running, served, caller)


@pytest.mark.parametrize("how", WAYS)
async def test_a_caller_that_reads_slowly_and_leaves_frees_its_engine(how: str) -> None:
    """A closed connection stays open until all data written to it has been read.

    An engine was still working half a second after a caller that had stopped reading closed its
    sending side.
    """
    model = StandinWorker(events=1000, padding=60_000)
    served: Served = {"m": (model, "model")}
    async with calling(served, "/talk/x") as (running, caller):
        await caller.reader.readuntil(b"id: 1")
        (connection,) = running.nodes[0].callers.connections()
        await until(lambda: connection._paused)
        caller.leave(how)
        await until(lambda: model.left == 1, seconds=LEAVE_SECONDS)
        await assert_nothing_is_sent(running, served, caller)


@pytest.mark.parametrize("how", WAYS)
async def test_an_engine_is_not_blamed_for_a_caller_that_left(how: str) -> None:
    """A stream that its caller closed must not count as a failure of the engine.

    Engines are chosen and avoided by their failures of the last seconds, so callers that leave
    would keep other calls away from healthy engines.
    """
    model = StandinWorker(events=1000, gap=0.02)
    async with calling({"m": (model, "model")}, "/talk/x") as (running, caller):
        await caller.reader.readuntil(b"id: 3")
        caller.leave(how)
        await until(lambda: model.left == 1)
        await ends_in_time(running)
        statistics = running.nodes[0].services.worker_statistics.get_or_create(model.worker_id)
        assert not statistics.failures


@pytest.mark.parametrize("path", ["/safe/x", "/resumed/x"])
async def test_in_a_retry_the_second_worker_sees_the_close(path: str) -> None:
    served: Served = {}
    faults = deque(["reset" if path == "/safe/x" else "break-after-2", "hang"])
    for name, service, events in (("p", "plain", 0), ("m", "model", 9)):
        for number in range(3):
            served[f"{name}{number}"] = (StandinWorker(events=events, faults=faults), service)
    workers = [worker for worker, _ in served.values() if isinstance(worker, StandinWorker)]
    async with calling(served, path) as (running, caller):
        await until(lambda: requests_seen(served) == 2)
        caller.leave()
        await until(lambda: sum(worker.left for worker in workers) == 1, seconds=LEAVE_SECONDS)
        await assert_nothing_is_sent(running, served, caller)
        assert requests_seen(served) == 2


async def test_before_the_body_is_whole_nothing_is_sent() -> None:
    one = StandinWorker()
    served: Served = {"p": (one, "plain")}
    async with (
        world(configuration(1, ROUTES), served) as running,
        caller_of(running) as caller,
    ):
        caller.send("/safe/x", {"Content-Length": "100"}, b"half of it")
        await until(lambda: running.nodes[0].callers.in_flight == 1)
        caller.leave()
        await assert_nothing_is_sent(running, served, caller)
    assert not one.seen


async def test_while_pieces_wait_behind_a_busy_worker_they_are_withdrawn() -> None:
    gate = asyncio.Event()
    served = staged_workers(gate)
    async with calling(served, "/staged/x") as (running, first), caller_of(running) as second:
        await until(lambda: requests_seen(served) == 1)
        second.send("/staged/x", PIECES)
        await until(
            lambda: sum(queue.waiting for _, queue in running.nodes[0].stage_owner.queues()) == 2
        )
        second.leave()
        await until(
            lambda: not any(queue.waiting for _, queue in running.nodes[0].stage_owner.queues()),
            seconds=LEAVE_SECONDS,
        )
        gate.set()
        await first.reader.readuntil(b"id: 3")
        await second.half_a_second_later()
    assert requests_seen(served) == 3


async def test_while_pieces_wait_for_result_memory_they_are_withdrawn() -> None:
    served = staged_workers(room=0)
    encode = served["e"][0]
    assert isinstance(encode, StandinStageWorker)
    async with calling(served, "/staged/x") as (running, caller):
        await until(lambda: len(encode.calls) == 1)
        await until(
            lambda: any(queue.waiting for _, queue in running.nodes[0].stage_owner.queues())
        )
        caller.leave()
        await ends_in_time(running)
        encode.room = 9
        await assert_nothing_is_sent(running, served, caller)
        assert not encode.held


async def test_while_a_stage_runs_its_results_are_freed_and_no_stage_follows() -> None:
    gate = asyncio.Event()
    served = staged_workers(gate)
    async with calling(served, "/staged/x") as (running, caller):
        await until(lambda: requests_seen(served) == 1)
        caller.leave()
        await ends_in_time(running)
        gate.set()
        await until(lambda: not running.nodes[0].stage_owner.busy and not results_held(served))
        await assert_nothing_is_sent(running, served, caller)
        assert requests_seen(served) == 1


async def test_between_two_stages_no_stage_follows_and_the_results_are_freed() -> None:
    gate = asyncio.Event()
    served = staged_workers(gate)
    async with calling(served, "/staged/x") as (running, caller):
        await until(lambda: requests_seen(served) == 1)
        gate.set()
        caller.leave()
        await assert_nothing_is_sent(running, served, caller)
        await until(lambda: not running.nodes[0].stage_owner.busy and not results_held(served))
        assert not _worker(served, "m").seen


async def test_while_the_second_stage_waits_the_results_of_the_first_are_freed() -> None:
    gate = asyncio.Event()
    served = staged_workers()
    rerank = served["r"][0]
    assert isinstance(rerank, StandinStageWorker)
    rerank.gate = gate
    async with calling(served, "/staged/x") as (running, first), caller_of(running) as second:
        await until(lambda: len(rerank.calls) == 1)
        second.send("/staged/x", PIECES)
        await until(lambda: requests_seen(served) == 3)
        await until(
            lambda: any(queue.waiting for _, queue in running.nodes[0].stage_owner.queues())
        )
        held = results_held(served)
        second.leave()
        await until(lambda: results_held(served) == held - 2, seconds=LEAVE_SECONDS)
        gate.set()
        await first.reader.readuntil(b"id: 3")
        await second.half_a_second_later()
    assert len(rerank.calls) == 1


async def test_results_that_wait_to_be_fetched_are_freed() -> None:
    served = staged_workers()
    model = _worker(served, "m")
    model.faults = deque(["hang"])
    async with calling(served, "/staged/x") as (running, caller):
        running.nodes[0].services.fetch_delay("model").seconds = 9.0
        await until(lambda: len(model.seen) == 1)
        caller.leave()
        await until(lambda: model.left == 1 and not results_held(served), seconds=LEAVE_SECONDS)
        await assert_nothing_is_sent(running, served, caller)


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/talk/x", "/staged/x"])
async def test_a_request_whose_caller_left_before_it_was_read_reaches_no_worker(
    path: str,
) -> None:
    """The event loop reports a close some iterations after it reads the preceding request.

    A call could be sent on an open connection in between: one of five requests whose callers
    had closed before any byte of them was read reached a worker.
    """
    served: Served = {**staged_workers(), "p": (StandinWorker(), "plain")}
    headers = PIECES if "staged" in path else None
    async with world(configuration(1, ROUTES), served) as running:
        # Opens connections to workers, so that a request can be sent immediately.
        warm = await running.call(path, headers=headers or {})
        assert warm.status == 200
        await warm.read()
        before = requests_seen(served)
        server = running.nodes[0].callers._server
        read_before = server.requests_count
        callers = await accepted_callers(running, CLOSED_CALLERS)
        send_and_leave_unread(callers, lambda: request_bytes(path, headers))
        left_at = clock.now()
        await until(lambda: server.requests_count == read_before + CLOSED_CALLERS)
        await ends_in_time(running)
        await until(lambda: clock.now() > left_at + LEAVE_SECONDS)
        assert requests_seen(served) == before
        assert results_held(served) == 0


@pytest.mark.parametrize("further", [1, 50])
async def test_a_caller_that_sent_further_requests_and_leaves_frees_its_worker(
    further: int,
) -> None:
    """Reading pauses once enough further requests wait, so a close was not detected.

    The worker was still working half a second after the close.
    """
    one = StandinWorker(faults=deque(["hang"]))
    served: Served = {"p": (one, "plain")}
    async with calling(served, "/safe/x") as (running, caller):
        await until(lambda: len(one.seen) == 1)
        for _ in range(further):
            caller.send("/safe/later")
        (connection,) = running.nodes[0].callers.connections()
        await until(lambda: connection._request_count > 1)
        caller.leave()
        await until(lambda: one.left == 1, seconds=LEAVE_SECONDS)
        await assert_nothing_is_sent(running, served, caller)
        assert len(one.seen) == 1


def _worker(served: Served, name: str) -> StandinWorker:
    worker = served[name][0]
    assert isinstance(worker, StandinWorker)
    return worker
