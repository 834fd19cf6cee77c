"""Reads rows of the list of workers, and keeps the reasons why entries are unreadable."""

from collections.abc import Sequence
from collections.abc import Set as AbstractSet

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.platform_ports import DocumentCodec, StoreRow, StoreRows, Unreadable
from corkcrank.links.unreadable_documents import (
    DocumentKind,
    UnreadableDocument,
    ignore_unreadable,
)
from corkcrank.machines.worker_changes import WorkerChange

MAX_UNREADABLE_ENTRIES = 100
"""Maximum number of unreadable entries in a state dump: the newest ones."""

START_MISSING = Unreadable("start is missing although the platform reports it for other workers")


class EntryReader:
    """Converts rows to changes; calls ``on_unreadable`` for each row that cannot be read.

    A platform reports the start time of every worker or of none. Where most entries have one, an
    entry without it comes from another writer, even if it is complete otherwise. A single entry
    that has a start where no other does must not make all others unusable.
    """

    def __init__(self, documents: DocumentCodec) -> None:
        self._documents = documents
        self.on_unreadable = ignore_unreadable
        self.unreadable: dict[str, str] = {}
        self._has_start: dict[str, bool] = {}

    def changes(self, answer: StoreRows, since: int) -> list[WorkerChange]:
        """Return the changes in a store's answer that are newer than revision ``since``.

        Older rows are read too: peers may have reported the list first, but not its odd entries. An
        answer that is older than what peers reported tells nothing of these rows.
        """
        for broken in answer.unreadable_keys:
            self.on_unreadable(UnreadableDocument(DocumentKind.ENTRY, "", broken.reason))
        changes = []
        is_current = answer.revision >= since
        rows = [row for row in answer.rows if is_current or row.revision > since]
        records = [self._documents.worker(row) for row in rows]
        self._record_starts(rows, records)
        starts_expected = 2 * sum(self._has_start.values()) > len(self._has_start)
        for row, found in zip(rows, records, strict=True):
            known_reason = self.unreadable.pop(row.key, None)
            if isinstance(found, WorkerRecord) and starts_expected and found.born is None:
                found = START_MISSING
            unreadable = isinstance(found, Unreadable)
            if isinstance(found, Unreadable):
                self._record_unreadable(row.key, found, repeated=found.reason == known_reason)
                found = None
            if row.revision > since:
                changes.append(WorkerChange(row.key, row.revision, found, unreadable))
        return changes

    def record_readable(self, name: str) -> None:
        """Record that a peer has read a newer, valid entry of a worker."""
        self.unreadable.pop(name, None)

    def retain_only(self, listed: AbstractSet[str]) -> None:
        """Remove the entries that are no longer in a whole list."""
        for name in self.unreadable.keys() - listed:
            del self.unreadable[name]
        for name in self._has_start.keys() - listed:
            del self._has_start[name]

    def _record_starts(
        self, rows: Sequence[StoreRow], records: Sequence[WorkerRecord | Unreadable | None]
    ) -> None:
        for row, found in zip(rows, records, strict=True):
            if isinstance(found, WorkerRecord):
                self._has_start[row.key] = found.born is not None
            else:
                self._has_start.pop(row.key, None)

    def _record_unreadable(self, key: str, found: Unreadable, *, repeated: bool) -> None:
        self.unreadable[key] = found.reason
        if len(self.unreadable) > MAX_UNREADABLE_ENTRIES:
            del self.unreadable[next(iter(self.unreadable))]
        self.on_unreadable(UnreadableDocument(DocumentKind.ENTRY, key, found.reason, repeated))
