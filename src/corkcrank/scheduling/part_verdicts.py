"""Decides which prompt parts are to blame for engine crashes, based on the crash records.

A part that crashes each engine that begins to write on it is present at crash after crash, beside
requests that are otherwise different, and no run with it ever progresses. Parts that most prompts
share are present at the same crashes; they are told apart by the runs that progressed with them,
and by the other requests that have them. The verdicts depend only on the records. The module has
no side effects.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from corkcrank.scheduling.crash_records import CrashRecord
from corkcrank.scheduling.crash_verdicts import (
    MIN_CERTAINTY_CRASHES,
    MIN_QUARANTINE_CRASHES,
    Verdict,
)

MIN_RIVAL_REQUESTS = 2
"""A part explains crashes in place of a more common one from this number of different requests."""


@dataclass(slots=True)
class _Part:
    """The evidence on one part.

    ``requests`` maps each crashed worker to the request that is most likely to have crashed it, of
    those with the part: the one that was at the most crashes. ``likeliest`` are the workers at
    which no request without the part was at more crashes. ``complete`` are those whose records are
    complete. ``holders`` are all requests with the part at any crash. ``succeeded`` says whether a
    run with the part ever progressed.
    """

    requests: dict[str, str] = field(default_factory=dict)
    likeliest: set[str] = field(default_factory=set)
    complete: set[str] = field(default_factory=set)
    holders: set[str] = field(default_factory=set)
    succeeded: bool = False

    def different_requests(self, workers: Iterable[str]) -> int:
        """Return how many different requests stand behind some crashes."""
        return len({self.requests[worker_id] for worker_id in workers})


def judge_parts(records: Iterable[CrashRecord]) -> Mapping[str, Verdict]:
    """Return the prompt parts to blame, with the crashes that each explains.

    The surest one is blamed first: one without any success, then the one that the fewest requests
    have. What it explains no longer counts against the others.
    """
    parts = _collect_evidence(list(records))
    rivals = {name for name, part in parts.items() if _may_explain(part)}
    blamed: dict[str, Verdict] = {}
    explained: set[str] = set()
    while True:
        found = {
            name: case
            for name in parts.keys() - blamed.keys()
            if len(case := _unexplained(parts, name, rivals, explained))
            >= _needed_requests(parts[name])
            and parts[name].different_requests(case) >= _needed_requests(parts[name])
        }
        if not found:
            return blamed
        name = min(found, key=lambda key: (parts[key].succeeded, len(parts[key].holders), key))
        blamed[name] = Verdict(frozenset(found[name]))
        explained |= parts[name].requests.keys()


def _collect_evidence(records: list[CrashRecord]) -> dict[str, _Part]:
    crashes = Counter(
        request for record in records for request, entry in record.requests.items() if entry.early
    )
    parts: dict[str, _Part] = {}
    for record in records:
        complete = not record.incomplete and all(
            entry.parts_known for entry in record.requests.values() if entry.early
        )
        most = max((crashes[key] for key in record.requests), default=0)
        for name, entry in record.parts.items():
            part = parts.setdefault(name, _Part())
            part.holders |= entry.holders
            part.succeeded |= entry.succeeded_before or entry.succeeded_after
            early = [request for request in entry.holders if record.requests[request].early]
            if entry.succeeded_after or not early:
                continue
            request = max(early, key=lambda key: (crashes[key], key))
            part.requests[record.worker_id] = request
            if crashes[request] == most:
                part.likeliest.add(record.worker_id)
            if complete:
                part.complete.add(record.worker_id)
    return parts


def _may_explain(part: _Part) -> bool:
    return not part.succeeded and part.different_requests(part.requests) >= MIN_RIVAL_REQUESTS


def _needed_requests(part: _Part) -> int:
    """Return behind how many crashes different requests must stand to blame a part."""
    return MIN_CERTAINTY_CRASHES if part.succeeded else MIN_QUARANTINE_CRASHES


def _unexplained(
    parts: Mapping[str, _Part], name: str, rivals: set[str], explained: set[str]
) -> set[str]:
    """Return the crashes with a part that nothing else explains.

    Crashes of a part that has succeeded are better explained by any rival, and by a request without
    the part that was at more crashes. A rival explains those of a part without a success if it was
    at most of them and fewer requests have it, all of them with the part too: it is more specific,
    and if it is not to blame, crashes without it will show that.
    """
    part = parts[name]
    workers = part.requests.keys() - explained
    if part.succeeded:
        workers &= part.likeliest
    for rival in rivals - {name}:
        shared = workers & parts[rival].requests.keys()
        specific = parts[rival].holders < part.holders and 2 * len(shared) > len(workers)
        if part.succeeded or specific:
            workers -= shared
    if len(workers) >= MIN_CERTAINTY_CRASHES:
        return workers
    return workers & part.complete
