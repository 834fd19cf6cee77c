"""Caps the calls in progress at brittle workers, which fail if they reject too many calls.

The owner of a service's workers in a zone holds a lease for each call that it granted to a brittle
worker, until the call ends. The cap starts at the worker's slots. A rejection lowers it to the
number of calls that the worker accepted, and it then rises slowly. After a rejection the calls that
the worker may still reject are limited to the further rejections that it tolerates, so that even if
it rejects all of them it does not fail.

An abandoned call without an answer may still reach the worker over a slow link. Its lease counts
for one more rejection window, and the worker gets one call at a time until the next lease is
released.

The module does no I/O; callers pass the time, in seconds of one clock.
"""

from collections import deque
from dataclasses import dataclass, field

REJECTION_WINDOW_SECONDS = 1.0
"""Window in which a worker counts its rejections."""

RISE_SECONDS = 4.0
"""Time without a change after which a cap rises by one call."""

UNKNOWN_CALLS_SECONDS = 3.0
"""Time after the first lease during which calls without a lease may still run at the worker. Until
then, the calls that gateways report count too."""

PLACE_WAIT_SECONDS = 0.04
"""Retry time for a place: a fraction of a usual call's duration."""

ACCEPTANCE_FACTOR = 2.0
"""A call counts as accepted after the longest time that a recent rejection by its worker took,
multiplied by this factor."""

CALL_TIME_WEIGHT = 0.1
"""Weight of the newest call in the mean time of a worker's calls."""

MIN_CALL_SECONDS = 0.001
"""Lower bound of the mean call duration when a rate is computed."""

DEFAULT_CALL_SECONDS = 0.1
"""Call duration that is assumed before the first measurement."""


@dataclass(frozen=True, slots=True)
class CapLimits:
    """Limits that a worker states: its slots, and the rejections that it tolerates in a second."""

    slots: int
    tolerated_rejections: float


@dataclass(slots=True)
class _Lease:
    granted_at: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class _Rejection:
    """A rejection of a call, ``seconds`` after its lease was granted."""

    at: float
    seconds: float


@dataclass(slots=True)
class _WorkerCap:
    """State of one worker: ``places`` is the maximum number of calls in progress.

    ``silent`` is set by an abandoned call and cleared by the next released lease.
    """

    places: int
    created_at: float
    changed_at: float
    leases: dict[str, _Lease] = field(default_factory=dict)
    rejections: deque[_Rejection] = field(default_factory=deque)
    call_seconds: float = DEFAULT_CALL_SECONDS
    silent: bool = False

    def remove_expired(self, now: float) -> None:
        for call_id in [key for key, lease in self.leases.items() if lease.expires_at <= now]:
            del self.leases[call_id]
        while self.rejections and self.rejections[0].at <= now - REJECTION_WINDOW_SECONDS:
            self.rejections.popleft()

    def seconds_until_tolerated(self, tolerated: float, now: float) -> float:
        """Return the seconds until the worker tolerates it if one more call is rejected too.

        One rejection is reserved while calls without a lease, or leases of an earlier owner, may
        still be in progress.
        """
        if not self.rejections:
            return 0.0
        wait = self.rejections[0].at + REJECTION_WINDOW_SECONDS - now
        reserved_for = self.created_at + UNKNOWN_CALLS_SECONDS - now
        if reserved_for > 0:
            tolerated -= 1
            wait = min(wait, reserved_for)
        spare = tolerated - len(self.rejections)
        if spare < 1:
            return wait
        slowest = max(rejection.seconds for rejection in self.rejections)
        accepted_before = now - ACCEPTANCE_FACTOR * slowest
        undecided = sum(lease.granted_at > accepted_before for lease in self.leases.values())
        return 0.0 if undecided + 1 <= spare else min(PLACE_WAIT_SECONDS, wait)

    def calls(self, reported_calls: int, now: float) -> int:
        """Return the calls in progress, as far as leases and reports of gateways show."""
        if now - self.created_at < UNKNOWN_CALLS_SECONDS:
            return max(len(self.leases), reported_calls)
        return len(self.leases)

    def rise(self, slots: int, now: float) -> None:
        if now - self.changed_at >= RISE_SECONDS and self.places < slots:
            self.places += 1
            self.changed_at = now


class ConcurrencyCaps:
    """The caps of all brittle workers whose calls this gateway grants."""

    def __init__(self) -> None:
        self._caps: dict[str, _WorkerCap] = {}

    def places(self, worker_id: str) -> int | None:
        """Return a worker's maximum number of calls in progress, ``None`` without a cap."""
        cap = self._caps.get(worker_id)
        return cap.places if cap is not None else None

    def leases(self, worker_id: str) -> int:
        """Return the number of calls that hold a lease of a worker."""
        cap = self._caps.get(worker_id)
        return len(cap.leases) if cap is not None else 0

    def seconds_until_place(
        self, worker_id: str, limits: CapLimits, reported_calls: int, now: float
    ) -> float:
        """Return the seconds until a worker may get one more call, 0 for now.

        ``reported_calls`` is the number of calls in progress there by the gateways' reports.

        >>> caps, limits = ConcurrencyCaps(), CapLimits(slots=1, tolerated_rejections=3)
        >>> caps.record_lease("w", limits, "c1", 10.0, now=0.0)
        >>> caps.seconds_until_place("w", limits, 1, now=0.0) > 0
        True
        >>> caps.release("w", "c1", 1, rejected=False, now=0.2)
        >>> caps.seconds_until_place("w", limits, 0, now=0.2)
        0.0
        """
        cap = self._caps.get(worker_id)
        if cap is None:
            return 0.0 if reported_calls < limits.slots else PLACE_WAIT_SECONDS
        cap.remove_expired(now)
        cap.rise(limits.slots, now)
        wait = cap.seconds_until_tolerated(limits.tolerated_rejections, now)
        if wait > 0:
            return wait
        places = 1 if cap.silent else cap.places
        return 0.0 if cap.calls(reported_calls, now) < places else PLACE_WAIT_SECONDS

    def record_lease(
        self, worker_id: str, limits: CapLimits, call_id: str, seconds: float, now: float
    ) -> None:
        """Record a call's lease, which expires after ``seconds``."""
        cap = self._caps.get(worker_id)
        if cap is None:
            cap = self._caps[worker_id] = _WorkerCap(max(1, limits.slots), now, now)
        cap.leases[call_id] = _Lease(now, now + seconds)

    def release(
        self, worker_id: str, call_id: str, reported_calls: int, *, rejected: bool, now: float
    ) -> None:
        """Release the lease of a call that ended or was rejected; update the worker's cap.

        ``reported_calls`` is the number of calls that all gateways report in progress at the
        worker, including this call.

        >>> caps, limits = ConcurrencyCaps(), CapLimits(slots=8, tolerated_rejections=3)
        >>> for call in ("c1", "c2", "c3"):
        ...     caps.record_lease("w", limits, call, 10.0, now=0.0)
        >>> caps.release("w", "c3", 3, rejected=True, now=0.1)
        >>> caps.places("w")
        2
        """
        cap = self._caps.get(worker_id)
        lease = cap.leases.pop(call_id, None) if cap is not None else None
        if cap is None or lease is None:
            return
        cap.silent = False
        if rejected:
            cap.rejections.append(_Rejection(now, now - lease.granted_at))
            kept = cap.calls(reported_calls - 1, now)
            cap.places = max(1, min(cap.places - 1, kept))
            cap.changed_at = now
        else:
            cap.call_seconds += CALL_TIME_WEIGHT * (now - lease.granted_at - cap.call_seconds)

    def release_unanswered(self, worker_id: str, call_id: str, now: float) -> None:
        """Limit the lease of an abandoned call to a rejection window; mark the worker silent.

        >>> caps, limits = ConcurrencyCaps(), CapLimits(slots=1, tolerated_rejections=3)
        >>> caps.record_lease("w", limits, "c1", 10.0, now=0.0)
        >>> caps.release_unanswered("w", "c1", now=0.2)
        >>> caps.seconds_until_place("w", limits, 0, now=1.1) > 0
        True
        >>> caps.seconds_until_place("w", limits, 0, now=1.3)
        0.0
        """
        cap = self._caps.get(worker_id)
        lease = cap.leases.get(call_id) if cap is not None else None
        if cap is None or lease is None:
            return
        cap.silent = True
        lease.expires_at = now + REJECTION_WINDOW_SECONDS

    def rate(self, worker_id: str, slots: int) -> float:
        """Return the estimated number of calls that a worker can begin in a second."""
        cap = self._caps.get(worker_id)
        if cap is None:
            return slots / DEFAULT_CALL_SECONDS
        return cap.places / max(MIN_CALL_SECONDS, cap.call_seconds)

    def remove(self, worker_id: str) -> None:
        """Remove the cap of a worker that is no longer brittle or listed."""
        self._caps.pop(worker_id, None)

    def worker_ids(self) -> list[str]:
        """Return the workers that have a cap."""
        return list(self._caps)
