"""The order in which pieces of work are served."""

import msgspec


class Urgency(msgspec.Struct, frozen=True, order=True):
    """Rank first, then the earliest due.

    ``rank`` is the tenant's and then the route's, 0 the most urgent. ``due`` is when the
    work should have ended: on the own clock, or in seconds from now between processes.

    >>> Urgency((0, 1), 9.0) < Urgency((0, 2), 1.0)
    True
    """

    rank: tuple[int, int]
    due: float

    def on_clock(self, now: float) -> "Urgency":
        """Return an urgency told in seconds from now as one on the own clock."""
        return Urgency(self.rank, now + self.due)
