"""Pieces that admitted calls have not asked for yet, by stage service and rank.

A stage's queue does not show the calls that are still at an earlier stage. Every gateway
counts its own and tells the others, so that admission sees the whole chain.
"""

from collections import Counter
from collections.abc import Iterable

Rank = tuple[int, int]


class CommittedPieces:
    """Counts; each call adds when it is admitted and takes off as it goes on."""

    def __init__(self) -> None:
        self._pieces: Counter[tuple[str, Rank]] = Counter()

    def add(self, service: str, rank: Rank, pieces: int) -> None:
        """Count pieces of a call that was admitted.

        >>> committed = CommittedPieces()
        >>> committed.add("s", (0, 1), 3); committed.take("s", (0, 1), 2)
        >>> committed.up_to("s", (0, 1)), committed.up_to("s", (0, 0))
        (1, 0)
        """
        self._pieces[service, rank] += pieces

    def take(self, service: str, rank: Rank, pieces: int) -> None:
        """Take off pieces that were asked for, or whose call has ended."""
        self._pieces[service, rank] -= pieces
        if self._pieces[service, rank] <= 0:
            del self._pieces[service, rank]

    def up_to(self, service: str, rank: Rank) -> int:
        """Return the pieces still to come for a service, of this rank or a more urgent one."""
        return sum(
            pieces
            for (name, item), pieces in self._pieces.items()
            if name == service and item <= rank
        )

    def all(self) -> Iterable[tuple[str, Rank, int]]:
        """Return every count."""
        return [(service, rank, pieces) for (service, rank), pieces in self._pieces.items()]
