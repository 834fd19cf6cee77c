"""Builds the part of the state dump that tells which refused callers are expected back."""

import msgspec

from corkcrank.node.returns.return_offers import ReturnOffers

MAX_LISTED_RETURNS = 10
"""Maximum number of callers' expected returns in the dump."""


class ReturnClaimsDump(msgspec.Struct, frozen=True):
    """Claims of refused callers: those kept here, and the next slots that are told to callers.

    ``next_returns`` and ``next_slots`` are in seconds from now; the latter by service and rank.
    """

    kept: int
    lapsed: int
    rejected: int
    next_returns: tuple[float, ...]
    next_slots: dict[str, float]


def dump_claims(offers: ReturnOffers, now: float) -> ReturnClaimsDump:
    """Return the claims and slots of this gateway."""
    claims = offers.keeper.claims
    returns = claims.next_returns(MAX_LISTED_RETURNS, now)
    return ReturnClaimsDump(
        kept=len(claims),
        lapsed=claims.lapsed,
        rejected=claims.rejected,
        next_returns=tuple(round(seconds, 3) for seconds in returns),
        next_slots=offers.slots.next_slots(now),
    )
