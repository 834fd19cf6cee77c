"""Interface to the platform's transactional table.

Rows are read in one transaction, and written in one transaction under conditions on their
revisions. An unanswered commit may have taken effect; the caller finds out by a read.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

import msgspec

from corkcrank.contracts.bounded_values import Revision


class Row(msgspec.Struct, frozen=True):
    """One row as read; revision zero and no value mean that it does not exist."""

    key: str
    revision: Revision
    value: str | None


class Condition(msgspec.Struct, frozen=True):
    """Requirement of a commit that a row still has ``revision``."""

    key: str
    revision: int


class Write(msgspec.Struct, frozen=True):
    """A new value for a row."""

    key: str
    value: str


class ReadRequest(msgspec.Struct, frozen=True):
    """Body of a read."""

    keys: tuple[str, ...]


class ReadAnswer(msgspec.Struct, frozen=True):
    """Answer to a read, in the order of the keys."""

    rows: tuple[Row, ...]


class CommitRequest(msgspec.Struct, frozen=True):
    """Body of a commit."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class CommitAnswer(msgspec.Struct, frozen=True):
    """Answer to a commit: the written rows, or the rows whose condition failed."""

    committed: bool
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Rows:
    """Result of a read that was answered."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """Result of a commit that took effect; ``rows`` have the new revisions."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Conflicted:
    """Result of a commit that took no effect; ``rows`` are those whose condition failed."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Unanswered:
    """No answer: outage, rate limit, timeout or lost connection; a commit may have taken effect."""

    reason: str


class Table(Protocol):
    """Operations of the platform's table that corkcrank uses."""

    async def read(self, keys: Sequence[str]) -> Rows | Unanswered:
        """Read rows in one transaction."""

    async def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Committed | Conflicted | Unanswered:
        """Write rows in one transaction if every condition holds."""
