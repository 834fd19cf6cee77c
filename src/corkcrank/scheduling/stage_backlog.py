"""Counts pieces that admitted calls will request at later stages, by stage service and rank.

A stage's queue does not contain the calls that are still at an earlier stage. The owner of the
earlier stage's queue therefore counts the pieces that its calls will request next and reports
the counts to the other gateways. Admission then accounts for the whole chain of stages.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

Rank = tuple[int, int]

RATE_TIME_CONSTANT_SECONDS = 2.0
"""Time constant of the exponentially decaying rate at which calls request pieces."""

MIN_RATE_PIECES_PER_SECOND = 0.05
"""Rates below this many pieces per second are removed if no pieces are expected either."""


@dataclass(slots=True)
class _Rate:
    """Pieces per second; decays exponentially with :data:`RATE_TIME_CONSTANT_SECONDS`."""

    value: float = 0.0
    at: float = 0.0

    def add(self, pieces: int, now: float) -> None:
        self.value = self.current(now) + pieces / RATE_TIME_CONSTANT_SECONDS
        self.at = now

    def current(self, now: float) -> float:
        return self.value * math.exp(-max(0.0, now - self.at) / RATE_TIME_CONSTANT_SECONDS)


class StageBacklog:
    """Counts of expected pieces; a call adds its pieces and subtracts them as it proceeds."""

    def __init__(self) -> None:
        self._pieces: Counter[tuple[str, Rank]] = Counter()
        self._rates: dict[tuple[str, Rank], _Rate] = {}

    def add_expected(self, service: str, rank: Rank, pieces: int) -> None:
        """Add pieces that a call will request later.

        >>> backlog = StageBacklog()
        >>> backlog.add_expected("s", (0, 1), 3); backlog.subtract_expected("s", (0, 1), 2)
        >>> backlog.pieces_up_to("s", (0, 1)), backlog.pieces_up_to("s", (0, 0))
        (1, 0)
        """
        self._pieces[service, rank] += pieces

    def record_requested(self, service: str, rank: Rank, pieces: int, now: float) -> None:
        """Record that pieces were requested, to update the request rate."""
        self._rates.setdefault((service, rank), _Rate()).add(pieces, now)

    def subtract_expected(self, service: str, rank: Rank, pieces: int) -> None:
        """Subtract pieces that were requested, or whose call has ended."""
        self._pieces[service, rank] -= pieces

    def pieces_up_to(self, service: str, rank: Rank) -> int:
        """Return the pieces expected at a service, of this rank or a more urgent one."""
        return sum(
            pieces
            for (name, item), pieces in self._pieces.items()
            if name == service and item <= rank
        )

    def rate_before(self, service: str, rank: Rank, now: float) -> float:
        """Return the pieces per second that more urgent ranks request from a service.

        >>> backlog = StageBacklog()
        >>> backlog.record_requested("s", (0, 0), 4, 0.0)
        >>> backlog.rate_before("s", (0, 1), 0.0), backlog.rate_before("s", (0, 0), 0.0)
        (2.0, 0)
        """
        return sum(
            rate.current(now)
            for (name, item), rate in self._rates.items()
            if name == service and item < rank
        )

    def counts_with_rates(self, now: float) -> Iterable[tuple[str, Rank, int, float]]:
        """Return every count with its rate; removes entries without pieces and with a low rate."""
        counts = []
        for key in list({**self._rates, **self._pieces}):
            rate = self._rates.get(key)
            pieces, current = self._pieces[key], rate.current(now) if rate else 0.0
            if pieces <= 0 and current < MIN_RATE_PIECES_PER_SECOND:
                self._rates.pop(key, None)
                del self._pieces[key]
                continue
            counts.append((*key, pieces, round(current, 2)))
        return counts
