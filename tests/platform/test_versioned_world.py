"""The versioned world's streams begin at every version, whatever ids and prompts it was given."""

import itertools

import platform_standins
import pytest
import versioned_world as worlds
from versioned_world import VERSIONS, versioned_world

STREAMS = 12
FIRST_WORKER, FIRST_PROMPT = 163, 85
"""Idle gateways prefer engines of one version for all of these prompts, by their hashes."""


async def test_streams_begin_at_every_version_although_hashes_prefer_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against set-ups that fail behind other tests, by the ids that these have used."""
    monkeypatch.setattr(platform_standins, "_ids", itertools.count(FIRST_WORKER))
    monkeypatch.setattr(worlds, "_prompts", itertools.count(FIRST_PROMPT))
    async with versioned_world(gateways=1) as played:
        streams = [stream for _ in range(STREAMS) for stream in await played.begin(1)]
        begun = [played.versions(stream) for stream in streams]
    assert {frozenset(versions) for versions in begun} == {frozenset([item]) for item in VERSIONS}
