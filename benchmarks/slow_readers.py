"""Measures what one gateway keeps for callers that stop reading long streams.

Run with ``python benchmarks/slow_readers.py``. The engine and the callers run in a process of
their own, so that the resident memory is that of the gateway.
"""

import argparse
import asyncio
import gc
import multiprocessing
import os
import sys
import time
from dataclasses import dataclass
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

sys.path.insert(0, str(Path(__file__).parents[1] / "tests" / "platform"))

from node_world import HOST, KEY, World, configuration, route, world
from platform_standins import StandinWorker
from slow_callers import EndlessEngine, stalled_caller

from corkcrank.contracts.node_settings import NodeLimitSettings
from corkcrank.load.process_usage import resident_bytes_of

MEGABYTE = 2**20
SAMPLE_SECONDS = 0.25
ROUTES = [
    route("talk", "stream", "model", timeout_ms=20_000),
    route("once", "unsafe", "plain"),
]


@dataclass(frozen=True)
class Play:
    """Number of callers that do not read, memory setting in MiB, and the length of the play."""

    callers: int
    memory_mb: float
    seconds: float


async def _serve_engine(pipe: Connection) -> None:
    engine = EndlessEngine()
    await engine.server.start()
    pipe.send(engine.entry("model"))
    pipe.send(engine.worker_id)
    address, count = await asyncio.to_thread(pipe.recv)
    host, port = address.rsplit(":", 1)
    held = [await stalled_caller(host, int(port), "/talk/x", HOST, KEY) for _ in range(count)]
    await asyncio.to_thread(pipe.recv)
    for connection in held:
        connection.close()


def _run_engine(pipe: Connection) -> None:
    asyncio.run(_serve_engine(pipe))


class _OtherProcess(StandinWorker):
    """A worker whose server runs in another process."""

    told_entry: dict[str, Any]

    def entry(self, service: str, zone: str = "z1", state: str = "ready") -> dict[str, Any]:
        return self.told_entry


async def _call_beside(running: World, times: list[float], until: float) -> None:
    while time.perf_counter() < until:
        started = time.perf_counter()
        response = await running.call("/once/x", data=b"x" * 800)
        await response.read()
        times.append(time.perf_counter() - started)
        await asyncio.sleep(0.02)


async def _play(play: Play, buffers: bool) -> None:
    here, there = multiprocessing.Pipe()
    child = multiprocessing.get_context("spawn").Process(target=_run_engine, args=(there,))
    child.start()
    engine = _OtherProcess()
    engine.told_entry = await asyncio.to_thread(here.recv)
    engine.worker_id = await asyncio.to_thread(here.recv)
    served = {"model": (engine, "model"), "plain": (StandinWorker(), "plain")}
    async with world(configuration(1, ROUTES), served) as running:
        node = running.nodes[0]
        limits = NodeLimitSettings(memory_mb=play.memory_mb)
        node.apply_settings(_with_limits(node._settings, limits))
        times: list[float] = []
        await _call_beside(running, [], time.perf_counter() + 1.0)
        await _call_beside(running, times, time.perf_counter() + 2.0)
        before, alone = resident_bytes_of(os.getpid()), sorted(times)
        times.clear()
        here.send((running.address(), play.callers))
        end = time.perf_counter() + play.seconds
        beside = asyncio.create_task(_call_beside(running, times, end))
        peak, unsent, open_most, kernel, arrived = 0, 0, 0, 0, 0
        while time.perf_counter() < end:
            await asyncio.sleep(SAMPLE_SECONDS)
            peak = max(peak, resident_bytes_of(os.getpid()))
            connections = node.callers.connections()
            kernel = max(kernel, _kernel_bytes())
            if buffers:
                arrived = max(arrived, _upstream_bytes())
            unsent = max(unsent, sum(item.unsent_bytes for item in connections))
            open_most = max(open_most, node.callers.in_flight)
        await beside
        print(f"most calls in flight {open_most}")
        print(f"resident MB before {before / MEGABYTE:.1f} peak {peak / MEGABYTE:.1f}")
        print(f"transport write buffers MB {unsent / MEGABYTE:.1f}")
        if buffers:
            print(f"upstream read buffers MB {arrived / MEGABYTE:.1f}")
        print(f"kernel send+receive queues MB {kernel / MEGABYTE:.1f}")
        for name, values in (("alone", alone), ("beside", sorted(times))):
            p50, p99 = values[len(values) // 2], values[int(len(values) * 0.99)]
            print(f"calls {name}: {len(values)}, p50 {p50 * 1e3:.1f} ms, p99 {p99 * 1e3:.1f} ms")
        sys.stdout.flush()
        here.send("end")
    child.join(5.0)


def _upstream_bytes() -> int:
    """Return the bytes in the read buffers of aiohttp, for callers and workers."""
    readers = [item for item in gc.get_objects() if type(item) is aiohttp.StreamReader]
    return sum(reader._size for reader in readers)


def _with_limits(settings: Any, limits: NodeLimitSettings) -> Any:
    return msgspec.structs.replace(settings, limits=limits)


def _kernel_bytes() -> int:
    """Return the bytes in the queues of this process's TCP sockets."""
    inodes = set()
    for entry in Path("/proc/self/fd").iterdir():
        try:
            inodes.add(os.readlink(entry))
        except OSError:
            continue
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if f"socket:[{fields[9]}]" in inodes:
            sent, received = fields[4].split(":")
            total += int(sent, 16) + int(received, 16)
    return total


def main() -> None:
    """Play the callers that the command line asks for, and print what was kept."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--callers", type=int, default=300)
    parser.add_argument("--memory-mb", type=float, default=160.0)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--buffers", action="store_true", help="add up read buffers, which is slow")
    options = parser.parse_args()
    play = Play(options.callers, options.memory_mb, options.seconds)
    asyncio.run(_play(play, options.buffers))


if __name__ == "__main__":
    main()
