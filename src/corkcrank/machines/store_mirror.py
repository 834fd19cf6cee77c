"""One gateway's copy of the configuration, of evacuated zones and of the list of workers.

A gateway reads them from the store by one long poll for each table, or receives them from the
peers that follow the store (:mod:`corkcrank.machines.store_followers`). Only higher configuration
versions and newer rows are adopted, whatever the source.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_configuration import OpaqueConfiguration, ServiceProfile
from corkcrank.contracts.worker_records import WorkerList, WorkerRecord
from corkcrank.contracts.zone_evacuations import ZoneEvacuations, ZoneState
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.platform_ports import (
    DocumentCodec,
    MetadataStore,
    StoreFailure,
    StoreFailureReason,
    StoreRows,
    StoreTable,
)
from corkcrank.machines.entry_reader import EntryReader
from corkcrank.machines.lapsed_entries import LapsedEntries
from corkcrank.machines.revision_check import RevisionCheck
from corkcrank.machines.store_contact import StoreContact
from corkcrank.machines.store_followers import StoreFollowerElection
from corkcrank.machines.warming_workers import WarmingWorkers
from corkcrank.machines.worker_changes import (
    EntryListener,
    WorkerChange,
    WorkerChangeBatch,
)

FOLLOWER_CHECK_SECONDS = 0.2
"""Interval at which a gateway that does not follow the store checks whether it should: a tenth of
an update bound of 2 s."""

RETRY_PAUSE_JITTER = (0.5, 1.0)
"""Range of the random share of the maximum pause after a failed call: spreads gateways' retries."""


class StoreMirror:
    """Local copy of the store's tables; calls ``on_change`` after each applied change."""

    def __init__(
        self,
        store: MetadataStore,
        documents: DocumentCodec,
        log: DecisionLog,
        random_source: random.Random,
        election: StoreFollowerElection,
    ) -> None:
        self._election = election
        self._documents = documents
        self.entry_reader = EntryReader(documents)
        self._log = log
        self._random = random_source
        self.configuration: OpaqueConfiguration | None = None
        self.configuration_at = 0.0
        self.workers = WorkerList()
        self.workers_known = False
        self.evacuations = ZoneEvacuations()
        self.warming = WarmingWorkers()
        self.answered_at: dict[StoreTable, float] = {}
        self.store_contacts: dict[StoreTable, StoreContact] = {}
        self.on_change: Callable[[], None] = lambda: None
        self.on_store_change: Callable[[], None] = lambda: None
        self.on_whole_list: Callable[[], None] = lambda: None
        self.on_entry: EntryListener = lambda previous, change: None
        self.workers_cursor: int | None = None
        self._reachable: dict[StoreTable, bool] = {}
        self.call_counts: Counter[str] = Counter()
        self.revisions = RevisionCheck(store, self.workers, self.evacuations, election, log)
        self.recent_changes = self.revisions.recent_changes
        self._lapsed = LapsedEntries()

    @property
    def version(self) -> int:
        """Return the version of the current configuration; zero before the first one."""
        return self.configuration.version if self.configuration is not None else 0

    def profile(self, service: str) -> ServiceProfile | None:
        """Return the profile of a service in the current configuration, or ``None``."""
        return self.configuration.service(service) if self.configuration is not None else None

    def answer_age(self, table: StoreTable, now: float) -> float:
        """Return the seconds since the store's last answer about a table; infinite before it."""
        answered_at = self.answered_at.get(table)
        return now - answered_at if answered_at is not None else float("inf")

    def adopt_configuration(self, configuration: OpaqueConfiguration, source: str) -> bool:
        """Adopt a configuration if it is newer; return whether it was adopted."""
        if configuration.version <= self.version:
            return False
        previous = self.version
        self.configuration = configuration
        self.configuration_at = clock.now()
        self._log.write(
            LogEvent.CONFIGURATION_ADOPTED,
            version=configuration.version,
            previous=previous,
            source=source,
            routes=len(configuration.routes),
        )
        self.on_change()
        return True

    def apply_worker_list(
        self, records: tuple[WorkerRecord, ...], revision: int, source: str
    ) -> None:
        """Replace the list of workers, unless the new list is older or as old."""
        if self.workers_known and revision <= self.workers.revision:
            return
        known = self.workers.by_name()
        self.workers.replace_all(records, revision)
        self.workers_known = True
        self.on_whole_list()
        now = clock.now()
        for record in self.workers.records():
            if known.get(record.name) != record:
                self.warming.record_entry(record, now)
        self._log_worker_list(source)

    async def follow_table(self, table: StoreTable) -> None:
        """Follow one table until cancelled.

        Changes whose answer cannot be decoded are passed by a read of the whole table.
        After a failure the store is polled with a wait of zero: a long poll that is sent while
        the store is silent would hide its return for the whole duration of the poll.
        """
        cursor: int | None = None
        failures = 0
        while True:
            if table is StoreTable.WORKERS:
                self._apply_confirmed_removals()
            if cursor is None:
                answer = await self.revisions.read(table)
            elif not self.is_follower(table):
                failures = 0
                await asyncio.sleep(FOLLOWER_CHECK_SECONDS)
                continue
            else:
                wait = 0.0 if failures else self._long_poll_seconds(table)
                answer = await self.revisions.watch(table, cursor, wait)
            self.record_call(table, answer)
            if isinstance(answer, StoreFailure):
                forgotten = answer.failure_reason is StoreFailureReason.HISTORY_GONE
                failures = 0 if forgotten else failures + 1
                cursor = None if answer.needs_whole_read else cursor
                max_pause = self._election.max_retry_pause_seconds(failures, clock.now())
                await asyncio.sleep(max_pause * self._random.uniform(*RETRY_PAUSE_JITTER))
                continue
            failures = 0
            self.apply_answer(table, answer, whole=cursor is None)
            cursor = answer.revision
            if table is StoreTable.WORKERS and answer.rows:
                await asyncio.sleep(self._election.change_batching_seconds)

    def is_follower(self, table: StoreTable) -> bool:
        """Return whether this gateway polls the store for a table."""
        answered_at = self.answered_at.get(table, float("-inf"))
        follows = self._election.should_follow_table(table, answered_at, clock.now())
        return follows or self.revisions.must_ask(table)

    def apply_answer(self, table: StoreTable, answer: StoreRows, *, whole: bool) -> None:
        """Apply an answer of the store: all rows, or those changed after an earlier answer."""
        self.answered_at[table] = clock.now()
        self.store_contacts[table] = StoreContact(answer.store_time, self.answered_at[table])
        if table is StoreTable.CONFIGURATION:
            self._apply_evacuations(answer, whole=whole)
            self._apply_configuration(answer)
        else:
            self._apply_worker_rows(answer, whole=whole)

    def _apply_configuration(self, answer: StoreRows) -> None:
        for broken in answer.unreadable_keys:
            self._log.write(LogEvent.CONFIGURATION_UNREADABLE, detail=broken.reason)
        found = self._documents.configuration(answer.rows)
        if isinstance(found, str):
            self._log.write(LogEvent.CONFIGURATION_UNREADABLE, detail=found)
        elif found is not None and self.adopt_configuration(found, "store"):
            self.on_store_change()

    def _apply_evacuations(self, answer: StoreRows, *, whole: bool) -> None:
        states = self._documents.zone_states(answer.rows)
        if whole:
            changed = self.evacuations.replace_all(states, answer.revision)
        else:
            changed = self.evacuations.apply_states(states)
        if changed:
            self._apply_zone_changes(changed, "store")
            self.on_store_change()

    def apply_zone_states(self, states: tuple[ZoneState, ...], source: str) -> bool:
        """Apply zone states reported by a peer; return whether any state changed."""
        changed = self.evacuations.apply_states(states)
        if changed:
            self._apply_zone_changes(changed, source)
        return bool(changed)

    def _apply_zone_changes(self, changed: tuple[ZoneState, ...], source: str) -> None:
        now = clock.now()
        self.workers.evacuated = self.evacuations.evacuated
        for state in changed:
            if not state.evacuated:
                self.warming.record_zone_restored(state.zone, now)
            workers = [item for item in self.workers.records() if item.zone == state.zone]
            self._log.write(
                LogEvent.ZONE_EVACUATED if state.evacuated else LogEvent.ZONE_RESTORED,
                zone=state.zone,
                revision=state.revision,
                source=source,
                workers=len(workers),
            )
        self.on_change()

    def _long_poll_seconds(self, table: StoreTable) -> float:
        max_wait = self._election.long_poll_seconds
        remaining = self._lapsed.seconds_left(clock.now()) if table is StoreTable.WORKERS else None
        return max_wait if remaining is None else min(max_wait, remaining)

    def _apply_worker_rows(self, answer: StoreRows, *, whole: bool) -> None:
        """Apply rows of the store, and queue them for the reports to peers.

        A whole list omits the rows removed earlier, so its batch covers no revision before the
        list: a peer that took it for all changes would keep the removed workers permanently.
        """
        now = clock.now()
        changes = self.entry_reader.changes(answer, self.workers.revision)
        if whole:
            self.workers_known = True
            self.on_whole_list()
            listed = {row.key for row in answer.rows}
            self.entry_reader.retain_only(listed)
            changes += [
                WorkerChange(record.name, answer.revision, None)
                for record in self.workers.records()
                if record.name not in listed
            ]
        self.workers_cursor = max(answer.revision, self.workers_cursor or 0)
        known = self.workers.revision if whole else None
        applied = [change for change in changes if not self._defer_lapsed(change, now, known)]
        newest = max((change.revision for change in changes), default=0)
        revision = self._lapsed.complete_up_to(answer.revision if whole else newest)
        since = revision if whole else self.workers.revision
        self._apply_store_changes(WorkerChangeBatch(since, revision, tuple(applied)), now)
        if whole:
            self.workers.mark_complete_up_to(revision)
            self.workers.discard_changes_before(answer.revision)
            self._log_worker_list("store")

    def _apply_store_changes(self, batch: WorkerChangeBatch, now: float) -> None:
        if batch.changes:
            self.recent_changes.add_batch(batch, now)
        if self.apply_worker_changes(batch, "store"):
            self.on_store_change()

    def _defer_lapsed(self, change: WorkerChange, now: float, complete_before: int | None) -> bool:
        """Defer a removal if only the worker's entry may have lapsed; return whether it did.

        An entry that exists but names no worker has not lapsed: some writer replaced it.
        """
        known = self.workers.get_by_name(change.name)
        if change.record is None and (known is None or known.leaving):
            return False
        if change.name in self.entry_reader.unreadable:
            self._lapsed.discard(change.name)
            return False
        deferred = self._lapsed.defer_removal(change, now, complete_before)
        if deferred:
            self._log.write(
                LogEvent.WORKER_REMOVAL_DEFERRED, worker=change.name, revision=change.revision
            )
        return deferred

    def _apply_confirmed_removals(self) -> None:
        """Apply the deferred removals that are confirmed: the worker did not register again."""
        now = clock.now()
        confirmed = self._lapsed.pop_confirmed(now)
        if confirmed:
            newest = max(change.revision for change in confirmed)
            known = self.workers.revision
            self._apply_store_changes(
                WorkerChangeBatch(known, max(newest, known), tuple(confirmed)), now
            )

    def _log_worker_list(self, source: str) -> None:
        places = Counter(f"{item.service}@{item.zone}" for item in self.workers.records())
        self._log.write(
            LogEvent.WORKER_LIST_APPLIED,
            source=source,
            revision=self.workers.revision,
            workers=places.total(),
            places=sorted(places.items()),
        )
        self.on_change()

    def apply_worker_changes(self, batch: WorkerChangeBatch, source: str) -> bool:
        """Apply changed rows; return whether the list of workers changed.

        The list is then complete up to the batch's revision if no earlier change was missed, but
        only up to the revision before a deferred removal: if that removal counted as known, it
        would be ignored as outdated when it is confirmed.
        """
        applied = [change for change in batch.changes if self._apply_row(change)]
        if self.workers_known and self.workers.revision >= batch.since:
            self.workers.mark_complete_up_to(self._lapsed.complete_up_to(batch.revision))
        now = clock.now()
        for change in applied:
            if change.record is not None:
                self.entry_reader.record_readable(change.name)
                self.warming.record_entry(change.record, now)
            self._log.write(LogEvent.WORKER_CHANGED, **change.log_fields(), source=source)
        if applied:
            self.on_change()
        return bool(applied)

    def _apply_row(self, change: WorkerChange) -> bool:
        previous = self.workers.get_by_name(change.name)
        applied = self.workers.apply_row(change.name, change.record, change.revision)
        if applied:
            self.on_entry(previous, change)
        return applied

    def changes_since(self, revision: int) -> WorkerChangeBatch | None:
        """Return the changes of the list of workers after a revision, or ``None`` if unknown."""
        rows = self.workers.changes_since(revision)
        if rows is None or not self.workers_known:
            return None
        unreadable = self.entry_reader.unreadable
        changes = tuple(WorkerChange(name, at, item, name in unreadable) for name, at, item in rows)
        return WorkerChangeBatch(revision, self.workers.revision, changes)

    def record_call(self, table: StoreTable, answer: StoreRows | StoreFailure) -> None:
        """Count a call to the store, and log when the store is lost or back."""
        reachable = isinstance(answer, StoreRows)
        detail = "answered" if isinstance(answer, StoreRows) else answer.failure_reason.value
        self.call_counts[f"{table}:{detail}"] += 1
        if detail == StoreFailureReason.HISTORY_GONE or self._reachable.get(table) == reachable:
            return
        if table is StoreTable.WORKERS and self._reachable.get(table) is False:
            self._lapsed.record_store_return(clock.now())
        self._reachable[table] = reachable
        event = LogEvent.STORE_REACHABLE if reachable else LogEvent.STORE_UNREACHABLE
        self._log.write(event, table=table.value, detail=detail)
