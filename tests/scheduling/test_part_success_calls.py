"""Calls to the store by which a whole fleet keeps successes of prompt parts, on a virtual clock.

Guards against calls of every gateway each few seconds, and against calls to a store that is down:
each of them is priced.
"""

import asyncio
import itertools
import random
import time
from collections import Counter
from collections.abc import Mapping
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from virtual_clock import JumpingSelector, VirtualClock

from corkcrank.contracts import clock
from corkcrank.links.decision_log import DecisionLog
from corkcrank.links.platform_ports import (
    StoreFailure,
    StoreFailureReason,
    StoreRow,
    StoreRows,
    StoreTable,
)
from corkcrank.machines.heartbeat import Phase
from corkcrank.machines.store_contact import StoreContact
from corkcrank.node.membership.part_success_rows import PartSuccessRow
from corkcrank.node.membership.quarantine_rows import QuarantineRows
from corkcrank.scheduling.request_quarantine import RequestQuarantine

GATEWAYS = 16
FOLLOWERS = 4
SECONDS = 58.0
"""Less than the time for which gateways that do not follow the store save nothing."""

USUAL = ("a" * 16, "b" * 16)
RUNS_PER_SECOND = 1.5
MAX_READS = FOLLOWERS
MAX_WRITES = FOLLOWERS * 9
"""One every 10 s, and three at the start, while parts become usual."""

_numbers = itertools.count(1)


class CountingStore:
    """Holds rows, counts calls, and can be down."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}
        self.calls: Counter[str] = Counter()
        self.down = False

    async def read(self, table: StoreTable, key: str = "") -> StoreRows | StoreFailure:
        self.calls["failed" if self.down else "read"] += 1
        if self.down:
            return StoreFailure(StoreFailureReason.REFUSED)
        rows = [StoreRow(name, value, 1) for name, value in self.rows.items() if key in ("", name)]
        return StoreRows(tuple(rows), 1, clock.now())

    async def put(self, table: StoreTable, key: str, value: bytes) -> int | StoreFailure:
        self.calls["failed" if self.down else "write"] += 1
        if self.down:
            return StoreFailure(StoreFailureReason.REFUSED)
        self.rows[key] = value
        return 1

    def saved(self) -> set[str]:
        """Return the parts in all rows."""
        rows = [msgspec.msgpack.decode(row, type=PartSuccessRow) for row in self.rows.values()]
        return {part for row in rows for part in row.by_part()}


class PlayedGateway:
    """One gateway's successes, and the loop that keeps them in the store."""

    def __init__(self, store: CountingStore, number: int) -> None:
        follows = number < FOLLOWERS
        self._store = store
        self._answered_at: dict[StoreTable, float] = {}
        self._quarantine = RequestQuarantine()
        contact = StoreContact(clock.now(), clock.now())
        mirror: Any = SimpleNamespace(
            store_contacts={StoreTable.WORKERS: contact}, answered_at=self._answered_at
        )
        fleet: Any = SimpleNamespace(
            local_name=f"gateway-{number}",
            local_phase=Phase.SERVING,
            live_members=lambda now: [None] * (GATEWAYS - 1),
            store_contact=lambda table: contact,
        )
        election: Any = SimpleNamespace(is_elected_follower=lambda now: follows)
        watch: Any = SimpleNamespace(
            quarantine=self._quarantine, restore_part_successes=self._restore
        )
        ports: Any = store
        log = DecisionLog(None, fleet.local_name)
        rows = QuarantineRows(ports, mirror, fleet, election, watch, log)
        self.keep_row_current = rows.part_successes.keep_row_current
        self._follows = follows

    def run(self, *parts: str) -> None:
        """Have a run with these parts progress now."""
        self._quarantine.record_progress(parts, clock.now(), clock.now())

    def _restore(self, successes: Mapping[str, float]) -> None:
        for part, at in successes.items():
            self._quarantine.part_successes.restore(part, at)

    async def follow_store(self) -> None:
        """Have the store's feed answer while the store is up."""
        while self._follows:
            if not self._store.down:
                self._answered_at[StoreTable.WORKERS] = clock.now()
            await asyncio.sleep(0.6)

    async def serve(self, source: random.Random) -> None:
        """Serve runs, each with the usual parts and one of its own."""
        while True:
            await asyncio.sleep(source.expovariate(RUNS_PER_SECOND))
            self.run(*USUAL, f"{next(_numbers):016x}")


class PlayedFleet:
    """All gateways, and their tasks."""

    def __init__(self) -> None:
        self.store = CountingStore()
        self.gateways = [PlayedGateway(self.store, number) for number in range(GATEWAYS)]
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, *, load: bool) -> None:
        for number, gateway in enumerate(self.gateways):
            loops = [gateway.keep_row_current(), gateway.follow_store()]
            if load:
                loops.append(gateway.serve(random.Random(number)))
            self._tasks += [asyncio.create_task(loop) for loop in loops]


@pytest.fixture
def virtual_loop(monkeypatch: pytest.MonkeyPatch) -> asyncio.AbstractEventLoop:
    virtual = VirtualClock()
    monkeypatch.setattr(time, "monotonic", virtual)
    monkeypatch.setattr(clock, "now", virtual)
    return asyncio.SelectorEventLoop(JumpingSelector(virtual))


def play(loop: asyncio.AbstractEventLoop, scenario: Any) -> Any:
    """Run a scenario to its end; the tasks of gateways end with the loop."""

    async def whole() -> Any:
        result = await scenario
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        return result

    try:
        return loop.run_until_complete(whole())
    finally:
        loop.close()


def test_calls_of_a_fleet_in_a_minute(virtual_loop: asyncio.AbstractEventLoop) -> None:
    async def scenario() -> CountingStore:
        fleet = PlayedFleet()
        fleet.start(load=True)
        await asyncio.sleep(SECONDS)
        return fleet.store

    store = play(virtual_loop, scenario())
    assert set(USUAL) <= store.saved()
    assert store.calls["read"] <= MAX_READS
    assert store.calls["write"] <= MAX_WRITES


def test_gateways_without_a_success_write_nothing(virtual_loop: asyncio.AbstractEventLoop) -> None:
    async def scenario() -> CountingStore:
        fleet = PlayedFleet()
        fleet.start(load=False)
        await asyncio.sleep(SECONDS)
        return fleet.store

    assert play(virtual_loop, scenario()).calls == {"read": MAX_READS}


def test_store_that_is_down_is_not_called_each_second(
    virtual_loop: asyncio.AbstractEventLoop,
) -> None:
    async def scenario() -> tuple[int, set[str]]:
        fleet = PlayedFleet()
        fleet.start(load=True)
        await asyncio.sleep(12.0)
        fleet.store.down = True
        await asyncio.sleep(10.0)
        failed = fleet.store.calls["failed"]
        fleet.store.down = False
        fleet.gateways[0].run("c" * 16)
        await asyncio.sleep(4.0)
        return failed, fleet.store.saved()

    failed, saved = play(virtual_loop, scenario())
    assert failed <= FOLLOWERS
    assert "c" * 16 in saved


def test_part_at_a_gateway_that_does_not_follow_is_saved_beside_its_earlier_ones(
    virtual_loop: asyncio.AbstractEventLoop,
) -> None:
    async def scenario() -> set[str]:
        fleet = PlayedFleet()
        fleet.store.rows[f"gateway-{GATEWAYS - 1}"] = msgspec.msgpack.encode(
            PartSuccessRow.from_times({"d" * 16: int(clock.now())})
        )
        fleet.start(load=False)
        fleet.gateways[-1].run("c" * 16)
        await asyncio.sleep(SECONDS + 8.0)
        return fleet.store.saved()

    assert play(virtual_loop, scenario()) == {"c" * 16, "d" * 16}
