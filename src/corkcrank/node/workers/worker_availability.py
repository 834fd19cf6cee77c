"""Decides whether a request may be sent to a worker now.

Choices rank the available workers. Each send checks again when its connection is ready, because the
result may change during waits for grants, stages and connections.
"""

from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.worker_records import WorkerList, WorkerRecord
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable


class Unavailability(StrEnum):
    """Why a worker must not get a request."""

    NOT_LISTED = "not listed, leaving or in an evacuated zone"
    LEFT = "has left or announced its leave"
    BACKOFF = "requested a backoff"


class WorkerAvailability:
    """Combines the list of workers with this gateway's statistics of each worker."""

    def __init__(self, workers: WorkerList, worker_statistics: WorkerStatisticsTable) -> None:
        self._workers = workers
        self._worker_statistics = worker_statistics

    def accepts_work(self, worker: WorkerRecord) -> bool:
        """Return whether a worker accepts new work from any gateway."""
        listed = self._workers.get(worker.worker_id)
        if listed is None or not self._workers.accepts_work(listed):
            return False
        return not self._worker_statistics.has_left(worker.worker_id, clock.now())

    def reason_not_to_send(self, worker: WorkerRecord) -> Unavailability | None:
        """Return why this gateway must not send to a worker now, ``None`` if it may."""
        listed = self._workers.get(worker.worker_id)
        if listed is None or not self._workers.accepts_work(listed):
            return Unavailability.NOT_LISTED
        now = clock.now()
        if self._worker_statistics.has_left(worker.worker_id, now):
            return Unavailability.LEFT
        if self.backoff_seconds(worker, now):
            return Unavailability.BACKOFF
        return None

    def may_send(self, worker: WorkerRecord) -> bool:
        """Return whether this gateway may send a worker a request now."""
        return self.reason_not_to_send(worker) is None

    def may_send_call(self, call: OpaqueCall, worker: WorkerRecord) -> bool:
        """Return whether this gateway may send a call to a worker now.

        A worker with another software version must not continue a stream.
        """
        return call.may_continue_at(worker) and self.may_send(worker)

    def guard(self, worker: WorkerRecord) -> Callable[[], bool]:
        """Return a check to call immediately before a request to a worker is written."""
        return lambda: self.may_send(worker)

    def backoff_seconds(self, worker: WorkerRecord, now: float) -> float:
        """Return the remaining seconds of a worker's backoff for this gateway, 0 without one."""
        return self._worker_statistics.notices.backoff_seconds(worker.worker_id, now)

    def all_full_of_requests(self, workers: Iterable[WorkerRecord]) -> bool:
        """Return whether each worker has reached its bound of unanswered request bytes."""
        requests = self._worker_statistics.requests
        return all(requests.is_full(worker.worker_id) for worker in workers)

    def unavailable_ids(self, workers: Iterable[WorkerRecord]) -> tuple[str, ...]:
        """Return the ids of the workers to which this gateway must not send now."""
        now = clock.now()
        return tuple(
            worker.worker_id
            for worker in workers
            if self._worker_statistics.is_unavailable(worker.worker_id, now)
        )

    def silent_ids(self, workers: Sequence[WorkerRecord]) -> frozenset[str]:
        """Return the ids of the recently unresponsive workers, none if all are unresponsive."""
        ids = [worker.worker_id for worker in workers]
        return self._worker_statistics.silent_ids(ids, clock.now())

    def workers_in_backoff(self, service: str, now: float) -> list[WorkerRecord]:
        """Return the workers in backoff, if no worker of the service is available to this gateway.

        Returns none while any worker is available, or if none requested a backoff.
        """
        usable = self._workers.usable_workers(service)
        if any(not self._worker_statistics.is_unavailable(item.worker_id, now) for item in usable):
            return []
        return [
            worker
            for worker in usable
            if not self._worker_statistics.has_left(worker.worker_id, now)
            and self.backoff_seconds(worker, now) > 0
        ]
