"""Claims of refused callers that are served before new ones if they return at their retry time.

Does no I/O: callers pass the time.
"""

import heapq
import math
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from corkcrank.contracts.urgency import Rank

KEY_BYTES = 8
"""Length of a claim's key, which is the fingerprint of the caller's request."""

MAX_CLAIMS = 2_000
"""Maximum number of claims at one gateway. A claim lives for a few seconds, so a gateway's share of
the refusals of a large fleet stays below this."""

MAX_TENANT_SHARE = 0.5
"""Maximum share of the claims that one tenant may hold, so that it cannot displace the others."""

MAX_WAIT_SECONDS = 10.0
"""Maximum retry time in seconds: a third of the 30 s that callers of a stream wait for the first
event at most."""

MAX_SERVICES = 16
"""Maximum number of stage services in one claim."""

MAX_PIECES = 10_000
"""Maximum number of pieces at one service in one claim."""

EARLY_SECONDS = 0.1
"""Time before the retry time at which a caller may already return, in seconds: the minimum retry
time. Before that, its room may still be in use."""

LAPSE_SECONDS = 0.5
"""Time after the retry time at which an unused claim lapses, in seconds. A punctual caller needs a
new connection and a few round trips; new callers are refused for the rest of it."""

RESERVE_SECONDS = 0.5
"""Time before the retry time from which room is reserved for a claim, in seconds. It is longer than
a full call at most stage workers, so work that was admitted earlier has completed."""

MEMORY_SECONDS = 5.0
"""Time for which a lapsed claim is kept, to distinguish late callers from unknown ones."""


class ClaimState(StrEnum):
    """State of the claim of a returning caller at its keeper."""

    ON_TIME = "on time"
    EARLY = "early"
    LATE = "late"
    UNKNOWN = "unknown"


class ClaimedPieces(msgspec.Struct, frozen=True, array_like=True):
    """Pieces that a claim's call will request from one stage service."""

    service: str
    pieces: int


class ReturnClaim(msgspec.Struct, frozen=True, array_like=True):
    """The claim of one refused request; ``seconds`` is the time until its caller may return.

    ``key`` is the fingerprint of the request, which is the same for each attempt of its caller.
    """

    key: bytes
    tenant: str
    rank: Rank
    pieces: tuple[ClaimedPieces, ...]
    seconds: float

    @property
    def is_valid(self) -> bool:
        """Return whether the claim is well-formed; invalid claims must be ignored.

        >>> ReturnClaim(bytes(8), "t", (0, 1), (ClaimedPieces("s", 3),), 0.5).is_valid
        True
        >>> ReturnClaim(bytes(8), "t", (0, 1), (ClaimedPieces("s", -3),), 0.5).is_valid
        False
        >>> ReturnClaim(bytes(8), "t", (0, 1), (), float("nan")).is_valid
        False
        """
        return (
            len(self.key) == KEY_BYTES
            and min(self.rank) >= 0
            and math.isfinite(self.seconds)
            and 0.0 <= self.seconds <= MAX_WAIT_SECONDS
            and len(self.pieces) <= MAX_SERVICES
            and all(0 < item.pieces <= MAX_PIECES for item in self.pieces)
        )


@dataclass(slots=True)
class _KeptClaim:
    claim: ReturnClaim
    at: float
    next_change: float
    outstanding: bool = True
    reserved: bool = False


class ReturnClaims:
    """The claims that one gateway keeps, by the key of their request.

    Room is reserved for a claim from shortly before its retry time until it is used or lapses.
    ``lapsed`` counts unused claims, ``rejected`` counts invalid claims and claims above the limits.
    """

    def __init__(self) -> None:
        self._kept: dict[bytes, _KeptClaim] = {}
        self._changes: list[tuple[float, bytes]] = []
        self._outstanding = 0
        self._by_tenant: Counter[str] = Counter()
        self._pieces: Counter[tuple[str, Rank]] = Counter()
        self.lapsed = 0
        self.rejected = 0

    def __len__(self) -> int:
        return self._outstanding

    def record(self, claim: ReturnClaim, now: float) -> bool:
        """Keep a claim and replace an earlier one of its request; return whether it is kept.

        >>> claims = ReturnClaims()
        >>> claim = ReturnClaim(bytes(8), "t", (0, 1), (ClaimedPieces("s", 3),), 0.5)
        >>> claims.record(claim, now=1.0), claims.pieces_up_to("s", (0, 1), now=1.0)
        (True, 3)
        >>> claims.take(claim.key, now=1.1), claims.take(claim.key, now=1.5)
        (<ClaimState.EARLY: 'early'>, <ClaimState.ON_TIME: 'on time'>)
        >>> claims.take(claim.key, now=1.5), claims.pieces_up_to("s", (0, 1), now=1.5)
        (<ClaimState.UNKNOWN: 'unknown'>, 0)
        """
        self._apply_changes(now)
        if not claim.is_valid:
            self.rejected += 1
            return False
        self._forget(claim.key)
        full = self._outstanding >= MAX_CLAIMS or len(self._kept) >= 2 * MAX_CLAIMS
        if full or self._by_tenant[claim.tenant] >= MAX_TENANT_SHARE * MAX_CLAIMS:
            self.rejected += 1
            return False
        at = now + claim.seconds
        self._kept[claim.key] = _KeptClaim(claim, at, at - RESERVE_SECONDS)
        heapq.heappush(self._changes, (at - RESERVE_SECONDS, claim.key))
        self._outstanding += 1
        self._by_tenant[claim.tenant] += 1
        self._apply_changes(now)
        return True

    def take(self, key: bytes, now: float) -> ClaimState:
        """Use the claim of a request whose caller returns now. A claim is used at most once."""
        self._apply_changes(now)
        kept = self._kept.get(key)
        if kept is None:
            return ClaimState.UNKNOWN
        if now < kept.at - EARLY_SECONDS:
            return ClaimState.EARLY
        state = ClaimState.ON_TIME if kept.outstanding else ClaimState.LATE
        self._forget(key)
        return state

    def pieces_up_to(self, service: str, rank: Rank, now: float) -> int:
        """Return the pieces reserved at a service for this rank or a more urgent one."""
        self._apply_changes(now)
        return sum(
            pieces
            for (name, other), pieces in self._pieces.items()
            if name == service and other <= rank
        )

    def counts(self, now: float) -> Iterator[tuple[str, Rank, int]]:
        """Yield the reserved pieces, by service and rank."""
        self._apply_changes(now)
        for (service, rank), pieces in self._pieces.items():
            yield service, rank, pieces

    def next_returns(self, limit: int, now: float) -> list[float]:
        """Return the seconds until the next returns, for the first ``limit`` claims."""
        self._apply_changes(now)
        times = (kept.at - now for kept in self._kept.values() if kept.outstanding)
        return heapq.nsmallest(limit, times)

    def _reserve(self, kept: _KeptClaim) -> None:
        kept.reserved = True
        for item in kept.claim.pieces:
            self._pieces[item.service, kept.claim.rank] += item.pieces

    def _release(self, kept: _KeptClaim) -> None:
        """Release the reservation of a claim that was used, was replaced or has lapsed."""
        kept.outstanding = False
        self._outstanding -= 1
        tenant = kept.claim.tenant
        self._by_tenant[tenant] -= 1
        if not self._by_tenant[tenant]:
            del self._by_tenant[tenant]
        if not kept.reserved:
            return
        for item in kept.claim.pieces:
            key = item.service, kept.claim.rank
            self._pieces[key] -= item.pieces
            if not self._pieces[key]:
                del self._pieces[key]

    def _forget(self, key: bytes) -> None:
        kept = self._kept.pop(key, None)
        if kept is not None and kept.outstanding:
            self._release(kept)

    def _apply_changes(self, now: float) -> None:
        """Reserve room for claims that are due soon; lapse and later remove unused claims."""
        while self._changes and self._changes[0][0] <= now:
            at, key = heapq.heappop(self._changes)
            kept = self._kept.get(key)
            if kept is None or kept.next_change != at:
                continue
            if not kept.outstanding:
                del self._kept[key]
                continue
            if kept.reserved:
                self._release(kept)
                self.lapsed += 1
                kept.next_change = kept.at + LAPSE_SECONDS + MEMORY_SECONDS
            else:
                self._reserve(kept)
                kept.next_change = kept.at + LAPSE_SECONDS
            heapq.heappush(self._changes, (kept.next_change, key))
