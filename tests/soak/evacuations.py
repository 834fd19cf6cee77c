"""Zones that are emptied and taken back, beside whatever else happens."""

import asyncio
import time

from soak.fleet import ZONES, SoakFleet
from soak.schedule import Fault


async def evacuate(fleet: SoakFleet, fault: Fault) -> None:
    """Evacuate a zone for a while; now and then another one is evacuated meanwhile."""
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
