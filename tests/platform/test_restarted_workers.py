"""Workers that restart under their names, without the state of the previous process.

Failures: the queue of a restarted stage worker still counted results that the process had lost, and
their handles were freed at the new process. A worker that had once responded 421 received no
request again. Failures and cached prefixes of the previous process counted for the new one.
"""

import asyncio

import pytest
from node_world import World, configuration, peer_of, route, until, world
from platform_standins import StandinStageWorker, StandinWorker

from corkcrank.load.loopback import loopback_address
from corkcrank.node.process.node import Node

RESULT_BYTES = 4_000_000

STAGES = [{"service": "encode", "since_revision": [], "byte_length": RESULT_BYTES}]
SECOND_STAGE = {"service": "rerank", "since_revision": [0], "byte_length": RESULT_BYTES}
ROUTES = [
    route("safe", "safe", "plain"),
    route("talk", "stream", "model", stream_resume=True, max_attempts=3),
    route("staged", "stream", "model", stages=STAGES),
    # 2 stages read the results of the first, so these stay stored until both have completed.
    route("forked", "stream", "model", stages=[*STAGES, SECOND_STAGE, SECOND_STAGE]),
]
PIECES = {"X-Corkcrank-Segments": "1", "X-Corkcrank-Segment-Key": "abcd"}
FORK = {**PIECES, "X-Corkcrank-Segments": "1,1,1"}
FIRST_START, SECOND_START = 1_764_000_000_000, 1_764_000_009_000


def restart(running: World, worker: StandinWorker | StandinStageWorker, service: str) -> None:
    """Write a worker's entry with a new incarnation."""
    worker.told["born"] = SECOND_START
    running.store.put("servers", worker.worker_id, worker.entry(service))


def known_start(node: Node, name: str) -> int | None:
    record = node.mirror.workers.get_by_name(name)
    return record.born if record is not None else None


async def test_only_the_name_is_sent_on_the_wire() -> None:
    one = StandinWorker(told={"born": FIRST_START})
    async with world(configuration(1, ROUTES), {"one": (one, "plain")}) as running:
        assert (await running.call("/safe/x", method="GET")).status == 200
    (seen,) = one.seen
    assert seen.headers["X-Corkcrank-Expect-Instance"] == one.worker_id


async def test_a_draining_worker_that_has_restarted_is_ready() -> None:
    one = StandinWorker(told={"born": FIRST_START})
    async with (
        world(configuration(1, ROUTES), {"one": (one, "plain")}) as running,
        peer_of(running, loopback_address(2), refused=True) as second,
    ):
        nodes = [running.nodes[0], second]
        running.store.put("servers", one.worker_id, one.entry("plain", state="draining"))
        await until(lambda: not any(node.mirror.workers.usable_workers("plain") for node in nodes))
        restart(running, one, "plain")
        await until(lambda: all(known_start(node, one.worker_id) == SECOND_START for node in nodes))
        for number in range(2):
            response = await running.call("/safe/x", method="GET", number=number)
            assert response.status == 200


async def test_a_421_of_one_incarnation_does_not_exclude_the_next() -> None:
    one = StandinWorker(told={"born": FIRST_START})
    name = one.worker_id
    async with world(configuration(1, ROUTES), {"one": (one, "plain")}) as running:
        node = running.nodes[0]
        old = node.mirror.workers.get_by_name(name)
        assert old is not None
        one.worker_id = "i-another"
        assert (await running.call("/safe/x", method="GET")).status == 503
        assert node.services.worker_statistics.get_or_create(old.worker_id).leaving
        one.worker_id = name
        restart(running, one, "plain")
        await until(lambda: known_start(node, name) == SECOND_START)
        assert (await running.call("/safe/x", method="GET")).status == 200


async def test_failures_and_prefixes_of_an_incarnation_are_removed_with_it() -> None:
    engine = StandinWorker(events=2, told={"born": FIRST_START})
    prompt = {
        "X-Corkcrank-Model": "m",
        "X-Corkcrank-Token-Count": "900,10",
        "X-Corkcrank-Prefix-Hash": "ab:800,cd:100",
    }
    async with world(configuration(1, ROUTES), {"m": (engine, "model")}) as running:
        services = running.nodes[0].services
        response = await running.call("/talk/x", headers=prompt)
        await response.read()
        old = services.mirror.workers.get_by_name(engine.worker_id)
        assert old is not None
        services.worker_statistics.get_or_create(old.worker_id).failures.append(0.0)
        assert old.worker_id in services.engines._prefix_caches
        restart(running, engine, "model")
        await until(lambda: known_start(running.nodes[0], engine.worker_id) == SECOND_START)
        new = services.mirror.workers.get_by_name(engine.worker_id)
        assert new is not None
        assert not services.worker_statistics.get_or_create(new.worker_id).failures
        assert not services.engines._prefix_caches


async def test_room_and_handles_of_an_incarnation_are_removed_with_it() -> None:
    """The next incarnation may reuse the handles for other results: these must not be freed."""
    encode = StandinStageWorker(told={"born": FIRST_START})
    rerank = StandinStageWorker(gate=asyncio.Event())
    served = {
        "m": (StandinWorker(events=2), "model"),
        "e": (encode, "encode"),
        "r": (rerank, "rerank"),
    }
    async with world(configuration(1, ROUTES), served) as running:
        node = running.nodes[0]
        call = asyncio.create_task(running.call("/forked/x", headers=FORK))
        await until(lambda: bool(rerank.calls))
        old = node.mirror.workers.get_by_name(encode.worker_id)
        assert old is not None
        assert node.stage_owner.get_queue(old.worker_id) is not None
        restart(running, encode, "encode")
        await until(lambda: known_start(node, encode.worker_id) == SECOND_START)
        assert node.stage_owner.get_queue(old.worker_id) is None
        assert rerank.gate is not None
        rerank.gate.set()
        response = await call
        assert response.status == 200
        await response.read()
        await until(lambda: not rerank.held)
        assert encode.held == encode.made


async def test_pieces_that_wait_for_an_incarnation_are_run_by_the_next() -> None:
    encode = StandinStageWorker(gate=asyncio.Event(), told={"born": FIRST_START})
    served = {"m": (StandinWorker(events=2), "model"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served) as running:
        node = running.nodes[0]
        old = node.mirror.workers.get_by_name(encode.worker_id)
        assert old is not None
        calls = [asyncio.create_task(running.call("/staged/x", headers=PIECES)) for _ in range(3)]
        await until(lambda: node.stage_owner.get_queue(old.worker_id) is not None)
        queue = node.stage_owner.get_queue(old.worker_id)
        assert queue is not None
        await until(lambda: queue.waiting == 2)
        restart(running, encode, "encode")
        await until(lambda: known_start(node, encode.worker_id) == SECOND_START)
        assert not queue.waiting
        assert encode.gate is not None
        encode.gate.set()
        for call in calls:
            response = await call
            assert response.status == 200
            await response.read()
        entry = node.stage_owner._queues.get(old.worker_id)
        assert entry is not None
        await until(lambda: len(entry.room.handles_to_free) == 1 and len(encode.held) == 1)
        assert encode.held == set(entry.room.handles_to_free)


@pytest.mark.parametrize(
    ("told", "booked"), [(FIRST_START, True), (SECOND_START, False), (None, False)]
)
async def test_a_report_of_another_incarnation_is_not_applied(
    told: int | None, *, booked: bool
) -> None:
    encode = StandinStageWorker(free_mb=1.0, told={"born": FIRST_START})
    served = {"m": (StandinWorker(events=2), "model"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served) as running:
        stage_owner = running.nodes[0].stage_owner
        applied_for: list[str] = []
        room_changed = stage_owner.room._on_change
        stage_owner.room._on_change = lambda worker_id: (
            applied_for.append(worker_id),
            room_changed(worker_id),
        )
        encode.told = {"born": told} if told is not None else {}
        response = await running.call("/staged/x", headers=PIECES)
        await response.read()
        assert encode.reports == 1
        record = running.nodes[0].mirror.workers.get_by_name(encode.worker_id)
        assert record is not None
        await until(lambda: not any(entry.room.report_in_flight for entry in stage_owner._queues))
        assert applied_for == ([record.worker_id] if booked else [])


@pytest.mark.parametrize(
    "told", [{"free_mb": "much"}, {"free_mb": None}, {"free_mb": -1.0}, {"born": "yesterday"}]
)
async def test_an_unreadable_report_is_counted(told: dict[str, object]) -> None:
    encode = StandinStageWorker()
    served = {"m": (StandinWorker(events=2), "model"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served) as running:
        encode.told = told
        response = await running.call("/staged/x", headers=PIECES)
        assert response.status == 200
        await response.read()
        counter = running.nodes[0].services.metrics.unreadable_documents.labels("report")
        await until(lambda: counter._value.get() >= 1)
