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
from corkcrank.scheduling.crash_reports import CrashReport, RequestAtEnd, Trial, TrialReport
from corkcrank.scheduling.crash_verdicts import CERTAIN_ENDS, QUARANTINE_ENDS, Verdict, judge

TRIAL_SECONDS = 30.0
"""Time reserved for one attempt on probation: the default maximum wait of a caller."""

EVIDENCE_SECONDS = 600.0
"""Retention of a crash record for which no request was quarantined."""

QUARANTINE_SECONDS = 60.0
"""Length of the first quarantine. Each further crash doubles it: a request that crashes workers
crashes at most one for each probation."""

LONGEST_QUARANTINE_SECONDS = 3600.0
"""Maximum time for which a request is quarantined without another attempt."""

MOST_DOUBLINGS = 12
"""Crashes beyond this number of doublings do not extend the quarantine."""

NEWS_SECONDS = 1.5
"""Time for which a change is reported, or two heartbeat intervals if those are longer."""

MOST_TOLD = 6
"""Maximum number of crashes, or of trials, in one heartbeat. Changed crash records come first, the
others in round-robin order."""

MOST_REQUESTS_TOLD = 24
"""Maximum number of requests in these crash reports together. A single crash with more requests is
still reported whole."""

SUSPECT_SECONDS = 1.0
"""Interval at which heartbeats repeat crashes without a blamed request, which bounds their bytes.
The repetition lets gateways merge their evidence after a network partition."""


TURN_ENDS = 2
"""Minimum number of crashes from which requests that share all of them are sent one at a time."""

TURN_SECONDS = 0.5
"""Interval between two such requests: a healthy one gets its first event and progresses for a while
before the next one is sent."""

MOST_TURNS = 4
"""Maximum number of requests that one request waits for; all later ones are sent together."""


class RequestState(StrEnum):
    """The quarantine state of a request."""

    SOUND = "sound"
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
        self._judged_until = NEVER
        self._suspects_told_at = NEVER

    @property
    def empty(self) -> bool:
        """Return whether there is no crash record, so that no request has to be checked."""
        return not self.records

    def note_end(
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
        news = self.records.add(worker_id, now, RequestAtEnd(request, progressed), now)
        return self._judge_again(news)

    def note_sound(self, request: str, now: float) -> bool:
        """Record that a request completed; return whether any crash counted against it."""
        return self._judge_again(self.records.clear(request, now))

    def note_loss(self, last_heard_at: float, now: float) -> bool:
        """Record that a gateway failed without notice; return whether any evidence changed."""
        return self._judge_again(self.records.note_loss(last_heard_at, now))

    def take(self, report: CrashReport, now: float) -> bool:
        """Apply a crash report of a peer or of the store; return whether any evidence changed."""
        return self._judge_again(self.records.take(report, now))

    def take_trial(self, report: TrialReport, now: float) -> bool:
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
            over = now >= self._released_at(request)
            return RequestState.PROBATION if over else RequestState.QUARANTINED
        suspected = bool(self.records.suspected_ends(request))
        return RequestState.SUSPECTED if suspected else RequestState.SOUND

    def seconds_left(self, request: str, now: float) -> float:
        """Return for how many seconds a request may not be sent to a worker, 0 if it may.

        On probation it may be sent again once ``TRIAL_SECONDS`` have passed since the last attempt.
        """
        state = self.state(request, now)
        if state is RequestState.QUARANTINED:
            return self._released_at(request) - now
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
        ends = self.records.suspected_ends(request)
        if len(ends) < TURN_ENDS or request in self.verdicts(now):
            return 0.0
        begins_at = max(record.at for record in ends)
        if self._may_be_blamed(request, ends, now):
            begins_at = max(record.settles_at for record in ends)
        turn = TURN_SECONDS * self._turn(request, ends, now)
        return max(0.0, begins_at + turn - now)

    def is_undecided(self, request: str, now: float) -> bool:
        """Return whether a crash that counts against a request is not decidable yet."""
        return any(record.settles_at > now for record in self.records.suspected_ends(request))

    def note_sent(self, request: str, now: float) -> bool:
        """Record that a request is sent; return whether this is an attempt on probation."""
        if self.empty or self.state(request, now) is not RequestState.PROBATION:
            return False
        before = self._trials.get(request, _Trials())
        self._trials[request] = _Trials(before.number + 1, now, now)
        return True

    def reported(self, now: float, interval: float) -> tuple[CrashReport, ...]:
        """Return the crash reports of one heartbeat; ``interval`` is the time between heartbeats.

        Changed records come first. The others follow for gateways that were partitioned or have
        started since, ordered by the time since their last report, longest first.
        """
        self._forget_old(now)
        if self.empty:
            return ()
        since = _news_since(now, interval)
        changed = [record for record in self.records if record.changed_at > since]
        changed.sort(key=lambda record: (record.told_at, -record.changed_at))
        told = _within_bounds([*changed, *self._in_turn(since, now)])
        for record in told:
            record.told_at = now
        return tuple(record.report(now) for record in told)

    def reported_trials(self, now: float, interval: float) -> tuple[TrialReport, ...]:
        """Return the reports of one heartbeat on probation attempts, latest changes first."""
        since = _news_since(now, interval) - TRIAL_SECONDS
        lately = [key for key, trials in self._trials.items() if trials.changed_at > since]
        lately.sort(key=lambda key: self._trials[key].changed_at, reverse=True)
        return tuple(self._trial_report(key, now) for key in lately[:MOST_TOLD])

    def all_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return reports of all stored crashes, for a gateway that has just started."""
        self._forget_old(now)
        return tuple(record.report(now) for record in self.records)

    def verdicts(self, now: float) -> Mapping[str, Verdict]:
        """Return the requests to blame by all decidable records, with the reasons."""
        if now >= self._judged_until:
            self._verdicts = judge(self._settled(now))
            self._judged_until = self.next_settling(now)
        return self._verdicts

    def quarantined(self, now: float) -> list[str]:
        """Return the blamed requests, in quarantine or on probation, in sorted order."""
        return sorted(self.verdicts(now))

    def next_settling(self, now: float) -> float:
        """Return when the next record becomes decidable, infinity if all are."""
        waiting = [item.settles_at for item in self.records if item.settles_at > now]
        return min(waiting, default=float("inf"))

    def _settled(self, now: float) -> Iterable[CrashRecord]:
        return (record for record in self.records if record.settles_at <= now)

    def _judge_again(self, news: bool) -> bool:
        if news:
            self._judged_until = NEVER
        return news

    def _released_at(self, request: str) -> float:
        ends = self.records.suspected_ends(request)
        return max(record.at for record in ends) + quarantine_seconds(len(ends))

    def _turn(self, request: str, ends: list[CrashRecord], now: float) -> int:
        """Return how many requests that share all of these crashes are sent before a request."""
        verdicts = self.verdicts(now)
        rivals = set.intersection(*(set(record.suspects()) for record in ends))
        before = [key for key in rivals if key < request and key not in verdicts]
        return min(MOST_TURNS, len(before))

    def _may_be_blamed(self, request: str, ends: list[CrashRecord], now: float) -> bool:
        if len(ends) >= CERTAIN_ENDS:
            return True
        beginnings = [
            record
            for record in ends
            if not record.requests[request].progressed and not self._has_blamed(record, now)
        ]
        return len(beginnings) >= QUARANTINE_ENDS

    def _in_turn(self, since: float, now: float) -> list[CrashRecord]:
        """Return the unchanged records that are to be reported, least recently reported first."""
        old = [record for record in self.records if record.changed_at <= since]
        if now - self._suspects_told_at >= SUSPECT_SECONDS:
            self._suspects_told_at = now
        else:
            old = [record for record in old if self._has_blamed(record, now)]
        return sorted(old, key=lambda record: (record.told_at, record.at))

    def _has_blamed(self, record: CrashRecord, now: float) -> bool:
        verdicts = self.verdicts(now)
        return any(request in verdicts for request in record.suspects())

    def _trial_report(self, request: str, now: float) -> TrialReport:
        trials = self._trials[request]
        return TrialReport(request, trial=Trial(trials.number, max(0.0, now - trials.at)))

    def _forget_old(self, now: float) -> None:
        for record in [item for item in self.records if self._is_old(item, now)]:
            self.records.forget(record.worker_id)
            self._judged_until = NEVER
        for request in [key for key in self._trials if key not in self.records.requests()]:
            if now - self._trials[request].changed_at > EVIDENCE_SECONDS:
                del self._trials[request]

    def _is_old(self, record: CrashRecord, now: float) -> bool:
        """Return whether a record is to be removed: it is no evidence on any request any more."""
        if now - record.at <= EVIDENCE_SECONDS:
            return False
        return all(
            now - self.records.newest_end(request) > self._kept_seconds(request)
            for request in record.suspects()
        )

    def _kept_seconds(self, request: str) -> float:
        ends = len(self.records.suspected_ends(request))
        if ends < QUARANTINE_ENDS:
            return EVIDENCE_SECONDS
        return max(EVIDENCE_SECONDS, 2.0 * quarantine_seconds(ends))


def quarantine_seconds(ends: int) -> float:
    """Return how long a request is quarantined after its last crash.

    >>> quarantine_seconds(QUARANTINE_ENDS), quarantine_seconds(5), quarantine_seconds(99)
    (60.0, 240.0, 3600.0)
    """
    doublings = min(ends - QUARANTINE_ENDS, MOST_DOUBLINGS)
    return min(LONGEST_QUARANTINE_SECONDS, QUARANTINE_SECONDS * 2.0**doublings)


def _news_since(now: float, interval: float) -> float:
    return now - max(NEWS_SECONDS, 2.0 * interval)


def _within_bounds(records: list[CrashRecord]) -> list[CrashRecord]:
    """Return the records that fit into one heartbeat, in order; the first always fits."""
    told: list[CrashRecord] = []
    requests = 0
    for record in records[:MOST_TOLD]:
        requests += len(record.requests)
        if told and requests > MOST_REQUESTS_TOLD:
            break
        told.append(record)
    return told
