"""Gateways that each saw one side of a worker's end judge it alike, also those that start later.

An ordinary stream was refused everywhere: its gateway had not heard who else was at the workers.
"""

import msgspec
import pytest
from node_world import World, configuration, peer_of, until, world
from test_crashing_requests import ROUTES
from test_quarantined_requests import plain_workers, quarantined_at, restarted, served_as

from corkcrank.contracts import clock
from corkcrank.load.loopback import loopback_address
from corkcrank.node.peers.peer_protocol import CRASHES_PATH, CrashesAnswer
from corkcrank.node.process.node import Node
from corkcrank.scheduling.crash_reports import CrashReport, RequestAtEnd
from corkcrank.scheduling.request_quarantine import RequestState

CRASHING = "c" * 16
ORDINARY = "0" * 16
ENDED = ["seven 1", "eight 1", "nine 1"]


def note_ends(node: Node, request: str, workers: list[str]) -> None:
    """Have a gateway see workers end under a request of its own, and tell the others."""
    for worker_id in workers:
        node.crash_watch.quarantine.note_end(request, worker_id, clock.now())
    node.crash_watch._review()
    node.crash_watch.on_news()


def settled(node: Node) -> bool:
    now = clock.now()
    records = node.crash_watch.quarantine.records
    return bool(len(records)) and all(record.settles_at <= now for record in records)


def held(node: Node) -> bool:
    return ORDINARY in quarantined_at(node)


def row_there(running: World) -> bool:
    return any(table == "quarantine" for table, _ in running.store.rows)


async def crashed(running: World, peer: Node) -> None:
    """Have both requests end three workers, each at its own gateway, and judge it everywhere."""
    nodes = (running.nodes[0], peer)
    await until(lambda: all(node.ready for node in nodes))
    await until(lambda: len(peer.fleet.live(clock.now())) == 1)
    note_ends(running.nodes[0], ORDINARY, ENDED)
    note_ends(peer, CRASHING, ENDED)
    await until(lambda: any(held(node) for node in nodes) or all(map(settled, nodes)))


async def test_neither_of_two_requests_at_the_same_ends_is_held_before_the_next_end() -> None:
    workers = plain_workers(1)
    async with (
        world(configuration(1, ROUTES), served_as("plain", workers)) as running,
        peer_of(running, loopback_address(2)) as peer,
    ):
        nodes = (running.nodes[0], peer)
        await crashed(running, peer)
        assert [quarantined_at(node) for node in nodes] == [[], []]
        note_ends(peer, CRASHING, ["four 1"])
        await until(lambda: all(quarantined_at(node) == [CRASHING] for node in nodes))


async def test_a_gateway_that_starts_later_knows_both_sides_of_every_end() -> None:
    workers = plain_workers(1)
    async with (
        world(configuration(1, ROUTES), served_as("plain", workers)) as running,
        peer_of(running, loopback_address(2)) as peer,
    ):
        await crashed(running, peer)
        async with peer_of(running, loopback_address(4)) as late:
            records = late.crash_watch.quarantine.records
            await until(lambda: len(records) == len(ENDED))
            assert all(set(record.requests) == {CRASHING, ORDINARY} for record in records)
            await until(lambda: held(late) or settled(late))
            assert quarantined_at(late) == []


async def test_rows_of_the_store_tell_every_suspect_and_stay_while_they_are_judged() -> None:
    workers = plain_workers(1)
    async with world(configuration(1, ROUTES), served_as("plain", workers)) as running:
        node = running.nodes[0]
        note_ends(node, ORDINARY, ENDED)
        note_ends(node, CRASHING, [*ENDED, "four 1"])
        await until(lambda: quarantined_at(node) == [CRASHING])
        await until(lambda: row_there(running))
        await node.stop()
        async with restarted(running) as alone:
            await until(lambda: bool(quarantined_at(alone)) or not row_there(running))
            await until(lambda: settled(alone))
            assert row_there(running)
            quarantine = alone.crash_watch.quarantine
            assert quarantined_at(alone) == [CRASHING]
            assert quarantine.state(ORDINARY, clock.now()) is RequestState.SUSPECTED


async def test_a_gateway_that_ends_without_a_word_leaves_its_last_ends_incomplete() -> None:
    workers = plain_workers(1)
    async with world(configuration(1, ROUTES), served_as("plain", workers)) as running:
        node = running.nodes[0]
        async with peer_of(running, loopback_address(2)) as peer:
            await until(lambda: len(node.fleet.live(clock.now())) == 1)
            note_ends(node, ORDINARY, ENDED)
            peer.heartbeats.close()
            records = node.crash_watch.quarantine.records
            await until(lambda: all(record.incomplete for record in records))
            await until(lambda: settled(node))
            assert quarantined_at(node) == []


@pytest.mark.parametrize(
    "report",
    [
        CrashReport("w 1", -1.0, bytes(8), bytes(1)),
        CrashReport("w 1", 0.0, bytes(8000), bytes(1000)),
        CrashReport("w 1", 0.0, bytes(7), bytes(1)),
    ],
)
async def test_a_report_that_cannot_be_true_is_counted_and_not_believed(
    report: CrashReport,
) -> None:
    workers = plain_workers(1)
    async with world(configuration(1, ROUTES), served_as("plain", workers)) as running:
        watch = running.nodes[0].crash_watch
        watch.take([report, report], "peer x")
        assert watch.quarantine.empty
        counter = watch._metrics.unreadable_crash_reports.labels(report.problem())
        assert counter._value.get() == 2.0


async def test_peers_are_told_every_end_that_is_remembered() -> None:
    workers = plain_workers(1)
    async with world(configuration(1, ROUTES), served_as("plain", workers)) as running:
        node = running.nodes[0]
        note_ends(node, CRASHING, ENDED)
        assert running.session is not None
        url = f"http://{node.fleet.own_address}{CRASHES_PATH}"
        async with running.session.post(url) as answer:
            told = msgspec.msgpack.decode(await answer.read(), type=CrashesAnswer)
        assert sorted(report.worker_id for report in told.reports) == sorted(ENDED)
        assert all(report.requests() == [RequestAtEnd(CRASHING)] for report in told.reports)
