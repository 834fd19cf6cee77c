"""Which requests crash the workers that run them, by what all gateways have seen.

A worker that ends breaks every call it had, so its end says little of any one of them. A request
under which one worker after the other ends, at whichever gateway it came in, and which never ends
well, is kept from workers: it is quarantined. After that it is on probation: one attempt in the
whole fleet at a time, until one ends well or quarantines it again, for longer.

No verdict is given on an end before other gateways had the time to tell which requests the worker
had (:mod:`crash_records`). A request that waits for its verdict is not sent meanwhile. Who is to
blame is decided by :mod:`crash_verdicts`. Pure: the time is handed in.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from corkcrank.scheduling.crash_records import NEVER, CrashRecord, CrashRecords
from corkcrank.scheduling.crash_reports import CrashReport, RequestAtEnd, Trial, TrialReport
from corkcrank.scheduling.crash_verdicts import CERTAIN_ENDS, QUARANTINE_ENDS, Verdict, judge

TRIAL_SECONDS = 30.0
"""Time that an attempt on probation has: the longest that a caller waits by default."""

EVIDENCE_SECONDS = 600.0
"""An end is forgotten after this time where no request was quarantined for it."""

QUARANTINE_SECONDS = 60.0
"""First quarantine. Each further end doubles it: a request that crashes workers costs one of them
at most for each probation."""

LONGEST_QUARANTINE_SECONDS = 3600.0
"""Longest time for which a request is shut out without another try."""

MOST_DOUBLINGS = 12
"""More ends make no quarantine longer."""

NEWS_SECONDS = 1.5
"""Time for which a change is told, or two heartbeats where these come more seldom."""

MOST_TOLD = 6
"""Ends that one heartbeat tells of, changed ones first; the others take turns."""

MOST_REQUESTS_TOLD = 24
"""Requests of all these ends together, unless a single end has more: an end is told whole."""

SUSPECT_SECONDS = 1.0
"""Time between two heartbeats that tell again of ends without a blamed request, which bounds their
bytes. Gateways that were cut off from each other unite what each saw."""


TURN_ENDS = 2
"""Ends from which on requests that were at all the same ones are sent one after the other."""

TURN_SECONDS = 0.5
"""Time between two of them: a sound one has had its first event, and gone on for a while, before
the next is sent."""

MOST_TURNS = 4
"""Requests that one waits for at most; the rest go together."""


class RequestState(StrEnum):
    """What is held of a request."""

    SOUND = "sound"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"
    PROBATION = "probation"


@dataclass(slots=True)
class _Trials:
    """Attempts on probation: their number, and when the newest began."""

    number: int = 0
    at: float = NEVER
    changed_at: float = NEVER


class RequestQuarantine:
    """The evidence about every request under which a worker ended, of all gateways."""

    def __init__(self) -> None:
        self.records = CrashRecords()
        self._trials: dict[str, _Trials] = {}
        self._verdicts: Mapping[str, Verdict] = {}
        self._judged_until = NEVER
        self._suspects_told_at = NEVER

    @property
    def empty(self) -> bool:
        """Return whether no request needs to be looked up."""
        return not self.records

    def note_end(
        self,
        request: str,
        worker_id: str,
        now: float,
        *,
        progressed: bool = False,
    ) -> bool:
        """Take that a worker ended with a request in progress; return whether that is new.

        ``progressed`` says that its run had gone on for a while.
        """
        news = self.records.add(worker_id, now, RequestAtEnd(request, progressed), now)
        return self._judge_again(news)

    def note_sound(self, request: str, now: float) -> bool:
        """Take that a request ended well; return whether anything counted against it."""
        return self._judge_again(self.records.clear(request, now))

    def note_loss(self, last_heard_at: float, now: float) -> bool:
        """Take that a gateway is gone without a word; return whether that changes any evidence."""
        return self._judge_again(self.records.note_loss(last_heard_at, now))

    def take(self, report: CrashReport, now: float) -> bool:
        """Take what a peer, or the store, tells of an end; return whether it was not known."""
        return self._judge_again(self.records.take(report, now))

    def take_trial(self, report: TrialReport, now: float) -> bool:
        """Take what a peer tells of a trial; return whether it is a later one."""
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
        """Return what is held of a request."""
        if request in self.verdicts(now):
            over = now >= self._released_at(request)
            return RequestState.PROBATION if over else RequestState.QUARANTINED
        suspected = bool(self.records.suspected_ends(request))
        return RequestState.SUSPECTED if suspected else RequestState.SOUND

    def seconds_left(self, request: str, now: float) -> float:
        """Return for how many seconds a request may not be sent to a worker, 0 if it may.

        On probation it may be sent again once the last attempt had its time.
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

        It waits for its verdict if it may be blamed by what is known but is not settled yet. Those
        that were at the same ends then take turns, so that the next end tells them apart.
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
        """Return whether an end counts against a request that is not judged yet."""
        return any(record.settles_at > now for record in self.records.suspected_ends(request))

    def note_sent(self, request: str, now: float) -> bool:
        """Take that a request goes to a worker; return whether that is its trial on probation."""
        if self.empty or self.state(request, now) is not RequestState.PROBATION:
            return False
        before = self._trials.get(request, _Trials())
        self._trials[request] = _Trials(before.number + 1, now, now)
        return True

    def reported(self, now: float, interval: float) -> tuple[CrashReport, ...]:
        """Return what a heartbeat tells of ends; ``interval`` is the time between two.

        Changed ones come first. Whoever was cut off, or has started since, hears of the others in
        turn: the one that was not told for longest is next.
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
        """Return what a heartbeat tells of attempts on probation, the newest of them."""
        since = _news_since(now, interval) - TRIAL_SECONDS
        lately = [key for key, trials in self._trials.items() if trials.changed_at > since]
        lately.sort(key=lambda key: self._trials[key].changed_at, reverse=True)
        return tuple(self._trial_report(key, now) for key in lately[:MOST_TOLD])

    def all_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return every end that is remembered, for a gateway that has just started."""
        self._forget_old(now)
        return tuple(record.report(now) for record in self.records)

    def verdicts(self, now: float) -> Mapping[str, Verdict]:
        """Return the requests to blame by all ends that are settled, with the reasons."""
        if now >= self._judged_until:
            self._verdicts = judge(self._settled(now))
            self._judged_until = self.next_settling(now)
        return self._verdicts

    def quarantined(self, now: float) -> list[str]:
        """Return the requests that are or were quarantined and have not ended well since."""
        return sorted(self.verdicts(now))

    def next_settling(self, now: float) -> float:
        """Return when the next end is judged that is not settled now."""
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
        """Return how many requests that were at all the same ends go before one."""
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
        """Return the ends that are no news, those not told for longest first."""
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
        """Return whether an end is forgotten: it says nothing of any request any more."""
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
    """Return how long a request is shut out after its last end.

    >>> quarantine_seconds(QUARANTINE_ENDS), quarantine_seconds(5), quarantine_seconds(99)
    (60.0, 240.0, 3600.0)
    """
    doublings = min(ends - QUARANTINE_ENDS, MOST_DOUBLINGS)
    return min(LONGEST_QUARANTINE_SECONDS, QUARANTINE_SECONDS * 2.0**doublings)


def _news_since(now: float, interval: float) -> float:
    return now - max(NEWS_SECONDS, 2.0 * interval)


def _within_bounds(records: list[CrashRecord]) -> list[CrashRecord]:
    """Return the first records that one heartbeat tells; the first of them in any case."""
    told: list[CrashRecord] = []
    requests = 0
    for record in records[:MOST_TOLD]:
        requests += len(record.requests)
        if told and requests > MOST_REQUESTS_TOLD:
            break
        told.append(record)
    return told
