"""Checks that nodes close silent connections in time, as seen by the fault links."""

import asyncio
import time
from collections.abc import Iterator

from soak.disturbances import MACHINE
from soak.fleet import SoakFleet
from soak.links import FaultLink

POLL_SECONDS = 0.25


class SilenceWatch:
    """Periodic check of every link whose clients are nodes."""

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet

    async def run(self) -> None:
        """Poll the links until cancelled; record each late link once."""
        reported: set[str] = set()
        while True:
            for name, link, bound in self._links():
                waited = link.longest_silent_wait()
                late = waited - bound - self._fleet.ledger.loop_lag
                if late > 0 and name not in reported and not self._was_disturbed(bound):
                    reported.add(name)
                    self._fleet.ledger.violate("silence", f"{name}: {late:.2f} s too late")
            await asyncio.sleep(POLL_SECONDS)

    def _links(self) -> Iterator[tuple[str, FaultLink, float]]:
        bounds = self._fleet.bounds
        for node in self._fleet.nodes:
            yield f"store of {node.name}", node.store, bounds.silent_store
            yield f"peers of {node.name}", node.peers, bounds.silent_peer
        for worker in self._fleet.workers:
            if worker.link is not None:
                yield f"worker {worker.worker_id}", worker.link, bounds.silent_worker

    def _was_disturbed(self, bound: float) -> bool:
        """Return whether the machine or any node was disturbed within the bound."""
        since = time.monotonic() - bound
        parts = (MACHINE, *(node.name for node in self._fleet.nodes))
        return any(self._fleet.ledger.disturbances.disturbed_since(part, since) for part in parts)
