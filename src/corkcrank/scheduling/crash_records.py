"""Stores one gateway's records of worker crashes, merged from local observations and peer reports.

Merging is commutative and idempotent, so reports may arrive repeatedly and in any order. A merged
record contains each request that any gateway observed at the worker. A request is cleared if any
gateway cleared it. Of several runs of a request the one that progressed least counts. Reports hold
ages instead of times, since the clocks of machines are not compared. Of two times of the same crash
the earlier one is kept, so that relaying a report never makes the crash more recent. The module has
no side effects and reads no clock: callers pass the current time.
"""

import math
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from enum import IntEnum

from corkcrank.scheduling.crash_reports import (
    MAX_PARTS_PER_CRASH,
    MAX_REQUESTS_PER_CRASH,
    CrashReport,
    PartSuccess,
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
class RequestEntry:
    """A request at a crash; ``parts_known`` says whether its prompt's shared parts are known."""

    progressed: bool
    cleared: bool = False
    parts_known: bool = True

    @property
    def early(self) -> bool:
        """Return whether the request may have crashed the worker: an early run, not cleared."""
        return not self.progressed and not self.cleared


@dataclass(slots=True)
class PartEntry:
    """A prompt part at a crash: the requests that have it, and whether runs with it progressed."""

    holders: set[str] = field(default_factory=set)
    succeeded_before: bool = False
    succeeded_after: bool = False


class SuccessUpdate(IntEnum):
    """Change of the records of a part's crashes by a success of the part."""

    NONE = 0
    FURTHER = 1
    """Each crash already had a success of the part, so peers need no immediate report."""
    FIRST = 2
    """Some crash had no success of the part before."""


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
    requests: dict[str, RequestEntry] = field(default_factory=dict)
    parts: dict[str, PartEntry] = field(default_factory=dict)

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
            entry = RequestEntry(item.progressed, item.cleared, item.parts is not None)
            self.requests[item.request] = entry
            self.last_added_at = now
            self._add_parts(item, now)
            self._record_change(now)
            return True
        before = known.progressed, known.cleared, known.parts_known
        known.progressed = known.progressed and item.progressed
        known.cleared = known.cleared or item.cleared
        known.parts_known = known.parts_known or item.parts is not None
        added = self._add_parts(item, now)
        if not added and (known.progressed, known.cleared, known.parts_known) == before:
            return False
        self._record_change(now)
        return True

    def _add_parts(self, item: RequestAtCrash, now: float) -> bool:
        """Add the parts of a request's prompt; return whether anything is new.

        A run that progressed before the crash is a success of its parts before it.
        """
        added = False
        for part in item.parts or ():
            if part not in self.parts and len(self.parts) >= MAX_PARTS_PER_CRASH:
                self.mark_incomplete(now)
                continue
            entry = self.parts.setdefault(part, PartEntry())
            new_success = item.progressed and not entry.succeeded_before
            added = added or new_success or item.request not in entry.holders
            entry.holders.add(item.request)
            entry.succeeded_before = entry.succeeded_before or item.progressed
        return added

    def record_part_success(self, success: PartSuccess, now: float) -> bool:
        """Record that runs with a part progressed; return whether the record changed."""
        entry = self.parts.get(success.part)
        if entry is None:
            return False
        before = entry.succeeded_before, entry.succeeded_after
        entry.succeeded_before = entry.succeeded_before or success.before
        entry.succeeded_after = entry.succeeded_after or success.after
        if (entry.succeeded_before, entry.succeeded_after) == before:
            return False
        self._record_change(now)
        return True

    def is_suspect(self, key: str) -> bool:
        """Return whether a request is not cleared, or a part had no success after the crash."""
        request, part = self.requests.get(key), self.parts.get(key)
        if request is not None:
            return not request.cleared
        return part is not None and not part.succeeded_after

    def clear_request(self, request: str, now: float) -> bool:
        """Clear a request that completed successfully; return whether it was a suspect."""
        entry = self.requests.get(request)
        if entry is None or entry.cleared:
            return False
        entry.cleared = True
        self._record_change(now)
        return True

    def mark_incomplete(self, now: float) -> bool:
        """Record that unreported requests may have run there; return whether that is new."""
        if self.incomplete:
            return False
        self.incomplete = True
        self._record_change(now)
        return True

    def suspects(self) -> list[str]:
        """Return the requests that were in progress and have not completed successfully since."""
        return [request for request, entry in self.requests.items() if not entry.cleared]

    def to_report(self, now: float) -> CrashReport:
        """Return the report for peers; the age is rounded down, so the crash appears no earlier."""
        age = max(0.0, math.floor((now - self.at) * 1000.0) / 1000.0)
        return CrashReport.from_requests(
            self.worker_id,
            age,
            self.to_requests(),
            incomplete=self.incomplete,
            successes=self.part_successes(),
        )

    def to_requests(self) -> list[RequestAtCrash]:
        """Return the requests that were in progress, with the parts of their prompts."""
        parts: dict[str, list[str]] = {request: [] for request in self.requests}
        for part, part_entry in self.parts.items():
            for request in part_entry.holders & parts.keys():
                parts[request].append(part)
        return [
            RequestAtCrash(
                request,
                entry.progressed,
                entry.cleared,
                tuple(parts[request]) if entry.parts_known else None,
            )
            for request, entry in self.requests.items()
        ]

    def part_successes(self) -> list[PartSuccess]:
        """Return the recorded successes of the parts."""
        return [
            PartSuccess(part, entry.succeeded_before, entry.succeeded_after)
            for part, entry in self.parts.items()
        ]

    def _record_change(self, now: float) -> None:
        self.changed_at = now
        self.reported_at = NEVER


class CrashRecords:
    """All stored crash records, indexed by worker, by request and by prompt part.

    A suspect is named by its fingerprint, a request or a part.
    """

    def __init__(self) -> None:
        self._records: dict[str, CrashRecord] = {}
        self._workers: dict[str, set[str]] = {}
        """The workers that crashed with each request in progress."""
        self._part_workers: dict[str, set[str]] = {}
        """The workers that crashed with each part in the prompt of a request in progress."""

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[CrashRecord]:
        return iter(self._records.values())

    def requests(self) -> Collection[str]:
        """Return every request that a stored record names."""
        return self._workers.keys()

    def parts(self) -> Collection[str]:
        """Return every prompt part that a stored record names."""
        return self._part_workers.keys()

    def for_request(self, request: str) -> list[CrashRecord]:
        """Return the records of the workers that crashed with a request or part in progress."""
        workers = self._workers.get(request) or self._part_workers.get(request, set())
        return [self._records[worker_id] for worker_id in workers]

    def suspected_crashes(self, suspect: str) -> list[CrashRecord]:
        """Return the records of a suspect's crashes that no successful run has cleared."""
        return [record for record in self.for_request(suspect) if record.is_suspect(suspect)]

    def crashed_at(self, worker_id: str) -> float:
        """Return when a worker crashed, :data:`NEVER` if there is no record of it."""
        return self._records[worker_id].at if worker_id in self._records else NEVER

    def latest_crash_at(self, suspect: str) -> float:
        """Return when a worker last crashed with a suspect in progress."""
        return max((record.at for record in self.for_request(suspect)), default=NEVER)

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
        for part in item.parts or ():
            if part in record.parts:
                self._part_workers.setdefault(part, set()).add(worker_id)
        self._enforce_limit()
        return changed

    def apply_report(self, report: CrashReport, now: float) -> bool:
        """Merge a valid report; return whether the records changed."""
        at = now - report.age
        changed = [self.add_request(report.worker_id, at, item, now) for item in report.requests()]
        record = self._records.get(report.worker_id)
        if record is not None:
            changed += [record.record_part_success(item, now) for item in report.part_successes()]
        if record is not None and report.incomplete:
            changed.append(record.mark_incomplete(now))
        return any(changed)

    def record_part_success(self, part: str, at: float, now: float) -> SuccessUpdate:
        """Record a run with a part that progressed; ``at`` is the time of its first event."""
        updates = (
            self.record_success_at(worker_id, part, at, now)
            for worker_id in self._part_workers.get(part, ())
        )
        return max(updates, default=SuccessUpdate.NONE)

    def record_success_at(self, worker_id: str, part: str, at: float, now: float) -> SuccessUpdate:
        """Record the success of a part in the record of one worker, if that record has the part."""
        record = self._records.get(worker_id)
        entry = record.parts.get(part) if record is not None else None
        if record is None or entry is None or entry.succeeded_after:
            return SuccessUpdate.NONE
        known = entry.succeeded_before
        after = at >= record.at
        if not record.record_part_success(PartSuccess(part, not after, after), now):
            return SuccessUpdate.NONE
        return SuccessUpdate.FURTHER if known else SuccessUpdate.FIRST

    def clear_part(self, part: str, now: float) -> bool:
        """Clear a part of all crashes; return whether any counted against it."""
        success = PartSuccess(part, after=True)
        return any([record.record_part_success(success, now) for record in self.for_request(part)])

    def clear_request(self, request: str, now: float) -> bool:
        """Clear a request that completed; return whether any crash counted against it."""
        return any([record.clear_request(request, now) for record in self.for_request(request)])

    def record_gateway_failure(self, last_heard_at: float, now: float) -> bool:
        """Record the failure of a gateway; return whether the records changed.

        The gateway could not report its requests at workers that crashed after its last heartbeat
        or shortly before. The records of these crashes are marked incomplete.
        """
        since = last_heard_at - UNREPORTED_CRASH_SECONDS
        return any([record.mark_incomplete(now) for record in self if record.at >= since])

    def discard(self, worker_id: str) -> None:
        """Remove the record of one worker."""
        record = self._records.pop(worker_id)
        for index, suspects in (
            (self._workers, record.requests),
            (self._part_workers, record.parts),
        ):
            for suspect in suspects:
                workers = index.get(suspect, set())
                workers.discard(worker_id)
                if not workers:
                    index.pop(suspect, None)

    def _enforce_limit(self) -> None:
        while len(self._records) > MAX_RECORDS:
            self.discard(min(self._records, key=self._retention_priority))

    def _retention_priority(self, worker_id: str) -> tuple[int, float]:
        record = self._records[worker_id]
        ends = [len(self.suspected_crashes(request)) for request in record.suspects()]
        return max(ends, default=0), record.at
