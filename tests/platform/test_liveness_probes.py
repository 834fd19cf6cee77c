"""A gateway requests an engine's report at a bounded rate, however many streams wait for it.

The failure: while engines are silent, each stream's search probes them again after each pause. If
each search sent its own requests, a silence of many streams would flood the engines with them.
"""

import asyncio

import pytest
from node_world import configuration, route, until, world
from platform_standins import StandinWorker
from test_stream_failover import EVENTS, HOLD, failover_world, short_silences, stand_still

from corkcrank.contracts import clock
from corkcrank.node.workers.liveness import PROBE_TIMEOUT_SECONDS, RECENT_SECONDS

__all__ = ["short_silences"]

CALLERS = 12
POLL_SECONDS = 0.005
WATCHED_SECONDS = 1.2
"""Time of several pauses of a search."""

INTERVALS = pytest.mark.parametrize(
    ("answers", "min_interval"),
    [(True, RECENT_SECONDS), (False, PROBE_TIMEOUT_SECONDS)],
    ids=["answers", "silent"],
)
"""Minimum time between two requests of a gateway for the report of an engine."""


def max_reports(seconds: float, min_interval: float) -> float:
    """Return the maximum number of requests for an engine's report within a time."""
    return 1 + seconds / min_interval


@INTERVALS
async def test_concurrent_probes_of_an_engine_share_its_reports(
    answers: bool, min_interval: float
) -> None:
    engine = StandinWorker(paused=None if answers else asyncio.Event())
    routes = [route("talk", "stream", "model")]
    async with world(configuration(1, routes), {"one": (engine, "model")}) as running:
        services = running.nodes[0].services
        record = running.nodes[0].mirror.workers.get(engine.worker_id)
        assert record is not None
        begun = clock.now()
        found: set[bool] = set()

        async def probe_repeatedly() -> None:
            while clock.now() - begun < WATCHED_SECONDS:
                found.add(await services.liveness.is_responsive(record))
                await asyncio.sleep(POLL_SECONDS)

        await asyncio.gather(*(probe_repeatedly() for _ in range(CALLERS)))
        assert answers in found
        assert 1 < engine.reports <= max_reports(clock.now() - begun, min_interval)


@INTERVALS
async def test_many_silent_streams_request_reports_as_seldom_as_one(
    answers: bool, min_interval: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with failover_world(*[HOLD] * CALLERS) as failover:
        services = type(failover.running.nodes[0].services)
        monkeypatch.setattr(services, "try_spend_repeat", lambda self, service: False)
        goes_on = asyncio.Event() if answers else stand_still(failover, *failover.engines)
        begun = clock.now()
        streams = [asyncio.create_task(failover.read_events("/talk/x")) for _ in range(CALLERS)]
        await until(lambda: clock.now() - begun > WATCHED_SECONDS)
        reports = [engine.reports for engine in failover.engines]
        assert min(reports) > 1
        assert max(reports) <= max_reports(clock.now() - begun, min_interval)
        assert not any(stream.done() for stream in streams)
        failover.hold.set()
        goes_on.set()
        assert await asyncio.gather(*streams) == [(EVENTS, True)] * CALLERS
