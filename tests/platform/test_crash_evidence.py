"""Gateways that each saw part of the requests at a crash reach the same verdict on them.

This includes gateways that start later. Without the other gateways' reports, a gateway blamed its
own ordinary stream for crashes that another request had caused, and all gateways refused it.
"""

import msgspec
import pytest
from node_world import World, configuration, peer_of, until, world
from test_crashing_requests import ROUTES
from test_quarantined_requests import (
    gateway_with_store_only,
    plain_workers,
    quarantined_at,
    workers_by_id,
)

from corkcrank.contracts import clock
from corkcrank.load.loopback import loopback_address
from corkcrank.node.peers.peer_protocol import CRASHES_PATH, CrashesAnswer
from corkcrank.node.process.node import Node
from corkcrank.scheduling.crash_reports import CrashReport, RequestAtCrash
from corkcrank.scheduling.request_quarantine import RequestState

CRASHING = "c" * 16
ORDINARY = "0" * 16
CRASHED_WORKERS = ["seven 1", "eight 1", "nine 1"]


def record_crashes(node: Node, request: str, workers: list[str]) -> None:
    """Have a gateway record worker crashes under a request of its own, and report them to peers."""
    for worker_id in workers:
        node.crash_watch.quarantine.record_crash(request, worker_id, clock.now())
    node.crash_watch._review_verdicts()
    node.crash_watch.on_update()


def all_decidable(node: Node) -> bool:
    now = clock.now()
    records = node.crash_watch.quarantine.records
    return bool(len(records)) and all(record.decidable_at <= now for record in records)


def ordinary_quarantined(node: Node) -> bool:
    return ORDINARY in quarantined_at(node)


def has_quarantine_row(running: World) -> bool:
    return any(table == "quarantine" for table, _ in running.store.rows)


async def crash_workers(running: World, peer: Node) -> None:
    """Have both requests crash 3 workers, each at its own gateway; wait until all can decide."""
    nodes = (running.nodes[0], peer)
    await until(lambda: all(node.ready for node in nodes))
    await until(lambda: len(peer.fleet.live_members(clock.now())) == 1)
    record_crashes(running.nodes[0], ORDINARY, CRASHED_WORKERS)
    record_crashes(peer, CRASHING, CRASHED_WORKERS)
    await until(
        lambda: any(ordinary_quarantined(node) for node in nodes) or all(map(all_decidable, nodes))
    )


async def test_two_requests_at_the_same_crashes_are_not_quarantined_before_the_next_one() -> None:
    workers = plain_workers(1)
    async with (
        world(configuration(1, ROUTES), workers_by_id("plain", workers)) as running,
        peer_of(running, loopback_address(2)) as peer,
    ):
        nodes = (running.nodes[0], peer)
        await crash_workers(running, peer)
        assert [quarantined_at(node) for node in nodes] == [[], []]
        record_crashes(peer, CRASHING, ["four 1"])
        await until(lambda: all(quarantined_at(node) == [CRASHING] for node in nodes))


async def test_a_gateway_that_starts_later_knows_all_requests_at_every_crash() -> None:
    workers = plain_workers(1)
    async with (
        world(configuration(1, ROUTES), workers_by_id("plain", workers)) as running,
        peer_of(running, loopback_address(2)) as peer,
    ):
        await crash_workers(running, peer)
        async with peer_of(running, loopback_address(4)) as late:
            records = late.crash_watch.quarantine.records
            await until(lambda: len(records) == len(CRASHED_WORKERS))
            assert all(set(record.requests) == {CRASHING, ORDINARY} for record in records)
            await until(lambda: ordinary_quarantined(late) or all_decidable(late))
            assert quarantined_at(late) == []


async def test_rows_of_the_store_name_every_suspect_and_stay_until_the_verdict() -> None:
    workers = plain_workers(1)
    async with world(configuration(1, ROUTES), workers_by_id("plain", workers)) as running:
        node = running.nodes[0]
        record_crashes(node, ORDINARY, CRASHED_WORKERS)
        record_crashes(node, CRASHING, [*CRASHED_WORKERS, "four 1"])
        await until(lambda: quarantined_at(node) == [CRASHING])
        await until(lambda: has_quarantine_row(running))
        await node.stop()
        async with gateway_with_store_only(running) as alone:
            await until(lambda: bool(quarantined_at(alone)) or not has_quarantine_row(running))
            await until(lambda: all_decidable(alone))
            assert has_quarantine_row(running)
            quarantine = alone.crash_watch.quarantine
            assert quarantined_at(alone) == [CRASHING]
            assert quarantine.state(ORDINARY, clock.now()) is RequestState.SUSPECTED


async def test_an_unreachable_gateway_leaves_its_last_crash_records_incomplete() -> None:
    workers = plain_workers(1)
    async with world(configuration(1, ROUTES), workers_by_id("plain", workers)) as running:
        node = running.nodes[0]
        async with peer_of(running, loopback_address(2)) as peer:
            await until(lambda: len(node.fleet.live_members(clock.now())) == 1)
            record_crashes(node, ORDINARY, CRASHED_WORKERS)
            peer.heartbeats.close()
            records = node.crash_watch.quarantine.records
            await until(lambda: all(record.incomplete for record in records))
            await until(lambda: all_decidable(node))
            assert quarantined_at(node) == []


@pytest.mark.parametrize(
    "report",
    [
        CrashReport("w 1", -1.0, bytes(8), bytes(1)),
        CrashReport("w 1", 0.0, bytes(8000), bytes(1000)),
        CrashReport("w 1", 0.0, bytes(7), bytes(1)),
    ],
)
async def test_an_invalid_report_is_counted_and_not_applied(
    report: CrashReport,
) -> None:
    workers = plain_workers(1)
    async with world(configuration(1, ROUTES), workers_by_id("plain", workers)) as running:
        watch = running.nodes[0].crash_watch
        watch.apply_reports([report, report], "peer x")
        assert watch.quarantine.empty
        counter = watch._metrics.unreadable_crash_reports.labels(report.problem())
        assert counter._value.get() == 2.0


async def test_peers_receive_every_stored_crash_record() -> None:
    workers = plain_workers(1)
    async with world(configuration(1, ROUTES), workers_by_id("plain", workers)) as running:
        node = running.nodes[0]
        record_crashes(node, CRASHING, CRASHED_WORKERS)
        assert running.session is not None
        url = f"http://{node.fleet.local_address}{CRASHES_PATH}"
        async with running.session.post(url) as answer:
            reply = msgspec.msgpack.decode(await answer.read(), type=CrashesAnswer)
        assert sorted(report.worker_id for report in reply.reports) == sorted(CRASHED_WORKERS)
        assert all(report.requests() == [RequestAtCrash(CRASHING)] for report in reply.reports)
