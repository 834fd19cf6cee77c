"""Reads and logs the statements in workers' response headers: rate limits, leaves and backoffs."""

from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus

from corkcrank.contracts import clock
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.platform_ports import StatedLoad, StatementCodec, Unreadable
from corkcrank.node.telemetry.metrics import NodeMetrics
from corkcrank.scheduling.stated_limits import LimitChange, ReportedLimit, StatedLimits
from corkcrank.scheduling.worker_notices import ReportedBackoff, ReportedLeave, WorkerNotices
from corkcrank.scheduling.worker_pace import WorkerPaces

LOCAL_CALL = "own call"
"""Source in log lines of statements in responses to this gateway's own calls."""

REJECTING_STATUSES = frozenset((HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS))
"""Statuses of responses whose retry time is a requested backoff."""

MAX_UNREADABLE_LOADS = 1_024
"""Maximum number of workers whose unreadable load is recorded, so that each is logged once."""

MAX_UNKNOWN_HEADERS = 64
"""Maximum number of unknown header names that are recorded, so that each is logged once."""


class WorkerStatements:
    """Reads the headers of every response of a worker and stores their statements.

    ``on_update`` is called when peers should receive an update soon, ``on_leave`` when a worker's
    leave becomes known.
    """

    def __init__(
        self,
        codec: StatementCodec,
        notices: WorkerNotices,
        log: DecisionLog,
        metrics: NodeMetrics,
        paces: WorkerPaces | None = None,
    ) -> None:
        self._codec = codec
        self._log = log
        self._metrics = metrics
        self._unknown_headers: set[str] = set()
        self._unreadable_loads: set[str] = set()
        self.paces = paces if paces is not None else WorkerPaces()
        self.limits = StatedLimits()
        self.brittleness = StatedLimits()
        """Rejections per second that brittle workers tolerate."""
        self.notices = notices
        self.on_update: Callable[[], None] = lambda: None
        self.on_leave: Callable[[], None] = lambda: None

    def record_response(
        self, worker: WorkerRecord, status: int, headers: Mapping[str, str]
    ) -> None:
        """Record the statements in the head of a worker's response.

        A misdirected request (421) is ignored: another worker has taken over the address.
        """
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            return
        statement = self._codec.read_statement(headers)
        for name in statement.unknown_headers:
            self._record_unknown_header(name, worker)
        if isinstance(statement.rate_limit, Unreadable):
            self._record_unreadable_limit(worker.worker_id, statement.rate_limit.reason)
        else:
            self._record_stated_limit(worker, statement.rate_limit)
        if isinstance(statement.tolerated_rejections, Unreadable):
            reason = statement.tolerated_rejections.reason
            self._record_unreadable_notice(worker.worker_id, reason)
        else:
            self._record_brittleness(worker, statement.tolerated_rejections)
        if isinstance(statement.leaving, Unreadable):
            self._record_unreadable_notice(worker.worker_id, statement.leaving.reason)
        elif statement.leaving:
            self._record_leave(worker)
        self._record_load(worker, statement.load)
        if status in REJECTING_STATUSES:
            self._record_backoff(worker, status, statement.retry_after)

    def leaves_to_report(self, listed: Iterable[WorkerRecord]) -> tuple[ReportedLeave, ...]:
        """Return the announced leaves that the workers' entries do not state yet."""
        if not self.notices.any_leaves:
            return ()
        ready = {worker.worker_id for worker in listed if not worker.leaving}
        return self.notices.reports_for_peers(ready, clock.now())

    def apply_leave_reports(self, reports: Iterable[ReportedLeave], source: str) -> None:
        """Apply a peer's reports of workers that announced their leave."""
        now = clock.now()
        for report in reports:
            if not report.readable:
                self._record_unreadable_notice("", f"report of {source}")
            elif self.notices.apply_peer_report(report, source, now):
                self._report_leave(report.worker_id, source, report.age)

    def apply_backoff_reports(self, reports: Iterable[ReportedBackoff], source: str) -> None:
        """Apply a peer's reports of backoffs that workers requested from it."""
        now = clock.now()
        for report in reports:
            if report.readable:
                self.notices.apply_peer_backoff(report, now)
            else:
                self._record_unreadable_notice("", f"report of {source}")

    def apply_reports(self, reports: Iterable[ReportedLimit], source: str) -> None:
        """Apply a peer's reports of rate limits."""
        now = clock.now()
        for report in reports:
            if not report.readable:
                self._record_unreadable_limit(report.worker_id, f"report of {source}")
                continue
            change = self.limits.apply_peer_report(report, now)
            if change is not None:
                self._record_change(report.worker_id, change, report.rate, source, report.age)

    def apply_brittleness_reports(self, reports: Iterable[ReportedLimit], source: str) -> None:
        """Apply a peer's reports of workers that tolerate few rejections."""
        now = clock.now()
        for report in reports:
            if not report.readable:
                self._record_unreadable_notice("", f"report of {source}")
                continue
            change = self.brittleness.apply_peer_report(report, now)
            if change is not None:
                self._report_brittleness(report.worker_id, change, report.rate, source)

    def _record_brittleness(self, worker: WorkerRecord, tolerated: float | None) -> None:
        change = self.brittleness.record_answer(worker.worker_id, tolerated, clock.now())
        if change is not None:
            self._report_brittleness(worker.worker_id, change, tolerated, LOCAL_CALL)

    def _report_brittleness(
        self, worker_id: str, change: LimitChange, tolerated: float | None, source: str
    ) -> None:
        self._metrics.brittle_workers.labels(change.value).inc()
        self._log.write(
            LogEvent.BRITTLENESS_RECEIVED,
            worker=worker_id,
            change=change.value,
            tolerated=tolerated,
            source=source,
        )
        if change is LimitChange.NAMED:
            self.on_update()

    def _record_load(self, worker: WorkerRecord, load: StatedLoad | Unreadable | None) -> None:
        if isinstance(load, Unreadable):
            self._record_unreadable_load(worker.worker_id, load.reason)
        elif load is not None and load.pace is not None:
            now = clock.now()
            self.paces.record_statement(
                worker.worker_id, worker.service, load.pace, now, load.waiting
            )

    def _record_unreadable_load(self, worker_id: str, reason: str) -> None:
        self._metrics.unreadable_loads.inc()
        if worker_id in self._unreadable_loads:
            return
        if len(self._unreadable_loads) < MAX_UNREADABLE_LOADS:
            self._unreadable_loads.add(worker_id)
            self._log.write(LogEvent.LOAD_UNREADABLE, worker=worker_id, reason=reason)

    def _record_leave(self, worker: WorkerRecord) -> None:
        if self.notices.record_leave(worker, LOCAL_CALL, clock.now()):
            self._report_leave(worker.worker_id, LOCAL_CALL, 0.0)

    def _report_leave(self, worker_id: str, source: str, age: float) -> None:
        self._metrics.worker_notices.labels("leave").inc()
        self._log.write(LogEvent.LEAVE_ANNOUNCED, worker=worker_id, source=source, age=age)
        self.on_leave()
        self.on_update()

    def _record_backoff(
        self, worker: WorkerRecord, status: int, seconds: float | Unreadable | None
    ) -> None:
        if seconds is None:
            return
        if isinstance(seconds, Unreadable):
            self._record_unreadable_notice(worker.worker_id, seconds.reason)
            return
        now = clock.now()
        extended = self.notices.record_backoff(worker.worker_id, seconds, now)
        if extended:
            self.on_update()
        self._metrics.worker_notices.labels("backoff").inc()
        self._log.write(
            LogEvent.BACKOFF_REQUESTED,
            worker=worker.worker_id,
            service=worker.service,
            status=status,
            seconds=seconds,
            left=round(self.notices.backoff_seconds(worker.worker_id, now), 3),
            extended=extended,
        )

    def _record_unreadable_notice(self, worker_id: str, reason: str) -> None:
        self._metrics.worker_notices.labels("unreadable").inc()
        self._log.write(LogEvent.NOTICE_UNREADABLE, worker=worker_id, reason=reason)

    def _record_stated_limit(self, worker: WorkerRecord, rate: float | None) -> None:
        change = self.limits.record_answer(worker.worker_id, rate, clock.now())
        if change is None:
            return
        self._record_change(worker.worker_id, change, rate, LOCAL_CALL, 0.0)

    def _record_change(
        self, worker_id: str, change: LimitChange, rate: float | None, source: str, age: float
    ) -> None:
        self._metrics.rate_limit_changes.labels(change.value).inc()
        self._log.write(
            LogEvent.RATE_LIMIT_RECEIVED,
            worker=worker_id,
            change=change.value,
            rate=rate,
            source=source,
            age=age,
        )
        if change is LimitChange.NAMED:
            self.on_update()

    def _record_unreadable_limit(self, worker_id: str, reason: str) -> None:
        self._metrics.rate_limit_changes.labels("unreadable").inc()
        self._log.write(LogEvent.RATE_LIMIT_UNREADABLE, worker=worker_id, reason=reason)

    def _record_unknown_header(self, name: str, worker: WorkerRecord) -> None:
        self._metrics.unknown_headers.inc()
        if name in self._unknown_headers:
            return
        if len(self._unknown_headers) < MAX_UNKNOWN_HEADERS:
            self._unknown_headers.add(name)
            self._log.write(
                LogEvent.HEADER_UNKNOWN,
                header=name,
                worker=worker.worker_id,
                service=worker.service,
            )
