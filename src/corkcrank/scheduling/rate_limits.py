"""Limits the rate of requests that a worker gets from all gateways together.

A worker that is warming up has a configured rate, and an overloaded worker states its own rate. The
limit is enforced in one of two ways:

- If the owner of a service's workers in a zone is reachable, it decides for all gateways: it counts
  the requests that it granted within a window.
- If the owner does not answer, each gateway has time slots for one request each, derived from its
  name and the worker's. Unused slots expire. Equal shares of the rate would not work: with 86
  gateways each share is close to zero, and all unused shares would become usable together.

The module does no I/O; callers pass the time.
"""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from corkcrank.contracts.rendezvous import rendezvous_hash

DEFAULT_WINDOW_SECONDS = 1.0
"""Window of a warming worker's rate, and of bursts at a worker that states a rate, in seconds."""

STATED_WINDOW_SECONDS = 4.0
"""Window over which a stated rate is enforced exactly."""

LOCAL_SLOT_SHARE = 0.5
"""Share of the rate that is split among the local slots of all gateways. The rest is a margin:
slots may coincide, and an owner may grant requests at the same time."""

MAX_WAIT_SECONDS = 10.0
"""Wait returned for a worker with a rate of zero."""

_PHASES = 1 << 32


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Limit of ``rate`` requests a second, kept over a window of ``window`` seconds."""

    rate: float
    window: float = DEFAULT_WINDOW_SECONDS

    @property
    def requests(self) -> int:
        """Return the number of requests that fit in the window, at least 1 for a positive rate.

        >>> RateLimit(6.7).requests, RateLimit(0.3).requests, RateLimit(0.0).requests
        (6, 1, 0)
        """
        return max(1, int(self.rate * self.window)) if self.rate > 0 else 0


def limits_for_stated_rate(rate: float) -> tuple[RateLimit, ...]:
    """Return the limits of a worker that states a rate: one for bursts, one for the longer window.

    >>> limits_for_stated_rate(1.2)
    (RateLimit(rate=2, window=1.0), RateLimit(rate=1.2, window=4.0))
    >>> limits_for_stated_rate(0.1)
    (RateLimit(rate=1, window=1.0), RateLimit(rate=0.1, window=10.0))
    """
    window = max(STATED_WINDOW_SECONDS, 1.0 / rate) if rate > 0 else STATED_WINDOW_SECONDS
    return RateLimit(math.ceil(rate)), RateLimit(rate, window)


class GrantLog:
    """Times of the requests that one gateway granted to each limited worker."""

    def __init__(self) -> None:
        self._granted: dict[str, deque[float]] = {}

    def fits(self, worker_id: str, limits: Sequence[RateLimit], now: float) -> bool:
        """Return whether a worker may get one more request now.

        >>> log = GrantLog()
        >>> log.record_grant("w", 5.0)
        >>> [log.fits("w", (RateLimit(rate),), at) for rate, at in ((2, 5.5), (1, 5.5), (1, 6.1))]
        [True, False, True]
        """
        return self.seconds_until_fit(worker_id, limits, now) <= 0.0

    def seconds_until_fit(self, worker_id: str, limits: Sequence[RateLimit], now: float) -> float:
        """Return the seconds until a worker may get one more request."""
        granted = self._granted.get(worker_id, ())
        return max((_seconds_until_fit(granted, limit, now) for limit in limits), default=0.0)

    def record_grant(
        self, worker_id: str, now: float, max_age: float = STATED_WINDOW_SECONDS
    ) -> None:
        """Record a granted request; remove grants that are older than ``max_age`` seconds."""
        granted = self._granted.setdefault(worker_id, deque())
        while granted and granted[0] <= now - max_age:
            granted.popleft()
        granted.append(now)

    def remove_idle_since(self, time: float) -> None:
        """Remove workers whose newest grant is older than ``time``."""
        for worker_id in [key for key, granted in self._granted.items() if granted[-1] < time]:
            del self._granted[worker_id]


def _seconds_until_fit(granted: Sequence[float], limit: RateLimit, now: float) -> float:
    requests = limit.requests
    if requests == 0:
        return MAX_WAIT_SECONDS
    if len(granted) < requests:
        return 0.0
    # Wait until this grant is older than the window; then one more request fits.
    return max(0.0, granted[-requests] + limit.window - now)


class LocalSlots:
    """Time slots in which a gateway may send to a limited worker without a grant of the owner."""

    def __init__(self, local_name: str) -> None:
        self._local_name = local_name
        self._used: dict[str, int] = {}

    def is_open(self, worker_id: str, rate: float, members: int, now: float) -> bool:
        """Return whether a request may be sent now; ``rate`` is in requests a second."""
        position, slot = self._position(worker_id, rate, members, now)
        return position < 1.0 and self._used.get(worker_id) != slot

    def record_use(self, worker_id: str, rate: float, members: int, now: float) -> None:
        """Record that the current slot is used for a request."""
        self._used[worker_id] = self._position(worker_id, rate, members, now)[1]

    def _position(self, worker_id: str, rate: float, members: int, now: float) -> tuple[float, int]:
        """Return the position in a round of ``members`` slots, and the number of the round."""
        phase = rendezvous_hash(self._local_name, worker_id) % _PHASES / _PHASES
        rounds = now * LOCAL_SLOT_SHARE * rate / members + phase
        round_number = int(rounds)
        return (rounds - round_number) * members, round_number
