"""Connections of peers and callers that fall permanently silent.

Requests to peers had no timeout: a gateway that pulled the configuration on a silent connection
never pulled again, and pieces sent on one waited until their caller left. See also
test_silent_connections.py.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import pytest
from aiohttp import web
from core_clock import core_clock
from node_world import (
    HOST,
    KEY,
    WorldLinks,
    call_id,
    configuration,
    peer_of,
    route,
    stage_service,
    until,
    world,
)
from platform_standins import Server, StandinStageWorker, StandinWorker
from silent_link import SilentLink
from test_owners import ROUTES as STAGED_ROUTES
from test_owners import acquainted, call_through, owner_of
from test_silent_connections import (
    DIRECTIONS,
    LONGEST_SECONDS,
    PEER_SILENCE_SECONDS,
    SLACK_SECONDS,
    silences,
    timed,
)

from corkcrank.contracts import clock
from corkcrank.load.loopback import loopback_address

# Peers


@DIRECTIONS
async def test_a_gateway_pulls_the_configuration_past_silent_connections(
    directions: dict[str, bool],
) -> None:
    # A request on a silent connection had no timeout, and the pull loop waited for it: newer
    # versions were never pulled again.
    links = WorldLinks(peers=SilentLink())
    routes = [route("safe", "safe", "plain")]
    served = {"w": (StandinWorker(), "plain")}
    async with (
        world(configuration(1, routes), served, links) as running,
        peer_of(running, loopback_address(2), refused=True) as second,
    ):
        assert links.peers is not None
        await until(lambda: second.ready)
        link = links.peers
        for version in (2, 3):
            assert link.open >= 1
            link.silence(**directions)
            running.store.put("op", "config", configuration(version, routes))
            await until(lambda: second.mirror.version == version, seconds=4.0)  # noqa: B023
        assert silences(running, "peer", 1) == 2


@DIRECTIONS
async def test_pieces_on_a_silent_connection_to_their_owner_are_placed_again(
    directions: dict[str, bool],
) -> None:
    # The owner still sent datagrams, so it was never suspected, and the pieces waited until the
    # end of their call.
    links = (SilentLink(), SilentLink())
    long_route = {**STAGED_ROUTES[0], "target_latency_ms": 3_500, "timeout_ms": 8_000}
    encode = StandinStageWorker()
    served = {"m": (StandinWorker(events=2), "model"), "e": (encode, "encode")}
    async with (
        core_clock(),
        world(configuration(1, [long_route]), served, WorldLinks(peers=links[0])) as running,
        peer_of(running, loopback_address(2), link=links[1]) as second,
    ):
        await acquainted(running.nodes[0], second)
        owner = running.nodes.index(owner_of(running, encode))
        caller = running.nodes[1 - owner]
        assert await call_through(running, 1 - owner) == 200
        # The connection is idle after the request on it that frees the results.
        await until(lambda: not encode.held)
        for link in links:
            link.silence(**directions)
        async with asyncio.timeout(LONGEST_SECONDS):
            status, seconds = await timed(call_through(running, 1 - owner))
        assert status == 200
        assert seconds < PEER_SILENCE_SECONDS + SLACK_SECONDS
        assert silences(running, "peer", 1 - owner) >= 1
        member = caller.fleet.member(running.nodes[owner].fleet.local_name)
        assert member is not None
        assert not member.is_suspected(clock.now())


async def test_an_owner_that_works_for_long_is_not_treated_as_silent() -> None:
    long_route = {**STAGED_ROUTES[0], "target_latency_ms": 3_500, "timeout_ms": 8_000}
    gate = asyncio.Event()
    encode = StandinStageWorker(gate=gate)
    served = {"m": (StandinWorker(events=2), "model"), "e": (encode, "encode")}
    services = [
        {"name": "model", "engine": {"slots": 16, "kv_capacity": 100_000}},
        stage_service("encode", call_ms=1_000.0),
    ]
    async with (
        world(configuration(1, [long_route], services=services), served) as running,
        peer_of(running, loopback_address(2)) as second,
    ):
        await acquainted(running.nodes[0], second)
        owner = owner_of(running, encode)
        call = asyncio.create_task(call_through(running, 1 - running.nodes.index(owner)))
        await until(lambda: len(encode.calls) == 1)
        done, _ = await asyncio.wait({call}, timeout=2.4)
        assert not done
        gate.set()
        assert await call == 200
        assert len(encode.calls) == 1


async def test_a_peer_that_falls_silent_within_a_message_is_dropped() -> None:
    served = {"w": (StandinWorker(), "plain")}
    document = configuration(1, [route("safe", "safe", "plain")])
    async with world(document, served) as running:
        host, port = running.nodes[0].fleet.local_address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST /peer/free HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
        async with asyncio.timeout(PEER_SILENCE_SECONDS + SLACK_SECONDS):
            with contextlib.suppress(ConnectionResetError):
                await reader.read()
        assert silences(running, "peer") == 1
        writer.close()


# Callers


async def open_caller(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect as a caller that reads ahead at most 1 byte."""
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port), limit=1)


def request_head(path: str, deadline_ms: int) -> bytes:
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Corkcrank-Attempt-Id: {call_id()}\r\n"
        f"X-Corkcrank-Deadline-Ms: {deadline_ms}\r\nX-Corkcrank-Credential: {KEY}\r\n"
        "Content-Length: 0\r\n\r\n"
    )
    return head.encode()


BIG_BYTES = 32 << 20
"""More than the kernel buffers for a caller that does not read."""


def large_answers(*, streamed: bool) -> Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]:
    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        headers = {
            "X-Corkcrank-Attempt-Id": request.headers["X-Corkcrank-Attempt-Id"],
            "X-Corkcrank-Server-Seal": "seal",
        }
        if not streamed:
            return web.Response(body=b"x" * BIG_BYTES, headers=headers)
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        data = b"x" * 60_000
        for number in range(1, BIG_BYTES // len(data)):
            await response.write(b"id: %d\ndata: %s\n\n" % (number, data))
        await response.write_eof()
        return response

    return answer


OBJECTIVE_MS = 1_500
"""Time within which the first byte of an answer is due, in milliseconds."""

DEADLINE_SECONDS = 0.8
LONG_DEADLINE_SECONDS = 8.0
"""Deadline of a call that is refused unless its whole answer is at the gateway in time."""


@pytest.mark.parametrize("streamed", [True, False], ids=["stream", "plain"])
async def test_a_caller_that_accepts_no_bytes_is_dropped(streamed: bool) -> None:
    # A write to a stream waited for the caller without a limit, beyond the end of the call; a
    # whole answer stayed in memory, since closing waits until all written bytes are sent.
    worker = StandinWorker()
    worker.server = Server(large_answers(streamed=streamed))
    service = "model" if streamed else "plain"
    kind = "stream" if streamed else "unsafe"
    served = {"w": (worker, service)}
    deadline_ms = int((DEADLINE_SECONDS if streamed else LONG_DEADLINE_SECONDS) * 1000)
    big = route("big", kind, service, timeout_ms=deadline_ms, target_latency_ms=OBJECTIVE_MS)
    async with core_clock(), world(configuration(1, [big]), served) as running:
        node = running.nodes[0]
        reader, writer = await open_caller(running.address())
        sent_at = clock.now()
        writer.write(request_head("/big/x", deadline_ms))
        await until(lambda: node.callers.in_flight == 1)
        started = clock.now()
        await reader.readexactly(1)
        assert clock.now() - sent_at < OBJECTIVE_MS / 1000
        await until(lambda: any(caller.unsent_bytes for caller in node.callers.connections()))
        silent_since = max(clock.now(), started + DEADLINE_SECONDS)
        await until(lambda: not node.callers.connections(), seconds=5.0)
        idle = node.call_handler.limits().idle_seconds
        assert clock.now() - silent_since < idle + SLACK_SECONDS
        assert silences(running, "caller") == 1
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()
