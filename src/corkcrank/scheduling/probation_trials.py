"""Tracks the attempts of suspects on probation: one at a time in the whole fleet."""

from collections.abc import Collection
from dataclasses import dataclass

from corkcrank.scheduling.crash_records import NEVER
from corkcrank.scheduling.crash_report_schedule import (
    MAX_REPORTS_PER_HEARTBEAT,
    report_changes_since,
)
from corkcrank.scheduling.crash_reports import Trial, TrialReport

TRIAL_SECONDS = 30.0
"""Time reserved for one attempt on probation: the default maximum wait of a caller."""


@dataclass(slots=True)
class _Trials:
    """The attempts of one suspect: their number, and the start of the latest one."""

    number: int = 0
    at: float = NEVER
    changed_at: float = NEVER


class ProbationTrials:
    """The known attempts of all gateways, by suspect."""

    def __init__(self) -> None:
        self._trials: dict[str, _Trials] = {}

    def seconds_until_free(self, suspect: str, now: float) -> float:
        """Return for how many seconds the latest attempt still reserves a suspect's probation."""
        trials = self._trials.get(suspect, _Trials())
        return max(0.0, trials.at + TRIAL_SECONDS - now)

    def begin(self, suspect: str, now: float) -> None:
        """Record an attempt that this gateway begins."""
        before = self._trials.get(suspect, _Trials())
        self._trials[suspect] = _Trials(before.number + 1, now, now)

    def apply_report(self, report: TrialReport, now: float) -> bool:
        """Apply a peer's report; return whether the attempt is later than the known one."""
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

    def next_reports(self, now: float, interval: float) -> tuple[TrialReport, ...]:
        """Return the reports of one heartbeat, latest changes first."""
        since = report_changes_since(now, interval) - TRIAL_SECONDS
        recent = [key for key, trials in self._trials.items() if trials.changed_at > since]
        recent.sort(key=lambda key: self._trials[key].changed_at, reverse=True)
        return tuple(self._report(key, now) for key in recent[:MAX_REPORTS_PER_HEARTBEAT])

    def prune(self, suspects: Collection[str], unchanged_since: float) -> None:
        """Remove the old attempts of requests and parts that are no longer suspects."""
        for key in [key for key in self._trials if key not in suspects]:
            if self._trials[key].changed_at < unchanged_since:
                del self._trials[key]

    def _report(self, suspect: str, now: float) -> TrialReport:
        trials = self._trials[suspect]
        return TrialReport(suspect, trial=Trial(trials.number, max(0.0, now - trials.at)))
