"""Which workers are warming up, and whether one of them may be sent a request."""

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.scheduling.warmup_limits import LocalSlots


class WorkerWarmup:
    """Joins what entries tell of warm-ups with what the configuration says that one bears."""

    def __init__(self, mirror: StoreMirror, fleet: Fleet) -> None:
        self._mirror = mirror
        self._fleet = fleet
        self._slots = LocalSlots(fleet.own_name)

    def rate(self, worker: WorkerRecord, now: float) -> float | None:
        """Return the requests a second that a warming worker bears, ``None`` without a limit."""
        if not self._mirror.warming.any(now):
            return None
        configuration = self._mirror.configuration
        profile = configuration.service(worker.service) if configuration is not None else None
        if profile is None or profile.warmup_rate <= 0:
            return None
        if not self._mirror.warming.is_warming(worker, profile.warmup_seconds, now):
            return None
        return profile.warmup_rate

    def may_send(self, worker: WorkerRecord, now: float) -> bool:
        """Return whether a worker may be sent a request that no owner has granted."""
        rate = self.rate(worker, now)
        if rate is None:
            return True
        return self._slots.open(worker.worker_id, rate, self._fleet.known_members(), now)

    def note_sent(self, worker: WorkerRecord, now: float) -> None:
        """Take that a request goes to a worker that no owner has granted."""
        rate = self.rate(worker, now)
        if rate is not None:
            self._slots.note(worker.worker_id, rate, self._fleet.known_members(), now)

    def warming(self, now: float) -> list[WorkerRecord]:
        """Return the workers that are limited now."""
        records = self._mirror.workers.records()
        return [worker for worker in records if self.rate(worker, now) is not None]
