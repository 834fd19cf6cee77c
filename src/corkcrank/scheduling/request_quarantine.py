"""Quarantines requests that crash the workers that run them, using evidence of all gateways.

A worker crash interrupts every call in progress there, so a single crash says little about any one
of them. A request is quarantined, that is, no longer sent to workers, if several workers crash
while running it, at any gateway, and it never completes successfully. After its quarantine the
request is on probation: one attempt at a time in the whole fleet, until an attempt completes
successfully, or crashes a worker and so starts a longer quarantine.

A crash counts only once other gateways had time to report which requests the worker had
(:mod:`crash_records`). A request that awaits its verdict is not sent meanwhile.
:mod:`crash_verdicts` decides which requests are to blame. The module has no side effects and reads
no clock: callers pass the current time.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from corkcrank.scheduling.crash_records import NEVER, CrashRecord, CrashRecords
from corkcrank.scheduling.crash_reports import CrashReport, RequestAtCrash, Trial, TrialReport
from corkcrank.scheduling.crash_verdicts import (
    MIN_CERTAINTY_CRASHES,
    MIN_QUARANTINE_CRASHES,
    Verdict,
    judge_requests,
)

TRIAL_SECONDS = 30.0
"""Time reserved for one attempt on probation: the default maximum wait of a caller."""

EVIDENCE_RETENTION_SECONDS = 600.0
"""Retention of a crash record for which no request was quarantined."""

MIN_QUARANTINE_SECONDS = 60.0
"""Length of the first quarantine. Each further crash doubles it: a request that crashes workers
crashes at most one for each probation."""

MAX_QUARANTINE_SECONDS = 3600.0
"""Maximum time for which a request is quarantined without another attempt."""

MAX_DOUBLINGS = 12
"""Crashes beyond this number of doublings do not extend the quarantine."""

CHANGE_REPORT_SECONDS = 1.5
"""Time for which a change is reported, or two heartbeat intervals if those are longer."""

MAX_REPORTS_PER_HEARTBEAT = 6
"""Maximum number of crashes, or of trials, in one heartbeat. Changed crash records come first, the
others in round-robin order."""

MAX_REQUESTS_PER_HEARTBEAT = 24
"""Maximum number of requests in these crash reports together. A single crash with more requests is
still reported whole."""

SUSPECT_REPORT_SECONDS = 1.0
"""Interval at which heartbeats repeat crashes without a blamed request, which bounds their bytes.
The repetition lets gateways merge their evidence after a network partition."""


MIN_TURN_CRASHES = 2
"""Minimum number of crashes from which requests that share all of them are sent one at a time."""

TURN_SECONDS = 0.5
"""Interval between two such requests: a healthy one gets its first event and progresses for a while
before the next one is sent."""

MAX_TURNS = 4
"""Maximum number of requests that one request waits for; all later ones are sent together."""


class RequestState(StrEnum):
    """The quarantine state of a request."""

    HEALTHY = "sound"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"
    PROBATION = "probation"


@dataclass(slots=True)
class _Trials:
    """The attempts of one request on probation: their number, and when the latest began."""

    number: int = 0
    at: float = NEVER
    changed_at: float = NEVER


class RequestQuarantine:
    """The evidence of all gateways on every request that was in progress at a worker crash."""

    def __init__(self) -> None:
        self.records = CrashRecords()
        self._trials: dict[str, _Trials] = {}
        self._verdicts: Mapping[str, Verdict] = {}
        self._verdicts_valid_until = NEVER
        self._suspects_reported_at = NEVER

    @property
    def empty(self) -> bool:
        """Return whether there is no crash record, so that no request has to be checked."""
        return not self.records

    def record_crash(
        self,
        request: str,
        worker_id: str,
        now: float,
        *,
        progressed: bool = False,
    ) -> bool:
        """Record that a worker crashed with a request in progress; return whether that is new.

        ``progressed`` is true if the request had been running for a while.
        """
        changed = self.records.add_request(worker_id, now, RequestAtCrash(request, progressed), now)
        return self._invalidate_if_changed(changed)

    def record_success(self, request: str, now: float) -> bool:
        """Record that a request completed; return whether any crash counted against it."""
        return self._invalidate_if_changed(self.records.clear_request(request, now))

    def record_gateway_failure(self, last_heard_at: float, now: float) -> bool:
        """Record that a gateway failed without notice; return whether any evidence changed."""
        return self._invalidate_if_changed(self.records.record_gateway_failure(last_heard_at, now))

    def apply_report(self, report: CrashReport, now: float) -> bool:
        """Apply a crash report of a peer or of the store; return whether any evidence changed."""
        return self._invalidate_if_changed(self.records.apply_report(report, now))

    def apply_trial_report(self, report: TrialReport, now: float) -> bool:
        """Apply a peer's trial report; return whether the trial is later than the known one."""
        if report.trial is None:
            return False
        at = now - report.trial.age
        trials = self._trials.setdefault(report.request, _Trials())
        if report.trial.number == trials.number:
            trials.at = min(trials.at, at)
        if report.trial.number <= trials.number:
            return False
        self._trials[report.request] = _Trials(report.trial.number, at, now)
        return True

    def state(self, request: str, now: float) -> RequestState:
        """Return the state of a request."""
        if request in self.verdicts(now):
            over = now >= self._quarantine_ends_at(request)
            return RequestState.PROBATION if over else RequestState.QUARANTINED
        suspected = bool(self.records.suspected_crashes(request))
        return RequestState.SUSPECTED if suspected else RequestState.HEALTHY

    def seconds_left(self, request: str, now: float) -> float:
        """Return for how many seconds a request may not be sent to a worker, 0 if it may.

        On probation it may be sent again once ``TRIAL_SECONDS`` have passed since the last attempt.
        """
        state = self.state(request, now)
        if state is RequestState.QUARANTINED:
            return self._quarantine_ends_at(request) - now
        if state is RequestState.PROBATION:
            trials = self._trials.get(request, _Trials())
            return max(0.0, trials.at + TRIAL_SECONDS - now)
        return 0.0

    def seconds_to_wait(self, request: str, now: float) -> float:
        """Return how long a request that is not blamed waits before it is sent, 0 if it need not.

        It waits for its verdict if records that are not decidable yet may lead to its blame.
        Requests that share the same crashes are then sent one at a time, so that the next crash
        distinguishes them.
        """
        ends = self.records.suspected_crashes(request)
        if len(ends) < MIN_TURN_CRASHES or request in self.verdicts(now):
            return 0.0
        turns_begin_at = max(record.at for record in ends)
        if self._may_be_blamed(request, ends, now):
            turns_begin_at = max(record.decidable_at for record in ends)
        turn_delay = TURN_SECONDS * self._turns_ahead(request, ends, now)
        return max(0.0, turns_begin_at + turn_delay - now)

    def is_undecided(self, request: str, now: float) -> bool:
        """Return whether a crash that counts against a request is not decidable yet."""
        return any(record.decidable_at > now for record in self.records.suspected_crashes(request))

    def record_sent(self, request: str, now: float) -> bool:
        """Record that a request is sent; return whether this is an attempt on probation."""
        if self.empty or self.state(request, now) is not RequestState.PROBATION:
            return False
        before = self._trials.get(request, _Trials())
        self._trials[request] = _Trials(before.number + 1, now, now)
        return True

    def crash_reports(self, now: float, interval: float) -> tuple[CrashReport, ...]:
        """Return the crash reports of one heartbeat; ``interval`` is the time between heartbeats.

        Changed records come first. The others follow for gateways that were partitioned or have
        started since, ordered by the time since their last report, longest first.
        """
        self._prune_expired(now)
        if self.empty:
            return ()
        since = _report_changes_since(now, interval)
        changed = [record for record in self.records if record.changed_at > since]
        changed.sort(key=lambda record: (record.reported_at, -record.changed_at))
        reported = _limit_to_heartbeat([*changed, *self._unchanged_records(since, now)])
        for record in reported:
            record.reported_at = now
        return tuple(record.to_report(now) for record in reported)

    def trial_reports(self, now: float, interval: float) -> tuple[TrialReport, ...]:
        """Return the reports of one heartbeat on probation attempts, latest changes first."""
        since = _report_changes_since(now, interval) - TRIAL_SECONDS
        recent = [key for key, trials in self._trials.items() if trials.changed_at > since]
        recent.sort(key=lambda key: self._trials[key].changed_at, reverse=True)
        return tuple(self._trial_report(key, now) for key in recent[:MAX_REPORTS_PER_HEARTBEAT])

    def all_crash_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return reports of all stored crashes, for a gateway that has just started."""
        self._prune_expired(now)
        return tuple(record.to_report(now) for record in self.records)

    def verdicts(self, now: float) -> Mapping[str, Verdict]:
        """Return the requests to blame by all decidable records, with the reasons."""
        if now >= self._verdicts_valid_until:
            self._verdicts = judge_requests(self._decidable_records(now))
            self._verdicts_valid_until = self.next_decidable_at(now)
        return self._verdicts

    def blamed_requests(self, now: float) -> list[str]:
        """Return the blamed requests, in quarantine or on probation, in sorted order."""
        return sorted(self.verdicts(now))

    def next_decidable_at(self, now: float) -> float:
        """Return when the next record becomes decidable, infinity if all are."""
        waiting = [item.decidable_at for item in self.records if item.decidable_at > now]
        return min(waiting, default=float("inf"))

    def _decidable_records(self, now: float) -> Iterable[CrashRecord]:
        return (record for record in self.records if record.decidable_at <= now)

    def _invalidate_if_changed(self, changed: bool) -> bool:
        if changed:
            self._verdicts_valid_until = NEVER
        return changed

    def _quarantine_ends_at(self, request: str) -> float:
        ends = self.records.suspected_crashes(request)
        return max(record.at for record in ends) + quarantine_seconds(len(ends))

    def _turns_ahead(self, request: str, ends: list[CrashRecord], now: float) -> int:
        """Return how many requests that share all of these crashes are sent before a request."""
        verdicts = self.verdicts(now)
        rivals = set.intersection(*(set(record.suspects()) for record in ends))
        before = [key for key in rivals if key < request and key not in verdicts]
        return min(MAX_TURNS, len(before))

    def _may_be_blamed(self, request: str, ends: list[CrashRecord], now: float) -> bool:
        if len(ends) >= MIN_CERTAINTY_CRASHES:
            return True
        early_runs = [
            record
            for record in ends
            if not record.requests[request].progressed and not self._has_blamed_request(record, now)
        ]
        return len(early_runs) >= MIN_QUARANTINE_CRASHES

    def _unchanged_records(self, since: float, now: float) -> list[CrashRecord]:
        """Return the unchanged records that are to be reported, least recently reported first."""
        old = [record for record in self.records if record.changed_at <= since]
        if now - self._suspects_reported_at >= SUSPECT_REPORT_SECONDS:
            self._suspects_reported_at = now
        else:
            old = [record for record in old if self._has_blamed_request(record, now)]
        return sorted(old, key=lambda record: (record.reported_at, record.at))

    def _has_blamed_request(self, record: CrashRecord, now: float) -> bool:
        verdicts = self.verdicts(now)
        return any(request in verdicts for request in record.suspects())

    def _trial_report(self, request: str, now: float) -> TrialReport:
        trials = self._trials[request]
        return TrialReport(request, trial=Trial(trials.number, max(0.0, now - trials.at)))

    def _prune_expired(self, now: float) -> None:
        for record in [item for item in self.records if self._is_expired(item, now)]:
            self.records.discard(record.worker_id)
            self._verdicts_valid_until = NEVER
        for request in [key for key in self._trials if key not in self.records.requests()]:
            if now - self._trials[request].changed_at > EVIDENCE_RETENTION_SECONDS:
                del self._trials[request]

    def _is_expired(self, record: CrashRecord, now: float) -> bool:
        """Return whether a record is to be removed: it is no evidence on any request any more."""
        if now - record.at <= EVIDENCE_RETENTION_SECONDS:
            return False
        return all(
            now - self.records.latest_crash_at(request) > self._retention_seconds(request)
            for request in record.suspects()
        )

    def _retention_seconds(self, request: str) -> float:
        """Return for how long after a request's last crash its crash records are kept at least.

        A request is blamed only as long as its records exist. Twice the quarantine leaves it on
        probation for at least as long as it was quarantined, before it counts as healthy again.
        """
        crashes = len(self.records.suspected_crashes(request))
        if crashes < MIN_QUARANTINE_CRASHES:
            return EVIDENCE_RETENTION_SECONDS
        return max(EVIDENCE_RETENTION_SECONDS, 2.0 * quarantine_seconds(crashes))


def quarantine_seconds(ends: int) -> float:
    """Return how long a request is quarantined after its last crash.

    >>> quarantine_seconds(MIN_QUARANTINE_CRASHES), quarantine_seconds(5), quarantine_seconds(99)
    (60.0, 240.0, 3600.0)
    """
    doublings = min(ends - MIN_QUARANTINE_CRASHES, MAX_DOUBLINGS)
    return min(MAX_QUARANTINE_SECONDS, MIN_QUARANTINE_SECONDS * 2.0**doublings)


def _report_changes_since(now: float, interval: float) -> float:
    return now - max(CHANGE_REPORT_SECONDS, 2.0 * interval)


def _limit_to_heartbeat(records: list[CrashRecord]) -> list[CrashRecord]:
    """Return the records that fit into one heartbeat, in order; the first always fits."""
    reported: list[CrashRecord] = []
    requests = 0
    for record in records[:MAX_REPORTS_PER_HEARTBEAT]:
        requests += len(record.requests)
        if reported and requests > MAX_REQUESTS_PER_HEARTBEAT:
            break
        reported.append(record)
    return reported
