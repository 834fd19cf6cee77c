"""Priority of work: by rank first, then by due time."""

from enum import StrEnum

import msgspec

Rank = tuple[int, int]
"""The tenant's rank and the route's rank; 0 is the most urgent."""


ROUTE_RANK_DELAY_SECONDS = 0.25
"""Seconds added to the due time of an admitted call for each rank of its route, at stages that
read results of an earlier stage (downstream stages) and serve calls by due time."""


class Urgency(msgspec.Struct, frozen=True, order=True):
    """Sort key of work: the lowest rank first, then the earliest due time.

    ``rank`` is the tenant's and then the route's, 0 the most urgent. ``due`` is when the
    work should be finished: on the local clock, or in seconds from now in messages.

    >>> Urgency((0, 1), 9.0) < Urgency((0, 2), 1.0)
    True
    """

    rank: Rank
    due: float

    def to_local_clock(self, now: float) -> "Urgency":
        """Convert an urgency in seconds from now to the local clock."""
        return Urgency(self.rank, now + self.due)


class DownstreamOrder(StrEnum):
    """Order of calls at stages that read results of an earlier stage.

    Only admitted calls reach such a stage, and their finished work is wasted if other calls
    overtake them until they are late.
    """

    DUE = "due"
    """Calls of one tenant are served by due time; a less urgent route only adds a small delay."""
    RANK = "rank"
    """The rank of the route goes first, as at the first stage. Calls that compete for too little
    room are refused by forecasts, and a forecast by rank does not count a less urgent route that
    the call would overtake."""


def downstream_rank(rank: Rank, order: DownstreamOrder) -> Rank:
    """Return the rank of a call at a stage that reads results of an earlier stage.

    >>> downstream_rank((1, 2), DownstreamOrder.DUE), downstream_rank((1, 2), DownstreamOrder.RANK)
    ((1, 0), (1, 2))
    """
    return rank if order is DownstreamOrder.RANK else (rank[0], 0)


def downstream_urgency(urgency: Urgency, order: DownstreamOrder) -> Urgency:
    """Return the urgency of a call at a stage that reads results of an earlier stage.

    >>> due, soon, later = DownstreamOrder.DUE, Urgency((1, 2), 1.0), Urgency((1, 0), 2.0)
    >>> downstream_urgency(later, due) < downstream_urgency(Urgency((1, 2), 1.9), due)
    True
    >>> downstream_urgency(soon, due) < downstream_urgency(later, due)
    True
    >>> downstream_urgency(soon, DownstreamOrder.RANK) < later
    False
    """
    if order is DownstreamOrder.RANK:
        return urgency
    later = ROUTE_RANK_DELAY_SECONDS * urgency.rank[1]
    return Urgency(downstream_rank(urgency.rank, order), urgency.due + later)
