"""Streams that callers take up at another gateway, at several fleet sizes, on a virtual clock.

The gateways run the production code. Forty streams a second go to 13 engines of three versions;
each caller leaves and comes back once, at another gateway, while the first one is dead. Guards
against origins that only the gateway that began a stream knows.
"""

from dataclasses import replace
from typing import Any

import msgspec
import pytest
from fleet_play import play
from test_limited_fleet import SIZES, Size, simulated_fleet
from versioned_fleet import VersionedFleet

from corkcrank.node.origins.origin_directory import MAX_HOLDERS
from corkcrank.node.streams.stream_continuity import StreamContinuity
from corkcrank.scheduling.stream_origins import StreamOrigins

VERSIONS = ("v1", "v1.1", "v2")
MIN_CONTINUED_SHARE = 0.95
MAX_CONTROL_BYTES_PER_SECOND = 23_000.0
"""What the design size allows a gateway for all of its control traffic."""


def versioned_fleet(size: Size, lost_datagrams: float = 0.0) -> VersionedFleet:
    scenario = simulated_fleet(size, {})
    workers = tuple(
        msgspec.structs.replace(worker, version=VERSIONS[number % len(VERSIONS)])
        for number, worker in enumerate(scenario.workers)
    )
    return VersionedFleet(replace(scenario, workers=workers), lost_datagrams)


def run(fleet: VersionedFleet, patch: pytest.MonkeyPatch) -> VersionedFleet:
    build = fleet.build
    fleet.build = lambda: (fleet.replace_origin_messages(patch), build())[1]  # type: ignore[method-assign]
    play(fleet, patch)
    return fleet


@pytest.mark.parametrize("size", SIZES, ids=lambda size: f"{2 * size.gateways} gateways")
def test_streams_go_on_at_their_version_although_the_first_gateway_is_dead(
    size: Size, monkeypatch: pytest.MonkeyPatch
) -> None:
    kept = max_kept_origins(monkeypatch)
    fleet = run(versioned_fleet(size, lost_datagrams=0.3), monkeypatch)
    assert fleet.taken_up.mixed == 0
    assert fleet.taken_up.continued >= MIN_CONTINUED_SHARE * fleet.taken_up.count, fleet.taken_up
    assert fleet.taken_up.count > 100
    assert fleet.origin_bytes_per_second <= MAX_CONTROL_BYTES_PER_SECOND
    if len(fleet.nodes) > 2 * MAX_HOLDERS:
        assert max(kept) < fleet.taken_up.count / 2


def max_kept_origins(patch: pytest.MonkeyPatch) -> list[int]:
    """Return a list that will hold how many origins a gateway keeps, for each new one."""
    kept: list[int] = []
    record = StreamOrigins.record

    def count(origins: StreamOrigins, *parts: Any) -> None:
        record(origins, *parts)
        kept.append(len(origins))

    patch.setattr(StreamOrigins, "record", count)
    return kept


def test_streams_of_lost_origins_are_refused_and_never_guessed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = run(versioned_fleet(SIZES[0], lost_datagrams=1.0), monkeypatch)
    assert fleet.taken_up.count > 100
    assert fleet.taken_up.refused == fleet.taken_up.count


def test_the_same_simulation_without_origins_mixes_versions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def find_nothing(continuity: StreamContinuity) -> None:
        return None

    monkeypatch.setattr(StreamContinuity, "find_origin", find_nothing)
    fleet = run(versioned_fleet(SIZES[0]), monkeypatch)
    assert fleet.taken_up.mixed > 0
