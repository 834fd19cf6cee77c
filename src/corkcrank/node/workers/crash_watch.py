"""Takes what broken calls show of workers that ended, and keeps requests that end them away."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.request_release import ReleaseAnswer
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.node.telemetry.metrics import NodeMetrics
from corkcrank.node.workers.worker_probe import has_ended
from corkcrank.scheduling.crash_reports import CrashReport, TrialReport
from corkcrank.scheduling.crash_verdicts import Verdict
from corkcrank.scheduling.request_quarantine import RequestQuarantine, RequestState
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable

CONNECTION_PATIENCE_SECONDS = 1.5
"""Longest wait for the answer to a connection: a lost packet is sent again after 1 s. A machine
whose process has ended refuses it; one that says nothing shows no end of the process."""


class CrashWatch:
    """What this gateway does about requests that crash workers.

    A connection that breaks may have been reset on the way, or by a worker that goes on. So the
    worker is asked for a new one, and only where that is refused has it ended. ``on_news`` is
    called when others should hear of something at once.
    """

    def __init__(
        self, worker_statistics: WorkerStatisticsTable, log: DecisionLog, metrics: NodeMetrics
    ) -> None:
        self._worker_statistics = worker_statistics
        self.quarantine = RequestQuarantine()
        self.on_news: Callable[[], None] = lambda: None
        self._log = log
        self._metrics = metrics
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._verdicts: Mapping[str, Verdict] = {}
        self._review_timer: asyncio.TimerHandle | None = None
        self._problems: set[str] = set()

    def quarantine_left(self, call: OpaqueCall) -> float:
        """Return for how many seconds a call's request is kept from workers, 0 if it is not."""
        if self.quarantine.empty:
            return 0.0
        now = clock.now()
        left = self.quarantine.seconds_left(call.fingerprint, now)
        return left or self.quarantine.seconds_to_wait(call.fingerprint, now)

    async def wait_for_verdict(self, call: OpaqueCall) -> float:
        """Wait until a call's request is judged; return what :meth:`quarantine_left` does then.

        A call whose time ends before that does not wait.
        """
        waits = False
        while not self.quarantine.empty:
            now = clock.now()
            wait = self.quarantine.seconds_to_wait(call.fingerprint, now)
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
        return self.quarantine_left(call)

    def is_suspected(self, call: OpaqueCall) -> bool:
        """Return whether a worker has ended under a call's request that never ended well since."""
        if self.quarantine.empty:
            return False
        state = self.quarantine.state(call.fingerprint, clock.now())
        return state is not RequestState.SOUND

    def note_sent(self, call: OpaqueCall) -> None:
        """Take that a call goes to a worker: on probation no other may for a while."""
        if self.quarantine.empty:
            return
        if self.quarantine.note_sent(call.fingerprint, clock.now()):
            self._log.write(LogEvent.REQUEST_TRIED, call=call.call_id, request=call.fingerprint)
            self.on_news()

    def note_broken(
        self, call: OpaqueCall, worker: WorkerRecord, *, progressed: bool = False
    ) -> None:
        """Take that a worker broke a call off; look whether it has ended.

        ``progressed`` says that the call had been at work there for a while.
        """
        task = asyncio.create_task(self._look(call, worker, progressed=progressed))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def note_served(self, call: OpaqueCall) -> None:
        """Take that a worker answered a call whole: its request is sound."""
        if self.quarantine.empty:
            return
        if self.quarantine.note_sound(call.fingerprint, clock.now()):
            self._log.write(LogEvent.REQUEST_CLEARED, call=call.call_id, request=call.fingerprint)
            self._review()
            self.on_news()

    def note_member_lost(self, member: str, last_heard_at: float) -> None:
        """Take that a gateway is gone without a word: it may not have told what it had."""
        if self.quarantine.note_loss(last_heard_at, clock.now()):
            self._log.write(
                LogEvent.EVIDENCE_INCOMPLETE,
                member=member,
                age=round(clock.now() - last_heard_at, 3),
            )
            self._review()
            self.on_news()

    def take(self, reports: Iterable[CrashReport], source: str) -> None:
        """Take what a peer, or the store, tells of ends."""
        now = clock.now()
        news = False
        for report in reports:
            if problem := report.problem():
                self._note_problem(problem, source)
            elif self.quarantine.take(report, now):
                news = True
                self._worker_statistics.of(report.worker_id).note_ended(now - report.age)
        if news:
            self._review()
            self.on_news()

    def take_trials(self, reports: Iterable[TrialReport]) -> None:
        """Take what a peer tells of requests on probation."""
        now = clock.now()
        if any([self.quarantine.take_trial(report, now) for report in reports]):
            self.on_news()

    def release(self, request: str) -> ReleaseAnswer:
        """Free a request, for an operator who knows that it is sound."""
        now = clock.now()
        before = self.quarantine.state(request, now)
        if self.quarantine.note_sound(request, now):
            self._log.write(LogEvent.REQUEST_RELEASED, request=request, before=before.value)
            self._review()
            self.on_news()
        return ReleaseAnswer(request, before.value, self.quarantine.state(request, now).value)

    async def close(self) -> None:
        """Give up the looks that are under way."""
        if self._review_timer is not None:
            self._review_timer.cancel()
        pending = [*self._tasks, *self._checks.values()]
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)

    async def _look(self, call: OpaqueCall, worker: WorkerRecord, *, progressed: bool) -> None:
        if not await self._has_ended(worker):
            return
        now = clock.now()
        self._worker_statistics.of(worker.worker_id).note_ended(now)
        request, worker_id = call.fingerprint, worker.worker_id
        if not self.quarantine.note_end(request, worker_id, now, progressed=progressed):
            return
        self._metrics.worker_ends.labels(worker.service).inc()
        self._log.write(
            LogEvent.WORKER_ENDED,
            call=call.call_id,
            request=call.fingerprint,
            worker=worker.worker_id,
            service=worker.service,
            progressed=progressed,
        )
        self._review()
        self.on_news()

    async def _has_ended(self, worker: WorkerRecord) -> bool:
        """Return whether a worker has ended; calls that break together share one look, or two.

        A look that was under way before may have found the worker alive just before its end, so
        that another one follows it.
        """
        before = self._checks.get(worker.worker_id)
        if before is not None:
            if await before:
                return True
            following = self._checks.get(worker.worker_id)
            if following is not None and following is not before:
                return await following
        check = asyncio.create_task(has_ended(worker.address, CONNECTION_PATIENCE_SECONDS))
        self._checks[worker.worker_id] = check
        try:
            return await check
        finally:
            if self._checks.get(worker.worker_id) is check:
                del self._checks[worker.worker_id]

    def _review(self) -> None:
        """Log verdicts that are new or taken back, now and when the next end is settled."""
        now = clock.now()
        before, self._verdicts = self._verdicts, self.quarantine.verdicts(now)
        for request in sorted(self._verdicts.keys() - before.keys()):
            self._note_quarantined(request, self._verdicts[request], now)
        for request in sorted(before.keys() - self._verdicts.keys()):
            if self.quarantine.state(request, now) is RequestState.SUSPECTED:
                self._metrics.verdicts_taken_back.inc()
                self._log.write(LogEvent.REQUEST_FREED, request=request)
        self._review_later(now)

    def _review_later(self, now: float) -> None:
        if self._review_timer is not None:
            self._review_timer.cancel()
            self._review_timer = None
        seconds = self.quarantine.next_settling(now) - now
        if seconds < float("inf"):
            loop = asyncio.get_running_loop()
            self._review_timer = loop.call_later(seconds, self._review)

    def _note_quarantined(self, request: str, verdict: Verdict, now: float) -> None:
        self._metrics.quarantines.inc()
        ends = self.quarantine.records.suspected_ends(request)
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

    def _note_problem(self, problem: str, source: str) -> None:
        """Count a report that cannot be believed; log the first of each kind."""
        self._metrics.unreadable_crash_reports.labels(problem).inc()
        if problem not in self._problems:
            self._problems.add(problem)
            self._log.write(LogEvent.CRASH_REPORT_UNREADABLE, source=source, detail=problem)
