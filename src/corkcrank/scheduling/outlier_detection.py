"""Detects workers that fail more of their calls than the other workers of the same service.

Each worker has two results. The excess is its expected failure rate above the usual rate; the
choice of a worker adds it as a gradual cost from the first failure on. A worker is ejected when its
failure rate exceeds that of the better half of the other workers with high confidence. It then gets
calls only if the other workers have no capacity left. An ejected worker becomes half open after a
while: a few repeatable calls probe it, and their outcomes restore it or eject it again. The module
does no I/O; callers pass the outcomes and the time.
"""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from math import sqrt

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.scheduling.worker_outcomes import Counts, Evidence, OutcomeTable

CONFIDENCE_STANDARD_DEVIATIONS = 2.5
"""Standard deviations between a worker's failure rate and its lower bound."""

MIN_EXCESS_FOR_EJECTION = 0.1
"""Minimum distance of the lower bound from the failure rate of the other workers for an ejection.
Below it, retries of failed calls cost less than the loss of the worker's capacity."""

MIN_FAILURES_FOR_EJECTION = 2.2
"""Minimum weight of failures for an ejection. Two failures never reach it; three within four
seconds do."""

PRIOR_CALLS = 10.0
"""Served calls added to those of the other workers as a prior of their failure rate."""

USUAL_RATE = 0.1
"""Failure rate that is treated as noise; only the part above it counts as excess."""

PRIOR_WEIGHT = 5.0
"""Weight of the usual rate as a prior, in calls: one failure among two calls raises the expected
rate from 0.1 to 0.21, three among six raise it to 0.32."""

MAX_EJECTED_SHARE = 0.5
"""Share of a service's workers that may be ejected or half open at a time. If all workers fail,
calls are still spread over them."""

BASE_EJECTION_SECONDS = 3.0
"""Duration of a worker's first ejection: the usual length of a transient fault."""

MAX_EJECTION_SECONDS = 12.0
"""Upper limit of an ejection. Each consecutive ejection lasts twice as long as the previous one."""

MAX_DOUBLINGS = 8
"""Limit of the doubling's exponent, which avoids an overflow. :data:`MAX_EJECTION_SECONDS` applies
first."""

EJECTION_JITTER = 0.2
"""Relative jitter of an ejection's duration, so that gateways do not probe at the same time."""

EJECTION_RESET_SECONDS = 20.0
"""Time after which the ejections of a healthy worker start again at the first duration."""

MIN_SERVED_FOR_RESTORATION = 4.5
"""Weight of served calls without a failure that restores a half-open worker. A worker that fails
half of its calls passes five probes with a probability of 1 in 32."""

MIN_PROBE_FAILURES_FOR_EJECTION = 0.5
"""Weight of failures that ejects a half-open worker again."""

MAX_HALF_OPEN_SECONDS = 15.0
"""Time after which a half-open worker without probes is restored, for services without repeatable
calls. The weight of its old failures has then decayed to an eighth."""


class Verdict(StrEnum):
    """State of a worker: usable, ejected, or half open for probes."""

    HEALTHY = "sound"
    EJECTED = "ejected"
    HALF_OPEN = "half-open"


@dataclass(frozen=True, slots=True)
class VerdictChange:
    """Change of a worker's verdict, with the figures that caused it.

    ``bound`` is the lower bound of the failure rate and ``others`` the failure rate of the better
    half of the other workers. ``seconds`` is the duration of the previous verdict.
    """

    worker: WorkerRecord
    before: Verdict
    after: Verdict
    evidence: Evidence
    bound: float
    others: float
    seconds: float


@dataclass(slots=True)
class _EjectionState:
    """Verdict on a worker, and the earlier evidence that is subtracted."""

    verdict: Verdict
    since: float
    until: float = 0.0
    ejections: int = 0
    baseline: Evidence = field(default_factory=Evidence)
    baseline_at: float = 0.0


class OutlierDetector:
    """Verdicts of one gateway on workers with recorded failures."""

    def __init__(self, outcomes: OutcomeTable, random_source: random.Random) -> None:
        self._outcomes = outcomes
        self._random = random_source
        self._states: dict[str, _EjectionState] = {}
        self._excess: dict[str, float] = {}

    def excess(self, worker_id: str) -> float:
        """Return how far a worker's expected failure rate is above the usual rate, 0 to 1."""
        return self._excess.get(worker_id, 0.0)

    def verdict(self, worker_id: str) -> Verdict:
        """Return the verdict on a worker; an unknown worker is healthy."""
        state = self._states.get(worker_id)
        return state.verdict if state is not None else Verdict.HEALTHY

    def unhealthy_workers(self) -> set[str]:
        """Return the ids of the workers that are ejected or half open."""
        return {key for key, item in self._states.items() if item.verdict is not Verdict.HEALTHY}

    def retain_only(self, worker_ids: Collection[str]) -> None:
        """Remove the state of workers that are no longer listed."""
        for worker_id in [key for key in self._states if key not in worker_ids]:
            del self._states[worker_id]
        for worker_id in [key for key in self._excess if key not in worker_ids]:
            del self._excess[worker_id]

    def update_verdicts(self, workers: Sequence[WorkerRecord], now: float) -> list[VerdictChange]:
        """Update the verdicts on all usable workers of one service; return the changes."""
        evidence = {
            worker.worker_id: self._evidence_since_baseline(worker.worker_id, now)
            for worker in workers
        }
        self._update_excess(evidence)
        changes = [
            change
            for worker in workers
            if (change := self._advance_verdict(worker, evidence[worker.worker_id], now))
            is not None
        ]
        return changes + self._eject_outliers(workers, evidence, now)

    def _update_excess(self, evidence: dict[str, Evidence]) -> None:
        usual = max(
            USUAL_RATE, _failure_rate_of_better_half([item.counts for item in evidence.values()])
        )
        for worker_id, item in evidence.items():
            self._excess[worker_id] = max(0.0, expected_failure_rate(item.counts, usual) - usual)

    def _evidence_since_baseline(self, worker_id: str, now: float) -> Evidence:
        """Return a worker's evidence since its last change to half open or healthy."""
        known = self._outcomes.evidence(worker_id, now)
        state = self._states.get(worker_id)
        if state is None:
            return known
        return known.since(state.baseline, now - state.baseline_at)

    def _advance_verdict(
        self, worker: WorkerRecord, evidence: Evidence, now: float
    ) -> VerdictChange | None:
        """Half-open a worker whose ejection has expired, or evaluate a half-open one's probes."""
        state = self._states.get(worker.worker_id)
        if state is None:
            return None
        if state.verdict is Verdict.EJECTED and now >= state.until:
            self._reset_baseline(state, worker.worker_id, now)
            return self._set_verdict(worker, Verdict.HALF_OPEN, evidence, 0.0, now)
        if state.verdict is not Verdict.HALF_OPEN:
            return None
        counts = evidence.counts
        if counts.failed >= MIN_PROBE_FAILURES_FOR_EJECTION:
            return self._set_verdict(worker, Verdict.EJECTED, evidence, 0.0, now)
        expired = now - state.since >= MAX_HALF_OPEN_SECONDS
        if counts.served >= MIN_SERVED_FOR_RESTORATION or expired:
            self._reset_baseline(state, worker.worker_id, now)
            return self._set_verdict(worker, Verdict.HEALTHY, evidence, 0.0, now)
        return None

    def _reset_baseline(self, state: _EjectionState, worker_id: str, now: float) -> None:
        state.baseline = self._outcomes.evidence(worker_id, now)
        state.baseline_at = now

    def _eject_outliers(
        self, workers: Sequence[WorkerRecord], evidence: dict[str, Evidence], now: float
    ) -> list[VerdictChange]:
        """Eject outliers, the highest lower bound first, up to the allowed share of workers."""
        not_healthy = sum(
            self.verdict(worker.worker_id) is not Verdict.HEALTHY for worker in workers
        )
        allowed = int(MAX_EJECTED_SHARE * len(workers)) - not_healthy
        if allowed <= 0:
            return []
        outliers: list[tuple[float, float, WorkerRecord]] = []
        for worker in workers:
            counts = evidence[worker.worker_id].counts
            healthy = self.verdict(worker.worker_id) is Verdict.HEALTHY
            if not healthy or counts.failed < MIN_FAILURES_FOR_EJECTION:
                continue
            others = _failure_rate_of_better_half(
                [item.counts for key, item in evidence.items() if key != worker.worker_id]
            )
            bound = failure_rate_lower_bound(counts)
            if bound >= others + MIN_EXCESS_FOR_EJECTION:
                outliers.append((bound, others, worker))
        outliers.sort(key=lambda item: item[0], reverse=True)
        return [
            self._set_verdict(worker, Verdict.EJECTED, evidence[worker.worker_id], others, now)
            for _, others, worker in outliers[:allowed]
        ]

    def _set_verdict(
        self, worker: WorkerRecord, after: Verdict, evidence: Evidence, others: float, now: float
    ) -> VerdictChange:
        state = self._states.setdefault(
            worker.worker_id, _EjectionState(Verdict.HEALTHY, since=now)
        )
        before, seconds = state.verdict, now - state.since
        if after is Verdict.EJECTED:
            if before is Verdict.HEALTHY and seconds >= EJECTION_RESET_SECONDS:
                state.ejections = 0
            state.until = now + self._ejection_seconds(state.ejections)
            state.ejections += 1
        state.verdict, state.since = after, now
        bound = failure_rate_lower_bound(evidence.counts)
        return VerdictChange(worker, before, after, evidence, bound, others, seconds)

    def _ejection_seconds(self, ejections: int) -> float:
        seconds = min(
            MAX_EJECTION_SECONDS, BASE_EJECTION_SECONDS * 2.0 ** min(ejections, MAX_DOUBLINGS)
        )
        return seconds * self._random.uniform(1.0 - EJECTION_JITTER, 1.0 + EJECTION_JITTER)


def expected_failure_rate(counts: Counts, usual: float) -> float:
    """Return the mean of the Beta posterior of a failure rate, with the usual rate as prior.

    A fixed prior fails if all workers fail: the fewer calls a worker had, the closer its rate
    stays to the prior, and the better it looks. Callers therefore pass the service's usual rate.

    >>> round(expected_failure_rate(Counts(), 0.1), 2), round(
    ...     expected_failure_rate(Counts(3.0, 3.0), 0.1), 2
    ... )
    (0.1, 0.32)
    """
    return (counts.failed + usual * PRIOR_WEIGHT) / (counts.total + PRIOR_WEIGHT)


def failure_rate_lower_bound(counts: Counts) -> float:
    """Return the lower end of the Wilson interval of a failure rate.

    >>> failure_rate_lower_bound(Counts(0.0, 0.0)), round(
    ...     failure_rate_lower_bound(Counts(3.0, 3.0)), 2
    ... )
    (0.0, 0.14)
    """
    total = counts.total
    if total <= 0.0:
        return 0.0
    rate, square = (
        counts.failed / total,
        CONFIDENCE_STANDARD_DEVIATIONS * CONFIDENCE_STANDARD_DEVIATIONS,
    )
    middle = rate + square / (2.0 * total)
    spread = CONFIDENCE_STANDARD_DEVIATIONS * sqrt(
        rate * (1.0 - rate) / total + square / (4.0 * total * total)
    )
    return max(0.0, (middle - spread) / (1.0 + square / total))


def _failure_rate_of_better_half(counts: Sequence[Counts]) -> float:
    """Return the failure rate of the half of the workers that fails the smallest share."""
    ordered = sorted(counts, key=lambda item: item.failed / (item.total + 1.0))
    combined = Counts(served=PRIOR_CALLS)
    for item in ordered[: (len(ordered) + 1) // 2]:
        combined = combined.plus(item)
    return combined.failed / combined.total
