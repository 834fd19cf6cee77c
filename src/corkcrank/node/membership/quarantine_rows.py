"""Stores quarantined requests and parts as rows of the store, so that they survive all gateways.

Gateways report quarantines to each other, so a single one that restarts receives them. After all
have stopped at once only the store has them: without its rows each quarantined request would
crash as many workers again.
"""

import asyncio

import msgspec

from corkcrank.contracts import clock
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.platform_ports import (
    MetadataStore,
    StoreFailure,
    StoreRow,
    StoreTable,
    Unreadable,
)
from corkcrank.links.strict_json import decode_strictly, unreadable_because
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.heartbeat import Phase
from corkcrank.machines.store_contact import StoreContact, newest_contact
from corkcrank.machines.store_followers import StoreFollowerElection
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.node.membership.part_success_rows import PartSuccessRows
from corkcrank.node.workers.crash_watch import CrashWatch
from corkcrank.scheduling.crash_records import CrashRecord
from corkcrank.scheduling.crash_reports import CrashReport, PartSuccess, RequestAtCrash

READ_DELAY_SECONDS = 0.5
"""Delay of the read after serving begins: two heartbeats of a small fleet, after which a gateway
knows whether others serve, and whether it is one of those that read the store."""

WRITE_INTERVAL_SECONDS = 0.5
"""Time between checks for rows to write: a sixth of the shortest time within which all gateways
have to act on a crash (3 s)."""

RETRY_SECONDS = 1.0
"""Delay after a failed call to the store."""

MAX_ROW_CHANGES_PER_PASS = 4
"""Maximum rows written, and maximum rows removed, in one pass."""


MAX_ROW_CRASHES = 32
"""Maximum number of crashes in one row, the latest ones: a row's size is limited."""


class _SuspectRow(msgspec.Struct, frozen=True, array_like=True):
    """A request that a worker was processing when it crashed, by its fingerprint.

    ``parts`` are the shared parts of its prompt, ``None`` if they are unknown, as in rows of a
    release that did not write them.
    """

    request: str
    progressed: bool = False
    parts: tuple[str, ...] | None = None


class _CrashRow(msgspec.Struct, frozen=True):
    """A worker's crash; ``at`` is on the store's steady clock, in seconds.

    ``suspects`` leaves out the requests that have completed successfully since the crash.
    ``succeeded`` are the parts with which runs had progressed before it, ``cleared`` those with
    which runs have progressed since.
    """

    worker_id: str
    at: float
    suspects: tuple[_SuspectRow, ...]
    incomplete: bool = False
    succeeded: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()


class _QuarantineRow(msgspec.Struct, frozen=True):
    """The value of a row; its key is the fingerprint of the request or part.

    Each crash is stored with all its suspects: without them a gateway that reads the row after a
    start would attribute the crashes to this request alone, although another request that was in
    progress may have caused them.
    """

    ends: tuple[_CrashRow, ...]

    @property
    def size(self) -> int:
        """Return how much evidence the row holds; it grows with each crash and each suspect."""
        return sum(len(end.suspects) for end in self.ends)

    @property
    def successes(self) -> int:
        """Return how many successes of parts the row holds: what speaks for them."""
        return sum(len(end.succeeded) + len(end.cleared) for end in self.ends)


class QuarantineRows:
    """Reads quarantines once after a start, and writes those that this gateway owns."""

    def __init__(
        self,
        store: MetadataStore,
        mirror: StoreMirror,
        fleet: Fleet,
        election: StoreFollowerElection,
        crash_watch: CrashWatch,
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._mirror = mirror
        self._fleet = fleet
        self._election = election
        self._crash_watch = crash_watch
        self._quarantine = crash_watch.quarantine
        self._log = log
        self._written: dict[str, int] = {}
        """Rows known to be in the store, with the size of each."""
        self._written_successes: dict[str, int] = {}
        """The number of successes in each of these rows."""
        self.part_successes = PartSuccessRows(store, mirror, fleet, election, crash_watch, log)

    async def keep_rows_current(self) -> None:
        """Read all rows once, then keep them up to date until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.part_successes.keep_row_current())
            tasks.create_task(self._keep_quarantines_current())

    async def _keep_quarantines_current(self) -> None:
        while self._fleet.local_phase != Phase.SERVING:
            await asyncio.sleep(READ_DELAY_SECONDS)
        await asyncio.sleep(READ_DELAY_SECONDS)
        if self._election.is_elected_follower(clock.now()):
            await self._read()
        while True:
            await asyncio.sleep(WRITE_INTERVAL_SECONDS if await self._write() else RETRY_SECONDS)

    async def _read(self) -> None:
        while isinstance(rows := await self._store.read(StoreTable.QUARANTINE), StoreFailure):
            await asyncio.sleep(RETRY_SECONDS)
        reports = [
            report for row in rows.rows for report in self._decode_reports(row, rows.store_time)
        ]
        self._crash_watch.apply_reports(reports, "store")

    def _decode_reports(self, row: StoreRow, store_time: float) -> list[CrashReport]:
        if row.value is None:
            return []
        value = decode_strictly(row.value, _QuarantineRow)
        if isinstance(value, Unreadable):
            self._log_unreadable(row.key, value.reason)
            return []
        try:
            reports = [_crash_report(end, store_time) for end in value.ends]
        except ValueError as error:
            self._log_unreadable(row.key, unreadable_because(str(error)).reason)
            return []
        self._record_written(row.key, value)
        return reports

    def _log_unreadable(self, key: str, reason: str) -> None:
        self._log.write(LogEvent.DOCUMENT_UNREADABLE, kind="quarantine", key=key, detail=reason)

    async def _write(self) -> bool:
        """Write and remove changed rows; return whether the store accepted every change."""
        for request, row in self._rows_to_write()[:MAX_ROW_CHANGES_PER_PASS]:
            data = msgspec.json.encode(row)
            if isinstance(
                await self._store.put(StoreTable.QUARANTINE, request, data), StoreFailure
            ):
                return False
            self._record_written(request, row)
        for request in self._rows_to_remove()[:MAX_ROW_CHANGES_PER_PASS]:
            if isinstance(await self._store.remove(StoreTable.QUARANTINE, request), StoreFailure):
                return False
            self._written.pop(request, None)
            self._written_successes.pop(request, None)
        return True

    def _record_written(self, key: str, row: _QuarantineRow) -> None:
        self._written[key] = row.size
        self._written_successes[key] = row.successes

    def _is_written(self, key: str, row: _QuarantineRow) -> bool:
        written = self._written.get(key), self._written_successes.get(key)
        return written == (row.size, row.successes)

    def _rows_to_remove(self) -> list[str]:
        """Return the rows of requests that are not blamed; undecided ones keep their rows."""
        now = clock.now()
        blamed = self._quarantine.verdicts(now)
        return [
            request
            for request in self._written
            if request not in blamed and not self._quarantine.is_undecided(request, now)
        ]

    def _rows_to_write(self) -> list[tuple[str, _QuarantineRow]]:
        """Return the rows that this gateway owns and that differ from those in the store."""
        now = clock.now()
        own = self._mirror.store_contacts.get(StoreTable.WORKERS, StoreContact())
        contact = newest_contact(own, self._fleet.store_contact(StoreTable.WORKERS))
        if contact.received_at == float("-inf"):
            return []
        offset = contact.store_time - contact.received_at
        rows = [
            (request, self._row(request, offset))
            for request in self._quarantine.blamed_requests(now)
            if self._fleet.zone_owner("", request, now) == self._fleet.local_name
        ]
        return [(key, row) for key, row in rows if not self._is_written(key, row)]

    def _row(self, request: str, offset: float) -> _QuarantineRow:
        """Return the row of a request; ``offset`` is from the local clock to the store's."""
        ends = sorted(
            self._quarantine.records.suspected_crashes(request), key=lambda record: record.at
        )
        return _QuarantineRow(
            tuple(_crash_row(record, offset) for record in ends[-MAX_ROW_CRASHES:])
        )


def _crash_row(record: CrashRecord, offset: float) -> _CrashRow:
    successes = record.part_successes()
    return _CrashRow(
        record.worker_id,
        round(record.at + offset, 3),
        tuple(
            _SuspectRow(item.request, item.progressed, item.parts)
            for item in record.to_requests()
            if not item.cleared
        ),
        record.incomplete,
        tuple(item.part for item in successes if item.before),
        tuple(item.part for item in successes if item.after),
    )


def _crash_report(end: _CrashRow, store_time: float) -> CrashReport:
    items = [
        RequestAtCrash(suspect.request, suspect.progressed, parts=suspect.parts)
        for suspect in end.suspects
    ]
    successes = [
        PartSuccess(part, part in end.succeeded, part in end.cleared)
        for part in {*end.succeeded, *end.cleared}
    ]
    age = max(0.0, store_time - end.at)
    return CrashReport.from_requests(
        end.worker_id, age, items, incomplete=end.incomplete, successes=successes
    )
