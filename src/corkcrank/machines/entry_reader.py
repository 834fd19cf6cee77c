"""Reads rows of the list of workers, and keeps what is known of those that name none."""

from collections.abc import Set as AbstractSet

from corkcrank.links.platform_ports import DocumentCodec, StoreRows, Unreadable
from corkcrank.links.unreadable_documents import (
    DocumentKind,
    UnreadableDocument,
    ignore_unreadable,
)
from corkcrank.machines.worker_news import WorkerChange

MOST_KEPT = 100
"""Unreadable entries that a state dump tells at most, the newest."""


class EntryReader:
    """Turns rows into changes; ``on_unreadable`` hears of each row that cannot be read."""

    def __init__(self, documents: DocumentCodec) -> None:
        self._documents = documents
        self.on_unreadable = ignore_unreadable
        self.unreadable: dict[str, str] = {}

    def changes(self, answer: StoreRows, since: int) -> list[WorkerChange]:
        """Return the changes of an answer that are newer than revision ``since``."""
        for broken in answer.nameless:
            self.on_unreadable(UnreadableDocument(DocumentKind.ENTRY, "", broken.reason))
        changes = []
        for row in answer.rows:
            if row.revision <= since:
                continue
            found = self._documents.worker(row)
            self.unreadable.pop(row.key, None)
            if isinstance(found, Unreadable):
                self._note(row.key, found)
                found = None
            changes.append(WorkerChange(row.key, row.revision, found))
        return changes

    def keep_only(self, listed: AbstractSet[str]) -> None:
        """Forget the entries that a whole list does not hold any more."""
        for name in self.unreadable.keys() - listed:
            del self.unreadable[name]

    def _note(self, key: str, found: Unreadable) -> None:
        self.unreadable[key] = found.reason
        if len(self.unreadable) > MOST_KEPT:
            del self.unreadable[next(iter(self.unreadable))]
        self.on_unreadable(UnreadableDocument(DocumentKind.ENTRY, key, found.reason))
