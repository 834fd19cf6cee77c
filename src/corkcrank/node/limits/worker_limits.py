"""Computes the rate limits of workers, from their warm-ups and from their response headers."""

from collections.abc import Callable, Collection

from corkcrank.contracts import clock
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.node.peers.peer_protocol import LeaseRelease
from corkcrank.scheduling.concurrency_caps import CapLimits, ConcurrencyCaps
from corkcrank.scheduling.rate_limits import (
    MAX_WAIT_SECONDS,
    GrantLog,
    LocalSlots,
    RateLimit,
    limits_for_stated_rate,
)
from corkcrank.scheduling.stated_limits import StatedLimits
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable

GRANT_RETENTION_SECONDS = 60.0
"""Time for which the grants of a limited worker are kept after its last one."""


class WorkerLimits:
    """Combines the warm-ups in worker entries, the configured rates and the limits workers state.

    As an owner, this gateway counts two numbers for a limited worker: calls that it allowed to
    begin, and calls that it allowed to be sent. The duration of the stages in between varies, so
    calls that began at different times could otherwise be sent at the same time. For a brittle
    worker it holds leases of the calls in progress. ``on_release`` is called when a lease is
    released.
    """

    def __init__(
        self,
        mirror: StoreMirror,
        fleet: Fleet,
        stated: StatedLimits,
        brittleness: StatedLimits,
        worker_statistics: WorkerStatisticsTable,
    ) -> None:
        self._mirror = mirror
        self._stated = stated
        self._brittleness = brittleness
        self._worker_statistics = worker_statistics
        self.caps = ConcurrencyCaps()
        self.on_release: Callable[[], None] = lambda: None
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

    def cap_limits(self, worker: WorkerRecord, now: float) -> CapLimits | None:
        """Return the limits of calls in progress at a worker, ``None`` if it is not brittle."""
        if self._brittleness.empty:
            return None
        tolerated = self._brittleness.rate(worker.worker_id, now)
        return None if tolerated is None else CapLimits(worker.slots, tolerated)

    def seconds_until_grant(
        self, worker: WorkerRecord, now: float, *, begins: bool = False
    ) -> float:
        """Return the seconds until this gateway, as owner, may grant a worker one more call.

        ``begins`` selects the grants of calls that begin instead of calls that are sent.
        """
        limits = self.limits(worker, now)
        log = self._begun if begins else self._sent
        wait = log.seconds_until_fit(worker.worker_id, limits, now) if limits else 0.0
        cap_limits = self.cap_limits(worker, now)
        if cap_limits is None:
            return wait
        calls = self._reported_calls(worker.worker_id)
        place = self.caps.seconds_until_place(worker.worker_id, cap_limits, calls, now)
        return max(wait, place)

    def _reported_calls(self, worker_id: str) -> int:
        """Return the calls that this gateway and its peers report at a worker."""
        statistics = self._worker_statistics.get_or_create(worker_id)
        return statistics.in_flight + statistics.peers_in_flight

    def grant_lease(self, worker: WorkerRecord, call_id: str, seconds: float, now: float) -> bool:
        """Record the lease of a granted call at a brittle worker; return whether it is brittle.

        The lease expires after ``seconds``. The requester must release it when the call ends.
        """
        cap_limits = self.cap_limits(worker, now)
        if cap_limits is None:
            self.caps.remove(worker.worker_id)
            return False
        self.caps.record_lease(worker.worker_id, cap_limits, call_id, seconds, now)
        return True

    def release_lease(self, message: LeaseRelease) -> None:
        """Release the lease of a call that has ended or was rejected by its worker.

        The lease of an abandoned call without an answer counts for a further rejection window.
        """
        now = clock.now()
        if message.unanswered:
            self.caps.release_unanswered(message.worker_id, message.call_id, now)
            return
        self.caps.release(
            message.worker_id,
            message.call_id,
            self._reported_calls(message.worker_id),
            rejected=message.rejected,
            now=now,
        )
        self.on_release()

    def call_rate(self, worker: WorkerRecord, now: float) -> float:
        """Return the estimated number of calls per second that a limited worker accepts."""
        rate = self.rate(worker, now)
        if self.cap_limits(worker, now) is None:
            return rate or 0.0
        places = self.caps.rate(worker.worker_id, worker.slots)
        return places if rate is None else min(rate, places)

    def record_grant(self, worker: WorkerRecord, now: float, *, begins: bool = False) -> None:
        """Record that this gateway, as owner, granted a request to a worker."""
        limits = self.limits(worker, now)
        if limits:
            log = self._begun if begins else self._sent
            log.record_grant(worker.worker_id, now, max(limit.window for limit in limits))
            log.remove_idle_since(now - GRANT_RETENTION_SECONDS)

    def may_send(self, worker: WorkerRecord, now: float) -> bool:
        """Return whether a request may be sent to a worker without a grant of the owner.

        For a brittle worker this gateway must have no call in progress there.
        """
        if self.cap_limits(worker, now) is not None:
            return not self._worker_statistics.get_or_create(worker.worker_id).in_flight
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
        """Return the workers with a limit."""
        unlimited = self._stated.empty and self._brittleness.empty
        if unlimited and not self._mirror.warming.any_warming(now):
            return []
        return [
            worker
            for worker in workers
            if self.limits(worker, now) or self.cap_limits(worker, now) is not None
        ]

    def retain_only(self, worker_ids: Collection[str]) -> None:
        """Remove the caps of workers that are no longer listed."""
        for worker_id in set(self.caps.worker_ids()) - set(worker_ids):
            self.caps.remove(worker_id)

    def warming(self, now: float) -> list[WorkerRecord]:
        """Return all workers that are limited by a warm-up."""
        records = self._mirror.workers.records()
        return [worker for worker in records if self.warmup_rate(worker, now) is not None]
