"""Results of a call's stages stay until its engine has fetched them, also if it stands still."""

import asyncio

import pytest
from node_world import route, until
from test_stream_failover import PIECES, STAGES, failover_world

from corkcrank.node.streams.result_release import ResultRelease
from corkcrank.scheduling.worker_choice import WorkerStatistics

ROUTES = [route("staged", "stream", "model", timeout_ms=20_000, stages=STAGES)]
HEADERS = {"X-Corkcrank-Deadline-Ms": "20000", **PIECES}
FETCH_DELAYS = 5


async def test_results_are_not_freed_before_an_engine_that_stands_still_has_fetched_them() -> None:
    async with failover_world("hang", "", routes=ROUTES) as failover:
        call = asyncio.create_task(failover.running.call("/staged/x", headers=HEADERS))
        await until(lambda: failover.requests == 1)
        delay = failover.running.nodes[0].services.fetch_delay("model").seconds
        await asyncio.sleep(FETCH_DELAYS * delay)
        assert len(failover.stage.held) == 1
        call.cancel()


class CountedRelease(ResultRelease):
    """A release that counts how often it has looked whether its worker was heard."""

    looks = 0

    def _release_if_heard(self) -> None:
        self.looks += 1
        super()._release_if_heard()


@pytest.mark.parametrize("heard", [False, True])
async def test_release_waits_until_its_worker_is_heard(heard: bool) -> None:
    released = asyncio.Event()
    statistics = WorkerStatistics()
    release = CountedRelease(released.set, statistics, 0.01)
    if heard:
        statistics.heard_at = float("inf")
    await until(lambda: released.is_set() or release.looks >= FETCH_DELAYS)
    release.cancel()
    assert released.is_set() is heard
