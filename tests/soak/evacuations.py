"""Fault in which a zone is evacuated and later restored, concurrently with other faults."""

import asyncio
import time

from soak.faults import Fault
from soak.fleet import ZONES, SoakFleet


async def evacuate(fleet: SoakFleet, fault: Fault) -> None:
    """Evacuate a zone for the fault's duration; evacuations of two zones may overlap."""
    zone = ZONES[int(fault.choice * len(ZONES))]
    evacuated = fleet.ledger.evacuated_since
    if zone in evacuated:
        return
    key = f"evacuate/{zone}"
    fleet.store.put("op", key, {})
    evacuated[zone] = time.monotonic()
    await asyncio.sleep(fault.seconds)
    del evacuated[zone]
    fleet.store.remove("op", key)
