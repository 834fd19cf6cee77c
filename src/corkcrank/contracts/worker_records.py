"""The workers that the platform lists, indexed by name, incarnation and service."""

from collections.abc import Iterable
from functools import cached_property

import msgspec

from corkcrank.contracts.bounded_values import is_header_token
from corkcrank.contracts.socket_addresses import parse_socket_address


class WorkerRecord(msgspec.Struct, frozen=True, dict=True, omit_defaults=True):
    """One incarnation of one worker; ``revision`` is that of its row in the store.

    ``name`` is the key of the row and the name that the worker expects in requests; a
    restarted worker may keep it. ``born`` is the Unix time of the incarnation's start in
    milliseconds, ``None`` where the platform does not state it. ``warmup`` is the remaining
    warm-up time in seconds when the worker wrote its entry. ``version`` is that of the worker's
    software; empty if unknown, as in records from gateways of a release that did not report it.
    """

    # Encoded for peers as "worker_id": during a rolling upgrade the other gateways still run
    # a build without incarnations, which reads that key.
    name: str = msgspec.field(name="worker_id")
    service: str
    address: str
    zone: str
    slots: int = 1
    leaving: bool = False
    revision: int = 0
    born: int | None = None
    warmup: float = 0.0
    version: str = ""

    @cached_property
    def worker_id(self) -> str:
        """Return the id of this incarnation, which no other incarnation shares.

        All state about a worker is keyed by this id, so that a worker restarted under the same
        name inherits no state. Names contain no spaces, so ids are unique.

        >>> WorkerRecord("w", "s", "", "").worker_id
        'w'
        >>> WorkerRecord("w", "s", "", "", born=17).worker_id
        'w 17'
        """
        return self.name if self.born is None else f"{self.name} {self.born}"

    @cached_property
    def is_usable(self) -> bool:
        """Return whether requests that name this worker can be sent to its address."""
        return is_header_token(self.name) and parse_socket_address(self.address) is not None


class WorkerList:
    """All known workers: at most one incarnation of each name.

    ``revision`` is the store revision up to which the list is complete. Single rows may be
    newer: a row is only replaced by a newer version of itself, so that reports may arrive in
    any order. ``evacuated`` is the set of zones whose workers may receive nothing.
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
        self.newest_revision = 0
        """Highest revision of the list or of one of its rows."""

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the evacuated zones: nothing may be sent to their workers."""
        return self._evacuated

    @evacuated.setter
    def evacuated(self, zones: frozenset[str]) -> None:
        self._evacuated = zones
        self._usable.clear()

    def accepts_work(self, record: WorkerRecord) -> bool:
        """Return whether a listed worker may receive new work; all selection uses this check."""
        return not record.leaving and record.zone not in self._evacuated

    def replace_all(self, records: Iterable[WorkerRecord], revision: int) -> None:
        """Replace the list by the one as of ``revision``, except for rows known to be newer.

        A list older than the revision up to which this one is complete is ignored.
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
        self._record_newest(max([revision, *self._row_revisions.values()]))
        self.discard_changes_before(revision)
        self._indexed = False

    def apply_row(self, name: str, record: WorkerRecord | None, revision: int) -> bool:
        """Apply one changed row, ``None`` if it was removed; return whether it was newer.

        Changes at or before the revision up to which the list is complete are ignored, also for
        rows removed by then: an older change that arrives late would restore a removed worker.
        """
        if revision <= max(self.revision, self._row_revisions.get(name, 0)):
            return False
        self._row_revisions[name] = revision
        self._record_newest(revision)
        previous = self._records.pop(name, None)
        if previous is not None:
            del self._by_id[previous.worker_id]
        if record is not None:
            self._records[name] = record
            self._by_id[record.worker_id] = record
        self._indexed = False
        return True

    def discard_changes_before(self, revision: int) -> None:
        """Record that a full list was read: it does not show which rows were removed before."""
        self._changes_known_from = revision

    def changes_since(self, revision: int) -> list[tuple[str, int, WorkerRecord | None]] | None:
        """Return the rows that changed after a revision: name, revision, and record or ``None``.

        ``None`` if a full list was read since, as the removals before it are unknown.
        """
        if revision < self._changes_known_from:
            return None
        return [
            (name, changed_at, self._records.get(name))
            for name, changed_at in self._row_revisions.items()
            if changed_at > revision
        ]

    def mark_complete_up_to(self, revision: int) -> None:
        """Record that every change up to ``revision`` was applied."""
        self.revision = max(self.revision, revision)
        self._record_newest(revision)

    def _record_newest(self, revision: int) -> None:
        self.newest_revision = max(self.newest_revision, revision)

    def discard_after(self, revision: int) -> None:
        """Discard what is known of later revisions; a whole list must follow."""
        self._row_revisions = {
            name: at if at <= revision else 0 for name, at in self._row_revisions.items()
        }
        self.newest_revision = max(self._row_revisions.values(), default=0)
        self.revision = 0

    def get(self, worker_id: str) -> WorkerRecord | None:
        """Return the incarnation with this id, ``None`` if it is not listed any more."""
        return self._by_id.get(worker_id)

    def get_by_name(self, name: str) -> WorkerRecord | None:
        """Return the incarnation listed under a name, ``None`` if there is none."""
        return self._records.get(name)

    def is_replaced(self, record: WorkerRecord) -> bool:
        """Return whether another incarnation of the worker is listed: this one has exited."""
        listed = self._records.get(record.name)
        return listed is not None and listed.worker_id != record.worker_id

    def for_service(self, service: str) -> tuple[WorkerRecord, ...]:
        """Return the listed workers of a service, including leaving ones."""
        if not self._indexed:
            self._reindex()
        return self._by_service.get(service, ())

    def usable_workers(self, service: str) -> tuple[WorkerRecord, ...]:
        """Return the workers that may receive new work; the same object until one changes."""
        return self._usable_records(service, None)

    def usable_in_zone(self, service: str, zone: str) -> tuple[WorkerRecord, ...]:
        """Return the usable workers in a zone; the same object until a worker changes."""
        return self._usable_records(service, zone)

    def _usable_records(self, service: str, zone: str | None) -> tuple[WorkerRecord, ...]:
        records = self.for_service(service)
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
