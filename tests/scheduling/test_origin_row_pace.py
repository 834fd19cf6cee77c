"""Origins of streams reach the store soon after the first event, within the calls that it takes.

Guards against streams that are refused after a loss of power because they began shortly before it:
their origins waited for the next write, although none had been made for long.
"""

import asyncio
import random
from collections.abc import Sequence
from statistics import mean
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from prompt_zone import play

from corkcrank.contracts import clock
from corkcrank.contracts.stream_origin import StreamOrigin
from corkcrank.links.platform_ports import StoreRows
from corkcrank.node.origins.origin_rows import PACE, OriginRow, OriginRows
from corkcrank.scheduling.stream_origins import StreamOrigins

STORE_SECONDS = 0.005
"""Time of a call to the store."""

SECONDS = 20.0
"""Length of a play."""

MAX_MEAN_SECONDS = 0.075
"""Maximum mean wait in a small fleet: half of what the store allows between two writes of one."""

KEPT_SECONDS = 60.0
"""Time for which origins are kept, longer than a play."""


class TimedStore:
    """Takes the row of one gateway, and records when each stream was first in it."""

    def __init__(self) -> None:
        self.calls = 0
        self.written_at: dict[bytes, float] = {}

    async def read(self, table: str, key: str) -> StoreRows:
        return StoreRows((), clock.now())

    async def put(self, table: str, key: str, value: bytes) -> None:
        self.calls += 1
        await asyncio.sleep(STORE_SECONDS)
        row = msgspec.msgpack.decode(value, type=OriginRow)
        for group in row.groups:
            for at in range(0, len(group.keys), 8):
                self.written_at.setdefault(group.keys[at : at + 8], clock.now())


async def write_streams(
    gateways: int, pauses: Sequence[float], *, several: bool = True
) -> tuple[TimedStore, list[float]]:
    """Begin a stream after each pause; return the store, and how long each was not in it."""
    store, origins = TimedStore(), StreamOrigins()
    fleet: Any = SimpleNamespace(local_name="g", live_members=lambda now: [None] * (gateways - 1))
    software: Any = SimpleNamespace(
        store_time=lambda now: now,
        any_several=lambda now: several,
        has_several=lambda service, now: several,
    )
    rows = OriginRows(fleet, store, SimpleNamespace(), origins, software)  # type: ignore[arg-type]
    task = asyncio.create_task(rows.keep_row_current())
    began_at: dict[bytes, float] = {}
    for number, pause in enumerate(pauses):
        await asyncio.sleep(pause)
        key = number.to_bytes(8, "big")
        began_at[key] = clock.now()
        origins.record(key, StreamOrigin("s", "v1"), KEPT_SECONDS, clock.now())
        rows.add(key)
    await asyncio.sleep(2.0 * gateways / PACE.max_writes_per_second + 1.0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return store, [store.written_at[key] - at for key, at in began_at.items() if several]


def random_pauses(per_second: float, seed: int) -> list[float]:
    source = random.Random(seed)
    return [source.expovariate(per_second) for _ in range(round(SECONDS * per_second))]


@pytest.mark.parametrize("gateways", [1, 6, 62, 350])
def test_a_stream_that_begins_after_a_quiet_time_is_written_at_once(
    gateways: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    quiet = 2.0 * gateways / PACE.max_writes_per_second + 0.91
    pauses = [quiet + 0.013 * number for number in range(20)]
    _, waits = play(write_streams(gateways, pauses), monkeypatch)
    assert max(waits) <= 2.0 * STORE_SECONDS


@pytest.mark.parametrize("seed", [1, 2])
def test_streams_of_a_small_fleet_wait_for_little_of_an_interval(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    _, waits = play(write_streams(6, random_pauses(6.0, seed)), monkeypatch)
    assert mean(waits) <= MAX_MEAN_SECONDS
    assert max(waits) <= 2.0 * MAX_MEAN_SECONDS + 3.0 * STORE_SECONDS


@pytest.mark.parametrize("gateways", [6, 62, 350])
def test_all_gateways_together_stay_within_the_writes_of_the_store(
    gateways: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    pauses = random_pauses(50.0, seed=1)
    store, _ = play(write_streams(gateways, pauses), monkeypatch)
    assert store.calls * gateways <= PACE.max_writes_per_second * (sum(pauses) + 1.0) + 2 * gateways


def test_streams_of_one_version_cost_no_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    pauses = random_pauses(6.0, seed=1)
    store, _ = play(write_streams(6, pauses, several=False), monkeypatch)
    assert store.calls == 0
