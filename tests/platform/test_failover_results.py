"""Results stay while an engine that was sent them may still fetch them."""

import asyncio

from node_world import until
from test_result_release import FETCH_DELAYS, CountedRelease
from test_stream_failover import engines_by_use, failover_world, short_silences, stand_still

from corkcrank.contracts import clock
from corkcrank.scheduling.worker_choice import WorkerStatistics

__all__ = ["short_silences"]


async def test_results_stay_while_the_second_engine_that_was_sent_them_needs_them() -> None:
    async with failover_world("hang", "hang") as failover:
        stream = asyncio.create_task(failover.read_events("/staged/x"))
        silent, _ = await engines_by_use(failover)
        stand_still(failover, silent)
        await until(lambda: failover.requests == 2)
        services = failover.running.nodes[0].services
        # Another stream of the first engine goes on.
        services.worker_statistics.get_or_create(silent.worker_id).heard_at = clock.now()
        await asyncio.sleep(2 * services.fetch_delay("model").seconds)
        held = len(failover.stage.held)
        stream.cancel()
        assert held == 1


async def test_results_stay_where_an_engine_was_heard_only_before_the_usual_fetch_time() -> None:
    freed = asyncio.Event()
    statistics = WorkerStatistics()
    release = CountedRelease(freed.set, statistics, 0.02)
    statistics.heard_at = clock.now()
    await until(lambda: freed.is_set() or release.looks >= FETCH_DELAYS)
    release.cancel()
    assert not freed.is_set()
