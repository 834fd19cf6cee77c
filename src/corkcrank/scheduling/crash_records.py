"""What one gateway knows of workers that ended, by all that it saw and was told.

Records are united: a request that anybody saw at a worker was there, what one gateway has cleared
is cleared, and of several runs the one counts that went least far. So reports may come twice and in
any order. Ages are told, not times: clocks of machines are not compared, and of two times of the
same end the earlier stands, so that none moves on by being passed on. Pure: the time is handed in.
"""

import math
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field

from corkcrank.scheduling.crash_reports import (
    MOST_REQUESTS_AT_END,
    CrashReport,
    RequestAtEnd,
)

SETTLE_SECONDS = 1.25
"""Time without another request after which a record is judged: news has reached all gateways, and
one that died meanwhile is known to have died."""

LONGEST_SETTLE_SECONDS = 2.0
"""A record is judged after this time whatever still comes: within the 3 s by which all gateways
have to act on an end."""

LOSS_MARGIN_SECONDS = 0.5
"""A gateway may not have told of workers that ended up to this long before it was last heard."""

MOST_RECORDS = 512
"""Ends that are remembered. Those whose requests ended the fewest workers are forgotten first."""

NEVER = float("-inf")


@dataclass(slots=True)
class _Entry:
    progressed: bool
    cleared: bool = False


@dataclass(slots=True)
class CrashRecord:
    """The end of one worker's incarnation; times are of the own clock.

    ``known_at`` is when it was first known here, ``grown_at`` when a request was last added,
    ``changed_at`` when anything changed, and ``told_at`` when it was last told since.
    """

    worker_id: str
    at: float
    known_at: float
    grown_at: float
    changed_at: float
    told_at: float = NEVER
    incomplete: bool = False
    requests: dict[str, _Entry] = field(default_factory=dict)

    @property
    def settles_at(self) -> float:
        """Return from when it is judged."""
        latest = self.known_at + LONGEST_SETTLE_SECONDS
        return min(latest, self.grown_at + SETTLE_SECONDS)

    def add(self, item: RequestAtEnd, now: float) -> bool:
        """Take that a request was there; return whether that changes what is known."""
        known = self.requests.get(item.request)
        if known is None:
            if len(self.requests) >= MOST_REQUESTS_AT_END:
                return self.mark_incomplete(now)
            self.requests[item.request] = _Entry(item.progressed, item.cleared)
            self.grown_at = now
            self._note_change(now)
            return True
        before = known.progressed, known.cleared
        known.progressed = known.progressed and item.progressed
        known.cleared = known.cleared or item.cleared
        if (known.progressed, known.cleared) == before:
            return False
        self._note_change(now)
        return True

    def clear(self, request: str, now: float) -> bool:
        """Take that a request ended well; return whether it counted as a suspect."""
        entry = self.requests.get(request)
        if entry is None or entry.cleared:
            return False
        entry.cleared = True
        self._note_change(now)
        return True

    def mark_incomplete(self, now: float) -> bool:
        """Take that the worker may have had unknown requests; return whether that is news."""
        if self.incomplete:
            return False
        self.incomplete = True
        self._note_change(now)
        return True

    def suspects(self) -> list[str]:
        """Return the requests that were there and have not ended well since."""
        return [request for request, entry in self.requests.items() if not entry.cleared]

    def report(self, now: float) -> CrashReport:
        """Return what is told of it; the age is rounded down, so that no end becomes earlier."""
        age = max(0.0, math.floor((now - self.at) * 1000.0) / 1000.0)
        items = [
            RequestAtEnd(request, entry.progressed, entry.cleared)
            for request, entry in self.requests.items()
        ]
        return CrashReport.of(self.worker_id, age, items, incomplete=self.incomplete)

    def _note_change(self, now: float) -> None:
        self.changed_at = now
        self.told_at = NEVER


class CrashRecords:
    """Every end that is remembered, by worker and by request."""

    def __init__(self) -> None:
        self._records: dict[str, CrashRecord] = {}
        self._workers: dict[str, set[str]] = {}
        """The workers that ended with each request."""

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[CrashRecord]:
        return iter(self._records.values())

    def requests(self) -> Collection[str]:
        """Return every request that is remembered."""
        return self._workers.keys()

    def of_request(self, request: str) -> list[CrashRecord]:
        """Return the ends of the workers that had a request."""
        return [self._records[worker_id] for worker_id in self._workers.get(request, ())]

    def suspected_ends(self, request: str) -> list[CrashRecord]:
        """Return those of them that no good end of the request has cleared."""
        return [
            record for record in self.of_request(request) if not record.requests[request].cleared
        ]

    def newest_end(self, request: str) -> float:
        """Return when a worker last ended with a request."""
        return max((record.at for record in self.of_request(request)), default=NEVER)

    def add(self, worker_id: str, at: float, item: RequestAtEnd, now: float) -> bool:
        """Take that a request was at a worker that ended; return whether that is news."""
        record = self._records.get(worker_id)
        if record is None:
            record = CrashRecord(worker_id, at, known_at=now, grown_at=now, changed_at=now)
            self._records[worker_id] = record
        record.at = min(record.at, at)
        news = record.add(item, now)
        if item.request in record.requests:
            self._workers.setdefault(item.request, set()).add(worker_id)
        self._bound()
        return news

    def take(self, report: CrashReport, now: float) -> bool:
        """Take a report without a problem; return whether anything of it is news."""
        at = now - report.age
        news = [self.add(report.worker_id, at, item, now) for item in report.requests()]
        record = self._records.get(report.worker_id)
        if record is not None and report.incomplete:
            news.append(record.mark_incomplete(now))
        return any(news)

    def clear(self, request: str, now: float) -> bool:
        """Take that a request ended well; return whether any end counted against it."""
        return any([record.clear(request, now) for record in self.of_request(request)])

    def note_loss(self, last_heard_at: float, now: float) -> bool:
        """Take that a gateway is gone that was last heard at a time; return whether it matters.

        What it had at workers that ended since, or shortly before, it could not tell any more.
        """
        since = last_heard_at - LOSS_MARGIN_SECONDS
        return any([record.mark_incomplete(now) for record in self if record.at >= since])

    def forget(self, worker_id: str) -> None:
        """Forget one end."""
        for request in self._records.pop(worker_id).requests:
            workers = self._workers[request]
            workers.discard(worker_id)
            if not workers:
                del self._workers[request]

    def _bound(self) -> None:
        while len(self._records) > MOST_RECORDS:
            self.forget(min(self._records, key=self._worth))

    def _worth(self, worker_id: str) -> tuple[int, float]:
        record = self._records[worker_id]
        ends = [len(self.suspected_ends(request)) for request in record.suspects()]
        return max(ends, default=0), record.at
