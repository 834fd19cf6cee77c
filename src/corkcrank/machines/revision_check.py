"""Finds revisions in the list of workers that a peer reported and that the store never reached.

Later changes would be ignored as older. The answers of the store are linearizable and name its
newest revision, so a revision that was known before a request cannot be higher than that of the
answer. A gateway that does not follow the store asks it if members that follow it report a lower
revision than the one that it has had for some time.
"""

from collections.abc import Iterable

from corkcrank.contracts import clock
from corkcrank.contracts.worker_records import WorkerList, WorkerRecord
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
        recent_changes: RecentWorkerChanges,
        election: StoreFollowerElection,
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._workers = workers
        self._recent_changes = recent_changes
        self._election = election
        self._log = log
        self._confirmed = 0
        self._settling: tuple[float, int] | None = None
        self._refuted_at = 0.0
        self.refuted_from: int | None = None
        """Lowest revision that the store was found not to have reached."""
        self.is_doubted = False
        """Whether the store must be asked about the list."""

    async def read(self, table: StoreTable) -> StoreRows | StoreFailure:
        """Return all rows of a table; discard what the list has of later revisions before."""
        claimed = self._workers.newest_revision
        answer = await self._store.read(table)
        if table is StoreTable.WORKERS and isinstance(answer, StoreRows):
            self._compare(claimed, answer.revision)
        return answer

    async def watch(
        self, table: StoreTable, since: int, wait_seconds: float
    ) -> StoreRows | StoreFailure:
        """Return the changes of a table, or a failure that asks for a whole read.

        A whole read decides, since the revision of partial changes may be lower than the newest.
        """
        claimed = self._workers.newest_revision
        answer = await self._store.watch(table, since, wait_seconds)
        if table is StoreTable.WORKERS and isinstance(answer, StoreRows):
            if answer.revision < claimed:
                return StoreFailure(StoreFailureReason.HISTORY_GONE)
            self._compare(claimed, answer.revision)
        return answer

    def accepts(self, revision: int) -> bool:
        """Return whether a peer may report a revision: the store was not found to be below it."""
        if self.refuted_from is None or revision < self.refuted_from:
            return True
        if clock.now() - self._refuted_at > RECHECK_SECONDS:
            self.is_doubted = True
        return False

    def accepts_all(self, revision: int, rows: Iterable[WorkerChange | WorkerRecord]) -> bool:
        """Return whether a peer may report rows as of a revision, with those of their own."""
        return self.accepts(max([revision, *(row.revision for row in rows)]))

    def record_peer_revision(self, member: str, revision: int) -> None:
        """Record the revision of a member's list; doubt a higher one if the member follows.

        A revision that the store confirmed here needs no other proof.
        """
        known, now = self._workers.newest_revision, clock.now()
        if known <= self._confirmed:
            self._settling = None
        elif self._settling is None:
            self._settling = now, known
        elif now - self._settling[0] > SETTLE_SECONDS and self._election.is_elected(member, now):
            self.is_doubted |= revision < self._settling[1]
            self._settling = None

    def _compare(self, claimed: int, revision: int) -> None:
        """Compare what was known before a request with the revision of its answer."""
        self.is_doubted = False
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
        self._recent_changes.clear()
        self._log.write(LogEvent.REVISION_REFUTED, revision=claimed, store_revision=revision)
