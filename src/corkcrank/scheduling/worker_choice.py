"""Chooses a worker for a call of a plain service, one without engines or stages.

The worker with the lowest pressure is chosen. Pressure is the number of calls per slot in flight at
all gateways, plus penalties for failures, verdicts, other zones and rate limits. For services whose
workers state their pace, the expected time of a call replaces the calls per slot.
"""

import random
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.scheduling.outlier_detection import Verdict
from corkcrank.scheduling.request_bytes import RequestBytes
from corkcrank.scheduling.worker_notices import WorkerNotices

FAILURE_MEMORY_SECONDS = 4.0
"""Time for which a failed call counts against a worker."""

FAILURE_PENALTY = 1.0
"""Pressure of each recent failure."""

EJECTED_PENALTY = 4.0
"""Pressure of an ejection. An ejected worker is chosen only if every other worker has four more
calls per slot."""

EXCESS_PENALTY = 4.0
"""Pressure of an excess failure rate of 1. A higher value would let random excess concentrate calls
on workers with few slots."""

SILENCE_MEMORY_SECONDS = 1.0
"""Time for which an unresponsive worker gets no calls while other workers of its service answer."""

ENDED_EXCLUSION_SECONDS = 5.0
"""Time for which a crashed incarnation gets no calls. Its entry is removed after three missed
heartbeats of the worker, 3.6 s. If it is still listed after this time, the crash was detected by
mistake and the incarnation is tried again."""

MAX_HALF_OPEN_CALLS = 2
"""Maximum number of calls in flight of all gateways together at a half-open worker."""

PEERS_BACKOFF_PENALTY = 4.0
"""Pressure of a backoff that the worker requested from another gateway."""

LIMITED_PENALTY = 1.0
"""Pressure of a rate limit. A limited worker has few calls and would otherwise look idle."""

OTHER_ZONE_PENALTY = 0.25
"""Additional pressure of a worker in another zone."""

MIN_EXPECTED_TIME_SPREAD = 0.1
MAX_EXPECTED_TIME_SPREAD = 0.4
"""Bounds of the random share of an expected time, up or down. Without it, gateways with the same
information would all choose the same worker until the next heartbeat. At the upper bound, a worker
that is 2.5 times slower still gets no calls while the others have free slots."""

SPREAD_PER_DOUBT = 0.5
"""Random share for each call per slot by which reported calls may be wrong."""

NO_FACTORS: Mapping[str, float] = MappingProxyType({})


@dataclass(slots=True)
class WorkerStatistics:
    """Statistics of one worker, from local calls and from the heartbeats of peers.

    ``reading`` counts prompt tokens of calls that have no first event yet. ``verdict`` and
    ``excess`` are the last results of :mod:`outlier_detection` for the worker. ``leaving`` is set
    if another worker answers at its address. The incarnation counts as crashed until
    ``ended_until``. ``heard_at`` is the time of the last bytes received from the worker,
    ``unanswered_at`` that of its last missing answer.
    """

    in_flight: int = 0
    peers_in_flight: int = 0
    reading: int = 0
    peers_reading: int = 0
    failures: list[float] = field(default_factory=list)
    avoid_until: float = 0.0
    leaving: bool = False
    ended_until: float = 0.0
    seconds: float = 0.0
    verdict: Verdict = Verdict.HEALTHY
    excess: float = 0.0
    heard_at: float = float("-inf")
    unanswered_at: float = float("-inf")

    def is_silent(self, now: float) -> bool:
        """Return whether the worker recently failed to answer and has sent no bytes since."""
        recent = now - self.unanswered_at < SILENCE_MEMORY_SECONDS
        return recent and self.heard_at < self.unanswered_at

    def recent_failures(self, now: float) -> int:
        """Return the number of failures within ``FAILURE_MEMORY_SECONDS``; remove older ones."""
        if not self.failures:
            return 0
        self.failures = [at for at in self.failures if at > now - FAILURE_MEMORY_SECONDS]
        return len(self.failures)

    def record_end(self, at: float) -> None:
        """Record the crash of this incarnation, which gets no calls until its entry is removed."""
        self.ended_until = max(self.ended_until, at + ENDED_EXCLUSION_SECONDS)

    def is_last_resort(self, *, repeatable: bool) -> bool:
        """Return whether the worker gets a call only if no other worker is free.

        An unrepeatable call is never used to probe a half-open worker.
        """
        if self.verdict is Verdict.HEALTHY:
            return False
        if self.verdict is Verdict.EJECTED or not repeatable:
            return True
        return self.in_flight + self.peers_in_flight >= MAX_HALF_OPEN_CALLS


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A worker with its calls per slot, its penalties, and a random number for ties."""

    record: WorkerRecord
    calls: float
    penalty: float
    tie: float


class WorkerStatisticsTable:
    """Statistics of every worker that this gateway has called or received a report on.

    ``notices`` are announcements of the workers, which outlast their entries. ``requests`` holds
    the bytes of unanswered requests.
    """

    def __init__(
        self, notices: WorkerNotices | None = None, requests: RequestBytes | None = None
    ) -> None:
        self.requests = requests if requests is not None else RequestBytes()
        self.notices = notices if notices is not None else WorkerNotices()
        self._statistics: dict[str, WorkerStatistics] = {}

    def has_left(self, worker_id: str, now: float) -> bool:
        """Return whether a worker gets no calls from any gateway: it is leaving or has crashed."""
        if self.notices.is_leaving(worker_id):
            return True
        statistics = self._statistics.get(worker_id)
        return statistics is not None and (statistics.leaving or statistics.ended_until > now)

    def is_unavailable(self, worker_id: str, now: float) -> bool:
        """Return whether a worker gets no calls from this gateway.

        The worker has left, is in backoff, or has reached its bound of request bytes.
        """
        in_backoff = self.notices.backoff_seconds(worker_id, now) > 0
        return in_backoff or self.has_left(worker_id, now) or self.requests.is_full(worker_id)

    def silent_ids(self, worker_ids: Collection[str], now: float) -> frozenset[str]:
        """Return the silent workers, or none if all are silent: a call needs some worker."""
        silent = frozenset(
            worker_id
            for worker_id in worker_ids
            if worker_id in self._statistics and self._statistics[worker_id].is_silent(now)
        )
        return silent if len(silent) < len(worker_ids) else frozenset()

    def forget_failures(self) -> None:
        """Remove the evidence of failed connections, because this gateway's links had failed."""
        for statistics in self._statistics.values():
            statistics.failures.clear()
            statistics.avoid_until = 0.0
            statistics.ended_until = 0.0

    def get_or_create(self, worker_id: str) -> WorkerStatistics:
        """Return the statistics of a worker; create them if missing."""
        statistics = self._statistics.get(worker_id)
        if statistics is None:
            statistics = self._statistics[worker_id] = WorkerStatistics()
        return statistics

    def retain_only(self, worker_ids: Collection[str]) -> None:
        """Remove workers that are not listed and have no local call in flight."""
        for worker_id in list(self._statistics):
            if worker_id not in worker_ids and not self._statistics[worker_id].in_flight:
                del self._statistics[worker_id]

    def items(self) -> Iterable[tuple[str, WorkerStatistics]]:
        """Return every worker with its statistics."""
        return self._statistics.items()


def choose_worker(
    candidates: Iterable[WorkerRecord],
    worker_statistics: WorkerStatisticsTable,
    zone: str,
    now: float,
    excluded: Collection[str],
    random_source: random.Random,
    *,
    repeatable: bool = False,
    limited: Collection[str] = (),
    factors: Mapping[str, float] = NO_FACTORS,
    doubt: float = 0.0,
) -> WorkerRecord | None:
    """Return the worker with the lowest pressure that is not excluded, or ``None``.

    Pressure is calls per slot, with penalties for recent failures, an ejection, another zone and a
    rate limit. A ``repeatable`` call may probe a half-open worker. ``factors`` gives the pace of
    workers, empty for a service whose workers do not state it. ``doubt`` is the number of calls per
    slot that peers may have begun or ended since their reports.
    """
    ranked = rank_workers(
        candidates,
        worker_statistics,
        zone,
        now,
        excluded,
        random_source,
        repeatable=repeatable,
        limited=limited,
        factors=factors,
        doubt=doubt,
    )
    return ranked[0] if ranked else None


def rank_workers(
    candidates: Iterable[WorkerRecord],
    worker_statistics: WorkerStatisticsTable,
    zone: str,
    now: float,
    excluded: Collection[str],
    random_source: random.Random,
    *,
    repeatable: bool = False,
    limited: Collection[str] = (),
    factors: Mapping[str, float] = NO_FACTORS,
    doubt: float = 0.0,
) -> list[WorkerRecord]:
    """Return the workers that are not excluded, in the order of :func:`choose_worker`."""
    found = []
    for record in candidates:
        if record.worker_id in excluded or worker_statistics.is_unavailable(record.worker_id, now):
            continue
        statistics = worker_statistics.get_or_create(record.worker_id)
        calls = (statistics.in_flight + statistics.peers_in_flight) / max(1, record.slots)
        penalty = _penalty(record, statistics, zone, now)
        if statistics.is_last_resort(repeatable=repeatable):
            penalty += EJECTED_PENALTY
        if worker_statistics.notices.peers_in_backoff(record.worker_id, now):
            penalty += PEERS_BACKOFF_PENALTY
        if record.worker_id in limited:
            penalty += LIMITED_PENALTY
        found.append(_Candidate(record, calls, penalty, random_source.random()))
    if factors:
        costs = _expected_times(found, factors, doubt, random_source)
    else:
        costs = [item.calls for item in found]
    keyed = [
        (cost + item.penalty, item.tie, item.record)
        for cost, item in zip(costs, found, strict=True)
    ]
    return [record for _, _, record in sorted(keyed, key=lambda item: item[:2])]


def _expected_times(
    candidates: Sequence[_Candidate],
    factors: Mapping[str, float],
    doubt: float,
    random_source: random.Random,
) -> list[float]:
    """Return the expected times of a call at the workers, without their penalties.

    A call takes the worker's factor, and the same time for each call per slot before it. ``doubt``
    and ``factors`` apply only to this time, not to the penalties, because they do not change the
    certainty of a verdict or failure. Times are relative to the candidates' mean factor, so that
    penalties keep their weight if all workers are slow.
    """
    count = max(1, len(candidates))
    mean = sum(item.calls for item in candidates) / count
    mean_factor = sum(factors.get(item.record.worker_id, 1.0) for item in candidates) / count
    share = min(MAX_EXPECTED_TIME_SPREAD, MIN_EXPECTED_TIME_SPREAD + SPREAD_PER_DOUBT * doubt)
    expected = []
    for item in candidates:
        likely = mean + (item.calls - mean) / (1.0 + doubt)
        seconds = (1.0 + likely) * factors.get(item.record.worker_id, 1.0) / mean_factor
        expected.append(seconds * random_source.uniform(1.0 - share, 1.0 + share))
    return expected


def _penalty(record: WorkerRecord, statistics: WorkerStatistics, zone: str, now: float) -> float:
    penalty = FAILURE_PENALTY * statistics.recent_failures(now)
    penalty += EXCESS_PENALTY * statistics.excess
    if statistics.avoid_until > now:
        penalty += FAILURE_PENALTY
    if record.zone != zone:
        penalty += OTHER_ZONE_PENALTY
    return penalty
