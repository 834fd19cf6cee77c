"""A call waits for stage workers that are all silent for a while, as long as its deadline allows.

Guards against a call that was refused with seconds left: its pieces were given up four times, and
the workers answered a moment later.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Literal

import msgspec
import pytest
from aiohttp import web
from node_world import World, configuration, route, until, world
from platform_standins import NOT_RUN, StandinStageWorker, StandinWorker
from test_callers_leave_owners import PIECES as PIECES_OF_TWO_STAGES
from test_callers_leave_owners import pair

from corkcrank.contracts import clock
from corkcrank.contracts.urgency import Urgency
from corkcrank.links.platform_ports import PieceOutcome
from corkcrank.node.peers.peer_protocol import FreeResults, StageWork
from corkcrank.node.stages import stage_worker_client
from corkcrank.node.stages.stage_messages import build_stage_item
from corkcrank.node.stages.stage_run import MAX_ROUNDS

LIMIT_SECONDS = 0.15
SILENT_SECONDS = 1.2
DEADLINE_SECONDS = 4.0
"""The deadline that callers state in these worlds."""

PIECES = {"X-Corkcrank-Segments": "2", "X-Corkcrank-Segment-Key": "7c1e07a291bd"}
STAGES = [{"service": "encode", "since_revision": [], "byte_length": 1000}]


@pytest.mark.parametrize("count", [1, 2])
async def test_a_call_waits_while_all_stage_workers_are_silent(
    count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(stage_worker_client, "CALL_TIME_FACTOR", 0.0)
    monkeypatch.setattr(stage_worker_client, "CALL_TIME_MARGIN", LIMIT_SECONDS)
    gate = asyncio.Event()
    encoders = [StandinStageWorker(gate=gate) for _ in range(count)]
    routes = [route("staged", "stream", "model", stages=STAGES)]
    served: dict[str, tuple[StandinWorker | StandinStageWorker, str]] = {
        "engine": (StandinWorker(events=3), "model")
    }
    served |= {f"encoder-{number}": (item, "encode") for number, item in enumerate(encoders)}
    async with world(configuration(1, routes), served) as running:
        call = asyncio.create_task(running.call("/staged/x", headers=PIECES))
        await until(lambda: any(item.calls for item in encoders))
        await asyncio.sleep(SILENT_SECONDS)
        gate.set()
        response = await call
        assert response.status == 200
        assert (await response.read()).count(b"id: ") == 3


class Gates(asyncio.Event):
    """A gate for each of the first calls of a worker; later calls wait for none."""

    def __init__(self, count: int) -> None:
        super().__init__()
        self.each = [asyncio.Event() for _ in range(count)]
        self.passed = 0

    async def wait(self) -> Literal[True]:
        number, self.passed = self.passed, self.passed + 1
        if number < len(self.each):
            await self.each[number].wait()
        return True


class LateRejection(StandinStageWorker):
    """A stage worker that rejects the final attempt of its first piece, once its gate is set."""

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        response = await super()._handle(request)
        if request.path != "/report" and len(self.calls) == MAX_ROUNDS and self.held:
            self.held.clear()
            return web.Response(status=503, headers={NOT_RUN: "1"})
        return response


@pytest.fixture
def short_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Give silent stage workers up after a short time."""
    monkeypatch.setattr(stage_worker_client, "CALL_TIME_FACTOR", 0.0)
    monkeypatch.setattr(stage_worker_client, "CALL_TIME_MARGIN", LIMIT_SECONDS)


@asynccontextmanager
async def staged_world(*encoders: StandinStageWorker) -> AsyncIterator[World]:
    served: dict[str, tuple[StandinWorker | StandinStageWorker, str]] = {
        f"encoder-{number}": (item, "encode") for number, item in enumerate(encoders)
    }
    served["engine"] = (StandinWorker(events=3), "model")
    routes = [route("staged", "stream", "model", stages=STAGES)]
    async with world(configuration(1, routes), served) as running:
        yield running


def work_at(worker: StandinStageWorker, call: str, *, final: bool) -> StageWork:
    return StageWork(
        worker_id=worker.worker_id,
        service="encode",
        call_id=call,
        stage=0,
        pieces=(0,),
        key="7c1e07a291bd",
        inputs=(),
        result_bytes=1000,
        urgency=Urgency((0, 0), DEADLINE_SECONDS),
        start_by=DEADLINE_SECONDS,
        remaining=DEADLINE_SECONDS,
        final=final,
    )


def only_silent_workers_are_awaited(running: World) -> bool:
    """Return whether pieces are awaited, but none is queued or within its time at a worker."""
    owners = [node.stage_owner for node in running.nodes]
    queues = [queue for owner in owners for _, queue in owner.queues()]
    return any(owner.busy for owner in owners) and not any(
        queue.waiting or queue.at_work for queue in queues
    )


def is_idle(running: World) -> bool:
    return not any(node.stage_owner.busy or node.stage_owner._tasks for node in running.nodes)


@pytest.mark.usefixtures("short_limit")
async def test_calls_that_wait_for_silent_workers_are_run_once_each() -> None:
    gate = asyncio.Event()
    encoders = [StandinStageWorker(gate=gate) for _ in range(2)]
    async with staged_world(*encoders) as running:
        calls = [asyncio.create_task(running.call("/staged/x", headers=PIECES)) for _ in range(6)]
        await until(lambda: all(item.calls for item in encoders))
        await until(lambda: only_silent_workers_are_awaited(running))
        gate.set()
        for response in await asyncio.gather(*calls):
            assert response.status == 200
            assert (await response.read()).count(b"id: ") == 3
        await until(lambda: is_idle(running) and not any(item.held for item in encoders))
        assert sum(len(item.made) for item in encoders) == 2 * len(calls)


@pytest.mark.usefixtures("short_limit")
async def test_pieces_wait_at_the_owner_of_another_gateway() -> None:
    gate = asyncio.Event()
    async with pair(gate) as two:
        work = two.running.call("/staged/x", number=two.other, headers=PIECES_OF_TWO_STAGES)
        call = asyncio.create_task(work)
        await until(lambda: len(two.encode.calls) == MAX_ROUNDS)
        await until(lambda: only_silent_workers_are_awaited(two.running))
        gate.set()
        response = await call
        assert response.status == 200
        assert (await response.read()).count(b"id: ") == 3


@pytest.mark.usefixtures("short_limit")
async def test_a_worker_that_is_silent_for_good_has_the_call_four_times_until_its_deadline() -> (
    None
):
    encoder = StandinStageWorker(gate=asyncio.Event())
    async with staged_world(encoder) as running:
        began = clock.now()
        response = await running.call("/staged/x", headers=PIECES)
        assert response.status == 503
        assert DEADLINE_SECONDS - 0.1 < clock.now() - began < DEADLINE_SECONDS + 0.5
        await until(lambda: is_idle(running) and encoder.left == MAX_ROUNDS)
        assert len(encoder.calls) == MAX_ROUNDS


@pytest.mark.usefixtures("short_limit")
async def test_a_caller_that_leaves_ends_its_final_attempt() -> None:
    encoder = StandinStageWorker(gate=asyncio.Event())
    async with staged_world(encoder) as running:
        call = asyncio.create_task(running.call("/staged/x", headers=PIECES))
        await until(lambda: len(encoder.calls) == MAX_ROUNDS)
        await until(lambda: only_silent_workers_are_awaited(running))
        call.cancel()
        await until(lambda: is_idle(running) and encoder.left == MAX_ROUNDS, seconds=1.0)


@pytest.mark.usefixtures("short_limit")
async def test_a_final_attempt_that_a_worker_rejects_late_is_sent_again() -> None:
    gate = asyncio.Event()
    encoder = LateRejection(gate=gate)
    async with staged_world(encoder) as running:
        call = asyncio.create_task(running.call("/staged/x", headers=PIECES))
        await until(lambda: len(encoder.calls) == MAX_ROUNDS)
        await until(lambda: only_silent_workers_are_awaited(running))
        gate.set()
        response = await call
        assert response.status == 200
        await response.read()
        assert len(encoder.calls) == MAX_ROUNDS + 1
        await until(lambda: is_idle(running) and not encoder.held)


@pytest.mark.usefixtures("short_limit")
async def test_a_worker_serves_other_calls_beside_a_final_attempt_without_an_answer() -> None:
    encoder = StandinStageWorker(gate=Gates(MAX_ROUNDS))
    async with staged_world(encoder) as running:
        silent = asyncio.create_task(running.call("/staged/x", headers=PIECES))
        await until(lambda: len(encoder.calls) == MAX_ROUNDS)
        await until(lambda: only_silent_workers_are_awaited(running))
        response = await running.call("/staged/y", headers=PIECES)
        assert response.status == 200
        await response.read()
        assert not silent.done()
        silent.cancel()


@pytest.mark.usefixtures("short_limit")
async def test_only_final_pieces_of_a_batch_wait_and_results_of_the_others_are_freed() -> None:
    gates = Gates(2)
    encoder = StandinStageWorker(gate=gates)
    async with staged_world(encoder) as running:
        owner = running.nodes[0].stage_owner
        first = asyncio.create_task(owner.run_pieces(work_at(encoder, "first", final=True)))
        await until(lambda: len(encoder.calls) == 1)
        final = asyncio.create_task(owner.run_pieces(work_at(encoder, "final", final=True)))
        other = asyncio.create_task(owner.run_pieces(work_at(encoder, "other", final=False)))
        queue = owner.get_queue(encoder.worker_id)
        assert queue is not None
        await until(lambda: queue.waiting == 2)
        gates.each[0].set()
        assert (await first).results[0].outcome is PieceOutcome.DONE
        assert (await other).results[0].outcome is PieceOutcome.FAILED
        assert len(encoder.calls[1]) == 2
        assert not final.done()
        gates.each[1].set()
        result = (await final).results[0]
        assert result.outcome is PieceOutcome.DONE
        assert len(encoder.made) == 3
        kept = {result.handle, first.result().results[0].handle}
        await until(lambda: encoder.held == kept)


@pytest.mark.usefixtures("short_limit")
async def test_a_final_piece_that_waits_for_a_silent_worker_is_not_refused() -> None:
    gates = Gates(2)
    encoder = StandinStageWorker(gate=gates)
    async with staged_world(encoder) as running:
        owner = running.nodes[0].stage_owner
        first = asyncio.create_task(owner.run_pieces(work_at(encoder, "first", final=False)))
        await until(lambda: len(encoder.calls) == 1)
        final = asyncio.create_task(owner.run_pieces(work_at(encoder, "final", final=True)))
        other = asyncio.create_task(owner.run_pieces(work_at(encoder, "other", final=False)))
        assert (await first).results[0].outcome is PieceOutcome.FAILED
        assert (await other).results[0].outcome is PieceOutcome.REFUSED
        await until(lambda: len(encoder.calls) == 2)
        gates.each[1].set()
        assert (await final).results[0].outcome is PieceOutcome.DONE


async def test_a_final_piece_that_waits_for_a_worker_that_ended_is_placed_again() -> None:
    encoder = StandinStageWorker(gate=Gates(2))
    async with staged_world(encoder) as running:
        owner = running.nodes[0].stage_owner
        first = asyncio.create_task(owner.run_pieces(work_at(encoder, "first", final=False)))
        await until(lambda: len(encoder.calls) == 1)
        final = asyncio.create_task(owner.run_pieces(work_at(encoder, "final", final=True)))
        queue = owner.get_queue(encoder.worker_id)
        assert queue is not None
        await until(lambda: queue.waiting == 1)
        await encoder.server.stop()
        assert (await first).results[0].outcome is not PieceOutcome.DONE
        assert (await final).results[0].outcome is PieceOutcome.REFUSED


def test_pieces_whose_inputs_may_be_freed_are_not_final() -> None:
    work = work_at(StandinStageWorker(), "call", final=True)
    assert build_stage_item(work, 0, 0.0).final
    reads = msgspec.structs.replace(work, last_reads=(FreeResults("worker", ("result",)),))
    assert not build_stage_item(reads, 0, 0.0).final
