"""Crowds on each kind of route and listener, and of requests that are never served.

The bounds are those of ``test_client_crowds``: the gateway lives, within its memory and its
descriptors, and answers ordinary calls.
"""

import pytest
from client_crowd import LargeWorker, StreamWorker, crowded_world, head, ordinary_calls

CLIENTS = 24
AHEAD = 32
STREAM_CLIENTS = 200
STREAMS_AHEAD = 4
EVENTS = 2_000
EVENT_BYTES = 1_000
READINESS_AHEAD = 1_000
BODY = b"b" * 500_000
HALF_BODY = b"h" * 63_000
HALF_CLIENTS = 300
UNKNOWN_KEY = "X-Corkcrank-Credential: nobody"


async def test_unread_answers_on_an_unrepeatable_route_stay_within_the_memory() -> None:
    async with crowded_world(LargeWorker()) as crowd:
        await crowd.join(CLIENTS, [head("/once/x") * AHEAD])
        await ordinary_calls(crowd.world)


async def test_unread_streams_stay_within_the_memory() -> None:
    async with crowded_world(StreamWorker(events=EVENTS, padding=EVENT_BYTES)) as crowd:
        await crowd.join(STREAM_CLIENTS, [head("/talk/x")] * STREAMS_AHEAD)
        await ordinary_calls(crowd.world)


async def test_requests_sent_ahead_to_the_readiness_address_stay_within_the_memory() -> None:
    async with crowded_world() as crowd:
        checks = head("/readyz", method="GET") * READINESS_AHEAD
        bodies = [head("/readyz", length=len(BODY)), BODY] * AHEAD
        await crowd.join(CLIENTS, [checks, *bodies], crowd.world.readiness_address)
        await ordinary_calls(crowd.world)


REFUSED = {
    "unknown route": head("/nowhere/x", length=len(BODY)),
    "unknown key": head("/crowd/x", length=len(BODY)).replace(
        b"X-Corkcrank-Credential: key-of-tenant", UNKNOWN_KEY.encode()
    ),
    "expects a permission": head("/crowd/x", "Expect: 100-continue", length=len(BODY)),
}


@pytest.mark.parametrize("request_head", REFUSED.values(), ids=REFUSED.keys())
async def test_bodies_of_requests_that_are_not_served_stay_within_the_memory(
    request_head: bytes,
) -> None:
    async with crowded_world(LargeWorker()) as crowd:
        await crowd.join(CLIENTS, [request_head, BODY] * AHEAD)
        await ordinary_calls(crowd.world)


async def test_half_sent_bodies_stay_within_the_memory() -> None:
    async with crowded_world(LargeWorker()) as crowd:
        half = head("/crowd/x", length=2 * len(HALF_BODY))
        await crowd.join(HALF_CLIENTS, [half, HALF_BODY])
        await ordinary_calls(crowd.world)
