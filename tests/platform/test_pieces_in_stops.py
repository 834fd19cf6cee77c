"""Tests that a stop gives back the pieces that other gateways have queued, and takes none."""

import asyncio

import aiohttp
import msgspec
from node_world import configuration, peer_of, stage_service, until, world
from platform_standins import StandinStageWorker, StandinWorker
from test_stop_ends import GRACE, PIECES, ROUTES, TOKENS

from corkcrank.contracts import clock
from corkcrank.contracts.urgency import Urgency
from corkcrank.links.platform_ports import PieceOutcome
from corkcrank.load.loopback import loopback_address
from corkcrank.node.peers.peer_protocol import PIECES_PATH, StageAnswer, StageWork


def waiting_piece(worker: StandinStageWorker, number: int) -> bytes:
    work = StageWork(
        worker_id=worker.worker_id,
        service="encode",
        call_id=f"{number:016x}",
        stage=0,
        pieces=(0,),
        key="abcd",
        inputs=(),
        result_bytes=1000.0,
        urgency=Urgency((0, 0), 8.0),
        start_by=8.0,
        remaining=9.0,
    )
    return msgspec.msgpack.encode(work)


async def test_a_stop_gives_back_what_waits_for_others_and_keeps_its_grace() -> None:
    """A stop while one piece of another gateway ran took 0.04 s longer than the grace period."""
    model, encode = StandinWorker(events=400, gap=0.05), StandinStageWorker(gate=asyncio.Event())
    served = {"m": (model, "model"), "e": (encode, "encode")}
    services = [
        {"name": "model", "engine": {"slots": 16, "kv_capacity": 100_000}},
        stage_service("encode", call_ms=2_500.0, batch=1),
    ]
    document = configuration(1, [ROUTES[1]], services=services)
    async with world(document, served, grace=GRACE) as running, aiohttp.ClientSession() as peers:
        node = running.nodes[0]
        stream = await running.call("/brief/x", headers=TOKENS)
        await stream.content.readany()
        url = f"http://{node.fleet.local_address}{PIECES_PATH}"

        async def ask(number: int) -> StageAnswer:
            async with peers.post(url, data=waiting_piece(encode, number)) as response:
                return msgspec.msgpack.decode(await response.read(), type=StageAnswer)

        at_work = asyncio.create_task(ask(1))
        await until(lambda: bool(encode.calls))
        waiting = asyncio.create_task(ask(2))
        await until(lambda: any(queue.waiting for _, queue in node.stage_owner.queues()))
        signalled_at = clock.now()
        stopped = asyncio.create_task(node.stop(signalled_at))
        answer = await waiting
        assert [result.outcome for result in answer.results] == [PieceOutcome.REFUSED]
        assert clock.now() < node.services.drain.stop_at
        await stopped
        assert clock.now() - signalled_at < GRACE
        at_work.cancel()
        stream.close()


async def test_an_owner_that_is_stopping_takes_no_pieces() -> None:
    encode = StandinStageWorker()
    served = {"m": (StandinWorker(events=2), "model"), "e": (encode, "encode")}
    async with (
        world(configuration(1, ROUTES), served, grace=GRACE) as running,
        peer_of(running, loopback_address(2)) as second,
    ):
        first = running.nodes[0]
        await until(lambda: len(first.fleet.live_members(clock.now())) == 1 and second.ready)
        first.stage_owner.refuse_pieces()
        second.stage_owner.refuse_pieces()
        response = await running.call("/staged/x", headers=PIECES)
        assert response.status == 503
        first.stage_owner._refusing = second.stage_owner._refusing = False
        response = await running.call("/staged/x", headers=PIECES)
        assert response.status == 200
        await response.read()
