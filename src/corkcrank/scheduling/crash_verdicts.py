"""Decides which requests are to blame for worker crashes, based on the crash records.

Any of the requests that were in progress at a worker may have crashed it. A request is blamed once
enough of its crashes have no other explanation: no request that is already blamed, and no other
request that was at the same workers. The verdicts depend only on the content of the records, not on
their order. The module has no side effects.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from corkcrank.scheduling.crash_records import CrashRecord

MIN_QUARANTINE_CRASHES = 3
"""Minimum number of crashes without another explanation before a request is quarantined."""

MIN_CERTAINTY_CRASHES = 5
"""Minimum number of crashes before a request is quarantined even if other requests may explain
them. By the time all gateways know of the first :data:`MIN_QUARANTINE_CRASHES` crashes, a request
may cause at most three more; this limit uses two of them."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """The unexplained crashes of a blamed request, and the number that its nearest rival shares."""

    workers: frozenset[str]
    rival: str = ""
    shared: int = 0


@dataclass(slots=True)
class _Evidence:
    """An index of the crash records by suspect and by worker.

    ``ends`` holds the crashed workers of each request. ``early_crashes`` is the subset with a
    complete record and an early run of the request, and ``early_requests`` holds the same pairs by
    worker. ``progressed`` holds the requests whose run had progressed at one crash or more.
    """

    ends: dict[str, set[str]] = field(default_factory=dict)
    early_crashes: dict[str, set[str]] = field(default_factory=dict)
    early_requests: dict[str, list[str]] = field(default_factory=dict)
    progressed: set[str] = field(default_factory=set)

    def add_record(self, record: CrashRecord) -> None:
        """Add the crash record of one worker."""
        early = self.early_requests[record.worker_id] = []
        for request, entry in record.requests.items():
            if entry.cleared:
                continue
            self.ends.setdefault(request, set()).add(record.worker_id)
            if entry.progressed:
                self.progressed.add(request)
            elif not record.incomplete:
                self.early_crashes.setdefault(request, set()).add(record.worker_id)
                early.append(request)

    def neighbours(self, request: str) -> set[str]:
        """Return the requests with an early run at workers that crashed with a request."""
        return {
            other for worker_id in self.ends[request] for other in self.early_requests[worker_id]
        }


def judge_requests(records: Iterable[CrashRecord]) -> Mapping[str, Verdict]:
    """Return the requests to blame, with the reason for each verdict."""
    evidence = _Evidence()
    for record in records:
        evidence.add_record(record)
    certain = _certain_verdicts(evidence, _extend_blame(evidence, {}))
    return _extend_blame(evidence, certain)


def _certain_verdicts(evidence: _Evidence, blamed: Mapping[str, Verdict]) -> dict[str, Verdict]:
    """Return the requests that are blamed for the number of their crashes, regardless of rivals.

    Requests without a progressed run are evaluated first, since each of them may crash workers. A
    progressed run exonerates its request as long as other requests explain the crashes.
    """
    candidates = [
        request for request, ends in evidence.ends.items() if len(ends) >= MIN_CERTAINTY_CRASHES
    ]
    found: dict[str, Verdict] = {}
    for progressed in (False, True):
        explained = _explained_workers(evidence, {*blamed, *found})
        for request in candidates:
            ends = evidence.ends[request]
            in_pass = (request in evidence.progressed) is progressed
            if in_pass and (request in blamed or ends - explained):
                found[request] = Verdict(frozenset(ends))
    return found


def _explained_workers(evidence: _Evidence, blamed: Iterable[str]) -> set[str]:
    return {worker_id for request in blamed for worker_id in evidence.ends[request]}


def _extend_blame(evidence: _Evidence, known: Mapping[str, Verdict]) -> dict[str, Verdict]:
    """Extend known verdicts by further requests to blame, in order of decreasing certainty.

    Crashes that a blamed request explains no longer count against its neighbours, so the
    neighbours are evaluated again.
    """
    blamed = dict(known)
    explained = _explained_workers(evidence, blamed)
    candidates = {
        request
        for request, ends in evidence.early_crashes.items()
        if len(ends) >= MIN_QUARANTINE_CRASHES and request not in blamed
    }
    cases: dict[str, _Case] = {}
    outdated = set(candidates)
    while candidates:
        for request in outdated & candidates:
            cases[request] = _Case(evidence, request, explained, blamed)
        sufficient = [request for request in candidates if cases[request].is_sufficient]
        if not sufficient:
            break
        request = min(sufficient, key=lambda key: cases[key].sort_key)
        blamed[request] = cases[request].verdict
        candidates.discard(request)
        explained |= evidence.ends[request]
        outdated = evidence.neighbours(request)
    return blamed


class _Case:
    """The evidence against one request: its unexplained crashes, and its nearest rival.

    ``lead`` is the number of these crashes that the nearest rival cannot explain.
    """

    def __init__(
        self,
        evidence: _Evidence,
        request: str,
        explained: set[str],
        blamed: Mapping[str, Verdict],
    ) -> None:
        unexplained = evidence.early_crashes[request] - explained
        shared = Counter(
            other
            for worker_id in unexplained
            for other in evidence.early_requests[worker_id]
            if other != request and other not in blamed
        )
        rival = min(shared, key=lambda key: (-shared[key], key), default="")
        self.lead = len(unexplained) - shared[rival]
        self.is_sufficient = len(unexplained) >= MIN_QUARANTINE_CRASHES and self.lead > 0
        self.sort_key = -self.lead, -len(unexplained), request
        self.verdict = Verdict(frozenset(unexplained), rival, shared[rival])
