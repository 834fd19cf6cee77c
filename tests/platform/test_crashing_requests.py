"""A request that crashes its workers is quarantined, at whichever gateway it arrives.

Failure: 12 engines crashed within 7 s, each with up to 10 streams of other callers, and 18 workers
crashed under one request. The same caller sent the same body to the same path again and again, to
the gateways in round-robin order. A call tries few workers, but the gateways discarded the evidence
against its request with the call.

The cause was not retries within a call: 100 of 102 failed calls failed at one worker only. The sets
of streams that failed with consecutive engines had in common one call that had sent no event: the
same path, caller and body, but no common call id.
"""

from collections.abc import Sequence

import aiohttp
import pytest
from mortal_workers import (
    CRASHING,
    CRASHING_KEY,
    CrashingStageWorker,
    CrashingWorker,
    crash_count,
    join_store,
)
from node_world import World, configuration, peer_of, route, until, world

from corkcrank.load.loopback import loopback_address
from corkcrank.node.process.node import Node

AnyCrashingWorker = CrashingWorker | CrashingStageWorker

SENDS = 10
MAX_CRASHES = 6
"""3 crashes quarantine a request; 3 more may happen before every gateway has received this."""

STAGES = [{"service": "encode", "since_revision": [], "byte_length": 1000}]
ROUTES = [
    route("safe", "safe", "plain", max_attempts=3),
    route("once", "unsafe", "plain"),
    route("talk", "stream", "model"),
    route("resumed", "stream", "model", stream_resume=True, max_attempts=3),
    route("staged", "stream", "model", stages=STAGES),
]
CALL_KINDS = {
    "plain": ("/safe/x", 0),
    "unrepeatable": ("/once/x", 0),
    "stream": ("/talk/x", 0),
    "stream broken in the middle": ("/resumed/x", 2),
}
PIECES = {"X-Corkcrank-Segments": "1"}


async def send(running: World, path: str, body: bytes, number: int = 0, **options: object) -> int:
    """Send a request; return its status, or 0 if the connection failed."""
    try:
        response = await running.call(path, number=number, data=body, **options)
        await response.read()
    except aiohttp.ClientError:
        return 0
    return response.status


async def send_round_robin(
    running: World, workers: Sequence[AnyCrashingWorker], path: str, nodes: int, **options: object
) -> list[int]:
    """Send a crashing request repeatedly, to the gateways in round-robin order."""
    statuses = []
    for attempt in range(SENDS):
        statuses.append(await send(running, path, CRASHING, attempt % nodes, **options))
        await wait_for_restarts(running, workers)
    return statuses


async def wait_for_restarts(running: World, workers: Sequence[AnyCrashingWorker]) -> None:
    """Wait until every worker runs and every gateway knows its latest incarnation."""
    await until(lambda: all(worker.server.listening for worker in workers))
    await until(
        lambda: all(
            _knows_incarnation(node, worker) for node in running.nodes for worker in workers
        )
    )


def _knows_incarnation(node: Node, worker: AnyCrashingWorker) -> bool:
    record = node.mirror.workers.get_by_name(worker.worker_id)
    return record is not None and record.born == worker.told["born"]


def workers_of(path: str, events_before: int) -> tuple[list[CrashingWorker], str]:
    """Return 4 workers of the service that a path is routed to, and the service's name."""
    stream = path.split("/")[1] in ("talk", "resumed")
    events = 9 if stream else 0
    workers = [CrashingWorker(events=events, events_before=events_before) for _ in range(4)]
    return workers, "model" if stream else "plain"


@pytest.mark.parametrize("nodes", [1, 2])
@pytest.mark.parametrize("way", CALL_KINDS)
async def test_a_crashing_request_crashes_few_workers(way: str, nodes: int) -> None:
    path, events_before = CALL_KINDS[way]
    workers, service = workers_of(path, events_before)
    served = {worker.worker_id: (worker, service) for worker in workers}
    async with world(configuration(1, ROUTES), served) as running:
        join_store(running.store, workers, service)
        async with peer_of(running, loopback_address(2)):
            await until(lambda: all(node.ready for node in running.nodes))
            await send_round_robin(running, workers, path, nodes)
    assert crash_count(workers) <= MAX_CRASHES


@pytest.mark.parametrize("nodes", [1, 2])
async def test_a_request_whose_stage_crashes_workers_crashes_few(nodes: int) -> None:
    engine = CrashingWorker(events=3)
    encoders = [CrashingStageWorker() for _ in range(4)]
    served = {worker.worker_id: (worker, "encode") for worker in encoders}
    headers = {**PIECES, "X-Corkcrank-Segment-Key": CRASHING_KEY}
    async with world(configuration(1, ROUTES), {**served, "m": (engine, "model")}) as running:
        join_store(running.store, encoders, "encode")
        async with peer_of(running, loopback_address(2)):
            await until(lambda: all(node.ready for node in running.nodes))
            await send_round_robin(running, encoders, "/staged/x", nodes, headers=headers)
    assert crash_count(encoders) <= MAX_CRASHES
