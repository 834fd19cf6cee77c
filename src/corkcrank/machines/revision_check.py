"""Finds revisions of workers and zones that a peer reported and that the store never reached.

Later changes would be ignored as older. The answers of the store are linearizable and name its
newest revision, so a revision that was known before a request cannot be higher than that of the
answer. A gateway that does not follow the store asks it if members that follow it report a lower
revision than the one that it has had for some time.
"""

from collections.abc import Iterable

from corkcrank.contracts import clock
from corkcrank.contracts.worker_records import WorkerList, WorkerRecord
from corkcrank.contracts.zone_evacuations import ZoneEvacuations, ZoneState
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.platform_ports import (
    MetadataStore,
    StoreFailure,
    StoreFailureReason,
    StoreRows,
    StoreTable,
)
from corkcrank.machines.lapsed_entries import REREGISTRATION_SECONDS
from corkcrank.machines.store_followers import StoreFollowerElection
from corkcrank.machines.worker_changes import RecentWorkerChanges, WorkerChange

SETTLE_SECONDS = 2 * REREGISTRATION_SECONDS
"""Time after which members that follow the store know a revision, even if they defer removals."""

RECHECK_SECONDS = 10.0
"""Time after which the store is asked whether it has reached a revision that it refuted."""


class RevisionCheck:
    """Reads tables of the store, and compares its revisions with those of the list of workers."""

    def __init__(
        self,
        store: MetadataStore,
        workers: WorkerList,
        evacuations: ZoneEvacuations,
        election: StoreFollowerElection,
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._workers = workers
        self._evacuations = evacuations
        self.recent_changes = RecentWorkerChanges()
        """The changes that are reported to peers."""
        self._election = election
        self._log = log
        self._confirmed = 0
        self._settling: tuple[float, int] | None = None
        self._refuted_at = 0.0
        self.refuted_from: int | None = None
        """Lowest revision that the store was found not to have reached."""
        self._doubted: set[StoreTable] = set()

    async def read(self, table: StoreTable) -> StoreRows | StoreFailure:
        """Return all rows of a table; discard before what is known of later revisions."""
        claimed = self._newest_revision
        answer = await self._store.read(table)
        if isinstance(answer, StoreRows):
            self._doubted.discard(table)
            if table is StoreTable.WORKERS:
                self._compare(claimed, answer.revision)
        return answer

    async def watch(
        self, table: StoreTable, since: int, wait_seconds: float
    ) -> StoreRows | StoreFailure:
        """Return the changes of a table, or a failure that asks for a whole read.

        A whole read decides, since the revision of partial changes may be lower than the newest.
        """
        if table is StoreTable.CONFIGURATION and self.must_ask(table):
            return StoreFailure(StoreFailureReason.HISTORY_GONE)
        claimed = self._newest_revision
        answer = await self._store.watch(table, since, wait_seconds)
        if table is StoreTable.WORKERS and isinstance(answer, StoreRows):
            if answer.revision < claimed:
                return StoreFailure(StoreFailureReason.HISTORY_GONE)
            self._doubted.discard(table)
            self._compare(claimed, answer.revision)
        return answer

    @property
    def _newest_revision(self) -> int:
        return max(self._workers.newest_revision, self._evacuations.newest_revision)

    def must_ask(self, table: StoreTable) -> bool:
        """Return whether the store must be asked about a table, whoever follows it."""
        return table in self._doubted

    def accepts(self, revision: int) -> bool:
        """Return whether a peer may report a revision: the store was not found to be below it."""
        if self.refuted_from is None or revision < self.refuted_from:
            return True
        if clock.now() - self._refuted_at > RECHECK_SECONDS:
            self._doubted.add(StoreTable.WORKERS)
        return False

    def accepts_all(
        self, revision: int, rows: Iterable[WorkerChange | WorkerRecord | ZoneState]
    ) -> bool:
        """Return whether a peer may report rows as of a revision, with those of their own."""
        return self.accepts(max([revision, *(row.revision for row in rows)]))

    def record_peer_revision(self, member: str, revision: int) -> None:
        """Record the revision of a member's list; doubt a higher one if the member follows.

        A revision that the store confirmed here needs no other proof.
        """
        known = self._newest_revision
        if known <= self._confirmed:
            self._settling = None
            return
        now = clock.now()
        if self._settling is None:
            self._settling = now, known
        elif now - self._settling[0] > SETTLE_SECONDS and self._election.is_elected(member, now):
            if revision < self._settling[1]:
                self._doubted.add(StoreTable.WORKERS)
            self._settling = None

    def _compare(self, claimed: int, revision: int) -> None:
        """Compare what was known before a request with the revision of its answer."""
        self._confirmed = max(self._confirmed, revision)
        if self.refuted_from is not None:
            self._refuted_at = clock.now()
            if revision >= self.refuted_from:
                self.refuted_from = None
        if claimed > revision:
            self._refute(claimed, revision)

    def _refute(self, claimed: int, revision: int) -> None:
        self.refuted_from = min(claimed, self.refuted_from or claimed)
        self._refuted_at = clock.now()
        self._workers.discard_after(revision)
        self._evacuations.discard_after(revision)
        self._doubted.add(StoreTable.CONFIGURATION)
        self.recent_changes.clear()
        self._log.write(LogEvent.REVISION_REFUTED, revision=claimed, store_revision=revision)
