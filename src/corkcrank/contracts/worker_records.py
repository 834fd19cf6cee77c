"""The workers that the platform's list names."""

from collections.abc import Iterable, Mapping

import msgspec


class WorkerRecord(msgspec.Struct, frozen=True):
    """One incarnation of one worker; ``revision`` is that of its row."""

    worker_id: str
    service: str
    address: str
    zone: str
    slots: int = 1
    leaving: bool = False
    revision: int = 0


class WorkerList:
    """Every worker known, by service. Applied changes only move a row's revision up."""

    def __init__(self) -> None:
        self._records: dict[str, WorkerRecord] = {}
        self._by_service: dict[str, tuple[WorkerRecord, ...]] = {}
        self.revision = 0

    def replace_all(self, records: Iterable[WorkerRecord], revision: int) -> None:
        """Take the whole list as of ``revision``."""
        self._records = {record.worker_id: record for record in records}
        self.revision = max(self.revision, revision)
        self._reindex()

    def apply(self, changes: Mapping[str, WorkerRecord | None], revision: int) -> None:
        """Take changed rows; ``None`` means that the row is gone."""
        for worker_id, record in changes.items():
            if record is None:
                self._records.pop(worker_id, None)
            else:
                self._records[worker_id] = record
        self.revision = max(self.revision, revision)
        self._reindex()

    def get(self, worker_id: str) -> WorkerRecord | None:
        """Return a worker that is still listed."""
        return self._records.get(worker_id)

    def of_service(self, service: str) -> tuple[WorkerRecord, ...]:
        """Return the listed workers of a service, leaving ones too."""
        return self._by_service.get(service, ())

    def usable(self, service: str) -> list[WorkerRecord]:
        """Return the workers that may be given new work."""
        return [record for record in self.of_service(service) if not record.leaving]

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
