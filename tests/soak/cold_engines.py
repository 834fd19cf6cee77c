"""Fault in which running engines become cold: the engines of one zone, or all of them."""

import asyncio
import time

from soak.faults import Fault
from soak.fleet import ZONES, SoakFleet
from soak.workers import SoakWorker


async def turn_cold(fleet: SoakFleet, fault: Fault) -> None:
    """Make the engines of one zone, or sometimes all engines, cold for the fault's duration."""
    zone = ZONES[int(fault.choice * len(ZONES))]
    everywhere = fault.strength < 1.0 / len(ZONES)
    engines = [
        worker
        for worker in fleet.workers_of(["model"])
        if isinstance(worker, SoakWorker) and (everywhere or worker.zone == zone)
    ]
    for engine in engines:
        engine.cold.begin(time.monotonic() + fault.seconds)
        fleet.store.put("servers", engine.worker_id, engine.entry())
    await asyncio.sleep(fault.seconds)
    for engine in engines:
        if engine in fleet.workers_of(["model"]):
            fleet.store.put("servers", engine.worker_id, engine.entry())
