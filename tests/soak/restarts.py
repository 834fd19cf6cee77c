"""Faults that stop and restart workers, and entries written by other writers."""

import asyncio
import json
from typing import Any

from soak.fleet import AnyWorker, SoakFleet
from soak.links import LinkTrouble

MAX_LEAVING_SECONDS = 12.0
LEAVING_SLACK_SECONDS = 1.5
CRASHED_ENTRY_SECONDS = 3.0
"""Time after which the entry of a silent worker expires: three of its heartbeats."""

SAME_ADDRESS_SHARE = 0.7
"""Share of the planned restarts that reuse the worker's address."""

VALID_ENTRY: dict[str, Any] = {
    "service": "plain",
    "address": "127.0.0.1:9",
    "zone": "z0",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 1,
    "born": 1,
}
FOREIGN_VALUES = (
    b"",
    b"\xff\xfe\x00\x01",
    b"[]",
    b'{"service": "plain", "address": "127.0.0.1:9"}',
    b'{"service":' + b"[" * 2_000,
    *(
        json.dumps({**VALID_ENTRY, name: value}).encode()
        for name, value in (
            ("state", "frob"),
            ("slots", -3),
            ("address", ""),
            ("address", "nowhere:80"),
            ("service", 7),
            ("zone", None),
            ("born", "yesterday"),
            ("born", 1.5),
            ("sequence", "many"),
            ("service", "that nobody names"),
        )
    ),
)


async def wait_until_left(fleet: SoakFleet, worker: AnyWorker) -> None:
    """Wait for the leaving bound, then until a leaving worker is idle, for at most 12 s."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(fleet.bounds.told_leaving + LEAVING_SLACK_SECONDS)
    deadline = loop.time() + MAX_LEAVING_SECONDS
    while worker.busy and loop.time() < deadline:
        await asyncio.sleep(0.05)


async def leave(fleet: SoakFleet, worker: AnyWorker, *, draining: bool, keep_link: bool) -> None:
    """Add a replacement, then remove a worker, with or without a draining state first."""
    fleet.claimed.add(worker.worker_id)
    await fleet.add_worker(worker.service, worker.zone)
    fleet.ledger.leaving_since[worker.worker_id] = asyncio.get_running_loop().time()
    if draining:
        fleet.store.put("servers", worker.worker_id, worker.entry("draining"))
    else:
        fleet.store.remove("servers", worker.worker_id)
    await wait_until_left(fleet, worker)
    if draining:
        fleet.store.remove("servers", worker.worker_id)
    await fleet.end_worker(worker, keep_link=keep_link)


async def crash_and_replace(fleet: SoakFleet, worker: AnyWorker) -> None:
    """Crash a worker and start another one at its address."""
    assert worker.link is not None
    fleet.ledger.disturbances.begin("workers")
    worker.link.trouble(LinkTrouble.RESET, 0.0)
    await fleet.end_worker(worker, keep_link=True)
    await asyncio.sleep(CRASHED_ENTRY_SECONDS)
    fleet.store.remove("servers", worker.worker_id)
    worker.link.mend()
    await fleet.add_worker(worker.service, worker.zone, worker.link)
    fleet.ledger.disturbances.end("workers")


async def restart_planned(fleet: SoakFleet, worker: AnyWorker, *, keep_link: bool) -> None:
    """Drain, stop and restart a worker."""
    fleet.ledger.leaving_since[worker.worker_id] = asyncio.get_running_loop().time()
    fleet.store.put("servers", worker.worker_id, worker.entry("draining"))
    await wait_until_left(fleet, worker)
    await fleet.end_worker(worker, keep_link=True)
    del fleet.ledger.leaving_since[worker.worker_id]
    await fleet.restart_worker(worker, keep_link=keep_link)


async def crash_and_restart(fleet: SoakFleet, worker: AnyWorker, seconds: float) -> None:
    """Crash a worker and restart it, before or after its store entry has expired."""
    assert worker.link is not None
    fleet.ledger.disturbances.begin("workers")
    worker.link.trouble(LinkTrouble.RESET, 0.0)
    await fleet.end_worker(worker, keep_link=True)
    await asyncio.sleep(min(seconds, CRASHED_ENTRY_SECONDS))
    if seconds > CRASHED_ENTRY_SECONDS:
        fleet.store.remove("servers", worker.worker_id)
        await asyncio.sleep(seconds - CRASHED_ENTRY_SECONDS)
    worker.link.mend()
    await fleet.restart_worker(worker, keep_link=True)
    fleet.ledger.disturbances.end("workers")


async def write_foreign_entries(
    fleet: SoakFleet, worker: AnyWorker, choice: float, seconds: float
) -> None:
    """Overwrite a worker's entry for a time, and add a separate entry that stays.

    The worker rewrites its entry afterwards. Until then it may receive no new work.
    """
    value = FOREIGN_VALUES[int(choice * len(FOREIGN_VALUES))]
    fleet.ledger.leaving_since[worker.worker_id] = asyncio.get_running_loop().time()
    fleet.store.put("servers", worker.worker_id, value)
    fleet.store.put("servers", f"i-foreign-{int(choice * len(FOREIGN_VALUES))}", value)
    await asyncio.sleep(seconds)
    del fleet.ledger.leaving_since[worker.worker_id]
    if worker in fleet.workers:
        fleet.store.put("servers", worker.worker_id, worker.entry())
    else:
        fleet.store.remove("servers", worker.worker_id)
