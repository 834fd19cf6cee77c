"""Requests to workers that a gateway does not reach, sent through another gateway, and failures.

Guards against requests that run twice, answers that are not whole, work for callers that have left,
and requests that a worker or a member does not want.
"""

import asyncio

import aiohttp
import pytest
from core_clock import core_clock
from gateway_links import Cut
from node_world import call_id, peer_of, until
from partitioned_world import EVENTS, PartitionedWorld, partitioned_world
from test_owners import acquainted

from corkcrank.contracts import clock
from corkcrank.load.loopback import loopback_address
from corkcrank.node.peers.peer_client import PEER_SILENCE_SECONDS
from corkcrank.node.process.node import Node
from corkcrank.node.relays import relay_server
from corkcrank.node.relays.relay_protocol import RELAY_HEADER

RELEASE_SECONDS = 0.5
REFUSAL_SECONDS = 0.3
LARGE_BODY = b"b" * 9_000
BODIES_WITH_ROOM = 2


async def partition(played: PartitionedWorld, gateway: int, how: Cut = Cut.REFUSED) -> None:
    """Cut a gateway and wait until it and all others know."""
    played.links.cut(gateway, how)
    await played.call_once(gateway, "once", 1)
    node = played.nodes[gateway]
    await until(lambda: node.links.health.partitioned)
    name = node.fleet.local_name
    await until(
        lambda: all(knows_partition(other, name) for other in played.nodes if other is not node)
    )


def knows_partition(node: Node, name: str) -> bool:
    member = node.fleet.member(name)
    return member is not None and member.heartbeat.partitioned


async def send(
    played: PartitionedWorld, name: str, *, body: bytes = b"", attempt: str = ""
) -> aiohttp.ClientResponse:
    prompt = {"X-Corkcrank-Token-Count": "20,5", "X-Corkcrank-Prefix-Hash": "1:10,aa:10"}
    return await played.running.call(
        f"/{name}/x", headers=prompt, data=body, attempt=attempt or call_id()
    )


@pytest.mark.parametrize("name", ["safe", "once"])
async def test_request_and_answer_pass_through_a_member_unchanged(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with partitioned_world(monkeypatch, 2) as played:
        await partition(played, 0)
        attempt, body = call_id(), bytes(range(256)) * 30
        response = await send(played, name, body=body, attempt=attempt)
        assert response.status == 200
        assert (await response.read()).startswith(b"answer of ")
        assert response.headers["X-Corkcrank-Server-Seal"].startswith("seal-")
        assert RELAY_HEADER not in response.headers
        seen = [
            item
            for worker in played.plain
            for item in worker.seen
            if item.headers["X-Corkcrank-Attempt-Id"] == attempt
        ]
        assert [item.body for item in seen] == [body]
        assert seen[0].target == f"/{name}/x"
        assert seen[0].headers["X-Corkcrank-Tenant"] == "tenant"
        assert not [header for header in seen[0].headers if "relay" in header.lower()]


async def test_callers_are_refused_at_once_while_no_gateway_reaches_a_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with partitioned_world(monkeypatch) as played:
        for gateway in range(3):
            played.links.cut(gateway, Cut.SILENT)
        await played.load(1.0)
        await until(lambda: all(node.links.health.partitioned for node in played.nodes))
        await until(lambda: all(node.services.no_worker_reachable() for node in played.nodes))
        for name in ("safe", "once", "talk", "resumed", "staged"):
            answer = await played.call_once(1, name, 7)
            assert "WORKERS_UNREACHABLE" in answer.detail
            assert answer.seconds < REFUSAL_SECONDS
        for gateway in range(3):
            played.links.heal(gateway)
        await until(lambda: not any(node.links.health.partitioned for node in played.nodes))
        assert (await played.call_once(1, "safe", 8)).served


@pytest.mark.parametrize("name", ["safe", "once", "talk"])
async def test_a_worker_stops_when_the_caller_of_a_relayed_request_leaves(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with core_clock(), partitioned_world(monkeypatch, 2) as played:
        await partition(played, 0)
        workers = played.engines if name == "talk" else played.plain
        for worker in workers:
            worker.hold = asyncio.Event()
        before = sum(len(worker.seen) for worker in workers)
        call = asyncio.create_task(send(played, name))
        await until(lambda: sum(len(worker.seen) for worker in workers) > before)
        left_at = clock.now()
        call.cancel()
        await until(lambda: sum(worker.left for worker in workers) == 1)
        assert clock.now() - left_at < RELEASE_SECONDS


async def test_bodies_of_relayed_requests_stay_within_the_memory_of_a_member(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against large bodies of other gateways' callers, kept until workers answer."""
    async with core_clock(), partitioned_world(monkeypatch, 2) as played:
        await partition(played, 0)
        member = played.nodes[1].services.client.received
        relays = played.nodes[1]._access.relays
        member.bound_bytes = BODIES_WITH_ROOM * len(LARGE_BODY)
        for worker in played.plain:
            worker.hold = asyncio.Event()
        calls = [asyncio.create_task(send(played, "once", body=LARGE_BODY)) for _ in range(6)]
        await until(lambda: relays.in_flight == BODIES_WITH_ROOM)
        await until(lambda: sum(call.done() for call in calls) == len(calls) - BODIES_WITH_ROOM)
        assert relays.body_bytes == BODIES_WITH_ROOM * len(LARGE_BODY)
        for worker in played.plain:
            assert worker.hold is not None
            worker.hold.set()
        statuses = [(await call).status for call in calls]
        assert sorted(statuses) == [200] * BODIES_WITH_ROOM + [503] * (6 - BODIES_WITH_ROOM)
        assert not relays.body_bytes


async def test_a_worker_in_backoff_at_the_member_gets_no_relayed_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with partitioned_world(monkeypatch, 2) as played:
        await partition(played, 0)
        rejecting, *others = played.plain
        notices = played.nodes[1].services.statements.notices
        notices.record_backoff(rejecting.worker_id, 5.0, clock.now())
        before = len(rejecting.seen)
        for number in range(20):
            assert (await played.call_once(0, "once", number)).served
        assert len(rejecting.seen) == before
        assert sum(len(worker.seen) for worker in others) >= 20


async def test_a_member_records_what_the_worker_states_in_a_relayed_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with partitioned_world(monkeypatch, 2) as played:
        await partition(played, 0)
        for worker in played.plain:
            worker.named = {"Server-Leaving": "1"}
        assert (await played.call_once(0, "once", 1)).served
        notices = played.nodes[1].services.statements.notices
        assert sum(notices.is_leaving(worker.worker_id) for worker in played.plain) == 1


async def test_a_partitioned_member_relays_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async with partitioned_world(monkeypatch) as played:
        await partition(played, 1)
        await partition(played, 0)
        for number in range(10):
            assert (await played.call_once(0, "once", number)).served
        carried = played.nodes[1].services.metrics.requests_relayed_for_others
        assert not [sample for family in carried.collect() for sample in family.samples]


@pytest.mark.parametrize("how", [Cut.REFUSED_RESET, Cut.RESET])
async def test_what_a_partitioned_gateway_believes_of_workers_binds_no_other(
    how: Cut, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Calls of one and the same request are reset together, which looks like workers that crash."""
    async with partitioned_world(monkeypatch) as played:
        for worker in [*played.plain, *played.engines]:
            worker.hold = asyncio.Event()
        calls = [
            asyncio.create_task(send(played, name, body=b"same")) for name in ("safe", "once") * 8
        ]
        await until(lambda: sum(len(worker.seen) for worker in played.plain) >= len(calls))
        played.links.cut(0, how)
        for worker in [*played.plain, *played.engines]:
            worker.hold.set()  # type: ignore[union-attr]
        await asyncio.gather(*calls, return_exceptions=True)
        await played.load(1.5)
        for node in played.nodes[1:]:
            assert node.crash_watch.quarantine.empty
            assert not [
                worker_id
                for worker_id, statistics in node.services.worker_statistics.items()
                if statistics.ended_until > clock.now() or statistics.excess
            ]
        assert played.nodes[0].crash_watch.quarantine.empty


async def test_a_partitioned_gateway_owns_no_workers_until_its_links_are_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with partitioned_world(monkeypatch) as played:
        owner = played.stage_owner()
        played.links.cut(owner, Cut.REFUSED)
        await played.call_once(owner, "once", 1)
        dispatches = [node.services.dispatch for node in played.nodes]
        record = played.nodes[0].services.mirror.workers.usable_workers("encode")[0]
        name = played.nodes[owner].fleet.local_name
        await until(lambda: all(item.owner_of(record, clock.now()) != name for item in dispatches))
        assert len({item.owner_of(record, clock.now()) for item in dispatches}) == 1
        played.links.heal(owner)
        await until(lambda: all(item.owner_of(record, clock.now()) == name for item in dispatches))


@pytest.mark.parametrize("name", ["talk", "resumed"])
async def test_a_relayed_stream_ends_whole_when_the_member_stops(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with (
        partitioned_world(monkeypatch, 2) as played,
        peer_of(played.running, loopback_address(3), grace=3.0) as leaving,
    ):
        await acquainted(played.nodes[0], leaving)
        await partition(played, 0)
        await played.nodes[1].stop()
        for engine in played.engines:
            engine.gap = 0.2
        response = await send(played, name)
        await until(lambda: leaving._access.relays.in_flight == 1)
        stopping = asyncio.create_task(leaving.stop())
        body = await response.read()
        assert (response.status, body.count(b"id: ")) == (200, EVENTS)
        await stopping


async def test_a_repeatable_call_is_served_when_the_member_fails_in_the_middle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with partitioned_world(monkeypatch) as played:
        await partition(played, 0)
        for worker in played.plain:
            worker.hold = asyncio.Event()
        call = asyncio.create_task(send(played, "safe"))
        relays = [node._access.relays for node in played.nodes]
        await until(lambda: any(item.in_flight for item in relays))
        carrier = next(node for node in played.nodes if node._access.relays.in_flight)
        for worker in played.plain:
            worker.hold.set()  # type: ignore[union-attr]
            worker.hold = None
        runner = carrier._peer_server._runner
        assert runner is not None
        assert runner.server is not None
        for connection in runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        response = await call
        assert response.status == 200
        assert (await response.read()).startswith(b"answer of ")


async def test_a_slow_worker_is_waited_for_and_a_silent_member_is_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A worker that takes longer than the silence of a connection to a member is waited for."""
    async with partitioned_world(monkeypatch, 2) as played:
        await partition(played, 0)
        for worker in played.plain:
            worker.hold = asyncio.Event()
        call = asyncio.create_task(send(played, "once"))
        await asyncio.sleep(1.3 * PEER_SILENCE_SECONDS)
        for worker in played.plain:
            worker.hold.set()  # type: ignore[union-attr]
        response = await call
        assert (response.status, len(await response.read()) > 0) == (200, True)
        for worker in played.plain:
            worker.hold = asyncio.Event()
        pause_interim_responses(monkeypatch)
        started = clock.now()
        response = await send(played, "once")
        assert response.status == 502
        assert PEER_SILENCE_SECONDS <= clock.now() - started < 1.5 * PEER_SILENCE_SECONDS


def pause_interim_responses(patch: pytest.MonkeyPatch) -> None:
    """Let members send nothing while they wait for a worker."""
    patch.setattr(relay_server, "PEER_PROGRESS_INTERVAL_SECONDS", 60.0)


async def test_a_member_uses_no_connection_again_after_an_answer_to_another_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with partitioned_world(monkeypatch, 2) as played:
        await partition(played, 0)
        worker = played.plain[0]
        worker.faults.append("foreign-id")
        while worker.faults:
            await send(played, "safe")
        member = played.nodes[1].services
        assert member.metrics.foreign_answers.labels("other call")._value.get() == 1
        protocols = [
            kept for idle in member.client._kept.connector._conns.values() for kept in idle
        ]
        unconfirmed = [protocol for protocol, _ in protocols if not protocol.confirmed]
        assert len(unconfirmed) == 1
