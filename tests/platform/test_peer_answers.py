"""A peer's answer that cannot be decoded counts as no answer, whatever its status.

An undecodable body ended the loop that pulls the configuration and the workers for good, and a
call that had requested pieces or an engine grant got an internal error (found in a review).
Gateways of different releases, or another process at a member's address, may send such bodies.
"""

from collections.abc import Awaitable, Callable

import pytest
from aiohttp import web
from core_clock import core_clock
from node_world import World, configuration, peer_of, route, until, world
from platform_standins import StandinStageWorker, StandinWorker
from test_owners import ROUTES as STAGED_ROUTES
from test_owners import acquainted, call_through, owner_of

from corkcrank.load.loopback import loopback_address
from corkcrank.node.peers.peer_protocol import (
    CONFIGURATION_PATH,
    PIECES_PATH,
    PREFILL_REQUEST_PATH,
    WORKERS_PATH,
)
from corkcrank.node.process.node import Node

ROUTES = [route("safe", "safe", "plain")]
EXTENDED_ROUTES = [*ROUTES, route("added", "safe", "plain")]

BODIES = {
    "empty": b"",
    "one byte": b"\x93",
    "other type": b"\x2a",
    "another message": b"\x81\xa4name\xa1x",
    "text": b"<html>",
    "deeply nested": b"\x81\xa1x" + b"\x91" * 60_000 + b"\xc0",
}

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def answer_with_body(node: Node, path: str, body: bytes, times: int = 1_000) -> list[str]:
    """Make a gateway answer a path ``times`` times with a body; return the requested paths."""
    routes: dict[str, Handler] = node._peer_server._routes
    original = routes[path]
    asked: list[str] = []

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        asked.append(path)
        return web.Response(body=body) if len(asked) <= times else await original(request)

    routes[path] = answer
    return asked


def owner_and_other_gateway(running: World, encode: StandinStageWorker) -> tuple[Node, int]:
    """Return the owner of a stage worker, and the number of a gateway that is not the owner."""
    owner = owner_of(running, encode)
    return owner, next(n for n, node in enumerate(running.nodes) if node is not owner)


@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("path", [CONFIGURATION_PATH, WORKERS_PATH])
async def test_updates_are_pulled_again_after_an_undecodable_answer(path: str, body: str) -> None:
    served = {"one": (StandinWorker(), "plain")}
    async with world(configuration(1, ROUTES), served) as running:
        asked = answer_with_body(running.nodes[0], path, BODIES[body], times=1)
        async with peer_of(running, loopback_address(2), refused=True) as second:
            await until(lambda: second.mirror.version == 1 and second.mirror.workers_known)
            running.store.put("op", "config", configuration(2, EXTENDED_ROUTES))
            await until(lambda: second.mirror.version == 2)
    assert len(asked) >= 2


@pytest.mark.parametrize("body", BODIES)
async def test_pieces_are_run_again_after_an_undecodable_answer(body: str) -> None:
    encode = StandinStageWorker()
    served = {"m": (StandinWorker(events=2), "model"), "e": (encode, "encode")}
    async with (
        core_clock(),
        world(configuration(1, STAGED_ROUTES), served) as running,
        peer_of(running, loopback_address(2)) as second,
    ):
        await acquainted(running.nodes[0], second)
        owner, requester = owner_and_other_gateway(running, encode)
        answer_with_body(owner, PIECES_PATH, BODIES[body], times=1)
        assert await call_through(running, requester) == 200


@pytest.mark.parametrize("body", BODIES)
async def test_the_chosen_engine_is_used_after_an_undecodable_grant(body: str) -> None:
    served = {"m": (StandinWorker(events=2), "model"), "e": (StandinStageWorker(), "encode")}
    async with (
        world(configuration(1, STAGED_ROUTES), served) as running,
        peer_of(running, loopback_address(2)) as second,
    ):
        await acquainted(running.nodes[0], second)
        asked = [
            answer_with_body(node, PREFILL_REQUEST_PATH, BODIES[body]) for node in running.nodes
        ]
        assert [await call_through(running, number) for number in range(2)] == [200, 200]
    assert sum(len(paths) for paths in asked) == 1
