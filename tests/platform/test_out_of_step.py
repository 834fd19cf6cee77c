"""A stream whose caller names no attempt is not continued by a gateway that is out of step.

Guards against streams joined from two versions: a gateway that had not heard of a version, because
it was cut off, stood still or had just started, took its old list of workers for all that served.
"""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from core_clock import core_clock
from isolation import CutOff, Isolation, isolation_of
from node_world import peer_of, route, until
from platform_standins import StandinWorker
from test_unnamed_streams import (
    SERVICE,
    assert_refused,
    knows_only,
    replace_version,
    wait_for_row,
    written_rows,
)
from versioned_world import EVENTS, Stream, VersionedWorld, versioned_world

from corkcrank.load.loopback import loopback_address
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.node.membership.peer_pulls import PeerPulls
from corkcrank.node.origins import software_rows
from corkcrank.node.origins.software_rows import SoftwareRows
from corkcrank.node.process.node import Node

STREAMS = 16
CUTS = [CutOff.STORE, CutOff.STORE_AND_MEMBERS]
TIMEOUT_MS = 1_000
ROUTES = [
    route("resumed", "stream", "model", stream_resume=True, max_attempts=3, timeout_ms=TIMEOUT_MS)
]
WATCHED_SECONDS = 1.2
"""Longer than the time-out of the route: what gateways have watched covers each stream."""


@pytest.fixture(autouse=True)
def no_late_begins(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let what gateways have watched cover each stream within seconds."""
    monkeypatch.setattr(software_rows, "LATE_BEGIN_SECONDS", 0.0)


@asynccontextmanager
async def watched_world(gateways: int = 3) -> AsyncIterator[VersionedWorld]:
    """Run gateways that have watched one version for longer than a stream may last."""
    async with core_clock(), versioned_world(gateways, ["v1"], routes=ROUTES) as played:
        await until(lambda: all(knows_only(node, "v1") for node in played.nodes))
        await asyncio.sleep(WATCHED_SECONDS)
        yield played


def listed(node: Node) -> set[str]:
    return {worker.version for worker in node.mirror.workers.for_service(SERVICE)}


def set_state(played: VersionedWorld, version: str, state: str) -> None:
    """Write the state of a version's engines to their entries."""
    for engine in played.engines[version]:
        played.running.store.put("servers", engine.worker_id, engine.entry(SERVICE, state=state))


async def add_version(played: VersionedWorld, version: str = "v2") -> None:
    """Add engines of another version, which get all new streams: the others drain."""
    engines = [StandinWorker(events=EVENTS, gap=0.02, told={"version": version}) for _ in range(3)]
    for engine in engines:
        await engine.server.start()
    played.engines[version] = engines
    set_state(played, version, "ready")
    set_state(played, "v1", "draining")


def remove_version(played: VersionedWorld, version: str) -> None:
    """Remove the entries of a version's engines, which serve on."""
    for engine in played.engines[version]:
        played.running.store.remove("servers", engine.worker_id)


async def write_nothing(rows: SoftwareRows, service: str) -> bool:
    return True


async def pull_nothing(pulls: PeerPulls, now: float) -> None:
    return


def usable(node: Node) -> set[str]:
    return {worker.version for worker in node.mirror.workers.usable_workers(SERVICE)}


async def begin_unheard(
    played: VersionedWorld, isolation: Isolation, cut_off: CutOff, *, replaced: bool
) -> list[Stream]:
    """Cut the second gateway off, and begin streams at a version that it does not hear of."""
    first, second = played.nodes[:2]
    isolation.cut_off = CutOff.STORE_AND_MEMBERS
    if replaced:
        await replace_version(played)
    else:
        await add_version(played)
    await until(lambda: usable(first) == {"v2"})
    streams = await played.begin(STREAMS)
    assert {frozenset(played.versions(item)) for item in streams} == {frozenset(["v2"])}
    assert listed(second) == {"v1"}
    isolation.cut_off = cut_off
    return streams


@pytest.mark.parametrize("replaced", [False, True])
@pytest.mark.parametrize("cut_off", CUTS)
async def test_stream_is_refused_by_a_gateway_that_is_cut_off(
    cut_off: CutOff, replaced: bool
) -> None:
    async with watched_world() as played:
        isolation = await isolation_of(played.nodes[1])
        streams = await begin_unheard(played, isolation, cut_off, replaced=replaced)
        await assert_refused(played, streams, 1)


@pytest.mark.parametrize("replaced", [False, True])
async def test_stream_is_refused_by_a_gateway_that_stood_still_until_now(replaced: bool) -> None:
    """The call is read before any news."""
    async with watched_world() as played:
        isolation = await isolation_of(played.nodes[1])
        streams = await begin_unheard(played, isolation, CutOff.NOTHING, replaced=replaced)
        await assert_refused(played, streams, 1)


async def test_stream_is_refused_after_its_version_came_and_left_unheard() -> None:
    async with watched_world() as played:
        isolation = await isolation_of(played.nodes[1])
        streams = await begin_unheard(played, isolation, CutOff.STORE_AND_MEMBERS, replaced=False)
        set_state(played, "v1", "ready")
        remove_version(played, "v2")
        isolation.cut_off = CutOff.NOTHING
        await assert_refused(played, streams, 1)


async def test_stream_is_refused_after_the_store_forgot_its_version() -> None:
    async with watched_world() as played:
        isolation = await isolation_of(played.nodes[1])
        streams = await begin_unheard(played, isolation, CutOff.STORE_AND_MEMBERS, replaced=False)
        set_state(played, "v1", "ready")
        remove_version(played, "v2")
        await until(lambda: knows_only(played.nodes[0], "v1"))
        played.running.store.forget_history()
        revision = played.running.store.revision
        isolation.cut_off = CutOff.NOTHING
        await until(lambda: played.nodes[1].mirror.workers.revision >= revision)
        await assert_refused(played, streams, 1)


async def test_stream_is_refused_by_a_gateway_that_started_with_an_old_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A member out of step gave it the list, and the row of the service is as old."""
    async with watched_world() as played:
        await wait_for_row(played, {"v1"})
        monkeypatch.setattr(SoftwareRows, "_write_changed", write_nothing)
        old = played.nodes[1].mirror.workers.records()
        isolation = await isolation_of(played.nodes[1])
        streams = await begin_unheard(played, isolation, CutOff.STORE_AND_MEMBERS, replaced=False)
        ip = loopback_address(9)
        with monkeypatch.context() as patch:
            patch.setattr(StoreMirror, "apply_worker_changes", lambda *parts: False)
            patch.setattr(PeerPulls, "_pull_workers", pull_nothing)
            async with peer_of(played.running, ip, refused=True) as node:
                node.mirror.apply_worker_list(old, 1, "peer")
                await until(lambda: node.ready)
                patch.undo()
                played.running.store.refused.clear()
                await assert_refused(played, streams, played.nodes.index(node))


async def test_stream_that_began_at_a_gateway_out_of_step_is_refused_by_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The engines of the old version serve on without an entry, as some do that leave."""
    monkeypatch.setattr(software_rows, "LATE_BEGIN_SECONDS", software_rows.RECENT_SECONDS)
    async with watched_world() as played:
        isolation = await isolation_of(played.nodes[1])
        isolation.cut_off = CutOff.STORE_AND_MEMBERS
        await replace_version(played)
        await until(lambda: knows_only(played.nodes[0], "v2"))
        await asyncio.sleep(WATCHED_SECONDS)
        streams = await played.begin(STREAMS, gateway=1)
        await assert_refused(played, streams, 0)


async def test_streams_of_one_version_continue_and_share_the_calls_to_the_store() -> None:
    async with watched_world() as played:
        streams = await played.begin(STREAMS)
        isolation = await isolation_of(played.nodes[1])
        isolation.cut_off = CutOff.STORE_AND_MEMBERS
        await asyncio.sleep(1.0)
        isolation.cut_off = CutOff.NOTHING
        calls = isolation.calls
        await asyncio.gather(*(played.attempt(item, 1, resumes="") for item in streams))
        assert all(item.whole for item in streams)
        assert isolation.calls - calls < STREAMS


async def test_streams_continue_beside_an_entry_that_cannot_be_read() -> None:
    async with watched_world() as played:
        streams = await played.begin(STREAMS)
        played.running.store.put("servers", "odd", {"service": 7})
        await until(
            lambda: all("odd" in node.mirror.entry_reader.unreadable for node in played.nodes)
        )
        await asyncio.gather(*(played.attempt(item, 1, resumes="") for item in streams))
        assert all(item.whole for item in streams)


async def test_row_keeps_a_version_that_an_owner_out_of_step_has_not_heard_of() -> None:
    """Another gateway owned the service meanwhile, and wrote the row."""
    async with watched_world() as played:
        await wait_for_row(played, {"v1"})
        store = played.running.store
        store.put("software", SERVICE, {"versions": {"v0": time.monotonic(), "v1": None}})
        await replace_version(played)
        await wait_for_row(played, {"v2"})
        assert written_rows(played)[-1].versions.keys() == {"v0", "v1", "v2"}


async def test_streams_of_one_version_continue_where_the_store_has_lost_its_history() -> None:
    async with watched_world() as played:
        await wait_for_row(played, {"v1"})
        streams = await played.begin(STREAMS)
        isolation = await isolation_of(played.nodes[1])
        isolation.cut_off = CutOff.STORE_AND_MEMBERS
        set_state(played, "v1", "ready")
        played.running.store.forget_history()
        isolation.cut_off = CutOff.NOTHING
        await asyncio.gather(*(played.attempt(item, 1, resumes="") for item in streams))
        assert all(item.whole for item in streams)
