"""A worker that has ended is out of use at every gateway at once, not at each by its own calls.

Users were refused "no engine after the stages" 74 times in 32 seconds while engines crashed: an
entry stays in the list for three heartbeats after its worker's end, and each gateway found out for
itself, again after every second, with calls that had no attempts left then (138 refused
connections).
"""

import asyncio

import pytest
from mortal_workers import CRASHING, MortalWorker
from node_world import World, configuration, peer_of, route, until, world

from corkcrank.load.loopback import loopback_address
from corkcrank.node.process.node import Node

CALLS = 12
ROUTES = [
    route("safe", "safe", "plain", max_attempts=3),
    route("talk", "stream", "model"),
]
WAYS = {"plain": ("/safe/", "plain", 0), "stream": ("/talk/", "model", 3)}


def engines(events: int) -> list[MortalWorker]:
    workers = [MortalWorker(events=events) for _ in range(3)]
    for worker in workers:
        worker.life.down = 60.0
    return workers


def not_sent(node: Node) -> float:
    return node.services.metrics.attempts.labels("not-sent")._value.get()


async def crash_one(running: World, prefix: str, workers: list[MortalWorker]) -> None:
    """Have one worker end under a call at the first gateway, and wait until both know of it."""
    response = running.call(prefix + "x", data=CRASHING)
    await asyncio.gather(response, return_exceptions=True)
    ended = [worker for worker in workers if not worker.server.listening]
    for node in running.nodes:
        records = node.crash_watch.quarantine.records
        await until(lambda records=records: len(records) == len(ended))


@pytest.mark.parametrize("way", WAYS)
async def test_no_gateway_calls_a_worker_that_another_saw_end(way: str) -> None:
    prefix, service, events = WAYS[way]
    workers = engines(events)
    served = {worker.worker_id: (worker, service) for worker in workers}
    document = configuration(1, [{**item, "max_attempts": 1} for item in ROUTES])
    async with world(document, served) as running, peer_of(running, loopback_address(2)) as peer:
        await until(lambda: all(node.ready for node in running.nodes))
        await until(lambda: len(peer.fleet.live(0.0)) == 1)
        await crash_one(running, prefix, workers)
        for number in range(2):
            calls = (running.call(f"{prefix}{call}", number=number) for call in range(CALLS))
            answers = await asyncio.gather(*calls)
            assert [answer.status for answer in answers] == [200] * CALLS
        assert [not_sent(node) for node in running.nodes] == [0, 0]


async def test_a_refused_connection_puts_a_worker_out_of_use() -> None:
    workers = engines(0)
    served = {worker.worker_id: (worker, "plain") for worker in workers}
    async with world(configuration(1, ROUTES), served) as running:
        workers[0].server.kill()
        for call in range(3 * CALLS):
            assert (await running.call(f"/safe/{call}")).status == 200
        assert not_sent(running.nodes[0]) <= 1


async def test_a_worker_that_is_back_is_used_again() -> None:
    workers = engines(0)[:1]
    workers[0].life.down = 0.1
    served = {worker.worker_id: (worker, "plain") for worker in workers}
    async with world(configuration(1, ROUTES), served) as running:
        workers[0].life.store, workers[0].life.service = running.store, "plain"
        await crash_one(running, "/safe/", workers)
        await until(lambda: workers[0].server.listening)
        record = running.nodes[0].mirror.workers.named
        await until(lambda: record(workers[0].worker_id).born == workers[0].told["born"])
        assert (await running.call("/safe/y")).status == 200
