"""Callers and workers that do not read, at a real gateway."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any

import pytest
from engine_script import Answer, Framing, ScriptedEngine, events, honest
from node_world import HOST, KEY, World, configuration, route, stop, until, world
from platform_standins import StandinWorker
from slow_callers import EndlessEngine, UnreadingWorker, stalled_caller

from corkcrank.contracts import clock
from corkcrank.contracts.memory import BYTES_PER_MB, IDLE_MEMORY_MB
from corkcrank.contracts.node_settings import NodeLimitSettings
from corkcrank.node.process.node import Node
from corkcrank.scheduling import reader_budget, request_bytes
from corkcrank.scheduling.reader_budget import readers_bound_bytes

MEMORY_MB = 160.0
CALLERS = 300
LONG_EVENTS = 60_000
"""Events of an answer of about 1.3 MB, many times what a gateway keeps for one caller."""

WHOLE_ANSWER_BYTES = 400_000

KERNEL_BYTES = 120_000
"""Bytes that the kernel may accept for a caller that reads nothing: its bound, the caller's receive
buffer, and the packets by which it rounds both."""

KEPT_BYTES = 180_000
"""Maximum bytes kept for one caller that reads nothing, the kernel's bound included."""

IN_TIME_SECONDS = 1.5
"""Objective of the calls beside."""

ROUTES = [
    route("talk", "stream", "model", timeout_ms=20_000),
    route("once", "unsafe", "plain"),
    route("safe", "safe", "plain"),
]


@asynccontextmanager
async def slow_world(engine: ScriptedEngine, **bounds: Any) -> AsyncIterator[World]:
    """Run a gateway of 160 MiB before an engine and a plain worker."""
    served: dict[str, Any] = {"model": (engine, "model"), "plain": (StandinWorker(), "plain")}
    async with world(configuration(1, ROUTES), served, **bounds) as running:
        running.nodes[0].services.readers.apply_limits(NodeLimitSettings(memory_mb=MEMORY_MB))
        yield running


async def stall(running: World, path: str = "/talk/x") -> socket.socket:
    """Make a call whose caller reads nothing."""
    host, port = running.address().rsplit(":", 1)
    return await stalled_caller(host, int(port), path, HOST, KEY)


async def read_to_end(connection: socket.socket) -> bytes:
    """Return what a caller receives until the connection ends, by whatever end."""
    loop = asyncio.get_running_loop()
    parts = []
    try:
        while part := await loop.sock_recv(connection, 65_536):
            parts.append(part)
            if part.endswith(b"0\r\n\r\n"):
                break
    except ConnectionResetError:
        pass
    return b"".join(parts)


def waiting(node: Node) -> int:
    return len(node.services.readers.budget)


def outcomes(node: Node, outcome: str) -> float:
    return sum(
        sample.value
        for family in node.services.metrics.calls.collect()
        for sample in family.samples
        if sample.name.endswith("_total") and sample.labels["outcome"] == outcome
    )


def cut(node: Node, cause: str) -> float:
    return node.services.metrics.readers_cut.labels(cause)._value.get()


@contextmanager
def patience(monkeypatch: pytest.MonkeyPatch, seconds: float) -> Iterator[None]:
    with monkeypatch.context() as patch:
        patch.setattr(reader_budget, "UNREAD_SECONDS", seconds)
        yield


async def test_a_caller_that_reads_nothing_loses_its_stream_and_the_engine_is_not_blamed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    engine = EndlessEngine()
    with patience(monkeypatch, 0.3):
        async with slow_world(engine) as running:
            node = running.nodes[0]
            caller = await stall(running)
            await until(lambda: engine.cut == 1)
            assert cut(node, "unread") == 1
            received = await read_to_end(caller)
            assert not received.endswith(b"0\r\n\r\n")
            await until(lambda: outcomes(node, "unread") == 1)
            assert waiting(node) == 0
            statistics = node.services.worker_statistics.get_or_create(engine.worker_id)
            assert statistics.failures == []
            assert len(engine.heads) == 1
            assert (await running.call("/once/x")).status == 200
            caller.close()


async def test_a_caller_that_resumes_gets_its_whole_stream() -> None:
    engine = ScriptedEngine([honest(LONG_EVENTS)])
    async with slow_world(engine) as running:
        node = running.nodes[0]
        caller = await stall(running)
        await until(lambda: waiting(node) == 1)
        received = await read_to_end(caller)
        assert received.endswith(b"0\r\n\r\n")
        assert received.count(b"id: ") == LONG_EVENTS
        assert outcomes(node, "unread") == 0
        caller.close()


async def test_little_is_kept_for_a_caller_that_reads_nothing() -> None:
    engine = EndlessEngine()
    async with slow_world(engine) as running:
        node = running.nodes[0]
        caller = await stall(running)
        await until(lambda: waiting(node) == 1)
        connection = node.services.readers.budget.readers()[0]
        source = connection.source
        assert source is not None
        await until(lambda: source.worker_waits)
        assert source.written_bytes - connection.unsent_bytes < KERNEL_BYTES
        assert connection.observe_kept().kept_bytes < KEPT_BYTES
        caller.close()


async def test_a_caller_that_was_cut_may_take_its_stream_up_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    engine = ScriptedEngine([honest(LONG_EVENTS)])
    with patience(monkeypatch, 0.3):
        async with slow_world(engine) as running:
            node = running.nodes[0]
            caller = await stall(running)
            await until(lambda: outcomes(node, "unread") == 1)
            caller.close()
            headers = {"Last-Event-Id": str(LONG_EVENTS - 1)}
            response = await running.call("/talk/x", headers=headers)
            assert await response.read() == events(LONG_EVENTS, LONG_EVENTS)


async def test_a_caller_that_leaves_while_its_answer_waits_is_noticed() -> None:
    engine = EndlessEngine()
    async with slow_world(engine) as running:
        node = running.nodes[0]
        caller = await stall(running)
        await until(lambda: waiting(node) == 1)
        caller.close()
        await until(lambda: engine.cut == 1)
        await until(lambda: waiting(node) == 0)
        assert cut(node, "unread") == 0


async def test_a_stop_cuts_a_caller_that_reads_nothing_only_at_the_end_of_its_grace(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    engine = EndlessEngine()
    async with slow_world(engine, grace=2.0) as running:
        node = running.nodes[0]
        caller = await stall(running)
        await until(lambda: waiting(node) == 1)
        stopping = await stop(running)
        with patience(monkeypatch, 0.1):
            await until(lambda: engine.cut == 1)
        stop_at = node.services.drain.stop_at
        assert cut(node, "unread") == 0
        assert clock.now() >= stop_at
        await stopping
        assert not (await read_to_end(caller)).endswith(b"0\r\n\r\n")
        caller.close()


async def test_a_stop_leaves_the_rest_of_a_whole_answer_to_the_kernel() -> None:
    """Guards against a bound on unsent bytes that kept this rest in the process as it ended."""
    answer = Answer(b"x" * WHOLE_ANSWER_BYTES, framing=Framing.LENGTH)
    served: dict[str, Any] = {"plain": (ScriptedEngine([lambda after: answer]), "plain")}
    limits = {**configuration(1, ROUTES)["limits"], "idle_timeout_ms": 10_000}
    async with world(configuration(1, ROUTES, limits=limits), served) as running:
        node = running.nodes[0]
        node.services.readers.apply_limits(NodeLimitSettings(memory_mb=MEMORY_MB))
        caller = await stall(running, "/safe/x")
        await until(lambda: waiting(node) == 1)
        transport = node.services.readers.budget.readers()[0].transport
        assert transport is not None
        await (await stop(running))
        assert transport.get_write_buffer_size() == 0
        received = await read_to_end(caller)
        assert received.count(b"x") >= WHOLE_ANSWER_BYTES
        caller.close()


async def test_300_callers_that_read_nothing_leave_memory_and_time_to_the_others() -> None:
    engine = EndlessEngine()
    async with slow_world(engine) as running:
        node = running.nodes[0]
        budget = node.services.readers.budget
        callers = [await stall(running) for _ in range(CALLERS)]
        most, slowest = 0, 0.0
        while len(engine.heads) < CALLERS or engine.cut < CALLERS:
            started = time.monotonic()
            response = await running.call("/once/x", data=b"x" * 800)
            assert response.status == 200
            await response.read()
            slowest = max(slowest, time.monotonic() - started)
            most = max(most, budget.kept_bytes)
        assert cut(node, "memory") + cut(node, "unread") == CALLERS
        assert most + IDLE_MEMORY_MB * BYTES_PER_MB < MEMORY_MB * BYTES_PER_MB
        assert budget.kept_bytes <= readers_bound_bytes(MEMORY_MB)
        assert slowest < IN_TIME_SECONDS
        for caller in callers:
            caller.close()


async def test_a_worker_that_reads_nothing_gets_a_bounded_number_of_bytes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(request_bytes, "MIN_SHARE_BYTES", 20_000)
    monkeypatch.setattr(request_bytes, "WORKER_REQUEST_BYTES", 0)
    stuck, other = UnreadingWorker(), StandinWorker()
    served: dict[str, Any] = {"stuck": (stuck, "plain"), "other": (other, "model")}
    async with world(configuration(1, ROUTES), served) as running:
        body = b"x" * 9_000
        waiting_calls = [asyncio.create_task(running.call("/once/x", data=body)) for _ in range(3)]
        requests = running.nodes[0].services.worker_statistics.requests
        await until(lambda: requests.at(stuck.worker_id) == 27_000)
        refused = await running.call("/once/x", data=body)
        assert refused.status == 503
        told = await refused.json()
        assert (told["name"], told["ran"]) == ("WORKERS_FULL", "no")
        assert "Retry-After" in refused.headers
        assert requests.at(stuck.worker_id) == 27_000
        for call in waiting_calls:
            call.cancel()
        await asyncio.gather(*waiting_calls, return_exceptions=True)
        await until(lambda: requests.at(stuck.worker_id) == 0)


async def test_a_worker_that_reads_nothing_delays_no_call_at_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(request_bytes, "MIN_SHARE_BYTES", 20_000)
    monkeypatch.setattr(request_bytes, "WORKER_REQUEST_BYTES", 0)
    stuck, other = UnreadingWorker(), StandinWorker()
    served: dict[str, Any] = {"stuck": (stuck, "plain"), "other": (other, "plain")}
    async with world(configuration(1, ROUTES), served) as running:
        statistics = running.nodes[0].services.worker_statistics
        held = statistics.get_or_create(stuck.worker_id)
        calls = []
        for _ in range(40):
            before = held.in_flight
            call = asyncio.create_task(running.call("/once/x", data=b"x" * 9_000))
            await until(lambda call=call, before=before: call.done() or held.in_flight > before)
            calls.append(call)
        done = [call.result().status for call in calls if call.done()]
        assert done == [200] * (len(calls) - held.in_flight)
        assert held.in_flight <= 3
        assert statistics.requests.at(stuck.worker_id) <= 27_000
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
