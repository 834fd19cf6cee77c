"""Which requests crash the workers that run them, by what all gateways have seen.

A worker that ends breaks every call it had, so its end says little of any one of them. A request
under which one worker after the other ends, at whichever gateway it came in, and which never ends
well, is kept from workers: it is quarantined. After that it is on probation: one attempt in the
whole fleet at a time, until one ends well or quarantines it again, for longer.

Of the requests that a worker had at its end one may have crashed it. So the request under which
most workers ended is blamed first, and ends that it explains count little against its neighbours.
Where two explain the same ends alike, none is blamed before the next.

The evidence and how it is told: :mod:`request_evidence`. Pure: the time is handed in.
"""

from collections.abc import Mapping

from corkcrank.scheduling.request_evidence import (
    CERTAIN_ENDS,
    NEVER,
    QUARANTINE_ENDS,
    RequestEvidence,
    RequestReport,
    RequestState,
)

TRIAL_SECONDS = 30.0
"""Time that an attempt on probation has: the longest that a caller waits by default."""

EVIDENCE_SECONDS = 600.0
"""An end is forgotten after this time where the request was not quarantined."""

MOST_REQUESTS = 512
"""Requests that are remembered: 0.4 MB, and 2.4 ms to say which are to blame (with three ends
each). Those under which fewer workers ended are forgotten first."""

NEWS_SECONDS = 1.5
"""Time for which a change is told, or two heartbeats where these come more seldom."""

MOST_TOLD = 6
"""Requests that one heartbeat tells of, changed ones first; the others take turns."""

SUSPECT_SECONDS = 1.0
"""Time between two heartbeats that tell of a suspected request again, each of the next one, which
bounds their bytes. Gateways that were cut off from each other, or started meanwhile, add up what
each saw."""


class _Beginnings:
    """The workers that ended as each request began there, and the requests of each worker."""

    def __init__(self, requests: Mapping[str, RequestEvidence]) -> None:
        self.of = {key: evidence.at_beginning() for key, evidence in requests.items()}
        self._at: dict[str, list[str]] = {}
        for key, workers in self.of.items():
            for worker_id in workers:
                self._at.setdefault(worker_id, []).append(key)

    def ambiguous(self, request: str) -> bool:
        """Return whether another request explains the same ends as well.

        The next end shows which of the two it is: without this the one was shut out that came
        first by its fingerprint, a neighbour in two of 13 soaks (seeds 36001 and 36002). Only
        requests that share a worker are compared: a full table takes 2.4 ms, and 0.29 s where
        each is compared with all.
        """
        own = self.of[request]
        neighbours = {key for worker_id in own for key in self._at[worker_id]} - {request}
        return any(
            len(self.of[key]) == len(own) and len(self.of[key] - own) < QUARANTINE_ENDS
            for key in neighbours
        )


class RequestQuarantine:
    """The evidence about every request under which a worker ended, of all gateways."""

    def __init__(self) -> None:
        self._requests: dict[str, RequestEvidence] = {}
        self._known_blamed: frozenset[str] | None = frozenset()
        self._turn = 0
        self._suspect_turn = 0
        self._suspect_told_at = NEVER

    @property
    def empty(self) -> bool:
        """Return whether no request needs to be looked up."""
        return not self._requests

    def note_end(
        self, request: str, worker_id: str, now: float, *, progressed: bool = False
    ) -> bool:
        """Take that a worker ended with a request in progress; return whether that is new.

        ``progressed`` says that its run had gone on for a while.
        """
        evidence = self._of(request)
        if not evidence.add_end(worker_id, now, progressed=progressed):
            return False
        self._note_change(evidence, now)
        return True

    def note_sound(self, request: str, now: float) -> bool:
        """Take that a request ended well; return whether anything counted against it."""
        evidence = self._requests.get(request)
        if evidence is None or not evidence.clear():
            return False
        self._note_change(evidence, now)
        return True

    def _of(self, request: str) -> RequestEvidence:
        return self._requests.setdefault(request, RequestEvidence())

    def state(self, request: str, now: float) -> RequestState:
        """Return what is held of a request."""
        evidence = self._requests.get(request)
        if evidence is None or not evidence.uncleared():
            return RequestState.SOUND
        if request not in self._blamed:
            return RequestState.SUSPECTED
        over = now >= evidence.released_at()
        return RequestState.PROBATION if over else RequestState.QUARANTINED

    def seconds_left(self, request: str, now: float) -> float:
        """Return for how many seconds a request may not be sent to a worker, 0 if it may.

        On probation it may be sent again once the last attempt had its time.
        """
        evidence = self._requests.get(request)
        if evidence is None:
            return 0.0
        state = self.state(request, now)
        if state is RequestState.QUARANTINED:
            return evidence.released_at() - now
        if state is RequestState.PROBATION:
            return max(0.0, evidence.trial_at + TRIAL_SECONDS - now)
        return 0.0

    def note_sent(self, request: str, now: float) -> bool:
        """Take that a request goes to a worker; return whether that is its trial on probation."""
        evidence = self._requests.get(request)
        if evidence is None or self.state(request, now) is not RequestState.PROBATION:
            return False
        evidence.trials += 1
        evidence.trial_at = evidence.changed_at = now
        return True

    def take(self, report: RequestReport, now: float) -> bool:
        """Take what a peer or the store tells; return whether anything of it was not known."""
        evidence = self._of(report.request)
        news = [
            evidence.add_end(
                end.worker_id, now - end.age, cleared=end.cleared, progressed=end.progressed
            )
            for end in report.ends
        ]
        news.append(evidence.take_trial(report.trial, now))
        if not any(news):
            return False
        self._note_change(evidence, now)
        return True

    def reported(self, now: float, interval: float) -> tuple[RequestReport, ...]:
        """Return what a heartbeat tells; ``interval`` is the time between two.

        Whoever was cut off, or has started since, hears of the quarantined ones in turn.
        """
        if self.empty:
            return ()
        self._forget_old(now)
        since = now - max(NEWS_SECONDS, 2.0 * interval)
        changed = [key for key, item in self._requests.items() if item.changed_at > since]
        changed.sort(key=lambda key: self._requests[key].changed_at, reverse=True)
        told = changed[:MOST_TOLD]
        told += self._next_in_turn(MOST_TOLD - len(told), frozenset(told))
        if len(told) < MOST_TOLD:
            told += self._next_suspect(now, frozenset(told))
        return tuple(self._requests[key].report(key, now) for key in told)

    def ended_workers(self, request: str) -> list[str]:
        """Return the workers that ended under a request, of those remembered."""
        evidence = self._requests.get(request)
        return sorted(evidence.ends) if evidence is not None else []

    def known(self) -> dict[str, RequestEvidence]:
        """Return every request that is remembered, for dumps and the store."""
        return dict(self._requests)

    def quarantined(self) -> list[str]:
        """Return the requests that are or were quarantined and have not ended well since."""
        return sorted(self._blamed)

    def _note_change(self, evidence: RequestEvidence, now: float) -> None:
        evidence.changed_at = now
        self._bound()
        self._known_blamed = None

    @property
    def _blamed(self) -> frozenset[str]:
        """Return the requests to blame; worked out when it is asked after a change."""
        if self._known_blamed is None:
            self._known_blamed = self._work_out_blamed()
        return self._known_blamed

    def _work_out_blamed(self) -> frozenset[str]:
        """Return the requests to blame, those under which most workers ended first."""
        blamed: set[str] = set()
        explained: set[str] = set()
        beginnings = _Beginnings(self._requests)
        for key in sorted(self._requests, key=self._blame_order):
            ends = self._requests[key].uncleared()
            unexplained = beginnings.of[key] - explained
            enough = len(unexplained) >= QUARANTINE_ENDS and not beginnings.ambiguous(key)
            if enough or len(ends) >= CERTAIN_ENDS:
                blamed.add(key)
                explained |= ends
        return frozenset(blamed)

    def _blame_order(self, request: str) -> tuple[int, int, str]:
        """Order requests alike at every gateway that knows the same of them."""
        evidence = self._requests[request]
        return -len(evidence.at_beginning()), -len(evidence.uncleared()), request

    def _next_in_turn(self, count: int, told: frozenset[str]) -> list[str]:
        waiting = [key for key in self.quarantined() if key not in told]
        if count <= 0 or not waiting:
            return []
        self._turn += count
        start = self._turn % len(waiting)
        return (waiting[start:] + waiting[:start])[:count]

    def _next_suspect(self, now: float, told: frozenset[str]) -> list[str]:
        if now - self._suspect_told_at < SUSPECT_SECONDS:
            return []
        blamed = self._blamed
        waiting = [
            key
            for key, item in self._requests.items()
            if key not in told and key not in blamed and item.uncleared()
        ]
        if not waiting:
            return []
        self._suspect_told_at = now
        self._suspect_turn += 1
        return [waiting[self._suspect_turn % len(waiting)]]

    def _forget_old(self, now: float) -> None:
        old = [key for key, item in self._requests.items() if _is_old(item, now)]
        for key in old:
            del self._requests[key]
        if old:
            self._known_blamed = None

    def _bound(self) -> None:
        """Forget the requests that crash the fewest workers, the oldest of them first."""
        while len(self._requests) > MOST_REQUESTS:
            least = min(
                self._requests,
                key=lambda key: (
                    len(self._requests[key].uncleared()),
                    self._requests[key].newest_at,
                ),
            )
            del self._requests[least]


def _is_old(evidence: RequestEvidence, now: float) -> bool:
    """Return whether a request is forgotten: its ends say nothing any more."""
    kept = max(EVIDENCE_SECONDS, 2.0 * (evidence.released_at() - evidence.newest_at))
    return now - evidence.newest_at > kept
