"""Headers that only the gateway may set: values from callers reach no worker.

A caller that forged one could otherwise act for another tenant or override routing decisions.
"""

from collections.abc import Iterator

import pytest
from node_world import World, call_id, configuration, route, world
from platform_standins import StandinStageWorker, StandinWorker

from corkcrank.platform import names

FORGED = "forged-by-caller"

RESERVED = (
    "X-Corkcrank-Tenant",
    "X-Corkcrank-Expect-Instance",
    "X-Corkcrank-Expect-Version",
    "X-Corkcrank-Inputs",
    "X-Corkcrank-Request-Priority",
    "X-Corkcrank-Hold",
    "X-Corkcrank-Pin-Ms",
    "X-Corkcrank-Kv-Backup",
    "Kv-From",
    "Kv-Fetch",
)
"""Request headers of the platform's protocol that pass gateway decisions to workers."""

ROUTES = [
    route("safe", "safe", "plain"),
    route("unsafe", "unsafe", "plain"),
    route("stream", "stream", "model"),
    route("resumed", "stream", "model", stream_resume=True),
    route(
        "staged",
        "stream",
        "model",
        stages=[{"service": "encode", "since_revision": [], "byte_length": 1000}],
    ),
]
WAYS_IN = ("safe", "unsafe", "stream", "resumed", "staged")


def spellings(name: str) -> Iterator[str]:
    """Yield spellings of a header's name that a lenient worker may treat as the same."""
    yield name
    yield name.lower()
    yield name.upper()
    yield name.replace("-", "_")


async def send(running: World, way: str, headers: dict[str, str]) -> None:
    response = await running.call(f"/{way}/x", headers=headers)
    assert response.status == 200
    await response.read()


@pytest.mark.parametrize("name", RESERVED)
async def test_a_value_from_a_caller_reaches_no_worker(name: str) -> None:
    plain, model, encode = StandinWorker(), StandinWorker(events=2), StandinStageWorker()
    served = {"p": (plain, "plain"), "m": (model, "model"), "e": (encode, "encode")}
    sent = 0
    async with world(configuration(1, ROUTES), served) as running:
        for way in WAYS_IN:
            for spelling in spellings(name):
                await send(running, way, {spelling: FORGED})
                sent += 1
    seen = [*plain.seen, *model.seen]
    assert len(seen) == sent
    for request in seen:
        assert FORGED not in [*request.headers.values()]
    assert FORGED not in str([*encode.heads, *encode.calls])


@pytest.mark.parametrize("way", WAYS_IN)
async def test_the_callers_key_is_not_forwarded_to_workers(way: str) -> None:
    plain, model, encode = StandinWorker(), StandinWorker(events=2), StandinStageWorker()
    served = {"p": (plain, "plain"), "m": (model, "model"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served) as running:
        await send(running, way, {})
    (request,) = [*plain.seen, *model.seen]
    assert names.CREDENTIAL not in request.headers
    assert request.headers.getall(names.TENANT) == ["tenant"]


async def test_headers_that_describe_the_call_are_forwarded_even_if_connection_lists_them() -> None:
    model = StandinWorker(events=2)
    own = {names.MODEL: "m", names.TOKEN_COUNT: "7,3", names.PREFIX: "aa:4,bb:3"}
    attempt = call_id()
    async with world(configuration(1, ROUTES), {"m": (model, "model")}) as running:
        listed = ", ".join([*own, names.ATTEMPT_ID])
        headers = {**own, "Connection": listed}
        response = await running.call("/stream/x", headers=headers, attempt=attempt)
        await response.read()
    (request,) = model.seen
    assert {name: request.headers.get(name) for name in own} == own
    assert request.headers[names.ATTEMPT_ID] == attempt


async def test_dropped_headers_are_counted_and_logged() -> None:
    plain = StandinWorker()
    async with world(configuration(1, ROUTES), {"p": (plain, "plain")}) as running:
        await send(running, "safe", {"X-Corkcrank-Hold": FORGED, "Kv-From": FORGED})
        dropped = running.nodes[0].services.metrics.reserved_headers
        counts = {
            sample.labels["header"]: sample.value
            for family in dropped.collect()
            for sample in family.samples
            if sample.name.endswith("_total")
        }
    assert counts == {"x-corkcrank-hold": 1.0, "kv-from": 1.0}
