"""Tests that a caller's disconnect cancels work that another gateway does for its call."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import msgspec
import pytest
from aiohttp import web
from callers import (
    LEAVE_SECONDS,
    Caller,
    Served,
    caller_of,
    ends_in_time,
    requests_seen,
    results_held,
    send_and_close_unread,
)
from node_world import World, configuration, peer_of, route, until, world
from platform_standins import StandinStageWorker, StandinWorker
from test_owners import acquainted, owner_of

from corkcrank.contracts import clock
from corkcrank.contracts.urgency import Urgency
from corkcrank.load.loopback import loopback_address
from corkcrank.node.peers.peer_client import PeerFailure
from corkcrank.node.peers.peer_protocol import (
    PIECES_PATH,
    PREFILL_REQUEST_PATH,
    StageAnswer,
    StageWork,
)
from corkcrank.node.process.node import Node
from corkcrank.scheduling.batch_filling import HasLeft

ROUTES = [
    route(
        "staged",
        "stream",
        "model",
        stages=[
            {"service": "encode", "since_revision": [], "byte_length": 1000},
            {"service": "rerank", "since_revision": [0], "byte_length": 500},
        ],
    ),
    route("talk", "stream", "model"),
]
PIECES = {"X-Corkcrank-Segments": "2,1", "X-Corkcrank-Segment-Key": "k"}
WAYS = ["close", "reset", "write-side"]


@dataclass
class Pair:
    """Two gateways with stage workers; ``owner`` owns the queues of the first stage."""

    running: World
    served: Served
    encode: StandinStageWorker
    rerank: StandinStageWorker
    model: StandinWorker
    owner: Node

    @property
    def other(self) -> int:
        """Return the number of the gateway that does not own the first stage."""
        return 1 - self.running.nodes.index(self.owner)

    def waiting(self) -> int:
        return sum(queue.waiting for _, queue in self.owner.stage_owner.queues())


@asynccontextmanager
async def pair(gate: asyncio.Event) -> AsyncIterator[Pair]:
    encode, rerank = StandinStageWorker(gate=gate), StandinStageWorker()
    model = StandinWorker(events=3)
    served: Served = {
        "m": (model, "model"),
        "e": (encode, "encode"),
        "r": (rerank, "rerank"),
    }
    async with (
        world(configuration(1, ROUTES), served) as running,
        peer_of(running, loopback_address(2)) as second,
    ):
        await acquainted(running.nodes[0], second)
        yield Pair(running, served, encode, rerank, model, owner_of(running, encode))


async def no_further_request_is_sent(two: Pair, caller: Caller) -> None:
    """Check that the call ends in time and that no worker gets a request later."""
    await ends_in_time(two.running)
    before = requests_seen(two.served)
    await caller.half_a_second_later()
    assert requests_seen(two.served) == before


def stage_calls_begun(two: Pair) -> int:
    """Return how many calls to stage workers the gateways have begun to send."""
    queues = [queue for node in two.running.nodes for _, queue in node.stage_owner.queues()]
    return sum(queue.counters.calls for queue in queues)


def owners_know(two: Pair) -> bool:
    """Return whether the owners were told of a close, and every piece they run was withdrawn."""
    if any(node.services.dispatch.owner_client._tasks for node in two.running.nodes):
        return False
    queues = [queue for node in two.running.nodes for _, queue in node.stage_owner.queues()]
    running = [item for queue in queues for call in queue._calls for item in call.stage_items]
    return all(item.abandoned for item in running) and not any(queue.waiting for queue in queues)


async def no_further_stage_call_is_begun(two: Pair, caller: Caller) -> None:
    """Check that the call ends in time and that no stage call begins once its owners know.

    A request that an owner sent before the withdrawal reached it was under way and may arrive.
    """
    await ends_in_time(two.running)
    await until(lambda: owners_know(two), seconds=LEAVE_SECONDS)
    assert time.monotonic() < caller.left_at + LEAVE_SECONDS, "the owners know in time"
    begun = stage_calls_begun(two)
    await caller.half_a_second_later()
    assert stage_calls_begun(two) == begun, "stage calls begun after the owners knew of the close"
    assert requests_seen(two.served) <= begun, "requests that no owner had begun by then"


@pytest.mark.parametrize("how", WAYS)
async def test_pieces_in_the_queue_of_another_gateway_are_withdrawn(how: str) -> None:
    gate = asyncio.Event()
    async with (
        pair(gate) as two,
        caller_of(two.running, two.other) as first,
        caller_of(two.running, two.other) as second,
    ):
        first.send("/staged/x", PIECES)
        await until(lambda: len(two.encode.calls) == 1)
        second.send("/staged/x", PIECES)
        await until(lambda: two.waiting() == 2)
        second.leave(how)
        await until(lambda: two.waiting() == 0, seconds=LEAVE_SECONDS)
        gate.set()
        await first.reader.readuntil(b"id: 3")
        await second.half_a_second_later()
        assert len(two.encode.calls) == 1


@pytest.mark.parametrize("how", WAYS)
async def test_results_that_another_gateway_has_made_are_freed(how: str) -> None:
    gate = asyncio.Event()
    async with pair(gate) as two, caller_of(two.running, two.other) as caller:
        caller.send("/staged/x", PIECES)
        await until(lambda: len(two.encode.calls) == 1)
        caller.leave(how)
        await ends_in_time(two.running)
        gate.set()
        await until(lambda: not two.owner.stage_owner.busy and not results_held(two.served))
        assert len(two.encode.made) == 2
        await no_further_request_is_sent(two, caller)
        assert requests_seen(two.served) == 1


async def leave_in_the_moment_of_the_answer(
    check: Callable[[Pair, Caller], Awaitable[None]],
) -> None:
    """Have a caller leave as the first stage answers, and apply a check of later requests."""
    gate = asyncio.Event()
    async with pair(gate) as two, caller_of(two.running, two.other) as caller:
        caller.send("/staged/x", PIECES)
        await until(lambda: len(two.encode.calls) == 1)
        follow = asyncio.Event()
        two.rerank.gate = follow
        gate.set()
        await until(lambda: len(two.encode.made) == 2)
        caller.leave()
        await check(two, caller)
        await until(lambda: not two.encode.held)
        follow.set()
        await until(lambda: not two.owner.stage_owner.busy and not results_held(two.served))
        assert not two.model.seen


async def test_results_are_freed_where_the_caller_leaves_in_the_moment_of_the_answer() -> None:
    await leave_in_the_moment_of_the_answer(no_further_request_is_sent)


async def test_no_stage_call_begins_after_a_close_that_the_owners_know() -> None:
    await leave_in_the_moment_of_the_answer(no_further_stage_call_is_begun)


async def test_while_the_owner_of_the_engines_is_asked_no_engine_gets_the_call() -> None:
    asked, answer = asyncio.Event(), asyncio.Event()
    async with pair(asyncio.Event()) as two:
        nodes = two.running.nodes
        name = nodes[0].fleet.zone_owner("z1", "model", clock.now())
        owner = next(node for node in nodes if node.fleet.local_name == name)
        grant = owner._peer_server._routes[PREFILL_REQUEST_PATH]

        async def slowly(request: web.BaseRequest) -> web.Response:
            asked.set()
            await answer.wait()
            return await grant(request)

        owner._peer_server._routes[PREFILL_REQUEST_PATH] = slowly
        async with caller_of(two.running, 1 - nodes.index(owner)) as caller:
            caller.send("/talk/x")
            await asked.wait()
            caller.leave()
            await ends_in_time(two.running)
            answer.set()
            await no_further_request_is_sent(two, caller)
        assert not two.model.seen
        assert not owner._peer_server._prompt_queues.owner._grants.tokens_being_read(clock.now())


async def test_pieces_asked_for_by_a_gateway_that_gave_up_unread_are_not_made(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Pieces were sent to their worker in the loop iteration that read the peer's request.

    The close of its connection, received with it, was detected one iteration later.
    """
    async with pair(asyncio.Event()) as two:
        # The owner knows its worker, so that only the close prevents the pieces from running.
        two.owner.stage_owner.free_results(two.encode.worker_id, [])
        await until(lambda: two.encode.reports > 0)
        left_at = clock.now()
        for _ in range(5):
            send_and_close_unread(two.owner.fleet.local_address, pieces_request(two.encode))
        await until(lambda: clock.now() > left_at + LEAVE_SECONDS)
        assert not two.encode.calls
        assert two.waiting() == 0
        assert caplog.records == [], "a peer that has disconnected is not a fault"


def piece_work(worker: StandinStageWorker) -> StageWork:
    return StageWork(
        worker_id=worker.worker_id,
        service="encode",
        call_id="00000000000000dd",
        stage=0,
        pieces=(0, 1),
        key="k",
        inputs=(),
        result_bytes=1000.0,
        urgency=Urgency((1, 0), 1.0),
        start_by=2.0,
        remaining=3.0,
    )


def pieces_request(worker: StandinStageWorker) -> bytes:
    """Return the request of a gateway to the owner of a worker to run two pieces."""
    body = msgspec.msgpack.encode(piece_work(worker))
    head = f"POST {PIECES_PATH} HTTP/1.1\r\nHost: peer\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def test_results_are_freed_where_the_asker_closes_before_its_answer_goes_out() -> None:
    """Results returned to a disconnected peer used result memory until they expired."""
    gate = asyncio.Event()
    async with pair(gate) as two:
        host, port = two.owner.fleet.local_address.rsplit(":", 1)
        with socket.create_connection((host, int(port))) as asker:
            make = two.owner.stage_owner.run_pieces

            async def make_and_lose_asker(work: StageWork, has_left: HasLeft) -> StageAnswer:
                answer = await make(work, has_left)
                asker.close()
                return answer

            two.owner.stage_owner.run_pieces = make_and_lose_asker  # type: ignore[method-assign]
            asker.sendall(pieces_request(two.encode))
            await until(lambda: len(two.encode.calls) == 1)
            gate.set()
            await until(lambda: len(two.encode.made) == 2)
            await until(lambda: not two.encode.held, seconds=LEAVE_SECONDS)


async def test_results_are_freed_where_the_caller_leaves_once_their_answer_was_read() -> None:
    """Results used memory until they expired if their call ended before it processed them."""
    gate = asyncio.Event()
    gate.set()
    async with pair(gate) as two:
        dispatch = two.running.nodes[two.other].services.dispatch
        worker = dispatch.get_worker(two.encode.worker_id)
        assert worker is not None
        post = dispatch.owner_client._peers.request

        async def post_and_cancel(
            address: str, path: str, message: bytes | None = None, **options: Any
        ) -> bytes | PeerFailure:
            body = await post(address, path, message, **options)
            if path == PIECES_PATH:
                # The call is cancelled before it processes the answer that was received.
                asyncio.get_running_loop().call_soon(call.cancel)
            return body

        dispatch.owner_client._peers.request = post_and_cancel  # type: ignore[method-assign, assignment]
        call = asyncio.create_task(dispatch.run_pieces(worker, piece_work(two.encode)))
        with pytest.raises(asyncio.CancelledError):
            await call
        assert len(two.encode.made) == 2
        await until(lambda: not two.encode.held, seconds=LEAVE_SECONDS)


async def test_results_are_freed_where_the_caller_leaves_while_their_answer_is_on_its_way() -> None:
    """Two results used memory for 4 s after the last call, in a soak run of planned work only.

    Their owner had written its answer, and the gateway that had requested them cancelled its
    request before it read the answer: neither knew that the results were unused.
    """
    gate = asyncio.Event()
    gate.set()
    async with pair(gate) as two:
        dispatch = two.running.nodes[two.other].services.dispatch
        worker = dispatch.get_worker(two.encode.worker_id)
        assert worker is not None
        post, written = dispatch.owner_client._peers.request, asyncio.Event()

        async def post_slowly(
            address: str, path: str, message: bytes | None = None, **options: Any
        ) -> bytes | PeerFailure:
            body = await post(address, path, message, **options)
            if path == PIECES_PATH:
                written.set()
                await asyncio.Event().wait()
            return body

        dispatch.owner_client._peers.request = post_slowly  # type: ignore[method-assign, assignment]
        call = asyncio.create_task(dispatch.run_pieces(worker, piece_work(two.encode)))
        await written.wait()
        assert len(two.encode.held) == 2
        call.cancel()
        with pytest.raises(asyncio.CancelledError):
            await call
        await until(lambda: not two.encode.held, seconds=LEAVE_SECONDS)
