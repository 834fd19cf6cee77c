"""Decides which large answers a gateway keeps whole until their callers have read them.

A worker is free, and a repeatable call can be sent again, once its answer has been read whole. The
answers of many slow readers would take the process over its memory; those beyond the bound are
relayed at the pace of their readers. Does no I/O.
"""

import weakref

from corkcrank.contracts.memory import BYTES_PER_MB, IDLE_MEMORY_MB

ANSWER_MEMORY_SHARE = 0.1
"""Share of the memory above ``IDLE_MEMORY_MB`` for large answers that are kept whole. Half of what
slow readers may use, so that an answer which is kept loses no other one its reader."""

MIN_ANSWERS_BYTES = 2 * BYTES_PER_MB
"""Minimum bound of a gateway with little memory."""

SMALL_ANSWER_BYTES = 65_536
"""Length up to which an answer is kept without room. The number of connections bounds these."""


class AnswerRoom:
    """The room of one answer; freed by :meth:`release`, or with the last reference to it."""

    def __init__(self, budget: "AnswerBudget", size: int) -> None:
        budget.kept_bytes += size
        self.release = weakref.finalize(self, budget.free, size)


class AnswerBudget:
    """The large answers that one gateway keeps; ``bound_bytes`` is the bound, 0 for none."""

    def __init__(self, bound_bytes: int = 0) -> None:
        self.bound_bytes = bound_bytes
        self.kept_bytes = 0

    def claim(self, size: int) -> AnswerRoom | None:
        """Return room for an answer, ``None`` if there is none.

        >>> budget = AnswerBudget(100)
        >>> first, second = budget.claim(70), budget.claim(70)
        >>> second is None, budget.kept_bytes
        (True, 70)
        >>> del first
        >>> budget.kept_bytes
        0
        """
        if self.bound_bytes and self.kept_bytes + size > self.bound_bytes:
            return None
        return AnswerRoom(self, size)

    def count(self, size: int) -> AnswerRoom:
        """Return the room of an answer that is kept already, whether or not it fits."""
        return AnswerRoom(self, size)

    def free(self, size: int) -> None:
        """Subtract an answer that was sent or dropped."""
        self.kept_bytes -= size


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
