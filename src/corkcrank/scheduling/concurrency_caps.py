"""Caps the calls in progress at brittle workers, which fall over if they reject too many.

The owner of a service's workers in a zone holds a lease for each call that it granted to such a
worker, until the call has ended. The cap starts at the worker's slots, falls with each rejection
to the calls that the worker kept, and rises again slowly. After nearly as many rejections in a
second as the worker tolerates, it gets nothing until that second is over.

The module does no I/O; callers pass the time, in seconds of one clock.
"""

from collections import deque
from dataclasses import dataclass, field

REJECTION_WINDOW_SECONDS = 1.0
"""Time over which a worker counts the calls that it rejects."""

RISE_SECONDS = 4.0
"""Time after which a cap that has not changed rises by one call."""

UNKNOWN_CALLS_SECONDS = 3.0
"""Time after its first lease in which a worker may still have calls that began without one. The
calls that gateways report count too until then."""

PLACE_WAIT_SECONDS = 0.04
"""Time after which to ask again for a place: some of a usual call's duration."""

CALL_TIME_WEIGHT = 0.1
"""Weight of the newest call in the mean time of a worker's calls."""

MIN_CALL_SECONDS = 0.001
"""Shortest mean time of a call that a rate is computed from."""

DEFAULT_CALL_SECONDS = 0.1
"""Time of a call that is assumed before the first has ended."""


@dataclass(frozen=True, slots=True)
class CapLimits:
    """What a worker states: its slots, and how many rejections in a second it tolerates."""

    slots: int
    tolerated_rejections: float


@dataclass(slots=True)
class _Lease:
    granted_at: float
    expires_at: float


@dataclass(slots=True)
class _WorkerCap:
    """State of one worker: ``places`` is the number of calls that it may have at a time."""

    places: int
    created_at: float
    changed_at: float
    leases: dict[str, _Lease] = field(default_factory=dict)
    rejected_at: deque[float] = field(default_factory=deque)
    call_seconds: float = DEFAULT_CALL_SECONDS

    def remove_expired(self, now: float) -> None:
        for call_id in [key for key, lease in self.leases.items() if lease.expires_at <= now]:
            del self.leases[call_id]
        while self.rejected_at and self.rejected_at[0] <= now - REJECTION_WINDOW_SECONDS:
            self.rejected_at.popleft()

    def rise(self, slots: int, now: float) -> None:
        if now - self.changed_at >= RISE_SECONDS and self.places < slots:
            self.places += 1
            self.changed_at = now


class ConcurrencyCaps:
    """The caps of all brittle workers whose calls this gateway grants."""

    def __init__(self) -> None:
        self._caps: dict[str, _WorkerCap] = {}

    def places(self, worker_id: str) -> int | None:
        """Return the calls that a worker may have at a time, ``None`` if it has no cap."""
        cap = self._caps.get(worker_id)
        return cap.places if cap is not None else None

    def leases(self, worker_id: str) -> int:
        """Return the number of calls that hold a lease of a worker."""
        cap = self._caps.get(worker_id)
        return len(cap.leases) if cap is not None else 0

    def seconds_until_place(
        self, worker_id: str, limits: CapLimits, reported_calls: int, now: float
    ) -> float:
        """Return after how many seconds a worker may get one more call, 0 for now.

        ``reported_calls`` are those that gateways report to have in progress there.

        >>> caps, limits = ConcurrencyCaps(), CapLimits(slots=1, tolerated_rejections=3)
        >>> caps.record_lease("w", limits, "c1", 10.0, now=0.0)
        >>> caps.seconds_until_place("w", limits, 1, now=0.0) > 0
        True
        >>> caps.release("w", "c1", rejected=False, now=0.2)
        >>> caps.seconds_until_place("w", limits, 0, now=0.2)
        0.0
        """
        cap = self._caps.get(worker_id)
        if cap is None:
            return 0.0 if reported_calls < limits.slots else PLACE_WAIT_SECONDS
        cap.remove_expired(now)
        cap.rise(limits.slots, now)
        if len(cap.rejected_at) >= max(1.0, limits.tolerated_rejections - 1):
            return cap.rejected_at[0] + REJECTION_WINDOW_SECONDS - now
        calls = len(cap.leases)
        if now - cap.created_at < UNKNOWN_CALLS_SECONDS:
            calls = max(calls, reported_calls)
        return 0.0 if calls < cap.places else PLACE_WAIT_SECONDS

    def record_lease(
        self, worker_id: str, limits: CapLimits, call_id: str, seconds: float, now: float
    ) -> None:
        """Record that a call was granted a place; it ends after ``seconds`` at the latest."""
        cap = self._caps.get(worker_id)
        if cap is None:
            cap = self._caps[worker_id] = _WorkerCap(max(1, limits.slots), now, now)
        cap.leases[call_id] = _Lease(now, now + seconds)

    def release(self, worker_id: str, call_id: str, *, rejected: bool, now: float) -> None:
        """Release a call's lease: it has ended, or the worker rejected it for want of room.

        >>> caps, limits = ConcurrencyCaps(), CapLimits(slots=8, tolerated_rejections=3)
        >>> for call in ("c1", "c2", "c3"):
        ...     caps.record_lease("w", limits, call, 10.0, now=0.0)
        >>> caps.release("w", "c3", rejected=True, now=0.1)
        >>> caps.places("w")
        2
        """
        cap = self._caps.get(worker_id)
        lease = cap.leases.pop(call_id, None) if cap is not None else None
        if cap is None or lease is None:
            return
        if rejected:
            cap.rejected_at.append(now)
            cap.places = max(1, min(cap.places - 1, len(cap.leases)))
            cap.changed_at = now
        else:
            cap.call_seconds += CALL_TIME_WEIGHT * (now - lease.granted_at - cap.call_seconds)

    def rate(self, worker_id: str, slots: int) -> float:
        """Return how many calls a second a worker can begin, as far as is known."""
        cap = self._caps.get(worker_id)
        if cap is None:
            return slots / DEFAULT_CALL_SECONDS
        return cap.places / max(MIN_CALL_SECONDS, cap.call_seconds)

    def remove(self, worker_id: str) -> None:
        """Remove the cap of a worker that is not brittle any more, or not listed."""
        self._caps.pop(worker_id, None)

    def worker_ids(self) -> list[str]:
        """Return the workers that have a cap."""
        return list(self._caps)
