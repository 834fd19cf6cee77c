"""Pieces that admitted calls have not asked for yet, by stage service and rank.

A stage's queue does not show the calls that are still at an earlier stage. The owner of the
earlier stage's queue counts what its calls will ask for next and tells the others, so that
admission sees the whole chain.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

Rank = tuple[int, int]

RATE_SECONDS = 2.0
"""Time constant of the rate at which calls ask for pieces."""

LEAST_RATE = 0.05
"""Pieces a second below which a rate is forgotten."""


@dataclass(slots=True)
class _Rate:
    """Pieces a second, each fading with :data:`RATE_SECONDS`."""

    value: float = 0.0
    at: float = 0.0

    def add(self, pieces: int, now: float) -> None:
        self.value = self.current(now) + pieces / RATE_SECONDS
        self.at = now

    def current(self, now: float) -> float:
        return self.value * math.exp(-max(0.0, now - self.at) / RATE_SECONDS)


class StageBacklog:
    """Counts; each call adds when it is admitted and takes off as it goes on."""

    def __init__(self) -> None:
        self._pieces: Counter[tuple[str, Rank]] = Counter()
        self._rates: dict[tuple[str, Rank], _Rate] = {}

    def add(self, service: str, rank: Rank, pieces: int) -> None:
        """Count pieces that a call will ask for later.

        >>> backlog = StageBacklog()
        >>> backlog.add("s", (0, 1), 3); backlog.take("s", (0, 1), 2)
        >>> backlog.up_to("s", (0, 1)), backlog.up_to("s", (0, 0))
        (1, 0)
        """
        self._pieces[service, rank] += pieces

    def asked(self, service: str, rank: Rank, pieces: int, now: float) -> None:
        """Note that pieces were asked for, for the rate at which they are."""
        self._rates.setdefault((service, rank), _Rate()).add(pieces, now)

    def take(self, service: str, rank: Rank, pieces: int) -> None:
        """Take off pieces that were asked for, or whose call has ended."""
        self._pieces[service, rank] -= pieces

    def up_to(self, service: str, rank: Rank) -> int:
        """Return the pieces still to come for a service, of this rank or a more urgent one."""
        return sum(
            pieces
            for (name, item), pieces in self._pieces.items()
            if name == service and item <= rank
        )

    def rate_before(self, service: str, rank: Rank, now: float) -> float:
        """Return the pieces a second that more urgent ranks ask of a service.

        >>> backlog = StageBacklog()
        >>> backlog.asked("s", (0, 0), 4, 0.0)
        >>> backlog.rate_before("s", (0, 1), 0.0), backlog.rate_before("s", (0, 0), 0.0)
        (2.0, 0)
        """
        return sum(
            rate.current(now)
            for (name, item), rate in self._rates.items()
            if name == service and item < rank
        )

    def all(self, now: float) -> Iterable[tuple[str, Rank, int, float]]:
        """Return every count with its rate; forgets what is neither."""
        counts = []
        for key in list({**self._rates, **self._pieces}):
            rate = self._rates.get(key)
            pieces, current = self._pieces[key], rate.current(now) if rate else 0.0
            if pieces <= 0 and current < LEAST_RATE:
                self._rates.pop(key, None)
                del self._pieces[key]
                continue
            counts.append((*key, pieces, round(current, 2)))
        return counts
