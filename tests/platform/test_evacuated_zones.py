"""A zone that the operator empties: its workers get nothing more until it is taken back.

Seen on two played days: evacuations lay in the store beside the configuration and nothing read
them, so that calls and stage pieces went on to the zone's workers: 9,377 and 2,051 of them.
"""

import asyncio
from typing import Any

import pytest
from node_world import World, configuration, peer_of, route, until, world
from platform_standins import StandinStageWorker, StandinWorker

from corkcrank.load.loopback import loopback_address

ROUTES = [
    route("safe", "safe", "plain"),
    route("once", "unsafe", "plain"),
    route("talk", "stream", "model", stream_resume=True),
    route(
        "staged",
        "stream",
        "model",
        stages=[{"service": "encode", "since_revision": [], "byte_length": 1000}],
    ),
]
PIECES = {"X-Corkcrank-Segments": "2", "X-Corkcrank-Segment-Key": "7c1e07a291bd"}


class Zones:
    """A worker of each kind in two zones, ``z1`` and ``z2``."""

    def __init__(self, **engine: Any) -> None:
        self.plain = [ZonedWorker(zone) for zone in ("z1", "z2")]
        self.engines = [ZonedWorker(zone, events=3, **engine) for zone in ("z1", "z2")]
        self.encoders = [ZonedStageWorker(zone) for zone in ("z1", "z2")]

    def served(self) -> dict[str, tuple[StandinWorker | StandinStageWorker, str]]:
        kinds = (("plain", self.plain), ("model", self.engines), ("encode", self.encoders))
        return {
            f"{service}-{number}": (worker, service)
            for service, workers in kinds
            for number, worker in enumerate(workers)
        }

    def requests_in(self, zone: str) -> int:
        """Return what the workers of a zone got: calls, pieces, reports and freed results."""
        number = ("z1", "z2").index(zone)
        calls = len(self.plain[number].seen) + len(self.engines[number].seen)
        return calls + len(self.encoders[number].heads)


class ZonedWorker(StandinWorker):
    def __init__(self, zone: str, **fields: Any) -> None:
        self.zone = zone
        super().__init__(**fields)

    def entry(self, service: str, zone: str = "", state: str = "ready") -> dict[str, Any]:
        return super().entry(service, zone or self.zone, state)


class ZonedStageWorker(StandinStageWorker):
    def __init__(self, zone: str, **fields: Any) -> None:
        self.zone = zone
        super().__init__(**fields)

    def entry(self, service: str, zone: str = "", state: str = "ready") -> dict[str, Any]:
        return super().entry(service, zone or self.zone, state)


async def evacuate(running: World, *zones: str) -> None:
    for zone in zones:
        running.store.put("op", f"evacuate/{zone}", {})
    await until(lambda: all(node.mirror.workers.evacuated >= set(zones) for node in running.nodes))


async def take_back(running: World, zone: str) -> None:
    running.store.remove("op", f"evacuate/{zone}")
    await until(lambda: not any(zone in node.mirror.workers.evacuated for node in running.nodes))


async def call_everything(running: World, number: int = 0) -> list[int]:
    """Make calls of every kind, some at the same time; return their statuses."""
    calls = [running.call("/safe/x", method="GET", number=number) for _ in range(4)]
    calls += [running.call("/once/x", number=number) for _ in range(4)]
    calls += [running.call("/talk/x", number=number) for _ in range(4)]
    calls += [running.call("/staged/x", number=number, headers=PIECES) for _ in range(4)]
    statuses = []
    for response in await asyncio.gather(*calls):
        await response.read()
        statuses.append(response.status)
    return statuses


async def test_nothing_reaches_the_workers_of_an_evacuated_zone() -> None:
    zones = Zones()
    async with world(configuration(1, ROUTES), zones.served()) as running:
        await evacuate(running, "z1")
        before = zones.requests_in("z1")
        assert set(await call_everything(running)) == {200}
        assert zones.requests_in("z1") == before
        assert zones.requests_in("z2") > 0


async def test_a_zone_that_is_taken_back_serves_again() -> None:
    zones = Zones()
    async with world(configuration(1, ROUTES), zones.served()) as running:
        await evacuate(running, "z1")
        await take_back(running, "z1")
        before = zones.requests_in("z1")
        assert set(await call_everything(running)) == {200}
        assert zones.requests_in("z1") > before


async def test_while_every_zone_is_evacuated_callers_are_refused_at_once() -> None:
    zones = Zones()
    async with world(configuration(1, ROUTES), zones.served()) as running:
        await evacuate(running, "z1", "z2")
        before = zones.requests_in("z1") + zones.requests_in("z2")
        assert set(await call_everything(running)) == {503}
        assert zones.requests_in("z1") + zones.requests_in("z2") == before
        await take_back(running, "z2")
        assert set(await call_everything(running)) == {200}


async def begun(zones: Zones) -> int:
    """Wait until an engine has a stream; return the number of its zone."""
    await until(lambda: any(engine.seen for engine in zones.engines))
    return next(number for number, engine in enumerate(zones.engines) if engine.seen)


async def test_a_stream_that_runs_there_goes_on_to_its_end() -> None:
    hold = asyncio.Event()
    zones = Zones(hold=hold)
    async with world(configuration(1, ROUTES), zones.served()) as running:
        call = asyncio.create_task(running.call("/talk/x"))
        number = await begun(zones)
        await evacuate(running, zones.engines[number].zone)
        hold.set()
        response = await call
        body = await response.text()
        assert response.status == 200
        assert body.count("data:") == 3
        assert len(zones.engines[1 - number].seen) == 0


async def test_a_stream_that_breaks_off_there_is_taken_up_in_another_zone() -> None:
    hold = asyncio.Event()
    zones = Zones(hold=hold)
    for engine in zones.engines:
        engine.faults.append("break-after-1")
    async with world(configuration(1, ROUTES), zones.served()) as running:
        call = asyncio.create_task(running.call("/talk/x"))
        number = await begun(zones)
        zones.engines[1 - number].faults.clear()
        await evacuate(running, zones.engines[number].zone)
        hold.set()
        response = await call
        body = await response.text()
        assert body.count("data:") == 3
        assert [len(engine.seen) for engine in zones.engines] == [1, 1]


async def test_pieces_that_wait_there_are_made_in_another_zone() -> None:
    gate = asyncio.Event()
    zones = Zones()
    zones.encoders[0].gate = gate
    async with world(configuration(1, ROUTES), zones.served()) as running:
        calls = [asyncio.create_task(running.call("/staged/x", headers=PIECES)) for _ in range(6)]
        owner = running.nodes[0].stage_owner
        await until(lambda: any(queue.waiting for _, queue in owner.queues()))
        await evacuate(running, "z1")
        asked = len(zones.encoders[0].calls)
        gate.set()
        statuses = [(await call).status for call in calls]
        assert set(statuses) == {200}
        assert len(zones.encoders[0].calls) == asked


async def test_a_gateway_that_the_store_turns_away_hears_it_from_a_peer() -> None:
    zones = Zones()
    async with (
        world(configuration(1, ROUTES), zones.served()) as running,
        peer_of(running, loopback_address(2), refused=True) as second,
    ):
        await until(lambda: second.ready)
        await evacuate(running, "z1")
        before = zones.requests_in("z1")
        assert set(await call_everything(running, number=1)) == {200}
        assert zones.requests_in("z1") == before
        await take_back(running, "z1")


async def test_a_gateway_that_starts_in_the_middle_sends_nothing_there() -> None:
    zones = Zones()
    async with world(configuration(1, ROUTES), zones.served()) as running:
        await evacuate(running, "z1")
        async with peer_of(running, loopback_address(2)) as second:
            await until(lambda: second.ready)
            assert second.mirror.workers.evacuated == {"z1"}


@pytest.mark.parametrize("taken_back", [False, True])
async def test_an_evacuation_whose_history_is_lost_is_read_anew(taken_back: bool) -> None:
    zones = Zones()
    async with world(configuration(1, ROUTES), zones.served()) as running:
        if taken_back:
            await evacuate(running, "z1")
            running.store.rows.pop(("op", "evacuate/z1"))
        else:
            running.store.rows["op", "evacuate/z1"] = (b"{}", running.store.revision)
        running.store.revision += 1
        running.store.forget_history()
        expected = frozenset() if taken_back else {"z1"}
        await until(lambda: running.nodes[0].mirror.workers.evacuated == expected)


async def test_an_evacuation_during_an_outage_is_in_force_after_it() -> None:
    zones = Zones()
    async with world(configuration(1, ROUTES), zones.served()) as running:
        running.store.refused.add(loopback_address(1))
        running.store.forget_history()
        running.store.put("op", "evacuate/z1", {})
        running.store.refused.clear()
        await until(lambda: running.nodes[0].mirror.workers.evacuated == {"z1"})


async def test_rows_that_name_no_zone_or_hold_anything_cost_nothing_else() -> None:
    zones = Zones()
    async with world(configuration(1, ROUTES), zones.served()) as running:
        running.store.put("op", "evacuate/", {})
        running.store.put("op", "evacuate/nowhere", {})
        running.store.put("op", "evacuate", {})
        running.store.put("op", "evacuate/z1", b"\xff not JSON")
        await until(lambda: running.nodes[0].mirror.workers.evacuated == {"nowhere", "z1"})
        assert set(await call_everything(running)) == {200}
