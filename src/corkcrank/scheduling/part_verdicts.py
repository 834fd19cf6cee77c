"""Decides which prompt parts are to blame for engine crashes, based on the crash records.

A part that crashes engines does so as soon as they begin to generate. It appears in crash after
crash, in otherwise different requests, and no run with it ever progresses. Common parts appear in
the same crashes; progressed runs and the number of requests with the part distinguish them. Crashes
for which a request alone is to blame are no evidence against its parts. While no run progresses, a
missing success is no evidence against a part, so that only its crashes count. The verdicts depend
only on the records. The module has no side effects.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from corkcrank.scheduling.crash_records import CrashRecord
from corkcrank.scheduling.crash_verdicts import (
    MIN_CERTAINTY_CRASHES,
    MIN_QUARANTINE_CRASHES,
    Verdict,
    judge_requests,
)
from corkcrank.scheduling.part_progress import outlived_crashes

MIN_RIVAL_REQUESTS = 2
"""Minimum number of different requests with a part that may explain the crashes of another part."""

MIN_LEAD_CRASHES = 2
"""Minimum lead in crashes over another part if only the crashes distinguish the two."""

MAX_HOLDERS_PER_CRASH = 1.5
"""Maximum number of requests for each crash with a crashing part. It exceeds 1 because some
requests reach an engine before another one with the part has crashed it."""


@dataclass(slots=True)
class _Part:
    """The evidence on one part.

    ``requests`` maps each crashed worker to the request with the part that was at the most crashes,
    which is the most likely cause. ``rival_requests`` holds, by worker, the crashes of each request
    that may explain the crash instead of the part: the request was at more crashes without the
    part, or is blamed itself. ``unrelated`` are the crashes with a blamed request that was at other
    crashes without the part. ``sole`` are the crashes at which all requests with an early run
    contain the part. ``complete`` are the crashes with a complete record. ``succeeded`` is true if
    a run with the part ever progressed. ``holders`` are all requests with the part at these
    crashes.
    """

    requests: dict[str, str] = field(default_factory=dict)
    rival_requests: dict[str, list[set[str]]] = field(default_factory=dict)
    unrelated: set[str] = field(default_factory=set)
    sole: set[str] = field(default_factory=set)
    complete: set[str] = field(default_factory=set)
    holders: set[str] = field(default_factory=set)
    succeeded: bool = False

    @property
    def is_rare(self) -> bool:
        """Return whether few requests have the part, relative to its crashes."""
        return len(self.holders) <= MAX_HOLDERS_PER_CRASH * len(self.requests)

    def different_requests(self, workers: Iterable[str]) -> int:
        """Return the number of different requests that most likely caused some crashes."""
        return len({self.requests[worker_id] for worker_id in workers})

    def explains_request(self, crashes: set[str]) -> bool:
        """Return whether the part explains why a request was at these crashes.

        A healthy request that shares engines with the part fails repeatedly, and a request with the
        part crashes each engine. In both cases the part was at all crashes of the request and at
        others. It is also rare: the first request with the part crashes the engine, so hardly more
        requests have it than engines crashed.
        """
        return self.is_rare and crashes < self.requests.keys()

    def explains_nearly_all(self, other: "_Part") -> bool:
        """Return whether the part may explain another one's crashes, and is no less specific.

        It does if it was at nearly all of them, with most of their different requests.
        """
        if self.holders > other.holders:
            return False
        shared = self.requests.keys() & other.requests.keys()
        lead = len(other.requests) - len(shared)
        requests = other.different_requests(other.requests)
        return lead < MIN_LEAD_CRASHES and 2 * self.different_requests(shared) > requests

    def explains_better_than(self, other: "_Part") -> bool:
        """Return whether the part explains common crashes better than another part.

        A more specific part does, a less specific one does not. Between two parts that succeeded,
        the one with more crashes does. A part without a success does if it was at all crashes of
        the other one and at :data:`MIN_LEAD_CRASHES` more, and is rare.
        """
        if self.holders < other.holders:
            return True
        if other.holders < self.holders:
            return False
        if self.succeeded:
            return len(self.requests) > len(other.requests)
        lead = len(self.requests.keys() - other.requests.keys())
        contained = other.requests.keys() <= self.requests.keys()
        return contained and lead >= MIN_LEAD_CRASHES and self.is_rare


def judge_parts(
    records: Iterable[CrashRecord],
    requests: Collection[str] | None = None,
    succeeded: Collection[str] = (),
) -> Mapping[str, Verdict]:
    """Return the prompt parts to blame, with the crashes that each explains.

    ``requests`` are the requests that the same records blame if no part is to blame. ``succeeded``
    are parts with a success in other records.

    Parts without a success are blamed first, then those with the fewest requests. Crashes that a
    blamed part explains no longer count against the others.
    """
    records = list(records)
    blamed_requests = judge_requests(records) if requests is None else requests
    parts = _collect_evidence(records, blamed_requests, {*succeeded, *succeeded_parts(records)})
    rivals = _Rivals(parts)
    progress = _Progress(records, parts)
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
            workers = _unexplained(parts[name], name, rivals, explained)
            cases[name] = progress.telling_crashes(parts[name], workers)
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


def succeeded_parts(records: Iterable[CrashRecord]) -> set[str]:
    """Return the parts with which a run progressed at any time."""
    return {
        name
        for record in records
        for name, entry in record.parts.items()
        if entry.succeeded_before or entry.succeeded_after
    }


class _EarlyRuns:
    """The requests with early runs at the crashes.

    ``crashes`` maps each request to the workers that crashed. ``crashes_with`` maps each part and
    request to the workers that crashed with this part in the request's prompt. ``blamed`` are the
    requests that are blamed independently of their parts.
    """

    def __init__(self, records: Iterable[CrashRecord], blamed: Collection[str]) -> None:
        self.blamed = frozenset(blamed)
        self.crashes: dict[str, set[str]] = {}
        self.crashes_with: dict[str, dict[str, set[str]]] = {}
        for record in records:
            early = _early_requests(record)
            for request in early:
                self.crashes.setdefault(request, set()).add(record.worker_id)
            for name, entry in record.parts.items():
                requests = self.crashes_with.setdefault(name, {})
                for request in entry.holders & early:
                    requests.setdefault(request, set()).add(record.worker_id)

    def crashed_without(self, request: str, part: str) -> bool:
        """Return whether a request with a part was also at a crash without the part."""
        return self.crashes_with[part][request] < self.crashes[request]


def _early_requests(record: CrashRecord) -> set[str]:
    return {request for request, entry in record.requests.items() if entry.early}


def _collect_evidence(
    records: list[CrashRecord], blamed_requests: Collection[str], succeeded: set[str]
) -> dict[str, _Part]:
    runs = _EarlyRuns(records, blamed_requests)
    parts: dict[str, _Part] = {}
    for record in records:
        _add_record(parts, record, runs, succeeded)
    return parts


def _add_record(
    parts: dict[str, _Part], record: CrashRecord, runs: _EarlyRuns, succeeded: set[str]
) -> None:
    early = _early_requests(record)
    suspects = [item for item in record.parts.items() if not item[1].succeeded_after]
    if not early or not suspects:
        return
    repeated = [runs.crashes[request] for request in early if len(runs.crashes[request]) > 1]
    complete = not record.incomplete and all(
        record.requests[request].parts_known for request in early
    )
    for name, entry in suspects:
        part = parts.get(name)
        if part is None:
            part = parts[name] = _Part(succeeded=name in succeeded)
        part.holders |= entry.holders
        if early.isdisjoint(entry.holders):
            continue
        with_part = early & runs.crashes_with[name].keys()
        request = max(with_part, key=lambda key: (len(runs.crashes[key]), key))
        part.requests[record.worker_id] = request
        most = len(runs.crashes[request])
        rivals = [crashes for crashes in repeated if len(crashes) > most]
        for other in with_part & runs.blamed:
            if runs.crashed_without(other, name):
                part.unrelated.add(record.worker_id)
            rivals.append(runs.crashes[other])
        if rivals:
            part.rival_requests[record.worker_id] = rivals
        if early <= entry.holders:
            part.sole.add(record.worker_id)
        if complete:
            part.complete.add(record.worker_id)


class _Rivals:
    """The parts that may explain the crashes of other parts."""

    def __init__(self, parts: Mapping[str, _Part]) -> None:
        self._parts = {
            name: part
            for name, part in parts.items()
            if part.different_requests(part.requests) >= MIN_RIVAL_REQUESTS
        }
        self._workers = {
            worker_id
            for part in self._parts.values()
            if not part.succeeded
            for worker_id in part.requests
        }
        self._names: dict[str, list[str]] = {}
        """The rivals at each crashed worker."""
        for name, part in self._parts.items():
            for worker_id in part.requests:
                self._names.setdefault(worker_id, []).append(name)

    def explained(self, part: _Part, name: str, workers: set[str]) -> set[str]:
        """Return the crashes of a part that a rival explains better.

        If the part succeeded, each crash of a rival without a success is explained. Other rivals
        need most of the crashes and must be the better explanation. If such a rival is not to
        blame, later crashes without it show that.
        """
        found: set[str] = workers & self._workers if part.succeeded else set()
        shared = Counter(other for worker_id in workers for other in self._names.get(worker_id, ()))
        for other, crashes in shared.items():
            rival = self._parts[other]
            if 2 * crashes <= len(workers) or other == name:
                continue
            if rival.succeeded is part.succeeded and rival.explains_better_than(part):
                found |= workers & rival.requests.keys()
        return found


class _Progress:
    """The crashes after which a run with any part of the same service progressed.

    A part without a success since such a crash is suspicious, because other parts had one. While no
    run progresses, a crash counts against a part that has succeeded in two cases: every request at
    the crash has the part, or the part stands out. A part stands out if no engine has crashed
    without it since its first crash, and no other part explains nearly all of its crashes.
    """

    def __init__(self, records: Collection[CrashRecord], parts: Mapping[str, _Part]) -> None:
        self._parts = parts.values()
        self._outlived = outlived_crashes(records)
        self._times = {
            item.worker_id: item.at for item in records if item.parts and _early_requests(item)
        }

    def telling_crashes(self, part: _Part, workers: set[str]) -> set[str]:
        """Return the crashes that count against a part, of its unexplained ones."""
        if len(workers) < _needed_requests(part) or not part.succeeded or self._stands_out(part):
            return workers
        return workers & (self._outlived | part.sole)

    def _stands_out(self, part: _Part) -> bool:
        first = min(self._times[worker_id] for worker_id in part.requests)
        since = {worker_id for worker_id, at in self._times.items() if at >= first}
        return since <= part.requests.keys() and not any(
            other.explains_nearly_all(part) for other in self._parts if other is not part
        )


def _needed_requests(part: _Part) -> int:
    """Return the number of crashes with different requests that a verdict on a part requires."""
    return MIN_CERTAINTY_CRASHES if part.succeeded else MIN_QUARANTINE_CRASHES


def _is_sufficient(part: _Part, workers: set[str]) -> bool:
    needed = _needed_requests(part)
    return len(workers) >= needed and part.different_requests(workers) >= needed


def _unexplained(part: _Part, name: str, rivals: _Rivals, explained: set[str]) -> set[str]:
    """Return the crashes with a part that nothing else explains.

    If the part has succeeded, some requests are a better explanation: those that are blamed, and
    those that were at more crashes without the part. They are not if the part explains all crashes
    of the request.
    """
    workers = part.requests.keys() - explained
    if part.succeeded:
        workers -= part.unrelated
        workers -= {
            worker_id
            for worker_id, requests in part.rival_requests.items()
            if not all(part.explains_request(crashes) for crashes in requests)
        }
    if len(workers) < _needed_requests(part):
        return workers
    workers -= rivals.explained(part, name, workers)
    if len(workers) >= MIN_CERTAINTY_CRASHES:
        return workers
    return workers & part.complete
