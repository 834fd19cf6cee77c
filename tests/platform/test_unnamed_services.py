"""A stream whose caller names no attempt, or one nobody knows, continues at no other service.

Guards against streams joined from two services: the route leads to both, or led to the other one
when the stream began.
"""

import asyncio
from typing import Any

import pytest
from node_world import call_id, configuration, route, until
from platform_standins import StandinWorker
from test_stream_versions import code_of
from versioned_world import EVENTS, TENANTS, Stream, VersionedWorld, versioned_world

STREAMS = 16
SERVICES = [{"name": name, "engine": {"slots": 16, "kv_capacity": 100_000}} for name in "ab"]
UNKNOWN = {("STREAM_ORIGIN_UNKNOWN", "no")}


def leading_to(**shares: float) -> list[dict[str, Any]]:
    """Return a route that leads to services by their shares."""
    weighted = [{"service": name, "weight": share} for name, share in shares.items()]
    fields: dict[str, Any] = {"stream_resume": True, "weighted_services": weighted}
    return [route("resumed", "stream", "", max_attempts=3, **fields)]


async def add_engines(played: VersionedWorld, service: str) -> None:
    """Add engines of a service, whose events are told apart by its name."""
    engines = [StandinWorker(events=EVENTS, gap=0.02, told={"version": "v1"}) for _ in range(3)]
    for engine in engines:
        await engine.server.start()
        played.running.store.put("servers", engine.worker_id, engine.entry(service))
    played.engines[service] = engines
    for node in played.nodes:
        await until(lambda node=node: len(node.mirror.workers.for_service(service)) == 3)


async def assert_refused(played: VersionedWorld, streams: list[Stream], resumes: str) -> None:
    await asyncio.gather(*(played.attempt(item, 1, resumes=resumes) for item in streams))
    assert played.mixed(streams) == []
    assert {code_of(item.parts[-1].body) for item in streams} == UNKNOWN


@pytest.mark.parametrize("resumes", ["", call_id()], ids=["unnamed", "unknown"])
async def test_stream_of_a_route_to_two_services_is_refused(resumes: str) -> None:
    routes = leading_to(a=1.0, b=1.0)
    async with versioned_world(2, ["v1"], routes=routes, services=SERVICES) as played:
        await add_engines(played, "a")
        await add_engines(played, "b")
        streams = await played.begin(STREAMS)
        await assert_refused(played, streams, resumes)


@pytest.mark.parametrize("resumes", ["", call_id()], ids=["unnamed", "unknown"])
async def test_stream_of_a_route_that_was_moved_is_refused(resumes: str) -> None:
    routes = leading_to(a=1.0)
    async with versioned_world(2, ["v1"], routes=routes, services=SERVICES) as played:
        await add_engines(played, "a")
        await add_engines(played, "b")
        streams = await played.begin(STREAMS)
        moved = configuration(2, leading_to(b=1.0), tenants=TENANTS, services=SERVICES)
        played.running.store.put("op", "config", moved)
        await until(lambda: all(node.mirror.version == 2 for node in played.nodes))
        await assert_refused(played, streams, resumes)
