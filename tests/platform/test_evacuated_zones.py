"""Evacuated zones: their workers receive nothing more until the operator ends the evacuation.

Evacuations were stored beside the configuration but never read, so that calls and stage pieces
still went to the zone's workers: 9,377 and 2,051 of them on two simulated days.
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
        """Return how many calls, pieces, reports and freed results a zone's workers received."""
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


async def end_evacuation(running: World, zone: str) -> None:
    running.store.remove("op", f"evacuate/{zone}")
    await until(lambda: not any(zone in node.mirror.workers.evacuated for node in running.nodes))


async def call_all_routes(running: World, number: int = 0) -> list[int]:
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
        assert set(await call_all_routes(running)) == {200}
        assert zones.requests_in("z1") == before
        assert zones.requests_in("z2") > 0


async def test_a_zone_serves_again_after_its_evacuation_ends() -> None:
    zones = Zones()
    async with world(configuration(1, ROUTES), zones.served()) as running:
        await evacuate(running, "z1")
        await end_evacuation(running, "z1")
        before = zones.requests_in("z1")
        assert set(await call_all_routes(running)) == {200}
        assert zones.requests_in("z1") > before


async def test_while_every_zone_is_evacuated_callers_are_refused_at_once() -> None:
    zones = Zones()
    async with world(configuration(1, ROUTES), zones.served()) as running:
        await evacuate(running, "z1", "z2")
        before = zones.requests_in("z1") + zones.requests_in("z2")
        assert set(await call_all_routes(running)) == {503}
        assert zones.requests_in("z1") + zones.requests_in("z2") == before
        await end_evacuation(running, "z2")
        assert set(await call_all_routes(running)) == {200}


async def zone_of_first_stream(zones: Zones) -> int:
    """Wait until an engine has received a stream; return the number of its zone."""
    await until(lambda: any(engine.seen for engine in zones.engines))
    return next(number for number, engine in enumerate(zones.engines) if engine.seen)


async def test_a_running_stream_in_an_evacuated_zone_completes() -> None:
    hold = asyncio.Event()
    zones = Zones(hold=hold)
    async with world(configuration(1, ROUTES), zones.served()) as running:
        call = asyncio.create_task(running.call("/talk/x"))
        number = await zone_of_first_stream(zones)
        await evacuate(running, zones.engines[number].zone)
        hold.set()
        response = await call
        body = await response.text()
        assert response.status == 200
        assert body.count("data:") == 3
        assert len(zones.engines[1 - number].seen) == 0


async def test_a_stream_that_fails_in_an_evacuated_zone_resumes_in_another() -> None:
    hold = asyncio.Event()
    zones = Zones(hold=hold)
    for engine in zones.engines:
        engine.faults.append("break-after-1")
    async with world(configuration(1, ROUTES), zones.served()) as running:
        call = asyncio.create_task(running.call("/talk/x"))
        number = await zone_of_first_stream(zones)
        zones.engines[1 - number].faults.clear()
        await evacuate(running, zones.engines[number].zone)
        hold.set()
        response = await call
        body = await response.text()
        assert body.count("data:") == 3
        assert [len(engine.seen) for engine in zones.engines] == [1, 1]


async def test_waiting_pieces_of_an_evacuated_zone_run_in_another() -> None:
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


async def test_a_gateway_refused_by_the_store_receives_an_evacuation_from_a_peer() -> None:
    zones = Zones()
    async with (
        world(configuration(1, ROUTES), zones.served()) as running,
        peer_of(running, loopback_address(2), refused=True) as second,
    ):
        await until(lambda: second.ready)
        await evacuate(running, "z1")
        before = zones.requests_in("z1")
        assert set(await call_all_routes(running, number=1)) == {200}
        assert zones.requests_in("z1") == before
        await end_evacuation(running, "z1")


async def test_a_gateway_that_starts_during_an_evacuation_knows_it() -> None:
    zones = Zones()
    async with world(configuration(1, ROUTES), zones.served()) as running:
        await evacuate(running, "z1")
        async with peer_of(running, loopback_address(2)) as second:
            await until(lambda: second.ready)
            assert second.mirror.workers.evacuated == {"z1"}


@pytest.mark.parametrize("ended", [False, True])
async def test_an_evacuation_missing_from_the_history_is_read_again(ended: bool) -> None:
    zones = Zones()
    async with world(configuration(1, ROUTES), zones.served()) as running:
        if ended:
            await evacuate(running, "z1")
            running.store.rows.pop(("op", "evacuate/z1"))
        else:
            running.store.rows["op", "evacuate/z1"] = (b"{}", running.store.revision)
        running.store.revision += 1
        running.store.forget_history()
        expected = frozenset() if ended else {"z1"}
        await until(lambda: running.nodes[0].mirror.workers.evacuated == expected)


async def test_an_evacuation_during_a_store_outage_applies_after_it() -> None:
    zones = Zones()
    async with world(configuration(1, ROUTES), zones.served()) as running:
        running.store.refused.add(loopback_address(1))
        running.store.forget_history()
        running.store.put("op", "evacuate/z1", {})
        running.store.refused.clear()
        await until(lambda: running.nodes[0].mirror.workers.evacuated == {"z1"})


async def test_rows_without_a_zone_or_with_any_value_affect_no_other_zone() -> None:
    zones = Zones()
    async with world(configuration(1, ROUTES), zones.served()) as running:
        running.store.put("op", "evacuate/", {})
        running.store.put("op", "evacuate/nowhere", {})
        running.store.put("op", "evacuate", {})
        running.store.put("op", "evacuate/z1", b"\xff not JSON")
        await until(lambda: running.nodes[0].mirror.workers.evacuated == {"nowhere", "z1"})
        assert set(await call_all_routes(running)) == {200}
