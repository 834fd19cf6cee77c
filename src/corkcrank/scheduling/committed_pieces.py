"""Pieces that admitted calls have not asked for yet, by stage service.

A stage's queue does not show the calls that are still at an earlier stage. Every gateway
counts its own and tells the others, so that admission sees the whole chain.
"""

from collections import Counter
from collections.abc import Mapping


class CommittedPieces:
    """Counts by service; each call adds when it is admitted and takes off as it goes on."""

    def __init__(self) -> None:
        self._pieces: Counter[str] = Counter()

    def add(self, service: str, pieces: int) -> None:
        """Count pieces of a call that was admitted.

        >>> committed = CommittedPieces()
        >>> committed.add("s", 3); committed.take("s", 2); committed.of("s")
        1
        """
        self._pieces[service] += pieces

    def take(self, service: str, pieces: int) -> None:
        """Take off pieces that were asked for, or whose call has ended."""
        self._pieces[service] -= pieces
        if self._pieces[service] <= 0:
            del self._pieces[service]

    def of(self, service: str) -> int:
        """Return the pieces still to come for a service."""
        return self._pieces[service]

    def all(self) -> Mapping[str, int]:
        """Return every count."""
        return self._pieces
