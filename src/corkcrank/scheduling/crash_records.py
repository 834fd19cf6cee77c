"""Stores one gateway's records of worker crashes, merged from local observations and peer reports.

Merging is commutative and idempotent, so reports may arrive repeatedly and in any order: a request
that any gateway saw at a worker was there, a request that any gateway cleared is cleared, and of
several runs of a request the one that progressed least counts. Reports hold ages instead of times,
since the clocks of machines are not compared. Of two times of the same crash the earlier one is
kept, so that relaying a report never makes the crash more recent. The module has no side effects
and reads no clock: callers pass the current time.
"""

import math
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field

from corkcrank.scheduling.crash_reports import (
    MAX_REQUESTS_PER_CRASH,
    CrashReport,
    RequestAtCrash,
)

SETTLE_SECONDS = 1.25
"""A record is used for verdicts once no request was added for this time. By then updates have
reached all gateways, and a gateway that failed meanwhile has been detected."""

MAX_SETTLE_SECONDS = 2.0
"""A record is used for verdicts after this time even if requests are still being added. It is
below a required bound: all gateways must act on a crash within 3 s."""

UNREPORTED_CRASH_SECONDS = 0.5
"""A failed gateway may not have reported crashes up to this long before its last heartbeat."""

MAX_RECORDS = 512
"""Maximum number of stored records. Those whose requests crashed the fewest workers are removed
first."""

NEVER = float("-inf")


@dataclass(slots=True)
class _Entry:
    progressed: bool
    cleared: bool = False


@dataclass(slots=True)
class CrashRecord:
    """The crash of one worker incarnation; times are of the local clock.

    ``at`` is the time of the crash, ``first_known_at`` when this gateway first knew of it, and
    ``last_added_at`` when a request was last added. ``changed_at`` is the time of the last change,
    and ``reported_at`` when the record was last reported after that change.
    """

    worker_id: str
    at: float
    first_known_at: float
    last_added_at: float
    changed_at: float
    reported_at: float = NEVER
    incomplete: bool = False
    requests: dict[str, _Entry] = field(default_factory=dict)

    @property
    def decidable_at(self) -> float:
        """Return the time from which the record is used for verdicts."""
        latest = self.first_known_at + MAX_SETTLE_SECONDS
        return min(latest, self.last_added_at + SETTLE_SECONDS)

    def add_request(self, item: RequestAtCrash, now: float) -> bool:
        """Add a request that was in progress; return whether the record changed."""
        known = self.requests.get(item.request)
        if known is None:
            if len(self.requests) >= MAX_REQUESTS_PER_CRASH:
                return self.mark_incomplete(now)
            self.requests[item.request] = _Entry(item.progressed, item.cleared)
            self.last_added_at = now
            self._record_change(now)
            return True
        before = known.progressed, known.cleared
        known.progressed = known.progressed and item.progressed
        known.cleared = known.cleared or item.cleared
        if (known.progressed, known.cleared) == before:
            return False
        self._record_change(now)
        return True

    def clear_request(self, request: str, now: float) -> bool:
        """Clear a request that completed successfully; return whether it was a suspect."""
        entry = self.requests.get(request)
        if entry is None or entry.cleared:
            return False
        entry.cleared = True
        self._record_change(now)
        return True

    def mark_incomplete(self, now: float) -> bool:
        """Record that the worker may have had unknown requests; return whether that is new."""
        if self.incomplete:
            return False
        self.incomplete = True
        self._record_change(now)
        return True

    def suspects(self) -> list[str]:
        """Return the requests that were in progress and have not completed successfully since."""
        return [request for request, entry in self.requests.items() if not entry.cleared]

    def to_report(self, now: float) -> CrashReport:
        """Return the report for peers; the age is rounded down, so the crash gets no earlier."""
        age = max(0.0, math.floor((now - self.at) * 1000.0) / 1000.0)
        items = [
            RequestAtCrash(request, entry.progressed, entry.cleared)
            for request, entry in self.requests.items()
        ]
        return CrashReport.from_requests(self.worker_id, age, items, incomplete=self.incomplete)

    def _record_change(self, now: float) -> None:
        self.changed_at = now
        self.reported_at = NEVER


class CrashRecords:
    """All stored crash records, indexed by worker and by request."""

    def __init__(self) -> None:
        self._records: dict[str, CrashRecord] = {}
        self._workers: dict[str, set[str]] = {}
        """The workers that crashed with each request in progress."""

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[CrashRecord]:
        return iter(self._records.values())

    def requests(self) -> Collection[str]:
        """Return every request that a stored record names."""
        return self._workers.keys()

    def for_request(self, request: str) -> list[CrashRecord]:
        """Return the records of the workers that crashed with a request in progress."""
        return [self._records[worker_id] for worker_id in self._workers.get(request, ())]

    def suspected_crashes(self, request: str) -> list[CrashRecord]:
        """Return the records of a request's crashes that no successful run has cleared."""
        return [
            record for record in self.for_request(request) if not record.requests[request].cleared
        ]

    def latest_crash_at(self, request: str) -> float:
        """Return when a worker last crashed with a request in progress."""
        return max((record.at for record in self.for_request(request)), default=NEVER)

    def add_request(self, worker_id: str, at: float, item: RequestAtCrash, now: float) -> bool:
        """Record a request that a crashed worker had; return whether the records changed."""
        record = self._records.get(worker_id)
        if record is None:
            record = CrashRecord(
                worker_id, at, first_known_at=now, last_added_at=now, changed_at=now
            )
            self._records[worker_id] = record
        record.at = min(record.at, at)
        changed = record.add_request(item, now)
        if item.request in record.requests:
            self._workers.setdefault(item.request, set()).add(worker_id)
        self._enforce_limit()
        return changed

    def apply_report(self, report: CrashReport, now: float) -> bool:
        """Merge a valid report; return whether the records changed."""
        at = now - report.age
        changed = [self.add_request(report.worker_id, at, item, now) for item in report.requests()]
        record = self._records.get(report.worker_id)
        if record is not None and report.incomplete:
            changed.append(record.mark_incomplete(now))
        return any(changed)

    def clear_request(self, request: str, now: float) -> bool:
        """Clear a request that completed; return whether any crash counted against it."""
        return any([record.clear_request(request, now) for record in self.for_request(request)])

    def record_gateway_failure(self, last_heard_at: float, now: float) -> bool:
        """Record the failure of a gateway; return whether the records changed.

        The gateway could not report its requests at workers that crashed after its last heartbeat,
        or shortly before it. So the records of these crashes are marked incomplete.
        """
        since = last_heard_at - UNREPORTED_CRASH_SECONDS
        return any([record.mark_incomplete(now) for record in self if record.at >= since])

    def discard(self, worker_id: str) -> None:
        """Remove the record of one worker."""
        for request in self._records.pop(worker_id).requests:
            workers = self._workers[request]
            workers.discard(worker_id)
            if not workers:
                del self._workers[request]

    def _enforce_limit(self) -> None:
        while len(self._records) > MAX_RECORDS:
            self.discard(min(self._records, key=self._retention_priority))

    def _retention_priority(self, worker_id: str) -> tuple[int, float]:
        record = self._records[worker_id]
        ends = [len(self.suspected_crashes(request)) for request in record.suspects()]
        return max(ends, default=0), record.at
