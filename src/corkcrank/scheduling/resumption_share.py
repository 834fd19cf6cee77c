"""Bounds how many resumed streams are served before new calls, by tenant at one gateway.

That a call resumes a stream is the word of its caller, who may name one begun stream in many calls.
Beyond the bound, a resumed stream is served as a new call. Does no I/O: callers pass the time.
"""

import math
from dataclasses import dataclass

DECAY_SECONDS = 10.0
"""Time constant of the exponential decay of a stream's weight: streams break off together, and
those of the last seconds show how many there can be."""

MAX_PRECEDING_PER_BEGUN = 0.5
"""Maximum number of recent streams with precedence, for each stream of the tenant that has begun
recently. Refused calls don't count: they cost their caller nothing."""

MIN_PRECEDING_STREAMS = 24.0
"""Number that all gateways together allow in any case, or one for each gateway if there are more,
since a gateway that has just started has seen no stream begin."""

MIN_WEIGHT = 0.05
"""Weight below which a tenant's streams are removed."""


@dataclass(slots=True)
class _Streams:
    """Weights of streams that began here and of resumed ones with precedence."""

    begun: float
    preceding: float
    at: float

    def decayed(self, now: float) -> "_Streams":
        decay = math.exp(-max(0.0, now - self.at) / DECAY_SECONDS)
        return _Streams(self.begun * decay, self.preceding * decay, now)


class ResumptionShare:
    """Exponentially decaying numbers of begun streams, and of those with precedence, by tenant."""

    def __init__(self) -> None:
        self._tenants: dict[str, _Streams] = {}

    def __len__(self) -> int:
        return len(self._tenants)

    def observe_begun(self, tenant: str, now: float) -> None:
        """Record a new stream whose first event is about to be relayed."""
        known = self._decayed(tenant, now)
        known.begun += 1.0

    def may_precede(self, tenant: str, gateways: int, now: float) -> bool:
        """Return whether a resumed stream has precedence, and record it if it does.

        >>> share = ResumptionShare()
        >>> sum(share.may_precede("t", 6, 0.0) for _ in range(100))
        4
        >>> for _ in range(40): share.observe_begun("t", 0.0)
        >>> sum(share.may_precede("t", 6, 0.0) for _ in range(100))
        16
        """
        known = self._decayed(tenant, now)
        fixed = MIN_PRECEDING_STREAMS / max(1, gateways)
        precedes = known.preceding < max(fixed, MAX_PRECEDING_PER_BEGUN * known.begun)
        known.preceding += precedes
        return precedes

    def give_back(self, tenant: str, preceded_at: float, now: float) -> None:
        """Take back the record of a resumed stream that was refused before it preceded any call.

        >>> share = ResumptionShare()
        >>> while share.may_precede("t", 350, 0.0): pass
        >>> share.give_back("t", 0.0, 1.0)
        >>> [share.may_precede("t", 350, 1.0) for _ in range(2)]
        [True, False]
        """
        known = self._decayed(tenant, now)
        weight = math.exp(-max(0.0, now - preceded_at) / DECAY_SECONDS)
        known.preceding = max(0.0, known.preceding - weight)

    def _decayed(self, tenant: str, now: float) -> _Streams:
        """Return a tenant's streams at a time; remove those of tenants without recent ones."""
        if tenant not in self._tenants:
            self._remove_old(now)
        known = self._tenants.get(tenant, _Streams(0.0, 0.0, now)).decayed(now)
        self._tenants[tenant] = known
        return known

    def _remove_old(self, now: float) -> None:
        for tenant in list(self._tenants):
            streams = self._tenants[tenant].decayed(now)
            if max(streams.begun, streams.preceding) < MIN_WEIGHT:
                del self._tenants[tenant]
