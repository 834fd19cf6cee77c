"""The queues of stage workers, held by the gateway that owns their pool."""

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from corkcrank.contracts.opaque_configuration import ServiceProfile
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.machines.worker_pools import pool_for_worker
from corkcrank.node.limits.worker_limits import WorkerLimits
from corkcrank.node.peers.peer_protocol import StageWork
from corkcrank.node.stages.stage_room import WorkerRoom
from corkcrank.node.workers.worker_availability import WorkerAvailability
from corkcrank.node.workers.worker_request import SendTrouble
from corkcrank.scheduling.batch_filling import StageItem
from corkcrank.scheduling.stage_queue import QueueForecast, StageCall, StageQueue
from corkcrank.scheduling.work_stealing import pieces_to_steal
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable
from corkcrank.scheduling.worker_pace import WorkerPaces

AVOID_SECONDS = 1.5
"""Time for which a worker is avoided after a failed call."""

FULL_BLOCK_SECONDS = 0.08
"""Pause after a full worker rejected a call, because another owner sends to it too."""

BRITTLE_BLOCK_SECONDS = 1.0
"""Pause after a brittle worker rejected a call: the window in which it counts rejections."""

MAX_LIMIT_BLOCK_SECONDS = 1.0
"""Interval at which the queue of a rate-limited worker is checked: the limit may be lifted."""

MIN_TIMER_SECONDS = 0.005
"""Minimum time until a queue is checked again."""


@dataclass(slots=True)
class OwnedQueue:
    """The queue of a worker at its owner, with the state of result memory and known handles."""

    worker: WorkerRecord
    queue: StageQueue
    room: WorkerRoom
    timer: asyncio.TimerHandle | None = None
    known_handles: dict[str, None] = field(default_factory=dict)

    def cancel_timer(self) -> None:
        """Cancel the next check of the queue."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def set_timer(self, check: Callable[["OwnedQueue"], None], now: float) -> None:
        """Schedule a check for the queue's next event; replace an earlier schedule."""
        self.cancel_timer()
        at = self.queue.next_event_at(now)
        if at is not None:
            delay = max(MIN_TIMER_SECONDS, at - now)
            self.timer = asyncio.get_running_loop().call_later(delay, check, self)


class OwnedQueues:
    """The queues of this gateway by worker; ``on_new`` is called with each new queue."""

    def __init__(
        self,
        mirror: StoreMirror,
        worker_statistics: WorkerStatisticsTable,
        on_new: Callable[[OwnedQueue], None],
        paces: WorkerPaces,
    ) -> None:
        self._mirror = mirror
        self._worker_statistics = worker_statistics
        self._on_new = on_new
        self._paces = paces
        self._queues: dict[str, OwnedQueue] = {}

    def __iter__(self) -> Iterator[OwnedQueue]:
        """Iterate over a copy, so that queues may be removed during the iteration."""
        return iter(list(self._queues.values()))

    def get(self, worker_id: str) -> OwnedQueue | None:
        """Return the queue of a worker, ``None`` without one."""
        return self._queues.get(worker_id)

    def get_or_create(self, worker: WorkerRecord, profile: ServiceProfile) -> OwnedQueue:
        """Return the queue of a worker with its currently stated capacity; create it if needed."""
        assert profile.stage is not None
        entry = self._queues.get(worker.worker_id)
        if entry is None:
            queue = StageQueue(profile.stage)
            evacuated = worker.zone in self._mirror.workers.evacuated
            room = WorkerRoom(worker, queue, evacuated=evacuated)
            entry = OwnedQueue(worker, queue, room)
            self._queues[worker.worker_id] = entry
            self._on_new(entry)
        entry.queue.capacity = profile.stage
        return entry

    def get_or_create_listed(self, worker_id: str) -> OwnedQueue | None:
        """Return the queue of a worker; create it if the worker is listed, else return ``None``."""
        if worker_id in self._queues:
            return self._queues[worker_id]
        worker = self._mirror.workers.get(worker_id)
        profile = None if worker is None else self._mirror.profile(worker.service)
        if worker is None or profile is None or profile.stage is None:
            return None
        return self.get_or_create(worker, profile)

    def apply_pace(self, entry: OwnedQueue, now: float) -> None:
        """Apply a worker's current pace, by its own statement."""
        entry.queue.passing_pace = self._paces.passing_factor(entry.worker.worker_id, now)

    def remove(self, entry: OwnedQueue) -> None:
        """Remove the queue of a worker that is no longer listed."""
        entry.cancel_timer()
        del self._queues[entry.worker.worker_id]

    def record_failure(
        self, entry: OwnedQueue, trouble: SendTrouble, now: float
    ) -> list[StageItem]:
        """Record that a call to a worker failed; return the queued pieces to be placed again.

        Final pieces stay queued if the worker is silent.
        """
        statistics = self._worker_statistics.get_or_create(entry.worker.worker_id)
        statistics.failures.append(now)
        statistics.avoid_until = now + AVOID_SECONDS
        if trouble is SendTrouble.REFUSED:
            statistics.record_end(now)
        entry.queue.block_calls(now, FULL_BLOCK_SECONDS)
        if trouble is SendTrouble.SILENT:
            return entry.queue.remove_repeated()
        return entry.queue.remove_all()

    def siblings(self, entry: OwnedQueue) -> list[OwnedQueue]:
        """Return the queues of the other workers of the same service and zone."""
        pool = (entry.worker.service, entry.worker.zone)
        return [
            other
            for other in self._queues.values()
            if other is not entry and (other.worker.service, other.worker.zone) == pool
        ]

    def free_siblings(self, entry: OwnedQueue, now: float) -> list[OwnedQueue]:
        """Return the siblings that can start a call, if any piece waits for this worker."""
        if not entry.queue.waiting:
            return []
        return [other for other in self.siblings(entry) if other.queue.can_start_call(now)]

    def queue_with_earliest_end(
        self, worker: WorkerRecord, profile: ServiceProfile, work: StageWork, now: float
    ) -> tuple[OwnedQueue, QueueForecast] | None:
        """Return the queue of the worker's pool with the earliest forecast end, and the forecast.

        Returns ``None`` if no worker of the pool accepts work. Forecasts include the backoffs that
        workers requested from this gateway.

        The sender of pieces knows the queues only from reports, which are a second old in a large
        fleet. The owner knows their current state, and so prevents urgent work in a burst from
        waiting for workers that have filled up since the report.
        """
        urgency = work.urgency.to_local_clock(now)
        choices = []
        for other in pool_for_worker(self._mirror.workers, worker).workers:
            if self._worker_statistics.has_left(other.worker_id, now):
                continue
            if other is not worker and self._is_unhealthy(other, now):
                continue
            entry = self.get_or_create(other, profile)
            self.apply_pace(entry, now)
            expected = entry.queue.forecast(now, urgency, len(work.pieces), work.result_bytes)
            choices.append((entry, expected))
        return min(choices, key=lambda choice: choice[1].end, default=None)

    def steal_pieces(self, entry: OwnedQueue, availability: WorkerAvailability, now: float) -> None:
        """Steal pieces that are queued for busy workers, if this worker is idle and healthy."""
        if self._is_unhealthy(entry.worker, now) or not availability.may_send(entry.worker):
            return
        others = [sibling.queue for sibling in self.siblings(entry)]
        for piece in pieces_to_steal(entry.queue, others, now):
            piece.queue.remove(piece.stage_item)
            entry.queue.submit(piece.stage_item)

    def _is_unhealthy(self, worker: WorkerRecord, now: float) -> bool:
        """Return whether a worker failed recently or is ejected."""
        statistics = self._worker_statistics.get_or_create(worker.worker_id)
        return statistics.avoid_until > now or statistics.is_last_resort(repeatable=True)


def block_if_limited(
    entry: OwnedQueue, limits: WorkerLimits, availability: WorkerAvailability, now: float
) -> None:
    """Block the queue of a worker in backoff, or of a rate-limited one until its next call.

    Forecasts include the block.
    """
    entry.queue.block_calls(now, availability.backoff_seconds(entry.worker, now))
    entry.queue.min_call_interval = limits.interval(entry.worker, now)
    if entry.queue.min_call_interval:
        entry.queue.block_calls(
            now, min(limits.seconds_until_grant(entry.worker, now), MAX_LIMIT_BLOCK_SECONDS)
        )


def start_call_if_allowed(
    entry: OwnedQueue, limits: WorkerLimits, availability: WorkerAvailability, now: float
) -> StageCall | None:
    """Start the next call of a queue, or return ``None`` if its worker must get none now."""
    block_if_limited(entry, limits, availability, now)
    if not availability.may_send(entry.worker):
        return None
    call = entry.queue.start_next_call(now)
    if call is not None:
        limits.record_grant(entry.worker, now)
    return call
