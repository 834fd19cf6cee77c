"""A peer's answer that is no message of its kind is no answer, whatever its status.

What a review showed: a body that could not be read as its message ended the loop that pulls the
configuration and the workers for good, and a call whose pieces or turn were asked for got an
internal error. Gateways of two releases, or a member's address that another process took, may
send such bodies.
"""

from collections.abc import Awaitable, Callable

import pytest
from aiohttp import web
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
MORE = [*ROUTES, route("added", "safe", "plain")]

BODIES = {
    "empty": b"",
    "one byte": b"\x93",
    "other type": b"\x2a",
    "another message": b"\x81\xa4name\xa1x",
    "text": b"<html>",
}

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def answer_badly(node: Node, path: str, body: bytes, times: int = 1_000) -> list[str]:
    """Have a gateway answer a path so many times with this body; return what it was asked."""
    routes: dict[str, Handler] = node._peer_server._routes
    proper = routes[path]
    asked: list[str] = []

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        asked.append(path)
        return web.Response(body=body) if len(asked) <= times else await proper(request)

    routes[path] = answer
    return asked


def asked_elsewhere(running: World, encode: StandinStageWorker) -> tuple[Node, int]:
    """Return the owner of a stage worker, and the number of a gateway that asks it."""
    owner = owner_of(running, encode)
    return owner, next(n for n, node in enumerate(running.nodes) if node is not owner)


@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("path", [CONFIGURATION_PATH, WORKERS_PATH])
async def test_news_are_pulled_again_after_an_answer_that_is_no_message(
    path: str, body: str
) -> None:
    served = {"one": (StandinWorker(), "plain")}
    async with world(configuration(1, ROUTES), served) as running:
        asked = answer_badly(running.nodes[0], path, BODIES[body], times=1)
        async with peer_of(running, loopback_address(2), refused=True) as second:
            await until(lambda: second.mirror.version == 1 and second.mirror.workers_known)
            running.store.put("op", "config", configuration(2, MORE))
            await until(lambda: second.mirror.version == 2)
    assert len(asked) >= 2


@pytest.mark.parametrize("body", BODIES)
async def test_pieces_are_made_again_after_an_answer_that_is_no_message(body: str) -> None:
    encode = StandinStageWorker()
    served = {"m": (StandinWorker(events=2), "model"), "e": (encode, "encode")}
    async with (
        world(configuration(1, STAGED_ROUTES), served) as running,
        peer_of(running, loopback_address(2)) as second,
    ):
        await acquainted(running.nodes[0], second)
        owner, asker = asked_elsewhere(running, encode)
        answer_badly(owner, PIECES_PATH, BODIES[body], times=1)
        assert await call_through(running, asker) == 200


@pytest.mark.parametrize("body", BODIES)
async def test_engine_is_taken_without_a_word_that_can_be_read(body: str) -> None:
    served = {"m": (StandinWorker(events=2), "model"), "e": (StandinStageWorker(), "encode")}
    async with (
        world(configuration(1, STAGED_ROUTES), served) as running,
        peer_of(running, loopback_address(2)) as second,
    ):
        await acquainted(running.nodes[0], second)
        asked = [answer_badly(node, PREFILL_REQUEST_PATH, BODIES[body]) for node in running.nodes]
        assert [await call_through(running, number) for number in range(2)] == [200, 200]
    assert sum(len(paths) for paths in asked) == 1
