"""Which requests are to blame for the ends of workers, by the records of those ends.

Of the requests that a worker had at its end one may have crashed it. A request is blamed once
enough ends are explained by nothing else: not by a request that is blamed already, and not by
another one that was at the same workers. The verdict depends on the records alone, not on the order
in which they came. Pure.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from corkcrank.scheduling.crash_records import CrashRecord

QUARANTINE_ENDS = 3
"""Workers whose ends nothing else explains, by which a request is quarantined."""

CERTAIN_ENDS = 5
"""Ends that quarantine a request even where others may explain them: two more than those by which
it has to be known, of the three that it may crash after that."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """Why a request is blamed: the ends held against it, and the nearest rival's part of them."""

    workers: frozenset[str]
    rival: str = ""
    shared: int = 0


@dataclass(slots=True)
class _Evidence:
    """The suspects of each end, and the ends of each suspect.

    ``ends`` are all, ``beginnings`` those of complete records as the request began to run, and
    ``began_at`` the same by worker. ``progressed`` holds the requests with a run that had gone on
    for a while at one end or more.
    """

    ends: dict[str, set[str]] = field(default_factory=dict)
    beginnings: dict[str, set[str]] = field(default_factory=dict)
    began_at: dict[str, list[str]] = field(default_factory=dict)
    progressed: set[str] = field(default_factory=set)

    def add(self, record: CrashRecord) -> None:
        """Take the end of one worker."""
        began = self.began_at[record.worker_id] = []
        for request, entry in record.requests.items():
            if entry.cleared:
                continue
            self.ends.setdefault(request, set()).add(record.worker_id)
            if entry.progressed:
                self.progressed.add(request)
            elif not record.incomplete:
                self.beginnings.setdefault(request, set()).add(record.worker_id)
                began.append(request)

    def neighbours(self, request: str) -> set[str]:
        """Return the requests that began at workers which ended with a request."""
        return {other for worker_id in self.ends[request] for other in self.began_at[worker_id]}


def judge(records: Iterable[CrashRecord]) -> Mapping[str, Verdict]:
    """Return the requests to blame, with the reason for each."""
    evidence = _Evidence()
    for record in records:
        evidence.add(record)
    certain = _certain(evidence, _blame(evidence, {}))
    return _blame(evidence, certain)


def _certain(evidence: _Evidence, blamed: Mapping[str, Verdict]) -> dict[str, Verdict]:
    """Return the requests that are blamed for the number of their ends, whatever rival they have.

    A run that had gone on at one of them speaks for its request as long as others explain the
    ends. Of those without one, any may crash workers.
    """
    many = [request for request, ends in evidence.ends.items() if len(ends) >= CERTAIN_ENDS]
    found: dict[str, Verdict] = {}
    for progressed in (False, True):
        explained = _explained(evidence, {*blamed, *found})
        for request in many:
            ends = evidence.ends[request]
            alike = (request in evidence.progressed) is progressed
            if alike and (request in blamed or ends - explained):
                found[request] = Verdict(frozenset(ends))
    return found


def _explained(evidence: _Evidence, blamed: Iterable[str]) -> set[str]:
    return {worker_id for request in blamed for worker_id in evidence.ends[request]}


def _blame(evidence: _Evidence, known: Mapping[str, Verdict]) -> dict[str, Verdict]:
    """Return the requests to blame beside known ones, the surest first.

    What one request explains no longer counts against the others, so they are weighed again.
    """
    blamed = dict(known)
    explained = _explained(evidence, blamed)
    candidates = {
        request
        for request, ends in evidence.beginnings.items()
        if len(ends) >= QUARANTINE_ENDS and request not in blamed
    }
    cases: dict[str, _Case] = {}
    outdated = set(candidates)
    while candidates:
        for request in outdated & candidates:
            cases[request] = _Case(evidence, request, explained, blamed)
        convicted = [request for request in candidates if cases[request].convicts]
        if not convicted:
            break
        request = min(convicted, key=lambda key: cases[key].order)
        blamed[request] = cases[request].verdict
        candidates.discard(request)
        explained |= evidence.ends[request]
        outdated = evidence.neighbours(request)
    return blamed


class _Case:
    """What speaks against one request: the ends that nothing explains, and its nearest rival.

    ``lead`` counts the ends that the nearest rival cannot explain.
    """

    def __init__(
        self,
        evidence: _Evidence,
        request: str,
        explained: set[str],
        blamed: Mapping[str, Verdict],
    ) -> None:
        unexplained = evidence.beginnings[request] - explained
        shared = Counter(
            other
            for worker_id in unexplained
            for other in evidence.began_at[worker_id]
            if other != request and other not in blamed
        )
        rival = min(shared, key=lambda key: (-shared[key], key), default="")
        self.lead = len(unexplained) - shared[rival]
        self.convicts = len(unexplained) >= QUARANTINE_ENDS and self.lead > 0
        self.order = -self.lead, -len(unexplained), request
        self.verdict = Verdict(frozenset(unexplained), rival, shared[rival])
