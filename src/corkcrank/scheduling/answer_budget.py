"""Decides which large answers a gateway keeps whole until their callers have read them.

A worker is free, and a repeatable call can be sent again, once its answer has been read whole. The
answers of many slow readers would take the process over its memory; those beyond the bound are
relayed at the pace of their readers. Does no I/O.
"""

import weakref
from dataclasses import dataclass

from corkcrank.contracts.memory import BYTES_PER_MB, IDLE_MEMORY_MB
from corkcrank.links.kept_memory import KeptMemory

ANSWER_MEMORY_SHARE = 0.1
"""Share of the memory above ``IDLE_MEMORY_MB`` for large answers that are kept whole. Half of what
slow readers may use, so that an answer which is kept loses no other one its reader."""

MIN_ANSWERS_BYTES = 2 * BYTES_PER_MB
"""Minimum bound of a gateway with little memory."""

SMALL_ANSWER_BYTES = 16_384
"""Length up to which an answer is kept without room. The number of connections bounds these."""


class AnswerRoom:
    """The room of one answer; freed by :meth:`release`, or with the last reference to it."""

    def __init__(self, budget: "AnswerBudget") -> None:
        self._budget = budget
        self._held = _Held()
        self._finalizer: weakref.finalize[..., AnswerRoom] | None = None

    def grow(self, size: int) -> bool:
        """Claim room for an answer of at least ``size`` bytes; return whether there was room.

        An answer that is small needs none. One that exceeds the bound alone is not refused: it may
        have no end, and the bound of what is received decides on it.
        """
        if size <= SMALL_ANSWER_BYTES or size <= self._held.size:
            return True
        if self._finalizer is None:
            self._finalizer = weakref.finalize(self, self._budget.free, self._held)
        return self._budget.resize(self._held, size)

    def release(self) -> None:
        """Free the room; no effect if it is free."""
        if self._finalizer is not None:
            self._finalizer()


class AnswerBudget:
    """The large answers that one gateway keeps; ``bound_bytes`` is the bound, 0 for none.

    ``memory`` sums all accounts of the gateway.

    >>> budget = AnswerBudget(300_000)
    >>> first, second = AnswerRoom(budget), AnswerRoom(budget)
    >>> first.grow(200_000), second.grow(16_000), second.grow(200_000), second.grow(400_000)
    (True, True, False, True)
    >>> del first, second
    >>> budget.kept_bytes
    0
    """

    def __init__(self, bound_bytes: int = 0) -> None:
        self.bound_bytes = bound_bytes
        self.kept_bytes = 0
        self.memory = KeptMemory()

    def resize(self, held: "_Held", size: int) -> bool:
        """Change the room of an answer if the bound allows it; return whether it does."""
        kept_bytes = self.kept_bytes + size - held.size
        exceeded = 0 < self.bound_bytes < kept_bytes or not self.memory.has_room(size - held.size)
        if exceeded and size <= self.bound_bytes:
            return False
        self.kept_bytes = kept_bytes
        held.size = size
        return True

    def free(self, held: "_Held") -> None:
        """Subtract an answer that was sent or dropped."""
        self.kept_bytes -= held.size


@dataclass(slots=True)
class _Held:
    size: int = 0


def answers_bound_bytes(memory_mb: float) -> int:
    """Return the bound of one gateway for large answers, 0 if its memory is unknown.

    >>> answers_bound_bytes(160.0) // BYTES_PER_MB, answers_bound_bytes(0.0)
    (10, 0)
    >>> answers_bound_bytes(60.0) // BYTES_PER_MB
    2
    """
    if memory_mb <= 0:
        return 0
    shared = (memory_mb - IDLE_MEMORY_MB) * ANSWER_MEMORY_SHARE * BYTES_PER_MB
    return max(MIN_ANSWERS_BYTES, int(shared))
