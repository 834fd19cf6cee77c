"""A body that arrives byte by byte without end holds its reader no longer than its own time."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import pytest
from core_clock import core_clock
from endless_answers import Endless, EndlessPeer
from node_world import World, configuration, route, until, world
from platform_standins import StandinWorker

from corkcrank.contracts import clock
from corkcrank.links.platform_ports import StoreFailure, StoreTable
from corkcrank.links.silence import ignore_silence
from corkcrank.node.peers import peer_client
from corkcrank.node.peers.peer_client import PeerClient, PeerFailure
from corkcrank.node.peers.peer_silence import ANSWER_INTERVALS
from corkcrank.node.stages.stage_worker_client import REPORT_SECONDS, StageWorkerClient
from corkcrank.node.workers.liveness import PROBE_TIMEOUT_SECONDS
from corkcrank.platform.store import PlatformStore

PAUSE_SECONDS = 0.02
HEAD_SHARE = 0.8
"""Share of the time of a report after which its head comes."""

LATE_FACTOR = 1.5
"""Time of an exchange that is too long, as a multiple of its own. A head that comes late, and a
whole time for the body, took more."""

DEADLINE_SECONDS = 0.8

ROUTES = [route("safe", "safe", "plain"), route("once", "unsafe", "plain")]


def dripping() -> EndlessPeer:
    return EndlessPeer(Endless.CHUNKS, pause=PAUSE_SECONDS)


async def probe(running: World, peer: EndlessPeer) -> object:
    services = running.nodes[0].services
    record = running.nodes[0].mirror.workers.get(peer.worker_id)
    assert record is not None
    return await services.liveness.is_responsive(record)


async def fetch_report(running: World, peer: EndlessPeer) -> object:
    node = running.nodes[0]
    record = node.mirror.workers.get(peer.worker_id)
    assert record is not None
    services = node.services
    client = StageWorkerClient(
        services.ports.stages, services.client, services.availability, node._statements
    )
    return await client.fetch_report(record)


REPORTS = {
    "health": (probe, False, PROBE_TIMEOUT_SECONDS),
    "report": (fetch_report, None, REPORT_SECONDS),
}


@pytest.mark.parametrize(("ask", "answer", "seconds"), REPORTS.values(), ids=REPORTS.keys())
async def test_a_report_that_drips_is_none_and_takes_its_own_time(
    ask: Callable[[World, EndlessPeer], Awaitable[object]], answer: object, seconds: float
) -> None:
    peer = dripping()
    peer.head_pause = HEAD_SHARE * seconds
    async with core_clock(), world(configuration(1, ROUTES), {"peer": (peer, "model")}) as running:  # type: ignore[dict-item]
        await until(lambda: not peer.open)
        asked_at = clock.now()
        assert await ask(running, peer) is answer
        assert clock.now() - asked_at < LATE_FACTOR * seconds
        assert peer.sent


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
async def test_a_plain_answer_that_drips_ends_with_its_deadline(path: str) -> None:
    peer = dripping()
    served = {"peer": (peer, "plain"), "sound": (StandinWorker(), "model")}
    headers = {"X-Corkcrank-Deadline-Ms": str(int(1_000 * DEADLINE_SECONDS))}
    async with core_clock(), world(configuration(1, ROUTES), served) as running:  # type: ignore[arg-type]
        asked_at = clock.now()
        response = await running.call(path, headers=headers)
        assert response.status in {502, 504}
        assert clock.now() - asked_at < LATE_FACTOR * DEADLINE_SECONDS
        await until(lambda: not peer.open)


async def test_an_answer_of_the_store_that_drips_ends_with_its_time() -> None:
    peer = dripping()
    await peer.server.start()
    async with core_clock(), aiohttp.ClientSession() as session:
        asked_at = clock.now()
        store = PlatformStore(session, peer.server.address, DEADLINE_SECONDS)
        assert isinstance(await store.read(StoreTable.WORKERS), StoreFailure)
        assert clock.now() - asked_at < LATE_FACTOR * DEADLINE_SECONDS
        await until(lambda: not peer.open)
    await peer.server.stop()


@pytest.mark.parametrize("seconds", [DEADLINE_SECONDS, None])
async def test_an_answer_of_a_member_that_drips_ends_with_its_time(
    seconds: float | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    if seconds is None:
        interval = DEADLINE_SECONDS / ANSWER_INTERVALS
        monkeypatch.setattr(peer_client, "PEER_PROGRESS_INTERVAL_SECONDS", interval)
    peer = dripping()
    await peer.server.start()
    peers = PeerClient(ignore_silence)
    async with core_clock():
        asked_at = clock.now()
        async with asyncio.timeout(2 * DEADLINE_SECONDS):
            answer = await peers.request(peer.server.address, "/x", timeout_seconds=seconds)
        assert answer is PeerFailure.SILENT
        assert clock.now() - asked_at < LATE_FACTOR * DEADLINE_SECONDS
        await until(lambda: not peer.open)
    await peers.close()
    await peer.server.stop()
