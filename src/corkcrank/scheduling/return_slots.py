"""Assigns return times to refused callers so that capacity is available when they return.

A slot is the capacity for one call at each stage service that it needs. A gateway assigns its share
of the slots one after the other. Does no I/O: callers pass the time.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from corkcrank.contracts.urgency import Rank

MAX_NEXT_TIMES = 1_000
"""Number of services and ranks above which those without assigned slots are removed."""


@dataclass(frozen=True, slots=True)
class SlotDemand:
    """Pieces of one call at a stage service, and the assignable rate in pieces a second."""

    service: str
    pieces: int
    rate: float


class ReturnSlots:
    """The next unassigned slot of each stage service and rank."""

    def __init__(self) -> None:
        self._next: dict[tuple[str, Rank], float] = {}

    def assign(
        self,
        demands: Sequence[SlotDemand],
        rank: Rank,
        earliest: float,
        latest: float,
        now: float,
    ) -> float | None:
        """Assign the next slot to a call and return the seconds until it starts.

        Returns ``None`` and assigns nothing if no slot lies between ``earliest`` and ``latest``
        seconds from now.

        >>> slots, demand = ReturnSlots(), SlotDemand("s", 4, 8.0)
        >>> [slots.assign([demand], (0, 1), 0.2, 1.0, now=5.0) for _ in range(3)]
        [0.2, 0.7, None]
        >>> slots.assign([demand], (0, 1), 0.2, 1.0, now=5.5)
        0.7
        """
        if earliest > latest or any(item.rate <= 0.0 for item in demands):
            return None
        starts = [self._next.get((item.service, rank), 0.0) for item in demands]
        at = max([now + earliest, *starts])
        if at > now + latest:
            return None
        for item in demands:
            self._next[item.service, rank] = at + item.pieces / item.rate
        if len(self._next) > MAX_NEXT_TIMES:
            self._next = {key: free for key, free in self._next.items() if free > now}
        return round(at - now, 3)

    def next_slots(self, now: float) -> dict[str, float]:
        """Return the seconds until the next unassigned slot, by service and rank."""
        return {
            f"{service} {rank[0]}/{rank[1]}": round(at - now, 3)
            for (service, rank), at in self._next.items()
            if at > now
        }
