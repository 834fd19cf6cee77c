"""Computes the rate limits of workers, from their warm-ups and from their response headers."""

from collections.abc import Collection

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.scheduling.rate_limits import (
    MAX_WAIT_SECONDS,
    GrantLog,
    LocalSlots,
    RateLimit,
    limits_for_stated_rate,
)
from corkcrank.scheduling.stated_limits import StatedLimits

GRANT_RETENTION_SECONDS = 60.0
"""Time for which the grants of a limited worker are kept after its last one."""


class WorkerLimits:
    """Combines the warm-ups in worker entries, the configured rates and the limits workers state.

    As an owner, this gateway counts two things for a limited worker: the calls that it allowed to
    begin, and those that it allowed to be sent. The stages of a call between the two take time
    that varies, so calls that began apart could otherwise be sent together.
    """

    def __init__(self, mirror: StoreMirror, fleet: Fleet, stated: StatedLimits) -> None:
        self._mirror = mirror
        self._stated = stated
        self._fleet = fleet
        self._slots = LocalSlots(fleet.local_name)
        self._begun = GrantLog()
        self._sent = GrantLog()

    def limits(self, worker: WorkerRecord, now: float) -> tuple[RateLimit, ...]:
        """Return all limits in force for a worker; most workers have none."""
        warmup = self.warmup_rate(worker, now)
        named = None if self._stated.empty else self._stated.rate(worker.worker_id, now)
        if named is None:
            return () if warmup is None else (RateLimit(warmup),)
        if warmup is None:
            return limits_for_stated_rate(named)
        return RateLimit(warmup), *limits_for_stated_rate(named)

    def rate(self, worker: WorkerRecord, now: float) -> float | None:
        """Return the lowest limit of a worker in requests a second, ``None`` without a limit."""
        return min((limit.rate for limit in self.limits(worker, now)), default=None)

    def interval(self, worker: WorkerRecord, now: float) -> float:
        """Return the minimum seconds between two requests to a worker, 0 without a limit."""
        rate = self.rate(worker, now)
        if rate is None:
            return 0.0
        return min(1.0 / rate, MAX_WAIT_SECONDS) if rate > 0 else MAX_WAIT_SECONDS

    def warmup_rate(self, worker: WorkerRecord, now: float) -> float | None:
        """Return the limit of a worker that is warming up, ``None`` if it is not."""
        if not self._mirror.warming.any_warming(now):
            return None
        profile = self._mirror.profile(worker.service)
        if profile is None or profile.warmup_rate <= 0:
            return None
        if not self._mirror.warming.is_warming(worker, profile.warmup_seconds, now):
            return None
        return profile.warmup_rate

    def seconds_until_grant(
        self, worker: WorkerRecord, now: float, *, begins: bool = False
    ) -> float:
        """Return after how many seconds this gateway, as owner, may grant a worker one more call.

        ``begins`` selects the grants of calls that begin instead of those that are sent.
        """
        limits = self.limits(worker, now)
        log = self._begun if begins else self._sent
        return log.seconds_until_fit(worker.worker_id, limits, now) if limits else 0.0

    def record_grant(self, worker: WorkerRecord, now: float, *, begins: bool = False) -> None:
        """Record that this gateway, as owner, granted a request to a worker."""
        limits = self.limits(worker, now)
        if limits:
            log = self._begun if begins else self._sent
            log.record_grant(worker.worker_id, now, max(limit.window for limit in limits))
            log.remove_idle_since(now - GRANT_RETENTION_SECONDS)

    def may_send(self, worker: WorkerRecord, now: float) -> bool:
        """Return whether the local send slots allow a request to a worker without a grant."""
        rate = self.rate(worker, now)
        if rate is None:
            return True
        return self._slots.is_open(worker.worker_id, rate, self._fleet.known_member_count(), now)

    def record_sent(self, worker: WorkerRecord, now: float) -> None:
        """Record that a request is sent to a worker without a grant of the owner."""
        rate = self.rate(worker, now)
        if rate is not None:
            self._slots.record_use(worker.worker_id, rate, self._fleet.known_member_count(), now)

    def limited(self, workers: Collection[WorkerRecord], now: float) -> list[WorkerRecord]:
        """Return the workers among those given that have a limit."""
        if self._stated.empty and not self._mirror.warming.any_warming(now):
            return []
        return [worker for worker in workers if self.limits(worker, now)]

    def warming(self, now: float) -> list[WorkerRecord]:
        """Return all workers that are limited by a warm-up."""
        records = self._mirror.workers.records()
        return [worker for worker in records if self.warmup_rate(worker, now) is not None]
