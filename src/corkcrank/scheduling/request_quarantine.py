"""Quarantines requests and prompt parts that crash workers, using evidence of all gateways.

A worker crash interrupts every call in progress there, so a single crash is weak evidence against
each of them. A request is quarantined, that is, no longer sent to workers, if several workers crash
while running it, at any gateway, and it never completes successfully. After its quarantine the
request is on probation: the whole fleet makes one attempt at a time. Probation ends when an attempt
completes successfully, or crashes a worker and so starts a longer quarantine.

Different requests may share a prompt part that crashes the engines which generate after it. Such a
part is a suspect too, with the same records, quarantine and probation, identified by its
fingerprint. No request with a quarantined part is sent.

A crash counts only once other gateways had time to report the worker's requests
(:mod:`crash_records`). A request is not sent while its verdict is pending. A verdict that all known
crashes together contradict is pending until the next of them counts.
:mod:`crash_verdicts` decides which requests are to blame, :mod:`part_verdicts` which parts. The
module has no side effects and reads no clock: callers pass the current time.
"""

from collections.abc import Collection, Iterable, Mapping
from enum import StrEnum

from corkcrank.scheduling.crash_records import NEVER, CrashRecord, CrashRecords, SuccessUpdate
from corkcrank.scheduling.crash_report_schedule import CrashReportSchedule
from corkcrank.scheduling.crash_reports import CrashReport, RequestAtCrash, TrialReport
from corkcrank.scheduling.crash_verdicts import (
    MIN_CERTAINTY_CRASHES,
    MIN_QUARANTINE_CRASHES,
    Verdict,
    judge_requests,
)
from corkcrank.scheduling.part_successes import PartSuccesses
from corkcrank.scheduling.part_verdicts import judge_parts, succeeded_parts
from corkcrank.scheduling.probation_trials import ProbationTrials
from corkcrank.scheduling.quarantine_times import part_quarantine_seconds, quarantine_seconds

EVIDENCE_RETENTION_SECONDS = 600.0
"""Retention of a crash record for which no suspect was quarantined."""

MIN_TURN_CRASHES = 2
"""Minimum number of crashes that requests share before they are sent one at a time."""

TURN_SECONDS = 0.5
"""Interval between two such requests. It lets a healthy request progress beyond its first event
before the next one is sent."""

MAX_TURNS = 4
"""Maximum number of requests that one request waits for; later ones are sent together."""


class RequestState(StrEnum):
    """The quarantine state of a request or of a prompt part."""

    HEALTHY = "sound"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"
    PROBATION = "probation"


class _Judgement:
    """The verdicts on parts and requests by some records.

    Requests are not to blame for crashes that a part explains. ``succeeded`` are the parts with a
    success in any record.
    """

    def __init__(self, records: list[CrashRecord], succeeded: Collection[str] = ()) -> None:
        self.requests = judge_requests(records)
        self.parts = judge_parts(records, self.requests, succeeded)
        if not self.parts:
            return
        explained = {
            record.worker_id
            for record in records
            if any(record.is_suspect(part) for part in self.parts.keys() & record.parts.keys())
        }
        unexplained = [record for record in records if record.worker_id not in explained]
        self.requests = judge_requests(unexplained)

    def remove_contradicted(self, other: "_Judgement") -> frozenset[str]:
        """Remove the verdicts that another judgement does not give; return their suspects."""
        removed = (self.requests.keys() - other.requests.keys()) | (
            self.parts.keys() - other.parts.keys()
        )
        self.requests = {key: self.requests[key] for key in self.requests if key not in removed}
        self.parts = {key: self.parts[key] for key in self.parts if key not in removed}
        return frozenset(removed)


class RequestQuarantine:
    """The evidence of all gateways on every request and part in progress at a worker crash.

    ``probation_offset`` delays this gateway's probation of a part, in seconds.
    """

    def __init__(self, probation_offset: float = 0.0) -> None:
        self.records = CrashRecords()
        self.probation_offset = probation_offset
        self.part_successes = PartSuccesses()
        self._trials = ProbationTrials()
        self._schedule = CrashReportSchedule(self.records, self._has_blamed_suspect)
        self._decided = _Judgement([])
        self._expected = _Judgement([])
        """The verdicts if all records were decidable now."""
        self._contradicted: frozenset[str] = frozenset()
        """The suspects that the decidable records blame, but not all records together."""
        self._judged_until = NEVER

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
        parts: tuple[str, ...] = (),
    ) -> bool:
        """Record that a worker crashed with a request in progress; return whether that is new.

        ``progressed`` is true if the request ran beyond its early phase. ``parts`` are the shared
        parts of its prompt.
        """
        item = RequestAtCrash(request, progressed, parts=parts)
        changed = self.records.add_request(worker_id, now, item, now)
        self._apply_known_successes(worker_id, parts, now)
        return self._invalidate_if_changed(changed)

    def record_success(self, suspect: str, now: float) -> bool:
        """Clear a suspect; return whether any crash counted against it."""
        cleared = self.records.clear_request(suspect, now)
        if suspect in self.records.parts():
            cleared = self.records.clear_part(suspect, now)
        return self._invalidate_if_changed(cleared)

    def record_progress(
        self, parts: Iterable[str], at: float, now: float, *, restored: bool = False
    ) -> bool:
        """Record that a run whose prompt has these parts, with its first event ``at``, progressed.

        Returns whether to report it to peers immediately.
        """
        record = self.part_successes.restore if restored else self.part_successes.record
        update = SuccessUpdate.NONE
        for part in parts:
            record(part, at)
            if part in self.records.parts():
                update = max(update, self.records.record_part_success(part, at, now))
        self._invalidate_if_changed(update is not SuccessUpdate.NONE)
        return update is SuccessUpdate.FIRST

    def record_gateway_failure(self, last_heard_at: float, now: float) -> bool:
        """Record that a gateway failed without notice; return whether any evidence changed."""
        return self._invalidate_if_changed(self.records.record_gateway_failure(last_heard_at, now))

    def apply_report(self, report: CrashReport, now: float) -> bool:
        """Apply a crash report of a peer or of the store; return whether any evidence changed."""
        changed = self.records.apply_report(report, now)
        if report.prompt_parts is not None:
            parts = report.prompt_parts.parts()
            changed = self._apply_known_successes(report.worker_id, parts, now) or changed
        return self._invalidate_if_changed(changed)

    def apply_trial_report(self, report: TrialReport, now: float) -> bool:
        """Apply a peer's trial report; return whether the trial is later than the known one."""
        return self._trials.apply_report(report, now)

    def state(self, suspect: str, now: float) -> RequestState:
        """Return the state of a request or part."""
        if suspect in self.verdicts(now):
            over = now >= self._quarantine_ends_at(suspect)
            return RequestState.PROBATION if over else RequestState.QUARANTINED
        suspected = bool(self.records.suspected_crashes(suspect))
        return RequestState.SUSPECTED if suspected else RequestState.HEALTHY

    def seconds_left(self, suspect: str, now: float) -> float:
        """Return the seconds until a request or part may be sent, 0 if it may.

        On probation, it may be sent again after the time reserved for the last attempt.
        """
        state = self.state(suspect, now)
        if state is RequestState.QUARANTINED:
            return self._quarantine_ends_at(suspect) - now
        if state is RequestState.PROBATION:
            return self._trials.seconds_until_free(suspect, now)
        return 0.0

    def seconds_to_wait(self, suspect: str, now: float) -> float:
        """Return the seconds that a suspect without blame waits before it is sent, 0 for none.

        It waits for its verdict if undecided records may put it to blame, or may clear it. Requests
        that share the same crashes are then sent one at a time, so that the next crash
        distinguishes them.
        """
        self._judge(now)
        if suspect in self._contradicted:
            return self._judged_until - now
        if suspect in self.records.parts():
            return self._seconds_to_part_verdict(suspect, now)
        ends = self.records.suspected_crashes(suspect)
        if len(ends) < MIN_TURN_CRASHES or suspect in self.verdicts(now):
            return 0.0
        turns_begin_at = max(record.at for record in ends)
        if self._may_be_blamed(suspect, ends, now):
            turns_begin_at = max(record.decidable_at for record in ends)
        turn_delay = TURN_SECONDS * self._turns_ahead(suspect, ends, now)
        return max(0.0, turns_begin_at + turn_delay - now)

    def is_undecided(self, suspect: str, now: float) -> bool:
        """Return whether crashes that may change the verdict on a suspect are not decidable yet."""
        self._judge(now)
        ends = self.records.suspected_crashes(suspect)
        return suspect in self._contradicted or any(record.decidable_at > now for record in ends)

    def record_sent(self, suspect: str, now: float) -> bool:
        """Record that a suspect is sent; return whether this is an attempt on probation."""
        if self.empty or self.state(suspect, now) is not RequestState.PROBATION:
            return False
        self._trials.begin(suspect, now)
        return True

    def crash_reports(self, now: float, interval: float) -> tuple[CrashReport, ...]:
        """Return the crash reports of one heartbeat; ``interval`` is the seconds between two."""
        self._prune_expired(now)
        return () if self.empty else self._schedule.next_reports(now, interval)

    def trial_reports(self, now: float, interval: float) -> tuple[TrialReport, ...]:
        """Return the reports of one heartbeat on probation attempts, latest changes first."""
        return self._trials.next_reports(now, interval)

    def all_crash_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return reports of all stored crashes, for a gateway that has just started."""
        self._prune_expired(now)
        return tuple(record.to_report(now) for record in self.records)

    def verdicts(self, now: float) -> Mapping[str, Verdict]:
        """Return the requests and parts to blame by all decidable records, with the reasons."""
        self._judge(now)
        return {**self._decided.parts, **self._decided.requests}

    def blamed_requests(self, now: float) -> list[str]:
        """Return the blamed requests and parts, in quarantine or on probation, sorted."""
        return sorted(self.verdicts(now))

    def blamed_parts(self, now: float) -> list[str]:
        """Return the blamed parts, in quarantine or on probation, sorted."""
        self._judge(now)
        return sorted(self._decided.parts)

    def next_decidable_at(self, now: float) -> float:
        """Return when the next record becomes decidable, infinity if all are decidable."""
        waiting = [item.decidable_at for item in self.records if item.decidable_at > now]
        return min(waiting, default=float("inf"))

    def _judge(self, now: float) -> None:
        if now < self._judged_until:
            return
        records = list(self.records)
        succeeded = succeeded_parts(records)
        self._decided = _Judgement(
            [item for item in records if item.decidable_at <= now], succeeded
        )
        self._judged_until = self.next_decidable_at(now)
        undecided = self._judged_until < float("inf")
        self._expected = _Judgement(records, succeeded) if undecided else self._decided
        self._contradicted = self._decided.remove_contradicted(self._expected)

    def _invalidate_if_changed(self, changed: bool) -> bool:
        if changed:
            self._judged_until = NEVER
        return changed

    def _apply_known_successes(self, worker_id: str, parts: Iterable[str], now: float) -> bool:
        """Add the known successes of parts to a crash record; return whether any is new."""
        update = SuccessUpdate.NONE
        for part in parts:
            at = self.part_successes.latest(part, now)
            if at is not None:
                update = max(update, self.records.record_success_at(worker_id, part, at, now))
        return update is not SuccessUpdate.NONE

    def _seconds_to_part_verdict(self, part: str, now: float) -> float:
        """Return the seconds until a verdict on a part that undecided records would blame."""
        if part in self._decided.parts or part not in self._expected.parts:
            return 0.0
        ends = self.records.suspected_crashes(part)
        return max(0.0, max(record.decidable_at for record in ends) - now)

    def _quarantine_ends_at(self, suspect: str) -> float:
        times = sorted(record.at for record in self.records.suspected_crashes(suspect))
        if suspect in self._decided.parts:
            return times[-1] + part_quarantine_seconds(times) + self.probation_offset
        return times[-1] + quarantine_seconds(len(times))

    def _turns_ahead(self, request: str, ends: list[CrashRecord], now: float) -> int:
        """Return the number of requests sharing all of these crashes that are sent first."""
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
            if record.requests[request].early and not self._has_blamed_suspect(record, now)
        ]
        return len(early_runs) >= MIN_QUARANTINE_CRASHES

    def _has_blamed_suspect(self, record: CrashRecord, now: float) -> bool:
        verdicts = self.verdicts(now)
        return any(
            record.is_suspect(suspect)
            for suspect in verdicts.keys() & (record.requests.keys() | record.parts.keys())
        )

    def _prune_expired(self, now: float) -> None:
        for record in [item for item in self.records if self._is_expired(item, now)]:
            self.records.discard(record.worker_id)
            self._judged_until = NEVER
        suspects = {*self.records.requests(), *self.records.parts()}
        self._trials.prune(suspects, now - EVIDENCE_RETENTION_SECONDS)

    def _is_expired(self, record: CrashRecord, now: float) -> bool:
        """Return whether a record is no longer evidence on any suspect and can be removed."""
        if now - record.at <= EVIDENCE_RETENTION_SECONDS:
            return False
        blamed = [part for part in self.blamed_parts(now) if record.is_suspect(part)]
        return all(
            now - self.records.latest_crash_at(suspect) > self._retention_seconds(suspect)
            for suspect in (*record.suspects(), *blamed)
        )

    def _retention_seconds(self, suspect: str) -> float:
        """Return the minimum retention of crash records after a suspect's last crash, in seconds.

        A suspect is blamed only as long as its records exist. Twice the quarantine keeps it on
        probation for at least as long as it was quarantined.
        """
        crashes = len(self.records.suspected_crashes(suspect))
        if crashes < MIN_QUARANTINE_CRASHES:
            return EVIDENCE_RETENTION_SECONDS
        return max(EVIDENCE_RETENTION_SECONDS, 2.0 * quarantine_seconds(crashes))
