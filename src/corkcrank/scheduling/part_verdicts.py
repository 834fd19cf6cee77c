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
    complete. ``succeeded`` says whether a run with the part ever progressed; if none did,
    ``holders`` are all requests with the part at these crashes.
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
    rivals = _Rivals(parts)
    candidates = {
        name
        for name, part in parts.items()
        if part.different_requests(part.requests) >= _needed_requests(part)
    }
    cases: dict[str, set[str]] = {}
    outdated = set(candidates)
    blamed: dict[str, Verdict] = {}
    explained: set[str] = set()
    while candidates:
        for name in outdated:
            cases[name] = _unexplained(parts[name], name, rivals, explained)
        sufficient = [name for name in candidates if _is_sufficient(parts[name], cases[name])]
        if not sufficient:
            break
        name = min(sufficient, key=lambda key: (parts[key].succeeded, len(parts[key].holders), key))
        blamed[name] = Verdict(frozenset(cases[name]))
        candidates.remove(name)
        workers = parts[name].requests.keys() - explained
        explained |= workers
        outdated = {key for key in candidates if not workers.isdisjoint(parts[key].requests)}
    return blamed


def _collect_evidence(records: list[CrashRecord]) -> dict[str, _Part]:
    crashes = Counter(
        request for record in records for request, entry in record.requests.items() if entry.early
    )
    succeeded = {
        name
        for record in records
        for name, entry in record.parts.items()
        if entry.succeeded_before or entry.succeeded_after
    }
    parts: dict[str, _Part] = {}
    for record in records:
        _add_record(parts, record, crashes, succeeded)
    return parts


def _add_record(
    parts: dict[str, _Part], record: CrashRecord, crashes: Counter[str], succeeded: set[str]
) -> None:
    early = {request for request, entry in record.requests.items() if entry.early}
    suspects = [item for item in record.parts.items() if not item[1].succeeded_after]
    if not early or not suspects:
        return
    most = max(crashes[request] for request in early)
    complete = not record.incomplete and all(
        record.requests[request].parts_known for request in early
    )
    for name, entry in suspects:
        part = parts.get(name)
        if part is None:
            part = parts[name] = _Part(succeeded=name in succeeded)
        if not part.succeeded:
            part.holders |= entry.holders
        holders = entry.holders & early
        if not holders:
            continue
        request = max(holders, key=lambda key: (crashes[key], key))
        part.requests[record.worker_id] = request
        if crashes[request] == most:
            part.likeliest.add(record.worker_id)
        if complete:
            part.complete.add(record.worker_id)


class _Rivals:
    """The parts that explain crashes in place of others: no run with them ever progressed."""

    def __init__(self, parts: Mapping[str, _Part]) -> None:
        self._parts = {
            name: part
            for name, part in parts.items()
            if not part.succeeded and part.different_requests(part.requests) >= MIN_RIVAL_REQUESTS
        }
        self._workers = {worker_id for part in self._parts.values() for worker_id in part.requests}

    def explained(self, part: _Part, name: str, workers: set[str]) -> set[str]:
        """Return which of a part's crashes a rival explains better.

        Any rival does for a part that has succeeded. For one that has not, a rival explains its
        crashes if it was at most of them and fewer requests have it, all of them with the part
        too: it is more specific, and if it is not to blame, crashes without it will show that.
        """
        if part.succeeded:
            return workers & self._workers
        found: set[str] = set()
        for other, rival in self._parts.items():
            if other == name or len(rival.holders) >= len(part.holders):
                continue
            shared = workers & rival.requests.keys()
            if 2 * len(shared) > len(workers) and rival.holders < part.holders:
                found |= shared
        return found


def _needed_requests(part: _Part) -> int:
    """Return behind how many crashes different requests must stand to blame a part."""
    return MIN_CERTAINTY_CRASHES if part.succeeded else MIN_QUARANTINE_CRASHES


def _is_sufficient(part: _Part, workers: set[str]) -> bool:
    needed = _needed_requests(part)
    return len(workers) >= needed and part.different_requests(workers) >= needed


def _unexplained(part: _Part, name: str, rivals: _Rivals, explained: set[str]) -> set[str]:
    """Return the crashes with a part that nothing else explains.

    Those of a part that has succeeded are better explained by a request without the part that was
    at more crashes.
    """
    workers = part.requests.keys() - explained
    if part.succeeded:
        workers &= part.likeliest
    workers -= rivals.explained(part, name, workers)
    if len(workers) >= MIN_CERTAINTY_CRASHES:
        return workers
    return workers & part.complete
