"""Decides which large request bodies a gateway keeps, within a bound that follows its memory.

A body is kept until its call ends, since the call may be sent again. Callers that send many large
bodies at once must not take the gateway over its memory, which would lose every call in progress.
Does no I/O: callers pass the time in seconds.
"""

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

from corkcrank.contracts.memory import BYTES_PER_MB, IDLE_MEMORY_MB
from corkcrank.links.kept_memory import KeptMemory

BODY_MEMORY_SHARE = 0.2
"""Share of the memory above ``IDLE_MEMORY_MB`` that large bodies may use. A body needs
twice its bytes while its parts are joined."""

MIN_BODIES_BYTES = 8 * BYTES_PER_MB
"""Minimum bound of a gateway with little memory: two bodies of the usual limit."""

SMALL_BODY_BYTES = 65_536
"""Size up to which a body is kept without a grant. The number of connections bounds these."""

MAX_TENANT_SHARE = 0.5
"""Maximum share of the bound that the bodies of one tenant may use, so that others find room. One
body is always allowed."""

DEFAULT_KEPT_SECONDS = 0.5
"""Expected time for which a large body is kept, before one was observed."""

KEPT_SMOOTHING = 0.2
"""Weight of the newest observation in the mean time for which a large body is kept."""

MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 2.0

Rank = tuple[int, int]
Key = TypeVar("Key", bound=Hashable)


@dataclass(frozen=True, slots=True)
class BodyClaim:
    """The room that a call's body needs.

    ``tenant`` is empty if the deployment has none. ``rank`` is that of the call; the lowest comes
    first.
    """

    size: int
    tenant: str
    rank: Rank


@dataclass(slots=True)
class _Grant:
    claim: BodyClaim
    granted_at: float


class BodyBudget(Generic[Key]):
    """The large bodies of the calls in progress, by a key for each call.

    ``bound_bytes`` is the bound of the gateway, 0 for none; ``kept_bytes`` is what they use.
    ``memory`` sums all accounts of the gateway.
    """

    def __init__(self, bound_bytes: int = 0) -> None:
        self.bound_bytes = bound_bytes
        self.kept_bytes = 0
        self.memory = KeptMemory()
        self._granted: dict[Key, _Grant] = {}
        self._waiting: dict[Key, BodyClaim] = {}
        self._by_tenant: dict[str, int] = {}
        self._mean_kept_seconds = DEFAULT_KEPT_SECONDS

    def __len__(self) -> int:
        return len(self._granted)

    @property
    def waiting(self) -> int:
        """Return the number of claims that wait for room."""
        return len(self._waiting)

    def claim(self, key: Key, claim: BodyClaim, now: float) -> bool:
        """Grant a claim now, or let it wait until :meth:`release` grants it."""
        ahead = any(self._blocks(other, claim) for other in self._waiting.values())
        if ahead or not self._fits(claim):
            self._waiting[key] = claim
            return False
        self._grant(key, claim, now)
        return True

    def withdraw(self, key: Key, now: float) -> list[Key]:
        """Remove a claim that no longer waits; grant and return claims that fit now."""
        if self._waiting.pop(key, None) is None:
            return []
        return self._grant_waiting(now)

    def resize(self, key: Key, size: int, now: float) -> list[Key]:
        """Reduce a grant to the size of the body that was read; grant and return other claims."""
        grant = self._granted.get(key)
        if grant is None or size >= grant.claim.size:
            return []
        self._count(grant.claim, size - grant.claim.size)
        grant.claim = BodyClaim(size, grant.claim.tenant, grant.claim.rank)
        return self._grant_waiting(now)

    def set_bound(self, bound_bytes: int, now: float) -> list[Key]:
        """Change the bound; grant and return claims that fit now."""
        self.bound_bytes = bound_bytes
        return self._grant_waiting(now)

    def release(self, key: Key, now: float) -> list[Key]:
        """Remove the grant of a call that has ended; grant and return claims that fit now."""
        self._waiting.pop(key, None)
        grant = self._granted.pop(key, None)
        if grant is not None:
            self._count(grant.claim, -grant.claim.size)
            kept_seconds = now - grant.granted_at
            self._mean_kept_seconds += KEPT_SMOOTHING * (kept_seconds - self._mean_kept_seconds)
        return self._grant_waiting(now)

    def retry_seconds(self) -> float:
        """Return the time after which a refused caller may find room."""
        turns = 1 + len(self._waiting) / max(1, len(self._granted))
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, turns * self._mean_kept_seconds))

    def _grant_waiting(self, now: float) -> list[Key]:
        """Grant and return the waiting claims that fit, the most urgent ones first.

        A claim that exceeds only the share of its tenant holds up no other tenant.
        """
        granted = []
        for key, claim in sorted(self._waiting.items(), key=lambda item: item[1].rank):
            if not self._fits_bound(claim):
                break
            if self._fits_tenant(claim):
                del self._waiting[key]
                self._grant(key, claim, now)
                granted.append(key)
        return granted

    def _blocks(self, waiting: BodyClaim, claim: BodyClaim) -> bool:
        """Return whether a waiting claim comes before a new one."""
        return waiting.rank <= claim.rank and self._fits_tenant(waiting)

    def _fits(self, claim: BodyClaim) -> bool:
        return self._fits_bound(claim) and self._fits_tenant(claim)

    def _fits_bound(self, claim: BodyClaim) -> bool:
        if not self.bound_bytes or not self.kept_bytes:
            return True
        within_bound = self.kept_bytes + claim.size <= self.bound_bytes
        return within_bound and self.memory.has_room(claim.size)

    def _fits_tenant(self, claim: BodyClaim) -> bool:
        used = self._by_tenant.get(claim.tenant, 0)
        if not self.bound_bytes or not claim.tenant or not used:
            return True
        return used + claim.size <= MAX_TENANT_SHARE * self.bound_bytes

    def _grant(self, key: Key, claim: BodyClaim, now: float) -> None:
        self._granted[key] = _Grant(claim, now)
        self._count(claim, claim.size)

    def _count(self, claim: BodyClaim, change: int) -> None:
        self.kept_bytes += change
        used = self._by_tenant.get(claim.tenant, 0) + change
        if used:
            self._by_tenant[claim.tenant] = used
        else:
            self._by_tenant.pop(claim.tenant, None)


def bodies_bound_bytes(memory_mb: float) -> int:
    """Return the bound of one gateway for large bodies, 0 if its memory is unknown.

    >>> bodies_bound_bytes(300.0) // BYTES_PER_MB, bodies_bound_bytes(0.0)
    (48, 0)
    >>> bodies_bound_bytes(60.0) // BYTES_PER_MB
    8
    """
    if memory_mb <= 0:
        return 0
    shared = (memory_mb - IDLE_MEMORY_MB) * BODY_MEMORY_SHARE * BYTES_PER_MB
    return max(MIN_BODIES_BYTES, int(shared))
