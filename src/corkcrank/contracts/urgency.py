"""The order in which pieces of work are served."""

import msgspec

Rank = tuple[int, int]
"""A tenant's rank and a route's, 0 the most urgent."""


ROUTE_RANK_SECONDS = 0.25
"""Time by which a begun call counts as due later for each rank of its route."""


class Urgency(msgspec.Struct, frozen=True, order=True):
    """Rank first, then the earliest due.

    ``rank`` is the tenant's and then the route's, 0 the most urgent. ``due`` is when the
    work should have ended: on the own clock, or in seconds from now between processes.

    >>> Urgency((0, 1), 9.0) < Urgency((0, 2), 1.0)
    True
    """

    rank: Rank
    due: float

    def on_clock(self, now: float) -> "Urgency":
        """Return an urgency told in seconds from now as one on the own clock."""
        return Urgency(self.rank, now + self.due)


def begun_rank(rank: Rank) -> Rank:
    """Return the rank of a call at a stage that reads an earlier one's results.

    Only calls that were admitted come there, and what was made for them is lost if they are
    passed by others until they are late: of one tenant's calls, whichever is due first goes
    first, a less urgent route's as if it were due a little later.

    >>> begun_rank((1, 2))
    (1, 0)
    """
    return rank[0], 0


def begun_urgency(urgency: Urgency) -> Urgency:
    """Return the urgency of a call at a stage that reads an earlier one's results.

    >>> begun_urgency(Urgency((1, 0), 2.0)) < begun_urgency(Urgency((1, 2), 1.9))
    True
    >>> begun_urgency(Urgency((1, 2), 1.0)) < begun_urgency(Urgency((1, 0), 2.0))
    True
    """
    later = ROUTE_RANK_SECONDS * urgency.rank[1]
    return Urgency(begun_rank(urgency.rank), urgency.due + later)
