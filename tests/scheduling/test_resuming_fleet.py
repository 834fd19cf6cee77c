"""Resumed streams beside new ones that compete for too little room, on a virtual clock.

Guards against resumed streams that are judged by the time of a first event that was sent long ago:
they were refused as soon as new ones waited.
"""

from collections import Counter
from dataclasses import replace

import msgspec
import pytest
from competing_world import calls, scenario
from fleet_play import play
from fleet_scenario import Burst
from resuming_fleet import ResumingFleet
from test_fleet_play import heavy_load

EXPLAIN_BURST = 2.0
"""Factor of the least urgent route's calls."""

REPEATS = 30
"""Calls in which a greedy caller names one stream."""

MIN_FAIR_SHARE = 0.5
"""Least share of its usual calls in time that another tenant's route keeps."""

MIN_SHARE_OF_NEW = 0.5
"""Least share of resumed streams that go on, of that of new streams that begin."""

MIN_SHARE_IF_ALL_BREAK = 0.95
"""The same if all streams break off, most of them beyond the share and judged as new ones. Some
callers come back with less time than a new call has."""


def resuming_fleet(gateways: int, seed: int = 1, **fields: object) -> ResumingFleet:
    load = heavy_load(0.5 if gateways == 3 else 2.0)
    scenario = replace(
        load,
        seed=seed,
        nodes_by_zone=dict.fromkeys(load.nodes_by_zone, gateways),
        seconds=10.0,
        bursts=(*load.bursts, Burst(0.0, 10.0, EXPLAIN_BURST, "explain")),
        workers=tuple(msgspec.structs.replace(worker, version="v1") for worker in load.workers),
    )
    return ResumingFleet(scenario, **fields)  # type: ignore[arg-type]


def run(fleet: ResumingFleet, patch: pytest.MonkeyPatch) -> ResumingFleet:
    build = fleet.build
    fleet.build = lambda: (fleet.replace_origin_messages(patch), build())[1]  # type: ignore[method-assign]
    play(fleet, patch)
    return fleet


@pytest.mark.parametrize("gateways", [3, 18])
@pytest.mark.parametrize("seed", [1, 2])
def test_resumed_streams_go_on_while_new_ones_begin(
    gateways: int, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = run(resuming_fleet(gateways, seed), monkeypatch)
    for name, streams in fleet.streams.items():
        assert streams.resumed >= 12, name
        assert streams.continued_share >= MIN_SHARE_OF_NEW * streams.begun_share, (name, streams)


@pytest.mark.parametrize("gateways", [3, 18])
def test_a_tenant_that_names_one_stream_in_many_calls_does_not_displace_others(
    gateways: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    honest, greedy = (
        run(with_tenant(resuming_fleet(gateways, repeats=Counter(repeats)), "greedy"), patch)
        for repeats, patch in (({}, pytest.MonkeyPatch()), ({"explain": REPEATS}, monkeypatch))
    )
    assert greedy.streams["explain"].resumed > REPEATS
    for name in ("review", "query"):
        usual = honest.streams[name].in_time_share
        assert greedy.streams[name].in_time_share >= MIN_FAIR_SHARE * usual, name


def with_tenant(fleet: ResumingFleet, tenant: str) -> ResumingFleet:
    """Return a fleet whose least urgent route is another tenant's."""
    routes = tuple(
        replace(item, tenant=tenant) if item.route.name == "explain" else item
        for item in fleet.scenario.routes
    )
    return ResumingFleet(replace(fleet.scenario, routes=routes), repeats=fleet.repeats)


@pytest.mark.parametrize("gateways", [6, 36])
def test_a_stream_that_many_calls_name_does_not_fill_the_queue_of_prompts(
    gateways: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    honest, greedy = (
        run(prompt_fleet(gateways, repeats), patch)
        for repeats, patch in ((1, pytest.MonkeyPatch()), (REPEATS, monkeypatch))
    )
    assert greedy.streams["bulk"].resumed > REPEATS
    usual = honest.streams["other"].in_time_share
    assert greedy.streams["other"].in_time_share >= MIN_FAIR_SHARE * usual, greedy.streams


@pytest.mark.parametrize("gateways", [6, 36])
def test_streams_beyond_the_share_go_on_as_often_as_new_ones_begin(
    gateways: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = prompt_fleet(gateways, 1)
    fleet.broken_share = 1.0
    for name, streams in run(fleet, monkeypatch).streams.items():
        assert streams.resumed >= 12, name
        usual = streams.begun_share
        assert streams.continued_share >= MIN_SHARE_IF_ALL_BREAK * usual, (name, streams)


def prompt_fleet(gateways: int, repeats: int) -> ResumingFleet:
    """Return a fleet without stages, with a more urgent route of another tenant."""
    load = scenario(
        (calls("other", 1, 16.0, tenant="other"), calls("bulk", 2, 8.0, tenant="greedy")),
        gateways,
        seconds=10.0,
        competing=True,
    )
    workers = tuple(msgspec.structs.replace(worker, version="v1") for worker in load.workers)
    return ResumingFleet(replace(load, workers=workers), repeats=Counter({"bulk": repeats}))
