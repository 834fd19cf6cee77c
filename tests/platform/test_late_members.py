"""Members that answer late whether they reach a worker, because their event loop stalls.

Guards against gateways that lost their links and take a member's late answer for the end of a
worker, and against ends that are no longer noticed.
"""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from gateway_links import Cut
from node_world import until
from partitioned_world import PartitionedWorld, partitioned_world
from test_crash_watch import CALL, WORKER
from test_relayed_requests import partition, send

from corkcrank.contracts import clock
from corkcrank.links.decision_log import DecisionLog
from corkcrank.node.peers.peer_client import PeerFailure
from corkcrank.node.process.node import Node
from corkcrank.node.relays import relay_client, relay_server
from corkcrank.node.telemetry.metrics import NodeMetrics
from corkcrank.node.workers import crash_watch
from corkcrank.node.workers.crash_watch import CrashWatch
from corkcrank.node.workers.worker_probe import ProbeResult, probe_worker
from corkcrank.node.workers.worker_request import MemberSearch, NoRelay, WorkerRequest
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable

MAX_RECORDING_SECONDS = 3.0
"""Time within which all gateways must act on a crash."""

NOT_REACHED = MemberSearch()
LATE = MemberSearch(complete=False)
DENIED_BY_ONE = MemberSearch(complete=False, denied=True)
REACHED = MemberSearch("member")


@asynccontextmanager
async def world_of_late_members(
    patch: pytest.MonkeyPatch,
) -> AsyncIterator[tuple[PartitionedWorld, asyncio.Event]]:
    """Run two gateways that answer no question of the other in time until the event is set."""
    gate = asyncio.Event()

    async def probe_late(address: str, timeout_seconds: float) -> ProbeResult:
        await gate.wait()
        return await probe_worker(address, timeout_seconds)

    patch.setattr(relay_server, "probe_worker", probe_late)
    async with partitioned_world(patch, 2) as played:
        yield played, gate
        gate.set()


def stall_loop(seconds: float) -> None:
    """Let the event loop stand still."""
    time.sleep(seconds)


def ended_workers(node: Node) -> list[str]:
    """Return the workers that count as ended at a gateway."""
    return [
        worker_id
        for worker_id, statistics in node.services.worker_statistics.items()
        if statistics.ended_until > clock.now()
    ]


@pytest.mark.parametrize("name", ["safe", "once", "staged"])
async def test_no_worker_counts_as_ended_while_the_member_that_reaches_it_answers_late(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A worker that counts as ended gets no calls for 5 s, though the member relays them."""
    async with world_of_late_members(monkeypatch) as (played, _):
        played.links.cut(0, Cut.REFUSED)
        await asyncio.gather(*(played.call_once(0, name, number) for number in range(8)))
        await until(lambda: played.nodes[0].links.health.partitioned)
        assert ended_workers(played.nodes[0]) == []
        assert (await played.call_once(0, name, 9)).served


async def test_calls_reset_with_their_link_show_no_crash_while_the_member_answers_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The calls fail before the gateway knows that it is partitioned."""
    async with world_of_late_members(monkeypatch) as (played, _):
        for worker in played.plain:
            worker.hold = asyncio.Event()
        calls = [
            asyncio.create_task(send(played, name, body=b"same")) for name in ("safe", "once") * 4
        ]
        await until(lambda: sum(len(worker.seen) for worker in played.plain) >= len(calls))
        played.links.cut(0, Cut.REFUSED_RESET)
        watch = played.nodes[0].crash_watch
        await until(lambda: bool(watch._tasks))
        await until(lambda: not watch._tasks)
        assert all(node.crash_watch.quarantine.empty for node in played.nodes)
        assert [ended_workers(node) for node in played.nodes] == [[], []]
        for worker in played.plain:
            worker.hold.set()  # type: ignore[union-attr]
        await asyncio.gather(*calls, return_exceptions=True)


async def test_a_worker_that_exited_counts_as_ended_once_the_member_has_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Both gateways are refused by the machines of the plain workers, and reach all others."""
    async with world_of_late_members(monkeypatch) as (played, gate):
        addresses = {worker.server.address for worker in played.plain}
        for gateway in range(2):
            played.links.cut(gateway, Cut.REFUSED, addresses)
        assert not (await played.call_once(0, "safe", 1)).served
        assert ended_workers(played.nodes[0]) == []
        gate.set()
        assert not (await played.call_once(0, "safe", 2)).served
        ended = ended_workers(played.nodes[0])
        assert ended
        assert set(ended) <= {worker.worker_id for worker in played.plain}


class SearchingRelay(NoRelay):
    """Finds members as told, the last result again and again."""

    def __init__(self, *results: MemberSearch) -> None:
        self._results = list(results)

    async def find_member(self, worker: crash_watch.WorkerRecord) -> MemberSearch:
        return self._results.pop(0) if len(self._results) > 1 else self._results[0]


@pytest.mark.parametrize(
    ("results", "crashed"),
    [
        ([NOT_REACHED], True),
        ([REACHED], False),
        ([LATE, REACHED], False),
        ([LATE, LATE, NOT_REACHED], True),
        ([LATE], False),
        ([DENIED_BY_ONE], True),
        ([DENIED_BY_ONE, REACHED], False),
        ([DENIED_BY_ONE, LATE], False),
    ],
)
async def test_a_crash_is_recorded_once_each_member_has_answered(
    results: list[MemberSearch], crashed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def has_exited(address: str, timeout_seconds: float) -> bool:
        return True

    monkeypatch.setattr(crash_watch, "has_exited", has_exited)
    watch = CrashWatch(WorkerStatisticsTable(), DecisionLog(None, "n"), NodeMetrics())
    watch.relay = SearchingRelay(*results)
    watch.record_connection_failure(CALL, WORKER)
    await until(lambda: not watch._tasks)
    assert watch.quarantine.empty is not crashed
    await watch.close()


class SlowSearchingRelay(SearchingRelay):
    """Takes the time of a search in which some of the most members asked answer late."""

    def __init__(self, *results: MemberSearch) -> None:
        super().__init__(*results)
        self.now = 100.0

    async def find_member(self, worker: crash_watch.WorkerRecord) -> MemberSearch:
        groups = relay_client.MAX_PROBED_MEMBERS / relay_client.PROBED_MEMBERS
        self.now += groups * relay_client.PROBE_TIMEOUT_SECONDS
        return await super().find_member(worker)


async def test_a_crash_is_recorded_in_time_while_some_members_of_a_large_fleet_answer_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Five searches of 1.2 s took 6 s."""

    async def has_exited(address: str, timeout_seconds: float) -> bool:
        return True

    monkeypatch.setattr(crash_watch, "has_exited", has_exited)
    relay = SlowSearchingRelay(DENIED_BY_ONE)
    monkeypatch.setattr(clock, "now", lambda: relay.now)
    started = relay.now
    watch = CrashWatch(WorkerStatisticsTable(), DecisionLog(None, "n"), NodeMetrics())
    watch.relay = relay
    watch.record_connection_failure(CALL, WORKER)
    await until(lambda: not watch._tasks)
    assert not watch.quarantine.empty
    assert relay.now - started <= MAX_RECORDING_SECONDS
    await watch.close()


async def test_a_member_does_not_vouch_for_an_attempt_that_its_event_loop_delayed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The answer arrives in time: the loop stalls only for a little longer than the attempt."""

    async def stall(address: str, timeout_seconds: float) -> ProbeResult:
        stall_loop(timeout_seconds + 2 * relay_server.MAX_TIMER_LAG_SECONDS)
        return ProbeResult.SILENT

    async with partitioned_world(monkeypatch, 2) as played:
        await partition(played, 0)
        monkeypatch.setattr(relay_server, "probe_worker", stall)
        node = played.nodes[0]
        record = node.services.mirror.workers.usable_workers("plain")[0]
        assert await node._access.relay.find_member(record) == LATE


async def test_a_search_that_the_gateways_own_event_loop_delayed_excludes_no_member(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def stall(*question: object, timeout_seconds: float) -> PeerFailure:
        stall_loop(timeout_seconds + 2 * relay_client.MAX_TIMER_LAG_SECONDS)
        return PeerFailure.BROKEN

    async with partitioned_world(monkeypatch, 2) as played:
        node = played.nodes[0]
        monkeypatch.setattr(node._access.relay._peers, "request", stall)
        record = node.services.mirror.workers.usable_workers("plain")[0]
        assert await node._access.relay.find_member(record) == LATE


async def test_a_member_that_is_not_asked_to_relay_for_a_moment_is_still_asked_what_it_reaches(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with partitioned_world(monkeypatch, 2) as played:
        node, member = played.nodes[0], played.nodes[1].fleet.local_name
        relay = node._access.relay
        relay._members.record_unreachable(member)
        record = node.services.mirror.workers.usable_workers("plain")[0]
        assert await relay.find_member(record) == MemberSearch(member)
        played.links.cut(0, Cut.REFUSED)
        relay._members.record_unreachable(member)
        assert (await played.call_once(0, "once", 1)).served
        assert ended_workers(node) == []


async def test_no_worker_counts_as_ended_while_the_member_that_reaches_it_relays_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def decline(request: WorkerRequest) -> None:
        """Take no request."""

    async with partitioned_world(monkeypatch, 2) as played:
        node = played.nodes[0]
        monkeypatch.setattr(node._access.relay, "send", decline)
        played.links.cut(0, Cut.REFUSED)
        assert not (await played.call_once(0, "safe", 1)).served
        assert ended_workers(node) == []
