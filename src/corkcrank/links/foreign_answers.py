"""Answers that belong to another request than the one that waits, or to none.

A faulty worker may send an answer again, or one that nobody asked for. Its connection is not used
again, since each later answer on it would be that to the request before.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum


class ForeignKind(StrEnum):
    """How an answer was found to be foreign; a label of a metric."""

    SURPLUS = "surplus"
    """It came while no request waited."""
    OTHER_CALL = "other call"
    """It carries the id of another call."""
    KNOWN_HANDLE = "known handle"
    """It has results of an earlier stage call."""


@dataclass(frozen=True, slots=True)
class ForeignAnswer:
    """A foreign answer of ``peer``, an ``ip:port``."""

    kind: ForeignKind
    peer: str


ForeignAnswerListener = Callable[[ForeignAnswer], None]


def ignore_foreign_answer(answer: ForeignAnswer) -> None:
    """Ignore a foreign answer."""
