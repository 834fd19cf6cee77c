"""Records for how long the node processes were ready to run without a core of the machine."""

import asyncio
import time
from collections import deque
from dataclasses import dataclass
from pathlib import Path

from soak.fleet import SoakFleet

SAMPLE_SECONDS = 0.1
MIN_WAIT_SECONDS = 0.1
"""Shorter waits between two samples are not recorded."""

MAX_WAITS = 500
NANOSECONDS = 1e9


@dataclass(frozen=True, slots=True)
class CoreWait:
    """A wait of a node's main thread for a core; it ended before ``ended_at`` of the soak."""

    node: str
    ended_at: float
    seconds: float

    def __str__(self) -> str:
        """Return a one-line description."""
        return f"{self.ended_at:7.2f} s {self.node} waited {self.seconds:.2f} s for a core"


class CoreWaits:
    """Samples of the kernel's counts for the nodes of a soak; a stopped process does not wait."""

    def __init__(self, fleet: SoakFleet) -> None:
        self.waits: deque[CoreWait] = deque(maxlen=MAX_WAITS)
        self.longest = 0.0
        self._fleet = fleet
        self._began_at = time.monotonic()
        self._before: dict[tuple[str, int], float] = {}

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            for node in self._fleet.nodes:
                self._sample(node.name)
            await asyncio.sleep(SAMPLE_SECONDS)

    def _sample(self, node: str) -> None:
        process = self._fleet.processes.processes.get(node)
        waited = core_wait_seconds(process.pid) if process is not None else None
        if process is None or waited is None:
            return
        since = waited - self._before.get((node, process.pid), waited)
        self._before[node, process.pid] = waited
        self.longest = max(self.longest, since)
        if since >= MIN_WAIT_SECONDS:
            ended_at = time.monotonic() - self._began_at
            self.waits.append(CoreWait(node, ended_at, since))


def core_wait_seconds(pid: int) -> float | None:
    """Return how long a process has waited for a core, ``None`` where the kernel does not tell."""
    try:
        _, waited, _ = Path(f"/proc/{pid}/schedstat").read_text(encoding="ascii").split()
    except (OSError, ValueError):
        return None
    return int(waited) / NANOSECONDS
