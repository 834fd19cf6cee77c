"""How calls to each worker ended lately, as this gateway and its peers saw it.

Counts fade with time. Pure: the time is handed in, in seconds on one clock.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

HALF_LIFE_SECONDS = 5.0
"""Time in which an outcome loses half of its weight. At 3 calls a second a worker has some 22
calls of weight, which tell a worker that fails a quarter of its calls from a sound one."""

SAME_MOMENT_SECONDS = 0.3
"""Connections to two workers that break within this time break for a cause on this side: a cut
link, a reset of this machine's connections, a pause of this process."""

MOST_PEER_FAULTS = 1.5
"""Most faults of a worker that one peer's word counts for: less than an ejection needs, so no
gateway condemns a worker for the others by itself."""

ENOUGH_NEAR_CALLS = 10.0
"""Calls of the own zone that are judged by alone. The reports of gateways in other zones make up
what is missing of them and no more, as a worker may fail the callers of one zone only."""

MOST_TOLD = 32
"""Workers whose outcomes one heartbeat tells, about 20 bytes each before compression."""

LEAST_TOLD_FAULTS = 0.25
"""Faults from which a worker's outcomes are told: a single one is for two half-lives."""

LEAST_TOLD_SERVED = 0.5
"""Served calls from which they are told where a peer told of faults."""

UNIT = 0.1
"""Weight that a heartbeat's whole numbers count in."""


class CallOutcome(StrEnum):
    """What a call's end says of the worker that had it."""

    SERVED = "served"
    """A whole answer that is not a fault; a failure that the caller made is one."""
    FAULT = "fault"
    """The worker's own word, signed, that it failed."""
    BROKEN = "broken"
    """The connection ended or fell silent: the worker, the link or this side failed."""


@dataclass(frozen=True, slots=True)
class Counts:
    """Calls that were served and that failed, each by its weight."""

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
        """Return what exceeds other counts, never below zero."""
        return Counts(max(0.0, self.served - other.served), max(0.0, self.failed - other.failed))

    def scaled(self, factor: float) -> "Counts":
        """Return both counts multiplied."""
        return Counts(self.served * factor, self.failed * factor)


@dataclass(frozen=True, slots=True)
class Evidence:
    """What is known of one worker: by callers of the own zone, and of the other zones."""

    near: Counts = Counts()
    far: Counts = Counts()

    @property
    def counts(self) -> Counts:
        """Return both together, the far ones only as far as near ones are missing."""
        missing = max(0.0, ENOUGH_NEAR_CALLS - self.near.total)
        if self.far.total <= missing:
            return self.near.plus(self.far)
        return self.near.plus(self.far.scaled(missing / self.far.total))

    def since(self, before: "Evidence", seconds: float) -> "Evidence":
        """Return what came after ``before``, which was all that was known ``seconds`` ago."""
        factor = fading(seconds)
        return Evidence(
            self.near.less(before.near.scaled(factor)), self.far.less(before.far.scaled(factor))
        )


class ReportedOutcomes(msgspec.Struct, frozen=True, array_like=True):
    """A member's own calls at one worker that were served, and that it failed by its own report."""

    worker_id: str
    served: int
    faults: int


@dataclass(slots=True)
class _Tally:
    """Own calls at one worker, by their weight at a time."""

    at: float
    served: float = 0.0
    faults: float = 0.0
    broken: float = 0.0

    def fade(self, now: float) -> None:
        factor = fading(now - self.at)
        self.at = max(self.at, now)
        self.served *= factor
        self.faults *= factor
        self.broken *= factor


@dataclass(frozen=True, slots=True)
class _PeerReport:
    """What one peer told of one worker."""

    near: bool
    at: float
    counts: Counts


@dataclass(slots=True)
class _Break:
    worker_id: str
    at: float
    settled: bool = False


@dataclass(slots=True)
class OutcomeTable:
    """The outcomes that one gateway knows; ``zone`` is its own."""

    zone: str
    _own: dict[str, _Tally] = field(default_factory=dict)
    _reports: dict[str, dict[str, _PeerReport]] = field(default_factory=dict)
    _told_by: dict[str, tuple[str, ...]] = field(default_factory=dict)
    _breaks: list[_Break] = field(default_factory=list)

    def note(self, worker_id: str, outcome: CallOutcome, now: float) -> None:
        """Count the end of an own call."""
        match outcome:
            case CallOutcome.SERVED:
                self._tally(worker_id, now).served += 1.0
            case CallOutcome.FAULT:
                self._tally(worker_id, now).faults += 1.0
            case CallOutcome.BROKEN:
                self._breaks.append(_Break(worker_id, now))

    def take(self, peer: str, zone: str, told: Iterable[ReportedOutcomes], now: float) -> None:
        """Replace what a peer told before."""
        self.forget(peer)
        worker_ids = []
        for item in told:
            counts = _bounded(Counts(item.served * UNIT, item.faults * UNIT))
            reports = self._reports.setdefault(item.worker_id, {})
            reports[peer] = _PeerReport(zone == self.zone, now, counts)
            worker_ids.append(item.worker_id)
        if worker_ids:
            self._told_by[peer] = tuple(worker_ids)

    def forget(self, peer: str) -> None:
        """Drop a peer that is silent."""
        for worker_id in self._told_by.pop(peer, ()):
            reports = self._reports.get(worker_id, {})
            reports.pop(peer, None)
            if not reports:
                self._reports.pop(worker_id, None)

    def forget_all_but(self, worker_ids: Collection[str]) -> None:
        """Drop workers that are no longer listed."""
        for worker_id in [key for key in self._own if key not in worker_ids]:
            del self._own[worker_id]

    def reported(self, now: float) -> tuple[ReportedOutcomes, ...]:
        """Return what a heartbeat tells: own calls at workers that failed some, worst first.

        Calls that were served where only peers told of faults are told too: without them a
        worker of rare faults would look as if it failed all of its calls.
        """
        for tally in self._own.values():
            tally.fade(now)
        failing = [
            (worker_id, tally)
            for worker_id, tally in self._own.items()
            if tally.faults >= LEAST_TOLD_FAULTS
            or (tally.served >= LEAST_TOLD_SERVED and self._told_to_fail(worker_id))
        ]
        failing.sort(key=lambda item: item[1].faults, reverse=True)
        return tuple(
            ReportedOutcomes(worker_id, round(tally.served / UNIT), round(tally.faults / UNIT))
            for worker_id, tally in failing[:MOST_TOLD]
        )

    def evidence(self, worker_id: str, now: float) -> Evidence:
        """Return all that is known of a worker."""
        self._settle(now)
        near = far = Counts()
        tally = self._own.get(worker_id)
        if tally is not None:
            tally.fade(now)
            near = Counts(tally.served, tally.faults + tally.broken)
        for report in self._reports.get(worker_id, {}).values():
            counts = report.counts.scaled(fading(now - report.at))
            if report.near:
                near = near.plus(counts)
            else:
                far = far.plus(counts)
        return Evidence(near, far)

    def failing(self, now: float) -> set[str]:
        """Return the workers of which a failure is known that still has weight."""
        self._settle(now)
        own = {
            worker_id
            for worker_id, tally in self._own.items()
            if (tally.faults + tally.broken) * fading(now - tally.at) >= LEAST_TOLD_FAULTS
        }
        return own.union(filter(self._told_to_fail, self._reports))

    def _told_to_fail(self, worker_id: str) -> bool:
        return any(report.counts.failed for report in self._reports.get(worker_id, {}).values())

    def _tally(self, worker_id: str, now: float) -> _Tally:
        tally = self._own.setdefault(worker_id, _Tally(now))
        tally.fade(now)
        return tally

    def _settle(self, now: float) -> None:
        """Count the breaks that no break at another worker came with."""
        due = [
            item
            for item in self._breaks
            if not item.settled and item.at <= now - SAME_MOMENT_SECONDS
        ]
        for item in due:
            item.settled = True
            if not any(_same_moment(item, other) for other in self._breaks):
                self._tally(item.worker_id, now).broken += 1.0
        # A settled one may still be of one moment with one that is not.
        oldest = now - 2 * SAME_MOMENT_SECONDS
        self._breaks = [item for item in self._breaks if not item.settled or item.at > oldest]


def fading(seconds: float) -> float:
    """Return the part of a weight that is left after a time.

    >>> fading(0.0), fading(HALF_LIFE_SECONDS)
    (1.0, 0.5)
    """
    return float(0.5 ** (max(0.0, seconds) / HALF_LIFE_SECONDS))


def _bounded(counts: Counts) -> Counts:
    if counts.failed <= MOST_PEER_FAULTS:
        return counts
    return counts.scaled(MOST_PEER_FAULTS / counts.failed)


def _same_moment(one: _Break, other: _Break) -> bool:
    return one.worker_id != other.worker_id and abs(one.at - other.at) <= SAME_MOMENT_SECONDS
