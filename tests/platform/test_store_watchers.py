"""A few gateways follow the store for all: how the others get changes, and what if those fail."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

from node_world import World, configuration, peer_of, route, until, world
from platform_standins import StandinWorker

from corkcrank.contracts import clock
from corkcrank.links.platform_ports import StoreTable
from corkcrank.load.loopback import loopback_address
from corkcrank.machines.store_followers import MIN_FOLLOWERS
from corkcrank.node.process.node import Node

ROUTES = [route("safe", "safe", "plain")]
MEMBERS = MIN_FOLLOWERS + 3


def is_follower(node: Node) -> bool:
    return node.mirror.is_follower(StoreTable.CONFIGURATION)


def address(node: Node) -> str:
    return node.fleet.local_address.rsplit(":", 1)[0]


@asynccontextmanager
async def large_fleet(worker: StandinWorker) -> AsyncIterator[World]:
    """Run enough gateways of one zone that some need not follow the store."""
    async with AsyncExitStack() as stack:
        running = await stack.enter_async_context(
            world(configuration(1, ROUTES), {"one": (worker, "plain")})
        )
        for number in range(2, MEMBERS + 1):
            await stack.enter_async_context(peer_of(running, loopback_address(number)))
        nodes = running.nodes
        await until(
            lambda: all(len(node.fleet.live_members(clock.now())) == MEMBERS - 1 for node in nodes)
        )
        await until(lambda: sum(is_follower(node) for node in nodes) == MIN_FOLLOWERS)
        yield running


async def test_changes_reach_the_gateways_that_do_not_ask_the_store() -> None:
    worker = StandinWorker()
    async with large_fleet(worker) as running:
        running.store.put("op", "config", configuration(2, ROUTES))
        running.store.put("servers", worker.worker_id, worker.entry("plain", state="draining"))
        await until(lambda: all(node.mirror.version == 2 for node in running.nodes))
        await until(
            lambda: not any(node.mirror.workers.usable_workers("plain") for node in running.nodes)
        )
        assert sum(is_follower(node) for node in running.nodes) == MIN_FOLLOWERS


async def test_other_gateways_follow_the_store_when_it_refuses_all_followers() -> None:
    worker = StandinWorker()
    async with large_fleet(worker) as running:
        running.store.refused.update(address(node) for node in running.nodes if is_follower(node))
        running.store.forget_history()
        running.store.put("op", "config", configuration(2, ROUTES))
        running.store.remove("servers", worker.worker_id)
        await until(lambda: all(node.mirror.version == 2 for node in running.nodes))
        await until(lambda: not any(node.mirror.workers.records() for node in running.nodes))
