"""Revisions that the store never reached, in what a peer reports of the list of workers."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import pytest
from node_world import World, configuration, peer_of, route, until, world
from platform_standins import StandinWorker

from corkcrank.contracts import clock
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.contracts.zone_evacuations import ZoneState
from corkcrank.links.platform_ports import StoreTable
from corkcrank.load.loopback import loopback_address
from corkcrank.machines import revision_check, store_followers
from corkcrank.machines.heartbeat_codec import encode_heartbeat
from corkcrank.machines.worker_changes import WorkerChange, WorkerChangeBatch
from corkcrank.node.process.node import Node

ROUTES = [route("safe", "safe", "plain")]
WRONG = 10**15
RECORD = WorkerRecord("odd", "plain", "127.0.0.1:9", "z1", revision=WRONG)


def batches(listed: str) -> dict[str, WorkerChangeBatch]:
    """Return wrong reports; ``listed`` is a worker that the store has."""
    return {
        "list": WorkerChangeBatch(0, WRONG, ()),
        "removal": WorkerChangeBatch(0, WRONG, (WorkerChange(listed, WRONG, None),)),
        "worker": WorkerChangeBatch(0, WRONG, (WorkerChange("odd", WRONG, RECORD),)),
        "row without the list": WorkerChangeBatch(
            WRONG - 1, WRONG, (WorkerChange(listed, WRONG, None),)
        ),
        "row newer than its list": WorkerChangeBatch(0, 1, (WorkerChange(listed, WRONG, None),)),
    }


def usable(node: Node) -> set[str]:
    return {worker.name for worker in node.mirror.workers.usable_workers("plain")}


def report(
    running: World, batch: WorkerChangeBatch | None, zone_states: tuple[ZoneState, ...] = ()
) -> None:
    """Send all gateways a heartbeat of another member."""
    sender = running.nodes[-1]
    sound = sender.heartbeats._build_heartbeat(clock.now())
    beat = msgspec.structs.replace(
        sound,
        name="another",
        address=f"{loopback_address(3)}:9",
        worker_changes=batch,
        workers_revision=batch.revision if batch is not None else sound.workers_revision,
        zone_states=zone_states,
    )
    for node in running.nodes:
        sender.heartbeats.send_datagram(encode_heartbeat(beat), node.fleet.local_address)


@asynccontextmanager
async def two_gateways(worker: StandinWorker) -> AsyncIterator[World]:
    async with (
        world(configuration(1, ROUTES), {"one": (worker, "plain")}) as running,
        peer_of(running, loopback_address(2)) as second,
    ):
        first = running.nodes[0]
        await until(lambda: second.ready and len(first.fleet.live_members(clock.now())) == 1)
        await until(lambda: len(second.fleet.live_members(clock.now())) == 1)
        yield running


async def followed_again(running: World, listed: str) -> None:
    """Add and remove workers until every gateway knows; the list must be that of the store."""
    late = StandinWorker()
    await late.server.start()
    running.store.put("servers", late.worker_id, late.entry("plain"))
    await until(lambda: all(usable(node) == {listed, late.worker_id} for node in running.nodes))
    for number in range(len(running.nodes)):
        response = await running.call("/safe/x", number=number)
        assert response.status == 200
    running.store.remove("servers", late.worker_id)
    await until(lambda: all(usable(node) == {listed} for node in running.nodes))
    for node in running.nodes:
        assert node.mirror.workers.newest_revision <= running.store.revision
    await late.server.stop()


@pytest.mark.parametrize("kind", batches(""))
@pytest.mark.parametrize("followers", [1, 4])
async def test_a_wrong_revision_of_a_peer_does_not_freeze_the_list(
    kind: str, followers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With one follower, the other gateway has no answers of its own."""
    monkeypatch.setattr(store_followers, "MIN_FOLLOWERS", followers)
    monkeypatch.setattr(revision_check, "SETTLE_SECONDS", 0.5)
    worker = StandinWorker()
    async with two_gateways(worker) as running:
        batch = batches(worker.worker_id)[kind]
        for _ in range(2):
            report(running, batch)
            await asyncio.sleep(0.1)
        await followed_again(running, worker.worker_id)


@pytest.mark.parametrize("followers", [1, 4])
@pytest.mark.parametrize("evacuated", [True, False])
async def test_a_wrong_revision_of_a_peer_does_not_freeze_the_state_of_a_zone(
    evacuated: bool, followers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The reported state is the opposite of the operator's."""
    monkeypatch.setattr(store_followers, "MIN_FOLLOWERS", followers)
    monkeypatch.setattr(revision_check, "SETTLE_SECONDS", 0.5)
    worker = StandinWorker()
    async with two_gateways(worker) as running:
        states = [node.mirror.evacuations for node in running.nodes]
        if not evacuated:
            running.store.put("op", "evacuate/z1", b"")
            await until(lambda: all("z1" in state.evacuated for state in states))
        for _ in range(2):
            report(running, None, (ZoneState("z1", WRONG, evacuated),))
            await asyncio.sleep(0.1)
        running.store.remove("op", "evacuate/z2")
        await until(lambda: all(("z1" in state.evacuated) != evacuated for state in states))
        await asyncio.sleep(0.5)
        assert all(("z1" in state.evacuated) != evacuated for state in states)
        expected = {worker.worker_id} if evacuated else set()
        assert all(usable(node) == expected for node in running.nodes)
        assert all(state.newest_revision <= running.store.revision for state in states)


async def test_a_revision_that_the_store_reaches_later_is_accepted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A gateway that refuses a revision asks the store again."""
    monkeypatch.setattr(store_followers, "MIN_FOLLOWERS", 1)
    monkeypatch.setattr(revision_check, "SETTLE_SECONDS", 0.5)
    monkeypatch.setattr(revision_check, "RECHECK_SECONDS", 0.5)
    worker = StandinWorker()
    async with two_gateways(worker) as running:
        report(running, batches(worker.worker_id)["list"])
        checks = [node.mirror.revisions for node in running.nodes]
        await until(lambda: all(check.refuted_from == WRONG for check in checks))
        running.store.revision = WRONG
        await followed_again(running, worker.worker_id)


async def test_revisions_that_members_confirm_cost_no_calls_to_the_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_followers, "MIN_FOLLOWERS", 1)
    monkeypatch.setattr(revision_check, "SETTLE_SECONDS", 0.6)
    worker = StandinWorker()
    async with two_gateways(worker) as running:
        checks = [node.mirror.revisions for node in running.nodes]
        ends_at = clock.now() + 2.5
        for number in itertools.count():
            entry = {**worker.entry("plain"), "sequence": number}
            running.store.put("servers", worker.worker_id, entry)
            await asyncio.sleep(0.02)
            assert not any(check.must_ask(StoreTable.WORKERS) for check in checks)
            if clock.now() > ends_at:
                break
