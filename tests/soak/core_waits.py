"""Measures for how long processes had no core, as the kernel tells of each.

A process that is ready to run while others of the machine have all cores can do nothing. Whatever
it waits for or computes by itself is no such time.
"""

import time
from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path

KEPT_SECONDS = 15.0
"""Time for which samples are kept; it exceeds the time limits of connections."""

NANOSECONDS = 1e9


@dataclass(frozen=True, slots=True)
class CoreUse:
    """For how long a process has run and has waited for a core since its start, in seconds.

    The kernel adds a wait when it ends.
    """

    at: float
    ran: float
    waited: float


def read_core_use(process_id: int) -> CoreUse | None:
    """Return the use of the main thread of a process, ``None`` if the kernel does not tell."""
    try:
        fields = Path(f"/proc/{process_id}/schedstat").read_text(encoding="ascii").split()
    except OSError:
        return None
    ran, waited = (int(field) / NANOSECONDS for field in fields[:2])
    return CoreUse(time.monotonic(), ran, waited)


class CoreWaits:
    """Samples of the core use of running processes; ``process_ids`` returns which they are."""

    def __init__(self, process_ids: Callable[[], Collection[int]]) -> None:
        self._process_ids = process_ids
        self._samples: dict[int, deque[CoreUse]] = {}

    def sample(self) -> None:
        """Sample all running processes once."""
        for process_id in self._process_ids():
            use = read_core_use(process_id)
            if use is not None:
                self.record(process_id, use)

    def record(self, process_id: int, use: CoreUse) -> None:
        """Record one sample of a process."""
        samples = self._samples.setdefault(process_id, deque())
        samples.append(use)
        while samples[0].at < use.at - KEPT_SECONDS:
            samples.popleft()

    def ran_at(self, process_id: int, moment: float) -> float | None:
        """Return a time after ``moment`` by which a process has run again, if it has.

        ``moment`` itself stands for a process that has ended or was never sampled.
        """
        if process_id not in self._process_ids() or process_id not in self._samples:
            return moment
        later = [use for use in self._samples[process_id] if use.at >= moment]
        return next((use.at for use in later if use.ran > later[0].ran), None)

    def waited_between(self, process_id: int, begin: float, end: float) -> float:
        """Return for how long a process had no core between two times."""
        within = [use for use in self._samples.get(process_id, ()) if begin <= use.at <= end]
        # A wait that ends in a step may have begun before ``begin``.
        return sum(
            min(later.waited - use.waited, later.at - begin) for use, later in pairwise(within)
        )
