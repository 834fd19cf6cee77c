"""Measures what a plain worker that reads nothing does to the calls beside it.

Run with ``python benchmarks/slow_workers.py``. Large calls arrive evenly for two workers, one of
which reads nothing.
"""

import argparse
import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "tests" / "platform"))

from node_world import World, configuration, route, world
from platform_standins import StandinWorker
from slow_callers import UnreadingWorker

from corkcrank.load.process_usage import resident_bytes_of

MEGABYTE = 2**20
BODY = b"x" * MEGABYTE
LIMITS = {
    "max_header_bytes": 4_096,
    "max_body_bytes": 2 * MEGABYTE,
    "header_timeout_ms": 300,
    "idle_timeout_ms": 600,
}
ROUTES = [route("once", "unsafe", "plain")]


async def _call(running: World, times: dict[int, list[float]]) -> None:
    started = time.perf_counter()
    response = await running.call("/once/x", data=BODY)
    await response.read()
    times.setdefault(response.status, []).append(time.perf_counter() - started)


async def _play(calls: int, gap: float) -> None:
    stuck, other = UnreadingWorker(), StandinWorker()
    served = {"stuck": (stuck, "plain"), "other": (other, "plain")}
    document = configuration(1, ROUTES, limits=LIMITS)
    async with world(document, served) as running:  # type: ignore[arg-type]
        statistics = running.nodes[0].services.worker_statistics.get_or_create(stuck.worker_id)
        times: dict[int, list[float]] = {}
        before = resident_bytes_of(os.getpid())
        tasks, most, peak = [], 0, before
        for _ in range(calls):
            tasks.append(asyncio.create_task(_call(running, times)))
            await asyncio.sleep(gap)
            most = max(most, statistics.in_flight)
            peak = max(peak, resident_bytes_of(os.getpid()))
        await asyncio.gather(*tasks)
    print(f"most calls at the worker that reads nothing {most}")
    print(f"resident MB before {before / MEGABYTE:.1f} peak {peak / MEGABYTE:.1f}")
    for status, values in sorted(times.items()):
        print(f"status {status}: {len(values)} calls, p50 {sorted(values)[len(values) // 2]:.3f} s")


def main() -> None:
    """Play the calls that the command line asks for, and print what became of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=60)
    parser.add_argument("--gap", type=float, default=0.02)
    options = parser.parse_args()
    asyncio.run(_play(options.calls, options.gap))


if __name__ == "__main__":
    main()
