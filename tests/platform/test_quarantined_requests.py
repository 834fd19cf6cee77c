"""Quarantine of requests: which gateways apply it, what callers get, which requests are exempt.

Guards against gateways that discard the evidence against a request with its call, and against
quarantine of neighbours: calls that were at the same worker, or in the same batch, at a crash.
"""

import asyncio
import random
from collections import deque

import aiohttp
from mortal_workers import (
    CRASHING,
    CRASHING_KEY,
    FIRST_START,
    CrashControl,
    CrashingStageWorker,
    CrashingWorker,
    crash_count,
    join_store,
)
from node_world import World, configuration, peer_of, route, settings_for, until, world
from platform_standins import StandinStageWorker, StandinWorker
from test_crashing_requests import PIECES, ROUTES, send, wait_for_restarts

from corkcrank.contracts import clock
from corkcrank.contracts.request_fingerprint import request_fingerprint
from corkcrank.links.decision_log import DecisionLog
from corkcrank.load.loopback import loopback_address
from corkcrank.node.process.node import Node
from corkcrank.platform.ports import connect_platform

QUARANTINED = 3012


DOWN_SECONDS = 0.8
"""Time until a worker has restarted. A refused connection shows a crash only while the worker is
down, and a busy machine may delay the check by part of a second."""


def plain_workers(count: int = 4) -> list[CrashingWorker]:
    return [
        CrashingWorker(crash_control=CrashControl(down_seconds=DOWN_SECONDS)) for _ in range(count)
    ]


def workers_by_id(
    service: str, workers: list[CrashingWorker] | list[CrashingStageWorker]
) -> dict[str, tuple[StandinWorker | StandinStageWorker, str]]:
    return {worker.worker_id: (worker, service) for worker in workers}


def quarantined_at(node: Node) -> list[str]:
    """Return the requests that a gateway has quarantined now."""
    return node.crash_watch.quarantine.blamed_requests(clock.now())


async def quarantine_request(
    running: World, workers: list[CrashingWorker], path: str = "/safe/x"
) -> None:
    """Have a request crash 3 workers; wait until it is quarantined and they have restarted."""
    join_store(running.store, workers, "plain")
    await send(running, path, CRASHING)
    await until(lambda: all(quarantined_at(node) for node in running.nodes))
    await wait_for_restarts(running, workers)


async def test_a_refusal_says_that_the_call_has_not_run_and_when_to_retry() -> None:
    workers = plain_workers()
    async with world(configuration(1, ROUTES), workers_by_id("plain", workers)) as running:
        await quarantine_request(running, workers)
        answer = await running.call("/safe/x", data=CRASHING)
        body = await answer.json()
        assert (answer.status, body["code"], body["ran"]) == (503, QUARANTINED, "no")
        assert 50.0 < float(answer.headers["Retry-After"]) <= 60.0


async def test_other_paths_and_bodies_and_callers_are_served() -> None:
    workers = plain_workers()
    document = configuration(1, ROUTES)
    document["tenants"].append({"name": "other", "api_keys": ["other-key"], "priority": 1})
    async with world(document, workers_by_id("plain", workers)) as running:
        await quarantine_request(running, workers)
        for worker in workers:
            worker.seen.clear()
        assert await send(running, "/safe/x", b"harmless") == 200
        assert await send(running, "/safe/y", b"harmless") == 200
        await send(running, "/safe/x", CRASHING, headers={"X-Corkcrank-Credential": "other-key"})
        assert any(CRASHING in seen.body for worker in workers for seen in worker.seen)


async def test_a_gateway_that_starts_later_knows_the_quarantine_before_it_sends() -> None:
    workers = plain_workers()
    async with world(configuration(1, ROUTES), workers_by_id("plain", workers)) as running:
        await quarantine_request(running, workers)
        crashes = crash_count(workers)
        async with peer_of(running, loopback_address(2)) as late:
            await until(lambda: bool(quarantined_at(late)))
            await until(lambda: late.ready)
            assert await send(running, "/safe/x", CRASHING, number=1) == 503
        assert crash_count(workers) == crashes


async def test_a_quarantine_survives_the_stop_of_every_gateway() -> None:
    workers = plain_workers()
    async with world(configuration(1, ROUTES), workers_by_id("plain", workers)) as running:
        await quarantine_request(running, workers)
        rows = running.store.rows
        await until(lambda: any(table == "quarantine" for table, _ in rows))
        crashes = crash_count(workers)
        await running.nodes[0].stop()
        async with gateway_with_store_only(running) as node:
            await until(lambda: bool(quarantined_at(node)))
            assert await send(running, "/safe/x", CRASHING, number=1) == 503
        assert crash_count(workers) == crashes


def gateway_with_store_only(running: World) -> "_GatewayWithStoreOnly":
    return _GatewayWithStoreOnly(running)


class _GatewayWithStoreOnly:
    """A context with a gateway that has no peers and reads its state from the store only."""

    def __init__(self, running: World) -> None:
        self._running = running

    async def __aenter__(self) -> Node:
        ip = loopback_address(3)
        settings = settings_for(ip, "z1", self._running.store.server.address, (), grace=0.5)
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(local_addr=(ip, 0)))
        ports = connect_platform(self._session, settings.store.address, settings.store.timeout)
        self._node = Node(settings, ports, DecisionLog(None, ip), random.Random(9))
        self._running.nodes.append(self._node)
        await self._node.start()
        await until(lambda: self._node.ready)
        return self._node

    async def __aexit__(self, *error: object) -> None:
        await self._node.stop()
        await self._session.close()


async def test_a_successful_completion_removes_the_row() -> None:
    workers = plain_workers()
    async with world(configuration(1, ROUTES), workers_by_id("plain", workers)) as running:
        await quarantine_request(running, workers)
        rows = running.store.rows
        await until(lambda: any(table == "quarantine" for table, _ in rows))
        quarantine = running.nodes[0].crash_watch.quarantine
        (request,) = quarantine.blamed_requests(clock.now())
        quarantine.record_success(request, clock.now())
        await until(lambda: not any(table == "quarantine" for table, _ in rows))
        assert running.nodes[0].crash_watch.quarantine.seconds_left(request, clock.now()) == 0.0


async def test_resets_by_running_workers_quarantine_no_request() -> None:
    """A connection reset, for any reason, is not evidence that a worker crashed."""
    workers = [StandinWorker(faults=deque(["reset"] * 2)) for _ in range(4)]
    served = {worker.worker_id: (worker, "plain") for worker in workers}
    async with world(configuration(1, ROUTES), served) as running:
        for _ in range(3):
            await send(running, "/safe/x", b"ordinary")
        assert running.nodes[0].crash_watch.quarantine.empty
        assert await send(running, "/safe/x", b"ordinary") == 200


async def test_a_request_that_completes_between_crashes_is_never_quarantined() -> None:
    """A caller sends the same request again and again while its workers crash one by one."""
    workers = plain_workers(2)
    async with world(configuration(1, ROUTES), workers_by_id("plain", workers)) as running:
        join_store(running.store, workers, "plain")
        for _ in range(5):
            workers[0].crashes_always = True
            await asyncio.gather(*(send(running, "/safe/x", b"ordinary") for _ in range(4)))
            workers[0].crashes_always = False
            await wait_for_restarts(running, workers)
            assert await send(running, "/safe/x", b"ordinary") == 200
        assert not quarantined_at(running.nodes[0])


async def test_neighbours_in_a_batch_are_served_and_not_quarantined() -> None:
    """A piece that crashes its worker is rerun alone; its batch neighbours complete without it."""
    engine = CrashingWorker(events=3)
    encoders = [CrashingStageWorker() for _ in range(4)]
    served = {**workers_by_id("encode", encoders), "m": (engine, "model")}
    staged = route("staged", "stream", "model", stages=ROUTES[4]["stages"])
    async with world(configuration(1, [staged]), served) as running:
        join_store(running.store, encoders, "encode")
        gate = asyncio.Event()
        for encoder in encoders:
            encoder.gate = gate
        keys = ["a", "b", CRASHING_KEY, "c", "d", "e", "f", "g"]
        calls = [
            asyncio.create_task(
                send(
                    running,
                    f"/staged/{key}",
                    b"",
                    headers={**PIECES, "X-Corkcrank-Segment-Key": key},
                )
            )
            for key in keys
        ]
        await until(lambda: all(encoder.calls for encoder in encoders))
        gate.set()
        statuses = dict(zip(keys, await asyncio.gather(*calls), strict=True))
        quarantined = quarantined_at(running.nodes[0])
    assert [key for key, status in statuses.items() if status != 200] == [CRASHING_KEY]
    assert len(quarantined) <= 1


async def test_a_waiting_call_is_not_sent_once_its_request_is_quarantined() -> None:
    engines = [CrashingWorker(events=3) for _ in range(4)]
    encoder = StandinStageWorker(gate=asyncio.Event(), told={"born": FIRST_START})
    served = {**workers_by_id("model", engines), "e": (encoder, "encode")}
    headers = {**PIECES, "X-Corkcrank-Segment-Key": "k"}
    async with world(configuration(1, ROUTES), served) as running:
        waiting = asyncio.create_task(send(running, "/staged/x", CRASHING, headers=headers))
        await until(lambda: bool(encoder.calls))
        watch = running.nodes[0].crash_watch
        request = request_fingerprint("tenant", "/staged/x", CRASHING)
        for number in range(3):
            watch.quarantine.record_crash(request, f"worker {number}", clock.now())
        assert encoder.gate is not None
        encoder.gate.set()
        assert await waiting == 503
    assert crash_count(engines) == 0


async def test_workers_that_had_exited_before_quarantine_no_request() -> None:
    """Pieces that a worker refused never ran there; 6 simulations had 88 quarantines by them."""
    encoders = [CrashingStageWorker() for _ in range(4)]
    served = {**workers_by_id("encode", encoders), "m": (CrashingWorker(events=3), "model")}
    async with world(configuration(1, ROUTES), served) as running:
        for encoder in encoders:
            encoder.server.kill()
        headers = {**PIECES, "X-Corkcrank-Segment-Key": "k"}
        for number in range(3):
            assert await send(running, "/staged/x", b"ordinary", headers=headers) == 503, number
        assert running.nodes[0].crash_watch.quarantine.empty


async def test_a_row_is_written_once_for_each_crash() -> None:
    """A request whose earlier crashes a successful call had cleared was written twice a second."""
    workers = plain_workers()
    async with world(configuration(1, ROUTES), workers_by_id("plain", workers)) as running:
        quarantine = running.nodes[0].crash_watch.quarantine
        request = request_fingerprint("tenant", "/safe/x", CRASHING)
        quarantine.record_crash(request, "before", clock.now())
        quarantine.record_success(request, clock.now())
        await quarantine_request(running, workers)
        rows, calls = running.nodes[0]._quarantine_rows, running.store.calls
        # The store holds the row before the gateway has received the confirmation.
        await until(lambda: rows._written.get(request) == 3)
        written = calls.count("/rows-tx")
        await rows._write()
        assert calls.count("/rows-tx") == written


async def test_successes_of_parts_survive_the_stop_of_every_gateway() -> None:
    """Guards against a row that is not written again when a run with a part progresses."""
    request, part = "ca" * 8, "f1" * 8
    async with world(configuration(1, ROUTES), workers_by_id("plain", plain_workers())) as running:
        quarantine, rows = running.nodes[0].crash_watch.quarantine, running.store.rows
        for number in range(3):
            quarantine.record_crash(request, f"gone-{number}", clock.now(), parts=(part,))
        await until(lambda: ("quarantine", request) in rows)
        quarantine.record_progress((part,), clock.now(), clock.now())
        await until(lambda: f'"cleared":["{part}"]' in str(rows["quarantine", request]))
        await running.nodes[0].stop()
        async with gateway_with_store_only(running) as node:
            await until(lambda: quarantined_at(node) == [request])
            records = node.crash_watch.quarantine.records.for_request(part)
            assert len(records) == 3
            assert all(record.parts[part].succeeded_after for record in records)
