"""Prefill grants with two gateways: the owner of the zone's engines chooses among them."""

import asyncio

from node_world import World, configuration, peer_of, route, until, world
from platform_standins import StandinWorker
from test_owners import acquainted, die

from corkcrank.contracts import clock
from corkcrank.load.loopback import loopback_address

ROUTES = [route("talk", "stream", "model")]
PROMPT = {
    "X-Corkcrank-Model": "m",
    "X-Corkcrank-Token-Count": "20000,50",
    "X-Corkcrank-Prefix-Hash": "aa:500,bb:500,cc:19000",
}


async def talk(running: World, number: int) -> int:
    response = await running.call("/talk/x", number=number, headers=PROMPT)
    await response.read()
    return response.status


def owner_index(running: World) -> int:
    name = running.nodes[0].fleet.zone_owner("z1", "model", clock.now())
    return next(n for n, node in enumerate(running.nodes) if node.fleet.local_name == name)


async def test_prompts_of_two_gateways_are_read_by_different_engines() -> None:
    hold = asyncio.Event()
    engines = [StandinWorker(events=2, hold=hold) for _ in range(2)]
    served = {str(number): (engine, "model") for number, engine in enumerate(engines)}
    async with (
        world(configuration(1, ROUTES), served) as running,
        peer_of(running, loopback_address(2)) as second,
    ):
        await acquainted(running.nodes[0], second)
        calls = [asyncio.create_task(talk(running, 0))]
        await until(lambda: sum(len(engine.seen) for engine in engines) == 1)
        calls.append(asyncio.create_task(talk(running, 1)))
        await until(lambda: all(len(engine.seen) == 1 for engine in engines))
        hold.set()
        assert await asyncio.gather(*calls) == [200, 200]


async def test_calls_are_served_after_the_owner_of_the_engines_has_crashed() -> None:
    served = {"one": (StandinWorker(events=2), "model")}
    async with (
        world(configuration(1, ROUTES), served) as running,
        peer_of(running, loopback_address(2)) as second,
    ):
        await acquainted(running.nodes[0], second)
        owner = owner_index(running)
        await die(running.nodes[owner])
        assert await talk(running, 1 - owner) == 200
