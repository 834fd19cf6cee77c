"""Documents about workers that cannot be read: who says so, and who listens."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum


class DocumentKind(StrEnum):
    """What kind of document it is."""

    ENTRY = "entry"
    REPORT = "report"


@dataclass(frozen=True, slots=True)
class UnreadableDocument:
    """One document; ``name`` is the entry's key or the reporting worker's id."""

    kind: DocumentKind
    name: str
    reason: str


UnreadableListener = Callable[[UnreadableDocument], None]


def ignore_unreadable(document: UnreadableDocument) -> None:
    """Do nothing."""
