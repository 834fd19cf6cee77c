"""A stream whose caller names its attempt is not continued at another version out of step."""

import asyncio

import pytest
from core_clock import core_clock
from isolation import CutOff, isolation_of
from platform_standins import StandinWorker
from test_out_of_step import begin_unheard, set_state, watched_world
from test_owners import die
from test_unnamed_streams import SERVICE
from versioned_world import VERSIONS, VersionedWorld, versioned_world

STREAMS = 18
MANY_GATEWAYS = 11
"""More than a gateway and the holders of a stream."""


@pytest.mark.parametrize("replaced", [False, True])
@pytest.mark.parametrize("cut_off", list(CutOff))
async def test_named_stream_is_not_mixed_by_a_gateway_out_of_step(
    cut_off: CutOff, replaced: bool
) -> None:
    async with watched_world() as played:
        isolation = await isolation_of(played.nodes[1])
        streams = await begin_unheard(played, isolation, cut_off, replaced=replaced)
        await asyncio.gather(*(played.attempt(item, 1) for item in streams))
        assert played.mixed(streams) == []
        refused = [item for item in streams if item.parts[-1].status != 200]
        assert all(item.whole for item in streams if item not in refused)
        assert not refused or {item.parts[-1].status for item in refused} == {503}


def replace_in_place(played: VersionedWorld) -> None:
    """Let engines of another version answer at the addresses of the old ones, under new ids."""
    old = played.engines["v1"]
    for engine in old:
        played.running.store.remove("servers", engine.worker_id)
        engine.worker_id = StandinWorker().worker_id
        engine.told = {"version": "v2"}
    played.engines = {"v2": old, "v1": []}
    set_state(played, "v2", "ready")


async def test_engine_of_another_version_at_a_known_address_does_not_continue() -> None:
    """The gateway out of step knows the origin, and lists the engines that were there before."""
    async with watched_world() as played:
        streams = await played.begin(STREAMS)
        isolation = await isolation_of(played.nodes[1])
        isolation.cut_off = CutOff.STORE_AND_MEMBERS
        before = {engine.worker_id for engine in played.engines["v1"]}
        replace_in_place(played)
        requests = played.requests()
        await asyncio.gather(*(played.attempt(item, 1) for item in streams))
        listed = played.nodes[1].mirror.workers.for_service(SERVICE)
        assert {worker.worker_id for worker in listed} == before
        assert {item.parts[-1].status for item in streams} == {503}
        assert not any(item.parts[-1].engines for item in streams)
        assert played.requests() == requests


async def test_named_streams_continue_at_each_of_more_gateways_than_holders() -> None:
    async with core_clock(), versioned_world(gateways=MANY_GATEWAYS) as played:
        streams = await played.begin(STREAMS)
        assert {item for stream in streams for item in played.versions(stream)} == set(VERSIONS)
        await die(played.nodes[0])
        gateways = [1 + number % (MANY_GATEWAYS - 1) for number in range(STREAMS)]
        await asyncio.gather(
            *(played.attempt(item, number) for item, number in zip(streams, gateways, strict=True))
        )
        assert played.mixed(streams) == []
        assert all(item.whole for item in streams)
