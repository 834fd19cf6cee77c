"""The workers that the platform's list names."""

from collections.abc import Iterable
from functools import cached_property

import msgspec


class WorkerRecord(msgspec.Struct, frozen=True, dict=True, omit_defaults=True):
    """One incarnation of one worker; ``revision`` is that of its row.

    ``name`` is the key of the row and what the worker answers to; it may outlive a restart.
    ``born`` is the Unix time of the incarnation's start in milliseconds, ``None`` where the
    platform does not tell it. ``warmup`` are the seconds for which the worker was still to warm
    up when it wrote its entry.
    """

    # Told to peers as "worker_id", the key that the rest of a fleet reads while a rolling
    # restart puts this build in the place of one that knew no incarnations.
    name: str = msgspec.field(name="worker_id")
    service: str
    address: str
    zone: str
    slots: int = 1
    leaving: bool = False
    revision: int = 0
    born: int | None = None
    warmup: float = 0.0

    @cached_property
    def worker_id(self) -> str:
        """Return what tells this incarnation from every other one.

        All state about a worker is kept by this id, so that a restart under the same name
        inherits nothing. No name holds a space, so no two incarnations share an id.

        >>> WorkerRecord("w", "s", "", "").worker_id
        'w'
        >>> WorkerRecord("w", "s", "", "", born=17).worker_id
        'w 17'
        """
        return self.name if self.born is None else f"{self.name} {self.born}"


class WorkerList:
    """Every worker known, by service: at most one incarnation of each name.

    ``revision`` is the state of the list that is known whole. Rows may be newer: a row is
    only replaced by a newer one of its own, whatever the order in which they are told.
    ``evacuated`` are the zones whose workers may be given nothing.
    """

    def __init__(self) -> None:
        self._records: dict[str, WorkerRecord] = {}
        self._by_id: dict[str, WorkerRecord] = {}
        self._by_service: dict[str, tuple[WorkerRecord, ...]] = {}
        self._usable: dict[tuple[str, str | None], tuple[WorkerRecord, ...]] = {}
        self._indexed = True
        self._row_revisions: dict[str, int] = {}
        self._changes_known_from = 0
        self._evacuated: frozenset[str] = frozenset()
        self.revision = 0

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the zones whose workers may be given nothing."""
        return self._evacuated

    @evacuated.setter
    def evacuated(self, zones: frozenset[str]) -> None:
        self._evacuated = zones
        self._usable.clear()

    def accepts_work(self, record: WorkerRecord) -> bool:
        """Return whether a listed worker may be given new work: no other way leads to one."""
        return not record.leaving and record.zone not in self._evacuated

    def replace_all(self, records: Iterable[WorkerRecord], revision: int) -> None:
        """Take the whole list as of ``revision``, but for rows known to be newer than that.

        A list that is older than what is known whole changes nothing.
        """
        if revision < self.revision:
            return
        newer = {key: at for key, at in self._row_revisions.items() if at > revision}
        listed = {record.name: record for record in records if record.name not in newer}
        kept = {key: record for key, record in self._records.items() if key in newer}
        self._records = listed | kept
        self._row_revisions = {key: record.revision for key, record in listed.items()} | newer
        self._by_id = {record.worker_id: record for record in self._records.values()}
        self.revision = max(self.revision, revision)
        self.forget_changes_before(revision)
        self._indexed = False

    def apply_row(self, name: str, record: WorkerRecord | None, revision: int) -> bool:
        """Take one changed row, ``None`` if it is gone; return whether it was newer.

        What the list is whole up to is known, also of rows that are gone by then: an older
        change that is told late would bring a worker back.
        """
        if revision <= max(self.revision, self._row_revisions.get(name, 0)):
            return False
        self._row_revisions[name] = revision
        previous = self._records.pop(name, None)
        if previous is not None:
            del self._by_id[previous.worker_id]
        if record is not None:
            self._records[name] = record
            self._by_id[record.worker_id] = record
        self._indexed = False
        return True

    def forget_changes_before(self, revision: int) -> None:
        """Note that a whole list was read: it does not show what had gone before it."""
        self._changes_known_from = revision

    def changes_since(self, revision: int) -> list[tuple[str, int, WorkerRecord | None]] | None:
        """Return the rows that changed after a revision: name, revision, and record or ``None``.

        ``None`` where a whole list was read since.
        """
        if revision < self._changes_known_from:
            return None
        return [
            (name, changed_at, self._records.get(name))
            for name, changed_at in self._row_revisions.items()
            if changed_at > revision
        ]

    def whole_up_to(self, revision: int) -> None:
        """Note that every change up to ``revision`` was taken."""
        self.revision = max(self.revision, revision)

    def get(self, worker_id: str) -> WorkerRecord | None:
        """Return an incarnation that is still listed."""
        return self._by_id.get(worker_id)

    def named(self, name: str) -> WorkerRecord | None:
        """Return the incarnation that is listed under a name."""
        return self._records.get(name)

    def replaced(self, record: WorkerRecord) -> bool:
        """Return whether another incarnation of a worker is listed: this one has ended."""
        listed = self._records.get(record.name)
        return listed is not None and listed.worker_id != record.worker_id

    def of_service(self, service: str) -> tuple[WorkerRecord, ...]:
        """Return the listed workers of a service, leaving ones too."""
        if not self._indexed:
            self._reindex()
        return self._by_service.get(service, ())

    def usable(self, service: str) -> tuple[WorkerRecord, ...]:
        """Return the workers that may be given new work; the same object until one changes."""
        return self._usable_of(service, None)

    def usable_in(self, service: str, zone: str) -> tuple[WorkerRecord, ...]:
        """Return those of a zone; the same object until a worker changes."""
        return self._usable_of(service, zone)

    def _usable_of(self, service: str, zone: str | None) -> tuple[WorkerRecord, ...]:
        records = self.of_service(service)
        usable = self._usable.get((service, zone))
        if usable is None:
            usable = self._usable[service, zone] = tuple(
                record
                for record in records
                if self.accepts_work(record) and (zone is None or record.zone == zone)
            )
        return usable

    def by_name(self) -> dict[str, WorkerRecord]:
        """Return every listed worker by its name."""
        return dict(self._records)

    def records(self) -> tuple[WorkerRecord, ...]:
        """Return every listed worker."""
        return tuple(self._records.values())

    def _reindex(self) -> None:
        by_service: dict[str, list[WorkerRecord]] = {}
        for record in self._records.values():
            by_service.setdefault(record.service, []).append(record)
        self._by_service = {
            service: tuple(sorted(records, key=lambda record: record.worker_id))
            for service, records in by_service.items()
        }
        self._usable.clear()
        self._indexed = True
