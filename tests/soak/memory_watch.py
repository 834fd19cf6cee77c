"""Checks the memory of the node processes while a soak runs."""

import asyncio

from corkcrank.load.process_usage import resident_bytes_of
from soak.fleet import MEMORY_MB, SoakFleet

POLL_SECONDS = 0.1
MAX_MEMORY_SHARE = 0.6
"""Share of a node's memory that it may use at any time."""


class MemoryWatch:
    """Periodic check of every node process; ``largest_bytes`` is the largest size seen."""

    def __init__(self, fleet: SoakFleet) -> None:
        self.largest_bytes = 0
        self._fleet = fleet

    async def run(self) -> None:
        """Poll until cancelled; record each process that is too large once."""
        bound = int(MAX_MEMORY_SHARE * MEMORY_MB) << 20
        reported: set[int] = set()
        while True:
            for name, process in self._fleet.processes.processes.items():
                if process.poll() is not None:
                    continue
                size = resident_bytes_of(process.pid)
                self.largest_bytes = max(self.largest_bytes, size)
                if size > bound and process.pid not in reported:
                    reported.add(process.pid)
                    self._fleet.ledger.violate("memory", f"{name} has {size >> 20} MiB")
            await asyncio.sleep(POLL_SECONDS)
