"""Detects worker crashes after connection failures and quarantines their causes."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.request_release import ReleaseAnswer
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.node.telemetry.metrics import NodeMetrics
from corkcrank.node.workers.exit_check import is_exit_confirmed
from corkcrank.node.workers.lost_calls import LostCall, LostCalls
from corkcrank.node.workers.worker_probe import has_exited
from corkcrank.node.workers.worker_request import NoRelay, RequestRelay
from corkcrank.scheduling.crash_records import MAX_SETTLE_SECONDS
from corkcrank.scheduling.crash_reports import CrashReport, TrialReport
from corkcrank.scheduling.crash_verdicts import Verdict
from corkcrank.scheduling.request_quarantine import RequestQuarantine, RequestState
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable


class CrashWatch:
    """Crash detection and request quarantine of a gateway.

    A failed connection may have been reset on the network, or by a live worker. The gateway
    therefore opens a new connection to the worker. It records a crash if the connection is refused
    and no member can connect to the worker. It also records a crash that a member reports
    meanwhile, because a gateway with a failed link gets no answer. ``relay`` probes members.
    ``on_update`` is called when peers should receive an update immediately.
    """

    def __init__(
        self,
        worker_statistics: WorkerStatisticsTable,
        log: DecisionLog,
        metrics: NodeMetrics,
        probation_offset: float = 0.0,
    ) -> None:
        self._worker_statistics = worker_statistics
        self.quarantine = RequestQuarantine(probation_offset)
        self.on_update: Callable[[], None] = lambda: None
        self.relay: RequestRelay = NoRelay()
        self._log = log
        self._metrics = metrics
        self._exit_checks: dict[str, asyncio.Task[bool]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._unchecked_calls = LostCalls()
        self._verdicts: Mapping[str, Verdict] = {}
        self._review_timer: asyncio.TimerHandle | None = None
        self._logged_problems: set[str] = set()

    def quarantine_seconds_left(self, call: OpaqueCall) -> float:
        """Return the seconds for which a call must not be sent to workers, 0 if it may be sent.

        Its request, or a part of its prompt, may be quarantined or await a verdict.
        """
        if self.quarantine.empty:
            return 0.0
        now = clock.now()
        suspects = call.suspects
        left = max(self.quarantine.seconds_left(suspect, now) for suspect in suspects)
        return left or max(self.quarantine.seconds_to_wait(suspect, now) for suspect in suspects)

    def quarantined_parts(self, call: OpaqueCall) -> list[str]:
        """Return the quarantined parts of a call's prompt."""
        if self.quarantine.empty:
            return []
        now = clock.now()
        return [part for part in call.part_fingerprints if self.quarantine.seconds_left(part, now)]

    async def wait_for_verdict(self, call: OpaqueCall) -> float:
        """Wait for the verdicts on a call; return its remaining quarantine in seconds.

        Waits first for the checks of the workers that the call was lost at, because their crashes
        are evidence. A call whose deadline precedes the verdict does not wait for it.
        """
        await self._unchecked_calls.wait_until_removed(call)
        waits = False
        while not self.quarantine.empty:
            now = clock.now()
            if any(self.quarantine.seconds_left(suspect, now) for suspect in call.suspects):
                break
            wait = max(self.quarantine.seconds_to_wait(suspect, now) for suspect in call.suspects)
            if not wait or now + wait >= call.end_at:
                break
            if not waits:
                waits = True
                self._log.write(
                    LogEvent.REQUEST_AWAITS_VERDICT,
                    call=call.call_id,
                    request=call.fingerprint,
                    seconds=round(wait, 3),
                )
            await asyncio.sleep(wait)
        return self.quarantine_seconds_left(call)

    def is_suspected(self, call: OpaqueCall) -> bool:
        """Return whether a call's request is suspected, quarantined or on probation.

        This is the case if a worker crashed while running it and it has not completed since.
        """
        if self.quarantine.empty:
            return False
        state = self.quarantine.state(call.fingerprint, clock.now())
        return state is not RequestState.HEALTHY

    def record_sent(self, call: OpaqueCall) -> None:
        """Record that a call is sent to a worker.

        If its request or a part of its prompt is on probation, this begins an attempt on
        probation. It is reported to peers, and no other attempt may begin for a while.
        """
        if self.quarantine.empty:
            return
        for suspect in call.suspects:
            if self.quarantine.record_sent(suspect, clock.now()):
                self._log.write(LogEvent.REQUEST_ON_PROBATION, call=call.call_id, request=suspect)
                self.on_update()

    def record_progress(self, call: OpaqueCall, first_event_at: float) -> None:
        """Record that an engine's run of a call progressed beyond its first event.

        Runs with a part that crashes engines never progress, so this is evidence for its parts.
        """
        parts = call.part_fingerprints
        if self.quarantine.record_progress(parts, first_event_at, clock.now()):
            self._review_verdicts()
            self.on_update()

    def restore_part_successes(self, successes: Mapping[str, float]) -> None:
        """Record the times of parts' successes that gateways had seen before this one started."""
        now = clock.now()
        record = self.quarantine.record_progress
        if any([record([part], at, now, restored=True) for part, at in successes.items()]):
            self._review_verdicts()
            self.on_update()

    def record_connection_failure(
        self, call: OpaqueCall, worker: WorkerRecord, *, progressed: bool = False
    ) -> None:
        """Record that a call's connection to a worker failed; check whether the worker has exited.

        ``progressed`` is set if the worker had been running the call for some time.
        """
        lost = LostCall(
            call.call_id,
            call.service,
            call.fingerprint,
            call.part_fingerprints,
            worker,
            progressed,
        )
        self._unchecked_calls.add(lost)
        task = asyncio.create_task(self._check_worker(lost))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def record_completed(self, call: OpaqueCall) -> None:
        """Record that a worker completed a call, which clears its request."""
        if self.quarantine.empty:
            return
        if self.quarantine.record_success(call.fingerprint, clock.now()):
            self._log.write(LogEvent.REQUEST_CLEARED, call=call.call_id, request=call.fingerprint)
            self._review_verdicts()
            self.on_update()

    def record_member_unreachable(self, member: str, last_received_at: float) -> None:
        """Record that a gateway is unreachable and announced no exit.

        It may not have reported its requests at crashed workers, so crash records of that time may
        be incomplete.
        """
        if self.quarantine.record_gateway_failure(last_received_at, clock.now()):
            self._log.write(
                LogEvent.EVIDENCE_INCOMPLETE,
                member=member,
                age=round(clock.now() - last_received_at, 3),
            )
            self._review_verdicts()
            self.on_update()

    def apply_reports(self, reports: Iterable[CrashReport], source: str) -> None:
        """Apply crash reports of a peer or of the store."""
        now = clock.now()
        changed = False
        for report in reports:
            if problem := report.problem():
                self._record_unreadable_report(problem, source)
            elif self.quarantine.apply_report(report, now):
                changed = True
                self._worker_statistics.get_or_create(report.worker_id).record_end(now - report.age)
        if changed:
            self._review_verdicts()
            self.on_update()
        for lost in self._unchecked_calls.snapshot():
            if self._has_recent_report(lost):
                self._record_crash(lost)
                self._unchecked_calls.remove(lost)

    def apply_trial_reports(self, reports: Iterable[TrialReport]) -> None:
        """Apply a peer's reports of attempts on probation."""
        now = clock.now()
        if any([self.quarantine.apply_trial_report(report, now) for report in reports]):
            self.on_update()

    def release_request(self, request: str) -> ReleaseAnswer:
        """Release a request from quarantine on behalf of an operator."""
        now = clock.now()
        before = self.quarantine.state(request, now)
        if self.quarantine.record_success(request, now):
            self._log.write(LogEvent.REQUEST_RELEASED, request=request, before=before.value)
            self._review_verdicts()
            self.on_update()
        return ReleaseAnswer(request, before.value, self.quarantine.state(request, now).value)

    async def close(self) -> None:
        """Cancel the worker checks in progress and the timer of the next review of verdicts."""
        if self._review_timer is not None:
            self._review_timer.cancel()
        pending = [*self._tasks, *self._exit_checks.values()]
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)

    async def _check_worker(self, lost: LostCall) -> None:
        try:
            if self._has_recent_report(lost) or await self._has_exited(lost.worker):
                self._record_crash(lost)
        finally:
            self._unchecked_calls.remove(lost)

    def _has_recent_report(self, lost: LostCall) -> bool:
        """Return whether a crash of a lost call's worker was recorded recently."""
        at = self.quarantine.records.crashed_at(lost.worker.worker_id)
        return clock.now() - at <= MAX_SETTLE_SECONDS

    def _record_crash(self, lost: LostCall) -> None:
        worker, now = lost.worker, clock.now()
        self._worker_statistics.get_or_create(worker.worker_id).record_end(now)
        # Stage workers do not read the prompt.
        parts = lost.parts if worker.service == lost.service else ()
        if not self.quarantine.record_crash(
            lost.request, worker.worker_id, now, progressed=lost.progressed, parts=parts
        ):
            return
        self._metrics.crashed_worker_requests.labels(worker.service).inc()
        self._log.write(
            LogEvent.WORKER_ENDED,
            call=lost.call_id,
            request=lost.request,
            worker=worker.worker_id,
            service=worker.service,
            progressed=lost.progressed,
            parts=parts,
        )
        self._review_verdicts()
        self.on_update()

    async def _has_exited(self, worker: WorkerRecord) -> bool:
        """Return whether a worker's process has exited.

        Calls that fail together share one or two checks. A check that was already in progress may
        have found the worker alive just before its exit, so it is followed by another one.
        """
        before = self._exit_checks.get(worker.worker_id)
        if before is not None:
            if await before:
                return True
            following = self._exit_checks.get(worker.worker_id)
            if following is not None and following is not before:
                return await following
        check = asyncio.create_task(is_exit_confirmed(worker, self.relay, has_exited))
        self._exit_checks[worker.worker_id] = check
        try:
            return await check
        finally:
            if self._exit_checks.get(worker.worker_id) is check:
                del self._exit_checks[worker.worker_id]

    def _review_verdicts(self) -> None:
        """Log new and withdrawn verdicts; schedule a review for the next decidable crash."""
        now = clock.now()
        before, self._verdicts = self._verdicts, self.quarantine.verdicts(now)
        for request in sorted(self._verdicts.keys() - before.keys()):
            self._record_quarantine(request, self._verdicts[request], now)
        for request in sorted(before.keys() - self._verdicts.keys()):
            if self.quarantine.state(request, now) is RequestState.SUSPECTED:
                self._metrics.quarantines_withdrawn.inc()
                self._log.write(LogEvent.REQUEST_VERDICT_REVOKED, request=request)
        self._schedule_review(now)

    def _schedule_review(self, now: float) -> None:
        if self._review_timer is not None:
            self._review_timer.cancel()
            self._review_timer = None
        seconds = self.quarantine.next_decidable_at(now) - now
        if seconds < float("inf"):
            loop = asyncio.get_running_loop()
            self._review_timer = loop.call_later(seconds, self._review_verdicts)

    def _record_quarantine(self, request: str, verdict: Verdict, now: float) -> None:
        if request in self.quarantine.records.parts():
            self._record_part_quarantine(request, verdict, now)
            return
        self._metrics.quarantines.inc()
        ends = self.quarantine.records.suspected_crashes(request)
        self._log.write(
            LogEvent.REQUEST_QUARANTINED,
            request=request,
            workers=sorted(verdict.workers),
            ages=sorted(round(now - record.at, 3) for record in ends),
            progressed=sum(record.requests[request].progressed for record in ends),
            incomplete=sum(record.incomplete for record in ends),
            rival=verdict.rival,
            rival_ends=verdict.shared,
            seconds=round(self.quarantine.seconds_left(request, now), 3),
        )

    def _record_part_quarantine(self, part: str, verdict: Verdict, now: float) -> None:
        self._metrics.part_quarantines.inc()
        ends = self.quarantine.records.suspected_crashes(part)
        self._log.write(
            LogEvent.PART_QUARANTINED,
            part=part,
            workers=sorted(verdict.workers),
            ages=sorted(round(now - record.at, 3) for record in ends),
            requests=len({key for record in ends for key in record.parts[part].holders}),
            succeeded=any(record.parts[part].succeeded_before for record in ends),
            seconds=round(self.quarantine.seconds_left(part, now), 3),
        )

    def _record_unreadable_report(self, problem: str, source: str) -> None:
        """Count an invalid report; log the first of each kind."""
        self._metrics.unreadable_crash_reports.labels(problem).inc()
        if problem not in self._logged_problems:
            self._logged_problems.add(problem)
            self._log.write(LogEvent.CRASH_REPORT_UNREADABLE, source=source, detail=problem)
