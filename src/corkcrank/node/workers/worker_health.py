"""Runs outlier detection on workers: records call outcomes, evaluates them, publishes verdicts."""

import asyncio
import random
from collections.abc import Collection, Iterable

from corkcrank.contracts import clock
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.node.telemetry.metrics import NodeMetrics
from corkcrank.scheduling.outlier_detection import OutlierDetector, Verdict, VerdictChange
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable
from corkcrank.scheduling.worker_outcomes import CallOutcome, OutcomeTable, ReportedOutcomes

EVALUATION_INTERVAL_SECONDS = 0.25
"""Interval of evaluations: about that of the heartbeats of a small fleet."""

MIN_FAULT_STATUS = 500
"""Minimum status that counts as a failure of the worker, so that another worker may succeed. Lower
error statuses are caused by the caller."""

DEADLINE_STATUS = 504
"""Status of a worker that ran a call until its deadline, which was too short."""


class WorkerHealth:
    """A gateway's outlier detection; it writes its verdicts to the worker statistics."""

    def __init__(
        self,
        mirror: StoreMirror,
        worker_statistics: WorkerStatisticsTable,
        log: DecisionLog,
        metrics: NodeMetrics,
        zone: str,
        random_source: random.Random,
    ) -> None:
        self._mirror = mirror
        self._worker_statistics = worker_statistics
        self._log = log
        self._metrics = metrics
        self._outcomes = OutcomeTable(zone)
        self._detector = OutlierDetector(self._outcomes, random_source)

    def record_response(self, worker: WorkerRecord, status: int) -> None:
        """Record the status of a worker's complete response.

        A response at the deadline is no evidence on the worker and is not recorded.
        """
        if status == DEADLINE_STATUS:
            return
        failed = status >= MIN_FAULT_STATUS
        self.record_outcome(worker, CallOutcome.FAULT if failed else CallOutcome.SERVED)

    def record_outcome(self, worker: WorkerRecord, outcome: CallOutcome) -> None:
        """Record the outcome of a call; evaluate the worker's service immediately on a fault."""
        now = clock.now()
        self._outcomes.record_outcome(worker.worker_id, outcome, now)
        if outcome is CallOutcome.FAULT:
            self._evaluate_service(worker.service, now)

    def apply_peer_report(self, peer: str, zone: str, reports: Iterable[ReportedOutcomes]) -> None:
        """Apply a peer's report of call outcomes at workers that failed its calls."""
        self._outcomes.apply_peer_report(peer, zone, reports, clock.now())

    def discard_peer(self, peer: str) -> None:
        """Remove the outcomes reported by an unreachable peer."""
        self._outcomes.remove_peer(peer)

    def forget_local_outcomes(self) -> None:
        """Remove this gateway's own outcomes, because its links to workers had failed."""
        self._outcomes.remove_local()

    def outcomes_to_report(self, now: float) -> tuple[ReportedOutcomes, ...]:
        """Return the outcomes that a heartbeat reports to peers."""
        return self._outcomes.report_for_peers(now)

    def retain_only(self, worker_ids: Collection[str]) -> None:
        """Remove workers that are no longer listed."""
        self._outcomes.retain_only(worker_ids)
        self._detector.retain_only(worker_ids)

    async def evaluate_periodically(self) -> None:
        """Evaluate, in an endless loop, the services with a recorded failure."""
        evaluated_before: set[str] = set()
        while True:
            await asyncio.sleep(EVALUATION_INTERVAL_SECONDS)
            now = clock.now()
            suspects = self._outcomes.failing_workers(now) | self._detector.unhealthy_workers()
            records = (self._mirror.workers.get(worker_id) for worker_id in suspects)
            services = {record.service for record in records if record is not None}
            # Evaluates a service once more after its last failure has decayed, so that no stale
            # excess remains.
            for service in services | evaluated_before:
                self._evaluate_service(service, now)
            evaluated_before = services

    def _evaluate_service(self, service: str, now: float) -> None:
        workers = self._mirror.workers.usable_workers(service)
        changes = self._detector.update_verdicts(workers, now)
        for worker in workers:
            self._worker_statistics.get_or_create(worker.worker_id).excess = self._detector.excess(
                worker.worker_id
            )
        for change in changes:
            self._worker_statistics.get_or_create(change.worker.worker_id).verdict = change.after
            self._metrics.worker_verdicts.labels(change.after.value).inc()
            self._log_change(change)

    def _log_change(self, change: VerdictChange) -> None:
        counts, same_zone = change.evidence.counts, change.evidence.same_zone
        self._log.write(
            _EVENTS[change.after],
            worker=change.worker.worker_id,
            service=change.worker.service,
            zone=change.worker.zone,
            before=change.before.value,
            before_seconds=round(change.seconds, 3),
            served=round(counts.served, 2),
            failed=round(counts.failed, 2),
            own_zone_served=round(same_zone.served, 2),
            own_zone_failed=round(same_zone.failed, 2),
            least_rate=round(change.bound, 3),
            others_rate=round(change.others, 3),
        )


_EVENTS = {
    Verdict.EJECTED: LogEvent.WORKER_EJECTED,
    Verdict.HALF_OPEN: LogEvent.WORKER_HALF_OPEN,
    Verdict.HEALTHY: LogEvent.WORKER_RESTORED,
}
