"""A gateway keeps a bounded part of what a peer sends, and ends an answer that exceeds its bound.

Guards against a gateway that one faulty peer takes over its memory limit: the platform kills it,
and every request in progress there is lost. An engine sent bytes without the end of an event, which
were kept until the deadline of the call; bodies of plain answers, stage results, reports and
answers of members and of the store had no bound either.
"""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest
from endless_answers import PIECE, Endless, EndlessPeer
from engine_script import Answer, Ending, ScriptedEngine, events, honest
from node_world import configuration, peer_of, route, until, world
from platform_standins import StandinStageWorker, StandinWorker
from test_owners import acquainted
from test_stream_wholeness import broken_after

from corkcrank.contracts import clock
from corkcrank.contracts.identifiers import AttemptId, RequestId, TenantName
from corkcrank.contracts.memory import BYTES_PER_MB
from corkcrank.contracts.messages import PlainCall
from corkcrank.contracts.node_settings import NodeLimitSettings
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.back_ends import BackEndClient, PossiblySent
from corkcrank.links.platform_ports import StoreFailure, StoreFailureReason, StoreTable
from corkcrank.links.received_bytes import Purpose
from corkcrank.links.silence import ignore_silence
from corkcrank.links.traffic import ControlTraffic
from corkcrank.load.loopback import loopback_address
from corkcrank.node.peers.peer_client import PeerClient, PeerFailure
from corkcrank.node.relays.relay_protocol import RELAY_PATH
from corkcrank.node.workers.worker_client import WorkerClient
from corkcrank.node.workers.worker_request import SendFailure, WorkerRequest
from corkcrank.platform.store import PlatformStore

MAX_ANSWER_SECONDS = 1.5
"""Longest time of a call whose first answer exceeds its bound; the deadline is 4 s."""

MAX_ANSWER_BYTES = 8 * BYTES_PER_MB
LIMITS = NodeLimitSettings(max_answer_mb=MAX_ANSWER_BYTES / BYTES_PER_MB)
MAX_BACK_END_BYTES = 8 * MAX_ANSWER_BYTES
MAX_STORE_BYTES = 2 * MAX_ANSWER_BYTES
KERNEL_BYTES = 12 * BYTES_PER_MB
"""Bytes that the kernel may hold of one loopback connection beside those that were read."""


def comments(after: int) -> Answer:
    return Answer(b"", ending=Ending.COMMENTS)


EVENTS = 6
CALLS = 6
STAGES = [{"service": "encode", "since_revision": [], "byte_length": 1000}]
PIECES = {"X-Corkcrank-Segments": "2", "X-Corkcrank-Segment-Key": "7c1e07a291bd"}
ROUTES = [
    route("safe", "safe", "plain"),
    route("once", "unsafe", "plain"),
    route("resumed", "stream", "model", stream_resume=True, max_attempts=3),
    route("staged", "stream", "model", stages=STAGES),
]


def bounded(peer: EndlessPeer, limit_bytes: int = MAX_ANSWER_BYTES) -> bool:
    return max(peer.sent, default=0) < limit_bytes + KERNEL_BYTES


@pytest.mark.parametrize("how", Endless)
async def test_repeatable_call_with_an_endless_answer_is_served_elsewhere(how: Endless) -> None:
    endless = EndlessPeer(how)
    served = {"endless": (endless, "plain"), "sound": (StandinWorker(), "plain")}
    async with world(configuration(1, ROUTES), served) as running:  # type: ignore[arg-type]
        running.nodes[0].services.client.received.apply_limits(LIMITS)
        for _ in range(CALLS):
            started = clock.now()
            response = await running.call("/safe/x", method="GET")
            assert (response.status, (await response.read())[:9]) == (200, b"answer of")
            assert clock.now() - started < MAX_ANSWER_SECONDS
        await until(lambda: not endless.open)
        assert endless.sent
        assert bounded(endless)


async def test_unrepeatable_call_with_an_endless_answer_ends_before_its_deadline() -> None:
    endless = EndlessPeer(Endless.CHUNKS)
    async with world(configuration(1, ROUTES), {"endless": (endless, "plain")}) as running:  # type: ignore[dict-item]
        running.nodes[0].services.client.received.apply_limits(LIMITS)
        started = clock.now()
        response = await running.call("/once/x", data=b"order")
        assert response.status == 502
        assert "Retry-After" not in response.headers
        assert clock.now() - started < MAX_ANSWER_SECONDS
        await until(lambda: not endless.open)
    assert len(endless.sent) == 1
    assert bounded(endless)


@pytest.mark.parametrize("how", [Endless.BODY, Endless.CHUNKS, Endless.EXTENSION])
async def test_stream_with_an_endless_event_continues_at_another_engine(how: Endless) -> None:
    """The ids decide which of two idle engines comes first, so both get each id once."""
    sent = [
        *await streams_beside_an_endless_engine(how, "i-1", "i-2"),
        *await streams_beside_an_endless_engine(how, "i-2", "i-1"),
    ]
    assert sent


async def streams_beside_an_endless_engine(how: Endless, endless_id: str, id_: str) -> list[int]:
    """Check streams of two engines, one of them endless; return the bytes of its answers."""
    endless = EndlessPeer(how, beginning=events(1, 2), sound={"/report": b"{}"})
    sound = ScriptedEngine([honest(EVENTS)])
    endless.worker_id, sound.worker_id = endless_id, id_
    served = {"endless": (endless, "model"), "sound": (sound, "model")}
    async with world(configuration(1, ROUTES), served) as running:  # type: ignore[arg-type]
        for _ in range(CALLS):
            started = clock.now()
            response = await running.call("/resumed/x")
            assert (response.status, await response.read()) == (200, events(1, EVENTS))
            assert clock.now() - started < MAX_ANSWER_SECONDS
        await until(lambda: not endless.open)
        assert bounded(endless)
    return endless.sent


async def test_comments_without_end_are_not_kept_during_a_failover() -> None:
    """The engine that should continue the stream sends comments instead of the next event."""
    turns = [broken_after(2), comments, honest(EVENTS)]
    engines = [ScriptedEngine([lambda after: turns.pop(0)(after)]) for _ in range(3)]
    served = {str(number): (engine, "model") for number, engine in enumerate(engines)}
    async with world(configuration(1, ROUTES), served) as running:  # type: ignore[arg-type]
        response = await running.call("/resumed/x")
        assert (response.status, await response.read()) == (200, events(1, EVENTS))
        counts = [engine.comment_bytes for engine in engines]
        assert 0 < max(counts) < BYTES_PER_MB + KERNEL_BYTES


async def test_stages_with_endless_results_are_run_elsewhere() -> None:
    report = json.dumps({"queued": 0, "utilization": False, "free_mb": 1e6}).encode()
    endless = EndlessPeer(Endless.BODY, sound={"/report": report, "/stage-free": b""})
    served = {
        "endless": (endless, "encode"),
        "sound": (StandinStageWorker(), "encode"),
        "engine": (StandinWorker(events=EVENTS), "model"),
    }
    async with world(configuration(1, ROUTES), served) as running:  # type: ignore[arg-type]
        for _ in range(CALLS):
            started = clock.now()
            response = await running.call("/staged/x", headers=PIECES)
            assert response.status == 200
            assert (await response.read()).count(b"id: ") == EVENTS
            assert clock.now() - started < MAX_ANSWER_SECONDS
        await until(lambda: not endless.open)
        assert endless.sent
        assert bounded(endless)


@asynccontextmanager
async def endless_peer(
    how: Endless, limit_bytes: int = MAX_ANSWER_BYTES
) -> AsyncIterator[EndlessPeer]:
    peer = EndlessPeer(how)
    await peer.server.start()
    try:
        yield peer
        await until(lambda: not peer.open)
        assert bounded(peer, limit_bytes)
    finally:
        await peer.server.stop()


@pytest.mark.parametrize("how", [Endless.BODY, Endless.CHUNKS])
async def test_endless_report_is_dropped(how: Endless) -> None:
    async with endless_peer(how) as peer, WorkerClient() as client:
        worker = WorkerRecord("w", "s", peer.server.address, "z1")
        response = await client.send(WorkerRequest(worker, "GET", "/report", [], b"", 3.0))
        assert not isinstance(response, SendFailure)
        assert await client.read_body(response, 3.0, purpose=Purpose.REPORT) is None


@pytest.mark.parametrize("how", Endless)
async def test_endless_answer_of_a_member_is_broken(how: Endless) -> None:
    peers = PeerClient(ignore_silence)
    async with endless_peer(how) as peer:
        assert await peers.request(peer.server.address, "/peer/x") is PeerFailure.BROKEN
        await peers.close()


@pytest.mark.parametrize("how", [Endless.BODY, Endless.CHUNKS])
async def test_endless_answer_of_the_store_is_broken(how: Endless) -> None:
    async with endless_peer(how, MAX_STORE_BYTES) as peer, aiohttp.ClientSession() as session:
        store = PlatformStore(session, peer.server.address, 3.0)
        result = await store.read(StoreTable.WORKERS)
        assert isinstance(result, StoreFailure)
        assert result.failure_reason is StoreFailureReason.BROKEN


@pytest.mark.parametrize("how", [Endless.BODY, Endless.CHUNKS])
async def test_endless_answer_of_a_back_end_is_no_answer(how: Endless) -> None:
    back_ends = BackEndClient(ControlTraffic())
    async with endless_peer(how, MAX_BACK_END_BYTES) as peer:
        call = PlainCall(RequestId("r"), AttemptId("a"), TenantName("t"), "operation", "", "")
        result = await back_ends.call_plain(peer.server.address, call, 3.0, fresh=False)
        assert isinstance(result, PossiblySent)
        await back_ends.close()


async def test_endless_relayed_request_is_not_kept() -> None:
    sent = 0

    async def endless_body() -> AsyncIterator[bytes]:
        nonlocal sent
        while True:
            yield PIECE
            sent += len(PIECE)

    sound = {"sound": (StandinWorker(), "plain")}
    async with (
        world(configuration(1, ROUTES), sound) as running,  # type: ignore[arg-type]
        peer_of(running, loopback_address(2)) as node,
        aiohttp.ClientSession() as peers,
    ):
        await acquainted(running.nodes[0], node)
        url = f"http://{node.fleet.local_address}{RELAY_PATH}"
        with pytest.raises(aiohttp.ClientError):
            async with asyncio.timeout(3.0):
                await peers.post(url, data=endless_body())
    assert sent < 2 * MAX_ANSWER_BYTES + KERNEL_BYTES
