"""Logs each change in the number of a service's usable workers, with the remaining capacity."""

from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.machines.store_mirror import StoreMirror


class CapacityLog:
    """Writes one log line for each change in the number of a service's usable workers."""

    def __init__(self, mirror: StoreMirror, log: DecisionLog) -> None:
        self._mirror = mirror
        self._log = log
        self._logged_counts: dict[str, int] = {}

    def log_changes(self) -> None:
        """Compare the configured services with the numbers logged last, and log differences."""
        configuration = self._mirror.configuration
        if configuration is None or not self._mirror.workers_known:
            return
        for profile in configuration.services:
            workers = self._mirror.workers.usable_workers(profile.name)
            before = self._logged_counts.get(profile.name)
            if before == len(workers):
                continue
            self._logged_counts[profile.name] = len(workers)
            stage = profile.stage
            self._log.write(
                LogEvent.CAPACITY_CHANGED,
                service=profile.name,
                workers=len(workers),
                before=before,
                slots=sum(worker.slots for worker in workers),
                pieces_a_second=round(len(workers) * stage.pieces_a_second, 1) if stage else None,
            )
