"""Counts the recent outcomes of calls to each worker, at this gateway and at its peers.

Counts decay exponentially with time. The module does no I/O; callers pass the time, in seconds of
one clock.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

HALF_LIFE_SECONDS = 5.0
"""Time in which an outcome loses half of its weight. At 3 calls a second a worker's calls have a
weight of some 22. This suffices to detect a worker that fails a quarter of its calls."""

COMMON_CAUSE_SECONDS = 0.3
"""Connection failures at two workers within this time are assigned to a local cause: a failed link,
a reset of this machine's connections or a pause of this process."""

MAX_PEER_FAULTS = 1.5
"""Maximum weight of faults in one peer's report on a worker. It is less than an ejection needs, so
one gateway alone cannot make the others eject a worker."""

MIN_SAME_ZONE_CALLS = 10.0
"""Weight of calls from the local zone that suffices for a verdict. Reports from other zones only
make up for missing weight, because a worker may fail the callers of a single zone."""

MAX_REPORTED_WORKERS = 32
"""Maximum number of workers in one heartbeat's outcomes, about 20 bytes each uncompressed."""

MIN_REPORTED_FAULTS = 0.25
"""Minimum weight of faults for a report on a worker to peers, and of all failures for this gateway
to list it as failing. A single fault has this weight for two half-lives."""

MIN_REPORTED_SERVED = 0.5
"""Minimum weight of served calls for a report on a worker if a peer reported faults of it."""

REPORT_UNIT = 0.1
"""Weight of one unit in the integers of a heartbeat."""


class CallOutcome(StrEnum):
    """Outcome of a call with regard to its worker."""

    SERVED = "served"
    """A complete answer without a fault. Errors caused by the caller are included."""
    FAULT = "fault"
    """A signed answer in which the worker reports its own failure."""
    CONNECTION_FAILED = "broken"
    """The connection closed or went silent: the worker, the link or this machine failed."""


@dataclass(frozen=True, slots=True)
class Counts:
    """Weights of the served and of the failed calls."""

    served: float = 0.0
    failed: float = 0.0

    @property
    def total(self) -> float:
        """Return the weight of all calls."""
        return self.served + self.failed

    def plus(self, other: "Counts") -> "Counts":
        """Return the sum."""
        return Counts(self.served + other.served, self.failed + other.failed)

    def less(self, other: "Counts") -> "Counts":
        """Return the difference to other counts, at least zero."""
        return Counts(max(0.0, self.served - other.served), max(0.0, self.failed - other.failed))

    def scaled(self, factor: float) -> "Counts":
        """Return both counts multiplied by a factor."""
        return Counts(self.served * factor, self.failed * factor)


@dataclass(frozen=True, slots=True)
class Evidence:
    """Outcomes at one worker for callers of the local zone and of other zones."""

    same_zone: Counts = Counts()
    other_zone: Counts = Counts()

    @property
    def counts(self) -> Counts:
        """Return the sum; other zones only make up for missing weight of the local zone."""
        missing = max(0.0, MIN_SAME_ZONE_CALLS - self.same_zone.total)
        if self.other_zone.total <= missing:
            return self.same_zone.plus(self.other_zone)
        return self.same_zone.plus(self.other_zone.scaled(missing / self.other_zone.total))

    def since(self, before: "Evidence", seconds: float) -> "Evidence":
        """Return the outcomes since ``before``, the evidence ``seconds`` ago."""
        factor = decay_factor(seconds)
        return Evidence(
            self.same_zone.less(before.same_zone.scaled(factor)),
            self.other_zone.less(before.other_zone.scaled(factor)),
        )


class ReportedOutcomes(msgspec.Struct, frozen=True, array_like=True):
    """A member's served calls at one worker, and its calls with a fault reported by the worker."""

    worker_id: str
    served: int
    faults: int


@dataclass(slots=True)
class _LocalCounts:
    """Weights of this gateway's calls at one worker at the time ``at``."""

    at: float
    served: float = 0.0
    faults: float = 0.0
    connection_failures: float = 0.0

    def decay(self, now: float) -> None:
        factor = decay_factor(now - self.at)
        self.at = max(self.at, now)
        self.served *= factor
        self.faults *= factor
        self.connection_failures *= factor


@dataclass(frozen=True, slots=True)
class _PeerReport:
    """Latest report of one peer on one worker."""

    same_zone: bool
    at: float
    counts: Counts


@dataclass(slots=True)
class _ConnectionFailure:
    worker_id: str
    at: float
    decided: bool = False


@dataclass(slots=True)
class OutcomeTable:
    """Outcomes known to one gateway; ``zone`` is the zone of this gateway."""

    zone: str
    _local: dict[str, _LocalCounts] = field(default_factory=dict)
    _reports: dict[str, dict[str, _PeerReport]] = field(default_factory=dict)
    _workers_by_peer: dict[str, tuple[str, ...]] = field(default_factory=dict)
    _connection_failures: list[_ConnectionFailure] = field(default_factory=list)

    def record_outcome(self, worker_id: str, outcome: CallOutcome, now: float) -> None:
        """Record the outcome of a call of this gateway."""
        match outcome:
            case CallOutcome.SERVED:
                self._local_counts(worker_id, now).served += 1.0
            case CallOutcome.FAULT:
                self._local_counts(worker_id, now).faults += 1.0
            case CallOutcome.CONNECTION_FAILED:
                self._connection_failures.append(_ConnectionFailure(worker_id, now))

    def apply_peer_report(
        self, peer: str, zone: str, outcomes: Iterable[ReportedOutcomes], now: float
    ) -> None:
        """Replace the previous report of a peer."""
        self.remove_peer(peer)
        worker_ids = []
        for item in outcomes:
            counts = _limit_peer_faults(
                Counts(item.served * REPORT_UNIT, item.faults * REPORT_UNIT)
            )
            reports = self._reports.setdefault(item.worker_id, {})
            reports[peer] = _PeerReport(zone == self.zone, now, counts)
            worker_ids.append(item.worker_id)
        if worker_ids:
            self._workers_by_peer[peer] = tuple(worker_ids)

    def remove_local(self) -> None:
        """Remove the outcomes of this gateway's own calls."""
        self._local.clear()
        self._connection_failures.clear()

    def remove_peer(self, peer: str) -> None:
        """Remove the report of a peer that is no longer reachable."""
        for worker_id in self._workers_by_peer.pop(peer, ()):
            reports = self._reports.get(worker_id, {})
            reports.pop(peer, None)
            if not reports:
                self._reports.pop(worker_id, None)

    def retain_only(self, worker_ids: Collection[str]) -> None:
        """Remove the local counts of workers that are no longer listed."""
        for worker_id in [key for key in self._local if key not in worker_ids]:
            del self._local[worker_id]

    def report_for_peers(self, now: float) -> tuple[ReportedOutcomes, ...]:
        """Return the local outcomes at failing workers for a heartbeat, the most faults first.

        Served calls at workers with faults that only peers reported are included. Without them, a
        worker with rare faults would appear to fail all of its calls.
        """
        for tally in self._local.values():
            tally.decay(now)
        failing = [
            (worker_id, tally)
            for worker_id, tally in self._local.items()
            if tally.faults >= MIN_REPORTED_FAULTS
            or (tally.served >= MIN_REPORTED_SERVED and self._peers_report_failure(worker_id))
        ]
        failing.sort(key=lambda item: item[1].faults, reverse=True)
        return tuple(
            ReportedOutcomes(
                worker_id, round(tally.served / REPORT_UNIT), round(tally.faults / REPORT_UNIT)
            )
            for worker_id, tally in failing[:MAX_REPORTED_WORKERS]
        )

    def evidence(self, worker_id: str, now: float) -> Evidence:
        """Return the local and the reported outcomes at a worker."""
        self._decide_connection_failures(now)
        same_zone = other_zone = Counts()
        tally = self._local.get(worker_id)
        if tally is not None:
            tally.decay(now)
            same_zone = Counts(tally.served, tally.faults + tally.connection_failures)
        for report in self._reports.get(worker_id, {}).values():
            counts = report.counts.scaled(decay_factor(now - report.at))
            if report.same_zone:
                same_zone = same_zone.plus(counts)
            else:
                other_zone = other_zone.plus(counts)
        return Evidence(same_zone, other_zone)

    def failing_workers(self, now: float) -> set[str]:
        """Return the workers that fail calls, by the local counts or by a peer's latest report.

        Locally, the decayed weight of the failures must be :data:`MIN_REPORTED_FAULTS` or more.
        Any fault in a peer's latest report suffices.
        """
        self._decide_connection_failures(now)
        local = {
            worker_id
            for worker_id, tally in self._local.items()
            if (tally.faults + tally.connection_failures) * decay_factor(now - tally.at)
            >= MIN_REPORTED_FAULTS
        }
        return local.union(filter(self._peers_report_failure, self._reports))

    def _peers_report_failure(self, worker_id: str) -> bool:
        return any(report.counts.failed for report in self._reports.get(worker_id, {}).values())

    def _local_counts(self, worker_id: str, now: float) -> _LocalCounts:
        tally = self._local.setdefault(worker_id, _LocalCounts(now))
        tally.decay(now)
        return tally

    def _decide_connection_failures(self, now: float) -> None:
        """Count connection failures that do not coincide with a failure at another worker."""
        decidable = [
            item
            for item in self._connection_failures
            if not item.decided and item.at <= now - COMMON_CAUSE_SECONDS
        ]
        for item in decidable:
            item.decided = True
            if not any(_may_share_a_cause(item, other) for other in self._connection_failures):
                self._local_counts(item.worker_id, now).connection_failures += 1.0
        # Decided failures are kept for comparison with failures that are not decided yet.
        oldest = now - 2 * COMMON_CAUSE_SECONDS
        self._connection_failures = [
            item for item in self._connection_failures if not item.decided or item.at > oldest
        ]


def decay_factor(seconds: float) -> float:
    """Return the remaining share of a weight after some seconds.

    >>> decay_factor(0.0), decay_factor(HALF_LIFE_SECONDS)
    (1.0, 0.5)
    """
    return float(0.5 ** (max(0.0, seconds) / HALF_LIFE_SECONDS))


def _limit_peer_faults(counts: Counts) -> Counts:
    if counts.failed <= MAX_PEER_FAULTS:
        return counts
    return counts.scaled(MAX_PEER_FAULTS / counts.failed)


def _may_share_a_cause(one: _ConnectionFailure, other: _ConnectionFailure) -> bool:
    return one.worker_id != other.worker_id and abs(one.at - other.at) <= COMMON_CAUSE_SECONDS
