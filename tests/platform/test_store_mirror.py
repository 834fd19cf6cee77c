"""A gateway adopts only higher configuration versions, also through failures of the store."""

import asyncio
import random

import aiohttp
import msgspec
import pytest
from node_world import World, configuration, peer_of, route, settings_for, until, world
from odd_entries import odd_rows
from platform_standins import StandinWorker

from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.load.loopback import loopback_address
from corkcrank.node.peers.peer_protocol import WORKERS_PATH, WorkersAnswer, WorkersRequest
from corkcrank.node.process.node import Node
from corkcrank.platform.ports import connect_platform

MAX_CALLS = 60
"""Far below what a follower without pauses would send, far above what it needs."""

ROUTES = [route("safe", "safe", "plain")]
MORE = [*ROUTES, route("added", "safe", "plain")]


async def test_a_new_version_is_adopted_from_the_feed_and_an_older_one_never() -> None:
    async with world(configuration(5, ROUTES), {"one": (StandinWorker(), "plain")}) as running:
        node = running.nodes[0]
        running.store.put("op", "config", configuration(7, MORE))
        await until(lambda: node.mirror.version == 7)
        assert (await running.call("/added/x")).status == 200
        running.store.put("op", "config", configuration(6, ROUTES))
        running.store.put("op", "config", configuration(9, MORE))
        await until(lambda: node.mirror.version == 9)


async def test_the_table_is_read_again_when_the_store_has_lost_its_history() -> None:
    async with world(configuration(1, ROUTES), {"one": (StandinWorker(), "plain")}) as running:
        running.store.rows.pop(("op", "config"))
        running.store.put("op", "config", configuration(2, MORE))
        running.store.forget_history()
        await until(lambda: running.nodes[0].mirror.version == 2)


async def test_changes_that_cannot_be_decoded_do_not_end_the_feed() -> None:
    one, two = StandinWorker(), StandinWorker()
    await two.server.start()
    async with world(configuration(1, ROUTES), {"one": (one, "plain")}) as running:
        mirror = running.nodes[0].mirror
        running.store.undecodable_before = running.store.revision + 2
        running.store.put("servers", two.worker_id, two.entry("plain"))
        running.store.put("op", "config", configuration(2, MORE))
        await until(lambda: mirror.version == 2 and len(mirror.workers.records()) == 2)
        broken = mirror.call_counts["workers:broken"]
        running.store.put("servers", one.worker_id, one.entry("plain", state="draining"))
        await until(lambda: len(mirror.workers.usable_workers("plain")) == 1)
        assert mirror.call_counts["workers:broken"] == broken
        assert len(running.store.calls) < MAX_CALLS
    await two.server.stop()


async def test_a_row_beside_the_configuration_without_a_readable_key_is_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    events: list[LogEvent] = []
    monkeypatch.setattr(DecisionLog, "write", lambda log, event, **fields: events.append(event))
    async with world(configuration(1, ROUTES), {"one": (StandinWorker(), "plain")}) as running:
        running.store.put("op", "odd", odd_rows()["row-nested"])
        running.store.put("op", "config", configuration(2, MORE))
        await until(lambda: running.nodes[0].mirror.version == 2)
    assert LogEvent.CONFIGURATION_UNREADABLE in events


async def test_a_gateway_serves_through_an_outage_and_detects_its_end() -> None:
    async with world(configuration(1, ROUTES), {"one": (StandinWorker(), "plain")}) as running:
        running.store.refused.add(loopback_address(1))
        running.store.forget_history()
        running.store.put("op", "config", configuration(3, MORE))
        assert (await running.call("/safe/x", method="GET")).status == 200
        running.store.refused.clear()
        await until(lambda: running.nodes[0].mirror.version == 3)


async def test_leaving_worker_gets_no_new_work() -> None:
    one, two = StandinWorker(), StandinWorker()
    served = {"one": (one, "plain"), "two": (two, "plain")}
    async with world(configuration(1, ROUTES), served) as running:
        running.store.put("servers", one.worker_id, one.entry("plain", state="draining"))
        await until(lambda: len(running.nodes[0].mirror.workers.usable_workers("plain")) == 1)
        running.store.remove("servers", one.worker_id)
        await until(lambda: len(running.nodes[0].mirror.workers.records()) == 1)
        for _ in range(5):
            assert (await running.call("/safe/x", method="GET")).status == 200
    assert not one.seen
    assert len(two.seen) == 5


async def test_a_gateway_that_the_store_refuses_gets_changes_from_its_peer() -> None:
    one = StandinWorker()
    async with (
        world(configuration(1, ROUTES), {"one": (one, "plain")}) as running,
        peer_of(running, loopback_address(2), refused=True) as second,
    ):
        await until(lambda: second.ready)
        running.store.put("op", "config", configuration(4, MORE))
        await until(lambda: second.mirror.version == 4)
        running.store.remove("servers", one.worker_id)
        await until(lambda: not second.mirror.workers.records())


async def test_a_gateway_without_configuration_is_not_ready_and_answers_503() -> None:
    async with world(configuration(1, ROUTES), {"one": (StandinWorker(), "plain")}) as running:
        settings = settings_for(
            loopback_address(3), "z1", running.store.server.address, (), grace=0.4
        )
        connector = aiohttp.TCPConnector(local_addr=(loopback_address(3), 0))
        async with aiohttp.ClientSession(connector=connector) as session:
            running.store.refused.add(loopback_address(3))
            platform = connect_platform(session, settings.store.address, settings.store.timeout)
            alone = Node(settings, platform, DecisionLog(None, "alone"), random.Random(9))
            await alone.start()
            try:
                running.nodes.append(alone)
                response = await running.call("/safe/x", number=1)
                assert response.status == 503
                assert not alone.ready
            finally:
                await alone.stop()


async def test_a_silent_store_is_polled_without_waiting_until_it_returns() -> None:
    async with world(configuration(1, ROUTES), {"one": (StandinWorker(), "plain")}) as running:
        store = running.store
        store.silent = True
        store.put("op", "config", configuration(2, MORE))
        mirror = running.nodes[0].mirror
        await until(lambda: any("silent" in key for key in mirror.call_counts))
        store.silent = False
        asked = len(store.calls)
        async with asyncio.timeout(2.5):
            await until(lambda: mirror.version == 2)
        assert len(store.calls) - asked < 20


async def lapse_in_an_outage(running: World, worker: StandinWorker) -> None:
    """Remove an entry during an outage of the store, and wait until its return is detected."""
    mirror = running.nodes[0].mirror
    running.store.refused.add(loopback_address(1))
    running.store.forget_history()
    await until(lambda: mirror.call_counts.get("workers:refused", 0) > 0)
    running.store.remove("servers", worker.worker_id)
    answered = mirror.call_counts["workers:answered"]
    running.store.refused.clear()
    await until(lambda: mirror.call_counts["workers:answered"] > answered)


async def test_a_worker_whose_entry_lapsed_in_an_outage_stays_in_use() -> None:
    one = StandinWorker()
    async with world(configuration(1, ROUTES), {"one": (one, "plain")}) as running:
        mirror = running.nodes[0].mirror
        await lapse_in_an_outage(running, one)
        assert mirror.workers.usable_workers("plain")
        assert (await running.call("/safe/x", method="GET")).status == 200
        running.store.put("servers", one.worker_id, one.entry("plain"))
        revision = running.store.revision
        await until(lambda: mirror.workers.revision >= revision)
        assert mirror.workers.usable_workers("plain")


async def test_a_worker_that_does_not_register_again_after_an_outage_is_removed() -> None:
    one = StandinWorker()
    async with world(configuration(1, ROUTES), {"one": (one, "plain")}) as running:
        await lapse_in_an_outage(running, one)
        await until(lambda: not running.nodes[0].mirror.workers.records())


async def test_a_leaving_worker_whose_entry_goes_in_an_outage_is_removed_at_once() -> None:
    one = StandinWorker()
    async with world(configuration(1, ROUTES), {"one": (one, "plain")}) as running:
        mirror = running.nodes[0].mirror
        running.store.put("servers", one.worker_id, one.entry("plain", state="draining"))
        await until(lambda: not mirror.workers.usable_workers("plain"))
        await lapse_in_an_outage(running, one)
        assert not mirror.workers.records()


async def test_a_whole_list_does_not_count_as_all_changes() -> None:
    """A gateway that had just started reported its whole list as all changes since revision 0.

    A whole list does not contain removed rows. A peer that the store refused took it as complete,
    and permanently kept a worker that was removed meanwhile.
    """
    one, two = StandinWorker(), StandinWorker()
    served = {"one": (one, "plain"), "two": (two, "plain")}
    async with world(configuration(1, ROUTES), served) as running:
        first = running.nodes[0]
        running.store.refused.add(loopback_address(1))
        running.store.forget_history()
        await until(lambda: first.mirror.call_counts.get("workers:refused", 0) > 0)
        running.store.remove("servers", one.worker_id)
        running.store.put("servers", two.worker_id, two.entry("plain"))
        async with peer_of(running, loopback_address(2)):
            await until(lambda: first.mirror.workers.get_by_name(one.worker_id) is None)
        assert first.mirror.workers.get_by_name(two.worker_id) is not None


async def test_a_peer_reports_changes_since_a_revision_or_the_whole_list_if_they_are_unknown() -> (
    None
):
    one, two = StandinWorker(), StandinWorker()
    served = {"one": (one, "plain"), "two": (two, "plain")}
    async with world(configuration(1, ROUTES), served) as running:
        node = running.nodes[0]
        before = node.mirror.workers.revision
        running.store.remove("servers", one.worker_id)
        await until(lambda: len(node.mirror.workers.records()) == 1)
        changed = await ask_for_workers(running, since=before)
        everything = await ask_for_workers(running, since=before - 1)
    assert changed.changes is not None
    assert [(item.name, item.record) for item in changed.changes.changes] == [(one.worker_id, None)]
    assert changed.records == ()
    assert everything.changes is None
    assert [record.name for record in everything.records] == [two.worker_id]


async def ask_for_workers(running: World, since: int) -> WorkersAnswer:
    assert running.session is not None
    address = running.nodes[0].fleet.local_address
    question = msgspec.msgpack.encode(WorkersRequest(since))
    async with running.session.post(f"http://{address}{WORKERS_PATH}", data=question) as response:
        return msgspec.msgpack.decode(await response.read(), type=WorkersAnswer)


async def test_consecutive_changes_of_workers_cost_few_calls_to_the_store() -> None:
    """Two of three calls in a simulated day were for single changes, 332 for each follower."""
    worker = StandinWorker()
    async with world(configuration(1, ROUTES), {"one": (worker, "plain")}) as running:
        store, mirror = running.store, running.nodes[0].mirror
        before = mirror.call_counts["workers:answered"]
        for number in range(40):
            store.put("servers", worker.worker_id, worker.entry("plain") | {"sequence": number})
            await asyncio.sleep(0.01)
        newest = store.revision
        await until(lambda: mirror.workers.revision >= newest)
        assert mirror.call_counts["workers:answered"] - before <= 12
