"""All gateways stop using a crashed worker at once, not each after failed calls of its own.

Failure: callers were refused 74 times in 32 seconds with "no engine after the stages" while engines
crashed. A worker's entry stays in the list for 3 heartbeats after its exit. Each gateway found the
exit by itself, again every second, with calls that had no attempts left afterwards (138 refused
connections).
"""

import asyncio

import pytest
from mortal_workers import CRASHING, CrashingWorker
from node_world import World, configuration, peer_of, route, until, world

from corkcrank.load.loopback import loopback_address
from corkcrank.node.process.node import Node

CALLS = 12
ROUTES = [
    route("safe", "safe", "plain", max_attempts=3),
    route("talk", "stream", "model"),
]
CALL_KINDS = {"plain": ("/safe/", "plain", 0), "stream": ("/talk/", "model", 3)}


def create_workers(events: int) -> list[CrashingWorker]:
    workers = [CrashingWorker(events=events) for _ in range(3)]
    for worker in workers:
        worker.crash_control.down_seconds = 60.0
    return workers


def not_sent_attempts(node: Node) -> float:
    return node.services.metrics.attempts.labels("not-sent")._value.get()


async def crash_one_worker(running: World, prefix: str, workers: list[CrashingWorker]) -> None:
    """Crash one worker by a call at the first gateway; wait until both have recorded it."""
    response = running.call(prefix + "x", data=CRASHING)
    await asyncio.gather(response, return_exceptions=True)
    ended = [worker for worker in workers if not worker.server.listening]
    for node in running.nodes:
        records = node.crash_watch.quarantine.records
        await until(lambda records=records: len(records) == len(ended))


@pytest.mark.parametrize("way", CALL_KINDS)
async def test_no_gateway_calls_a_worker_whose_crash_another_recorded(way: str) -> None:
    prefix, service, events = CALL_KINDS[way]
    workers = create_workers(events)
    served = {worker.worker_id: (worker, service) for worker in workers}
    document = configuration(1, [{**item, "max_attempts": 1} for item in ROUTES])
    async with world(document, served) as running, peer_of(running, loopback_address(2)) as peer:
        await until(lambda: all(node.ready for node in running.nodes))
        await until(lambda: len(peer.fleet.live_members(0.0)) == 1)
        await crash_one_worker(running, prefix, workers)
        for number in range(2):
            calls = (running.call(f"{prefix}{call}", number=number) for call in range(CALLS))
            answers = await asyncio.gather(*calls)
            assert [answer.status for answer in answers] == [200] * CALLS
        assert [not_sent_attempts(node) for node in running.nodes] == [0, 0]


async def test_a_worker_that_refused_a_connection_is_not_used() -> None:
    workers = create_workers(0)
    served = {worker.worker_id: (worker, "plain") for worker in workers}
    async with world(configuration(1, ROUTES), served) as running:
        workers[0].server.kill()
        for call in range(3 * CALLS):
            assert (await running.call(f"/safe/{call}")).status == 200
        assert not_sent_attempts(running.nodes[0]) <= 1


async def test_a_restarted_worker_is_used_again() -> None:
    workers = create_workers(0)[:1]
    workers[0].crash_control.down_seconds = 0.1
    served = {worker.worker_id: (worker, "plain") for worker in workers}
    async with world(configuration(1, ROUTES), served) as running:
        workers[0].crash_control.store, workers[0].crash_control.service = running.store, "plain"
        await crash_one_worker(running, "/safe/", workers)
        await until(lambda: workers[0].server.listening)
        record = running.nodes[0].mirror.workers.get_by_name
        await until(lambda: record(workers[0].worker_id).born == workers[0].told["born"])
        assert (await running.call("/safe/y")).status == 200
