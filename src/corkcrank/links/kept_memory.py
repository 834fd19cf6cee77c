"""Sums what one process keeps for clients, over all of its accounts.

Each account has a bound of its own, so that one kind of client takes no room from the others.
Together these bounds exceed what the process may use, since not all accounts are full at once. When
they are, the sum decides.
"""

from collections.abc import Callable

from corkcrank.contracts.memory import BYTES_PER_MB, IDLE_MEMORY_MB

KEPT_MEMORY_SHARE = 0.5
"""Share of the memory above ``IDLE_MEMORY_MB`` for the bytes of all accounts. A message needs
twice its bytes while its parts are joined."""

MIN_KEPT_BYTES = 16 * BYTES_PER_MB
"""Minimum bound of a process with little memory: the sum of the minimums of the accounts."""


class KeptMemory:
    """The accounts of one process; ``bound_bytes`` is the bound of their sum, 0 for none.

    >>> memory = KeptMemory()
    >>> memory.bound_bytes = 100
    >>> memory.add_account(lambda: 60)
    >>> memory.has_room(40), memory.has_room(41), memory.exceeded
    (True, False, False)
    >>> memory.add_account(lambda: 50)
    >>> memory.kept_bytes, memory.exceeded
    (110, True)
    """

    def __init__(self) -> None:
        self.bound_bytes = 0
        self._accounts: list[Callable[[], int]] = []

    def add_account(self, kept_bytes: Callable[[], int]) -> None:
        """Add an account, which returns the bytes that it keeps."""
        self._accounts.append(kept_bytes)

    @property
    def kept_bytes(self) -> int:
        """Return the bytes of all accounts."""
        return sum(kept_bytes() for kept_bytes in self._accounts)

    @property
    def exceeded(self) -> bool:
        """Return whether the accounts keep more than the bound."""
        return not self.has_room(0)

    def has_room(self, size: int) -> bool:
        """Return whether the accounts may keep this many bytes more."""
        return not self.bound_bytes or self.kept_bytes + size <= self.bound_bytes


def kept_bound_bytes(memory_mb: float) -> int:
    """Return the bound of a process with this much memory, 0 if its memory is unknown.

    >>> kept_bound_bytes(160.0) // BYTES_PER_MB, kept_bound_bytes(0.0)
    (52, 0)
    >>> kept_bound_bytes(60.0) // BYTES_PER_MB
    16
    """
    if memory_mb <= 0:
        return 0
    shared = (memory_mb - IDLE_MEMORY_MB) * KEPT_MEMORY_SHARE * BYTES_PER_MB
    return max(MIN_KEPT_BYTES, int(shared))
