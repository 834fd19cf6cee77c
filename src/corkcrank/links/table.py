"""The store interface to the platform's transactional table.

Rows are read together and written together under conditions on their revisions. An
unanswered commit may have taken effect; the caller settles it by reading back.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

import msgspec


class Row(msgspec.Struct, frozen=True):
    """One row as it stood; ``revision`` zero and no value mean that it is absent."""

    key: str
    revision: int
    value: str | None


class Condition(msgspec.Struct, frozen=True):
    """A row must still carry ``revision`` for a commit to take effect."""

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
    """A read that was answered."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """A commit that took effect; ``rows`` carry the new revisions."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Conflicted:
    """A commit that took no effect; ``rows`` are those whose condition failed."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Unanswered:
    """No answer: outage, rate limit, time-out or cut. A commit may have taken effect."""

    reason: str


class Table(Protocol):
    """What the system needs of the platform's table."""

    async def read(self, keys: Sequence[str]) -> Rows | Unanswered:
        """Read rows in one transaction."""

    async def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Committed | Conflicted | Unanswered:
        """Write rows in one transaction if every condition holds."""
