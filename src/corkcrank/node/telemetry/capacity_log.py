"""Tells in the log when a service gains or loses workers, and what that leaves."""

from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.machines.store_mirror import StoreMirror


class CapacityLog:
    """Remembers the usable workers of each service; one line for each change of their number."""

    def __init__(self, mirror: StoreMirror, log: DecisionLog) -> None:
        self._mirror = mirror
        self._log = log
        self._told: dict[str, int] = {}

    def note(self) -> None:
        """Compare the services in force with what was told last."""
        configuration = self._mirror.configuration
        if configuration is None or not self._mirror.workers_known:
            return
        for profile in configuration.services:
            workers = self._mirror.workers.usable(profile.name)
            before = self._told.get(profile.name)
            if before == len(workers):
                continue
            self._told[profile.name] = len(workers)
            stage = profile.stage
            self._log.write(
                LogEvent.CAPACITY_CHANGED,
                service=profile.name,
                workers=len(workers),
                before=before,
                slots=sum(worker.slots for worker in workers),
                pieces_a_second=round(len(workers) * stage.pieces_a_second, 1) if stage else None,
            )
