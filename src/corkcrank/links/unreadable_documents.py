"""Types that report documents about workers and members which cannot be decoded."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum


class DocumentKind(StrEnum):
    """Kind of an unreadable document."""

    ENTRY = "entry"
    REPORT = "report"
    MEMBER = "member"


@dataclass(frozen=True, slots=True)
class UnreadableDocument:
    """One unreadable document; ``name`` is the row's key or the reporting worker's id.

    ``repeated`` says that the one before it had the same name and reason.
    """

    kind: DocumentKind
    name: str
    reason: str
    repeated: bool = False


UnreadableListener = Callable[[UnreadableDocument], None]


def ignore_unreadable(document: UnreadableDocument) -> None:
    """Ignore an unreadable document; the listener that is used until another one is set."""
