"""Limits the retries that all gateways together send to one service.

In any window the fleet may send ``ratio`` x the first attempts + ``allowance`` retries to a
service. Each gateway uses an equal share of ``allowance`` among the live members. A gateway that
does not know its peers yet assumes the smallest share.

A stream that has begun cannot be refused when no retry is left. Other calls leave a retry to each
begun stream that waits to be continued, and a part of the budget is spent on such streams only.
"""

from collections import deque
from dataclasses import dataclass, field

SAFETY_FACTOR = 0.7
"""Fraction of the budget that is used: the member count is delayed, and the windows slide."""

CONTINUATION_FACTOR = 0.85
"""Fraction of the budget up to which begun streams are continued."""


@dataclass(slots=True)
class FleetRetryBudget:
    """Retry budget of one gateway for one service; ``window`` is in seconds.

    ``waiting_streams`` holds the ids of begun streams that wait to be continued.
    """

    ratio: float
    allowance: float
    window: float
    waiting_streams: set[str] = field(default_factory=set)
    _firsts: deque[float] = field(default_factory=deque)
    _repeats: deque[float] = field(default_factory=deque)

    def record_first_attempt(self, now: float) -> None:
        """Record a first attempt."""
        self._trim(now)
        self._firsts.append(now)

    def record_repeat(self, now: float) -> None:
        """Record a retry that was sent without a check of the budget."""
        self._trim(now)
        self._repeats.append(now)

    def remaining(self, now: float, members: int) -> float:
        """Return the remaining retries in the window that ends at ``now``.

        >>> budget = FleetRetryBudget(ratio=0.2, allowance=10.0, window=10.0)
        >>> round(budget.remaining(0.0, members=5), 6)
        1.4
        """
        return self._unspent(now, members, SAFETY_FACTOR)

    def can_spend(self, now: float, members: int, stream: str = "") -> bool:
        """Return whether the budget allows a retry; ``stream`` is the begun stream it continues."""
        if stream:
            return self._unspent(now, members, CONTINUATION_FACTOR) >= 1.0
        return self.remaining(now, members) >= 1.0 + len(self.waiting_streams)

    def try_spend(self, now: float, members: int, stream: str = "") -> bool:
        """Spend one retry if the budget allows it; return whether it did."""
        if not self.can_spend(now, members, stream):
            return False
        self._repeats.append(now)
        self.waiting_streams.discard(stream)
        return True

    def _unspent(self, now: float, members: int, factor: float) -> float:
        self._trim(now)
        earned = self.ratio * len(self._firsts) + self.allowance / max(1, members)
        return factor * earned - len(self._repeats)

    def _trim(self, now: float) -> None:
        for times in (self._firsts, self._repeats):
            while times and times[0] <= now - self.window:
                times.popleft()
