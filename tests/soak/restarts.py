"""How workers end and start again, and entries that other writers leave."""

import asyncio
import json
from typing import Any

from soak.fleet import AnyWorker, SoakFleet
from soak.links import LinkTrouble

LEAVING_LONGEST_SECONDS = 12.0
LEAVING_SLACK_SECONDS = 1.5
CRASHED_ENTRY_SECONDS = 3.0
"""Time after which the entry of a worker that says nothing goes: three of its heartbeats."""

SAME_PLACE_SHARE = 0.7
"""Part of the planned restarts at the address that the worker had."""

WHOLE_ENTRY: dict[str, Any] = {
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
        json.dumps({**WHOLE_ENTRY, name: value}).encode()
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


async def finish_leaving(fleet: SoakFleet, worker: AnyWorker) -> None:
    """Have a worker that leaves serve on as long as it must, and a while for what it runs."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(fleet.bounds.told_leaving + LEAVING_SLACK_SECONDS)
    give_up_at = loop.time() + LEAVING_LONGEST_SECONDS
    while worker.busy and loop.time() < give_up_at:
        await asyncio.sleep(0.05)


async def leave(fleet: SoakFleet, worker: AnyWorker, *, draining: bool, keep_link: bool) -> None:
    """Have a worker leave, with or without a word, once another one has come."""
    fleet.claimed.add(worker.worker_id)
    await fleet.add_worker(worker.service, worker.zone)
    fleet.ledger.leaving_since[worker.worker_id] = asyncio.get_running_loop().time()
    if draining:
        fleet.store.put("servers", worker.worker_id, worker.entry("draining"))
    else:
        fleet.store.remove("servers", worker.worker_id)
    await finish_leaving(fleet, worker)
    if draining:
        fleet.store.remove("servers", worker.worker_id)
    await fleet.end_worker(worker, keep_link=keep_link)


async def crash_and_replace(fleet: SoakFleet, worker: AnyWorker) -> None:
    """Have a worker crash, and another one start at its address."""
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
    """Have a worker drain, end and start again."""
    fleet.ledger.leaving_since[worker.worker_id] = asyncio.get_running_loop().time()
    fleet.store.put("servers", worker.worker_id, worker.entry("draining"))
    await finish_leaving(fleet, worker)
    await fleet.end_worker(worker, keep_link=True)
    del fleet.ledger.leaving_since[worker.worker_id]
    await fleet.start_again(worker, keep_link=keep_link)


async def crash_and_restart(fleet: SoakFleet, worker: AnyWorker, seconds: float) -> None:
    """Have a worker crash and start again after a time, with its entry there or lapsed."""
    assert worker.link is not None
    fleet.ledger.disturbances.begin("workers")
    worker.link.trouble(LinkTrouble.RESET, 0.0)
    await fleet.end_worker(worker, keep_link=True)
    await asyncio.sleep(min(seconds, CRASHED_ENTRY_SECONDS))
    if seconds > CRASHED_ENTRY_SECONDS:
        fleet.store.remove("servers", worker.worker_id)
        await asyncio.sleep(seconds - CRASHED_ENTRY_SECONDS)
    worker.link.mend()
    await fleet.start_again(worker, keep_link=True)
    fleet.ledger.disturbances.end("workers")


async def write_foreign_entries(
    fleet: SoakFleet, worker: AnyWorker, choice: float, seconds: float
) -> None:
    """Write over a worker's entry for a time, and leave another entry of its own for good.

    The worker writes its own entry again after that. Until then it may get no new work.
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
