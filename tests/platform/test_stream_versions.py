"""A stream continues only at the software version that began it, at any gateway.

Guards against streams that hold events of two versions: a gateway continued them, within an answer
or in a caller's next attempt, at any engine of the service.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest
from node_world import stop, until
from test_owners import die
from versioned_world import (
    EVENTS,
    EVENTS_READ,
    Stream,
    VersionedWorld,
    count_by_status,
    versioned_world,
)

from corkcrank.node.engines.engine_owner import EngineOwner
from corkcrank.node.peers.peer_protocol import PrefillGrant, PrefillRequest

STREAMS = 24
BREAKS_OF_AN_ENGINE = 2
MIN_CONTINUED_SHARE = 0.5
"""Least share of resumed streams that go on, of that of new streams that begin."""


def assert_continued(played: VersionedWorld, streams: list[Stream]) -> None:
    assert played.mixed(streams) == []
    continued = sum(item.whole for item in streams)
    assert continued >= MIN_CONTINUED_SHARE * len(streams), count_by_status(streams)


@pytest.mark.parametrize("path", ["/resumed/x", "/staged/x"])
@pytest.mark.parametrize("fault", ["break-after-3", "silent-after-3"])
async def test_answer_does_not_continue_at_another_version(fault: str, path: str) -> None:
    async with versioned_world(gateways=2) as played:
        for engines in played.engines.values():
            for engine in engines:
                engine.faults.extend([fault] * BREAKS_OF_AN_ENGINE)
        streams = played.new_streams(STREAMS, path)
        attempts = [played.attempt(item, number % 2) for number, item in enumerate(streams)]
        await asyncio.gather(*attempts)
        assert_continued(played, streams)


async def continue_at(played: VersionedWorld, streams: list[Stream], gateway: int) -> None:
    await asyncio.gather(*(played.attempt(item, gateway) for item in streams))


async def at_the_same_gateway(played: VersionedWorld, streams: list[Stream]) -> None:
    await continue_at(played, streams, 0)


async def at_another_gateway(played: VersionedWorld, streams: list[Stream]) -> None:
    await continue_at(played, streams, 1)


async def after_the_first_gateway_was_killed(played: VersionedWorld, streams: list[Stream]) -> None:
    await die(played.nodes[0])
    await continue_at(played, streams, 1)


async def after_the_first_gateway_stopped(played: VersionedWorld, streams: list[Stream]) -> None:
    await (await stop(played.running))
    await continue_at(played, streams, 1)


async def at_the_third_attempt(played: VersionedWorld, streams: list[Stream]) -> None:
    partly = (played.attempt(item, 1, events=EVENTS_READ) for item in streams)
    await asyncio.gather(*partly)
    await die(played.nodes[1])
    await continue_at(played, streams, 2)


async def while_engines_leave(played: VersionedWorld, streams: list[Stream]) -> None:
    for version in played.engines:
        played.drain_engine(version)
    for version in played.engines:
        await played.wait_until_draining(version, 1)
    await continue_at(played, streams, 1)


Return = Callable[[VersionedWorld, list[Stream]], Awaitable[None]]
RETURNS: list[Return] = [
    at_the_same_gateway,
    at_another_gateway,
    after_the_first_gateway_was_killed,
    after_the_first_gateway_stopped,
    at_the_third_attempt,
    while_engines_leave,
]


@pytest.mark.parametrize("path", ["/resumed/x", "/staged/x"])
@pytest.mark.parametrize("come_back", RETURNS, ids=lambda item: item.__name__)
async def test_caller_does_not_continue_at_another_version(come_back: Return, path: str) -> None:
    async with versioned_world() as played:
        streams = await played.begin(STREAMS, path)
        await come_back(played, streams)
        assert_continued(played, streams)


async def test_stream_whose_version_has_left_is_refused_at_once() -> None:
    async with versioned_world() as played:
        streams = await played.begin(STREAMS)
        (version,) = played.versions(streams[0])
        begun_there = [item for item in streams if played.versions(item) == {version}]
        for number in range(len(played.engines[version])):
            played.drain_engine(version, number)
        await played.wait_until_draining(version, len(played.engines[version]))
        requests = played.requests()
        parts = await asyncio.gather(*(played.attempt(item, 1) for item in begun_there))
        assert {part.status for part in parts} == {503}
        assert all(part.retry_after for part in parts)
        assert played.requests() == requests


def code_of(body: bytes) -> tuple[str, str]:
    answer = json.loads(body)
    return answer["name"], answer["ran"]


@pytest.mark.parametrize("resumed", ["0" * 16, "not an id", "x" * 500])
async def test_stream_of_an_unknown_attempt_is_refused(resumed: str) -> None:
    async with versioned_world(gateways=2) as played:
        (stream,) = await played.begin(1)
        requests = played.requests()
        part = await played.attempt(stream, resumes=resumed)
        assert part.status == 503
        assert code_of(part.body) == ("STREAM_ORIGIN_UNKNOWN", "no")
        assert played.requests() == requests


async def test_stream_of_another_tenants_attempt_is_refused() -> None:
    async with versioned_world(gateways=2) as played:
        (stream,) = await played.begin(1)
        foreign = Stream(stream.path, first=stream.first, parts=list(stream.parts))
        credential = {"X-Corkcrank-Credential": "key-of-another-tenant"}
        part = await played.attempt(foreign, **credential)
        assert part.status == 503
        assert code_of(part.body)[0] == "STREAM_ORIGIN_UNKNOWN"
        await played.attempt(stream)
        assert stream.whole


async def test_caller_that_names_no_attempt_is_refused_beside_other_versions() -> None:
    async with versioned_world(gateways=2) as played:
        (stream,) = await played.begin(1)
        assert (await played.attempt(stream, resumes="")).status == 503


async def test_caller_that_names_no_attempt_continues_at_the_only_version() -> None:
    async with versioned_world(gateways=2, versions=["v1"]) as played:
        (stream,) = await played.begin(1)
        await played.attempt(stream, 1, resumes="")
        assert stream.whole


async def test_caller_without_events_begins_anew_at_any_version() -> None:
    async with versioned_world(gateways=2) as played:
        streams = played.new_streams(STREAMS)
        await asyncio.gather(*(played.attempt(item, Resumes="0" * 16) for item in streams))
        assert all(item.whole for item in streams)
        assert {version for item in streams for version in played.versions(item)} == {"v1", "v1.1"}


async def test_engine_that_an_owner_of_an_older_release_grants_is_not_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An owner of a release without versions grants any engine."""
    async with versioned_world() as played:
        streams = await played.begin(STREAMS)
        engines = [engine.worker_id for items in played.engines.values() for engine in items]

        def grant_any(owner: EngineOwner, request: PrefillRequest) -> PrefillGrant:
            return PrefillGrant(engines[int(request.call_id, 16) % len(engines)])

        monkeypatch.setattr(EngineOwner, "grant_request", grant_any)
        await continue_at(played, streams, 1)
        assert_continued(played, streams)


async def test_stream_continues_where_no_event_was_missed() -> None:
    """The caller leaves behind the last event, so that only the end of the stream is left."""
    async with versioned_world() as played:
        stream = Stream("/resumed/x")
        await played.attempt(stream, events=EVENTS - 1)
        await until(lambda: stream.last_event >= EVENTS - 1)
        await played.attempt(stream, 1)
        assert stream.whole
        assert played.mixed([stream]) == []
