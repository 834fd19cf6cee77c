"""Stores announcements in workers' answers: leaves and requested backoffs.

A leaving worker accepts no new work from any gateway, so a leave is reported to peers. It applies
to the worker's incarnation, regardless of its entry in the store: the store may be unreachable, or
lose the entry for a while. A backoff applies only to the gateway whose request was rejected, and
expires. It is also reported to peers, which then prefer other workers: the worker would probably
reject their requests as well, and a gateway of a large fleet has few retries.

The module does no I/O; callers pass the time, in seconds of one clock. Reports hold ages instead of
times, because the clocks of machines are not compared.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass

import msgspec

from corkcrank.contracts.worker_records import WorkerRecord

MAX_BACKOFF_SECONDS = 3_600.0
"""Maximum backoff. If a worker requests a longer one, it is retried after this time."""

UNLISTED_RETENTION_SECONDS = 600.0
"""Time for which a leave is kept after the worker's entry was removed. The store may restore lost
entries."""

MAX_LAPSE_SECONDS = 3.0
"""Time within which a lost entry returns. An entry without a start time that returns later counts
as another incarnation."""

MAX_UNLISTED_LEAVES = 1_024
"""Maximum number of stored leaves of workers that are not listed."""

MAX_REPORTED_LEAVES = 64
"""Maximum number of leaves in one heartbeat; the newest are chosen."""

MAX_REPORTED_BACKOFFS = 64
"""Maximum number of backoffs in one heartbeat; those that end last are chosen."""

MAX_REPORTED_AGE_SECONDS = 1e6
"""Maximum valid age of a reported leave."""

MAX_REPORTED_ID_LENGTH = 512
"""Maximum length of a worker's id in a report, in characters."""


class ReportedLeave(msgspec.Struct, frozen=True, array_like=True):
    """A worker's announcement, ``age`` seconds ago, that it leaves."""

    worker_id: str
    age: float

    @property
    def readable(self) -> bool:
        """Return whether id and age are in the valid range.

        >>> ReportedLeave("w 1", 0.5).readable, ReportedLeave("w 1", float("nan")).readable
        (True, False)
        """
        valid_id = 0 < len(self.worker_id) <= MAX_REPORTED_ID_LENGTH
        return valid_id and 0 <= self.age <= MAX_REPORTED_AGE_SECONDS


class ReportedBackoff(msgspec.Struct, frozen=True, array_like=True):
    """The remaining ``seconds`` of a backoff that a worker requested from the reporting gateway."""

    worker_id: str
    seconds: float

    @property
    def readable(self) -> bool:
        """Return whether id and time are in the valid range.

        >>> ReportedBackoff("w 1", 2.5).readable, ReportedBackoff("w 1", float("inf")).readable
        (True, False)
        """
        valid_id = 0 < len(self.worker_id) <= MAX_REPORTED_ID_LENGTH
        return valid_id and 0 < self.seconds <= MAX_BACKOFF_SECONDS


@dataclass(slots=True)
class Leave:
    """The time of a worker's announcement to leave, and the source of the report.

    ``incarnation_known`` is set if the worker's id distinguishes its incarnations.
    ``unlisted_since`` is when the worker's entry was removed, ``None`` while it is listed.
    """

    announced_at: float
    source: str
    incarnation_known: bool
    unlisted_since: float | None = None


@dataclass(frozen=True, slots=True)
class Backoff:
    """The time at which a worker requested a backoff, and the backoff's end."""

    requested_at: float
    until: float


class WorkerNotices:
    """The leaves and backoffs known to one gateway, by worker id."""

    def __init__(self) -> None:
        self._leaves: dict[str, Leave] = {}
        self._backoffs: dict[str, Backoff] = {}
        self._peers_backoffs: dict[str, float] = {}

    def leave(self, worker_id: str) -> Leave | None:
        """Return a worker's leave, ``None`` if it announced none."""
        return self._leaves.get(worker_id)

    def leaves(self) -> Iterator[tuple[str, Leave]]:
        """Iterate over the workers that announced their leave."""
        return iter(list(self._leaves.items()))

    @property
    def any_leaves(self) -> bool:
        """Return whether any worker announced its leave."""
        return bool(self._leaves)

    def is_leaving(self, worker_id: str) -> bool:
        """Return whether a worker announced that it leaves."""
        return worker_id in self._leaves

    def backoff(self, worker_id: str, now: float) -> Backoff | None:
        """Return a worker's backoff, ``None`` if there is none now."""
        backoff = self._backoffs.get(worker_id)
        return backoff if backoff is not None and backoff.until > now else None

    def backoff_seconds(self, worker_id: str, now: float) -> float:
        """Return the seconds until a worker's backoff ends, 0 without one.

        >>> notices = WorkerNotices()
        >>> notices.record_backoff("w", 3.0, now=10.0)
        True
        >>> notices.backoff_seconds("w", now=11.0), notices.backoff_seconds("w", now=14.0)
        (2.0, 0.0)
        """
        backoff = self._backoffs.get(worker_id)
        return max(0.0, backoff.until - now) if backoff is not None else 0.0

    def peers_in_backoff(self, worker_id: str, now: float) -> bool:
        """Return whether a worker's backoff for another gateway is in force."""
        return self._peers_backoffs.get(worker_id, 0.0) > now

    def record_leave(self, worker: WorkerRecord, source: str, now: float) -> bool:
        """Record the leave that an answer announced; return whether it was unknown."""
        if worker.worker_id in self._leaves:
            return False
        self._leaves[worker.worker_id] = Leave(now, source, worker.born is not None)
        return True

    def record_backoff(self, worker_id: str, seconds: float, now: float) -> bool:
        """Record a requested backoff; return whether it ends later than the known one.

        An earlier request stays in force until its end.
        """
        until = now + min(seconds, MAX_BACKOFF_SECONDS)
        if until <= max(now, now + self.backoff_seconds(worker_id, now)):
            return False
        self._backoffs[worker_id] = Backoff(now, until)
        return True

    def apply_peer_report(self, report: ReportedLeave, source: str, now: float) -> bool:
        """Record a leave that a peer reported; return whether it was unknown."""
        if report.worker_id in self._leaves:
            return False
        self._leaves[report.worker_id] = Leave(now - report.age, source, incarnation_known=True)
        return True

    def apply_peer_backoff(self, report: ReportedBackoff, now: float) -> None:
        """Record a backoff that a worker requested from a peer."""
        until = max(self._peers_backoffs.get(report.worker_id, 0.0), now + report.seconds)
        self._peers_backoffs[report.worker_id] = until

    def backoffs_for_peers(
        self, now: float, chosen: Collection[str] | None = None
    ) -> tuple[ReportedBackoff, ...]:
        """Return this gateway's backoffs as reports for peers, latest end first.

        With ``chosen``, only the backoffs of these workers are returned.
        """
        present = [
            (worker_id, backoff)
            for worker_id, backoff in self._backoffs.items()
            if backoff.until > now and (chosen is None or worker_id in chosen)
        ]
        present.sort(key=lambda item: -item[1].until)
        return tuple(
            ReportedBackoff(worker_id, round(backoff.until - now, 2))
            for worker_id, backoff in present[:MAX_REPORTED_BACKOFFS]
            if round(backoff.until - now, 2) > 0
        )

    def reports_for_peers(self, listed: Collection[str], now: float) -> tuple[ReportedLeave, ...]:
        """Return the leaves of the ``listed`` workers for peers, newest first.

        An id that does not distinguish incarnations is not reported, since the worker could have
        restarted when the report arrives.
        """
        chosen = [
            (worker_id, leave)
            for worker_id, leave in self._leaves.items()
            if leave.incarnation_known and worker_id in listed
        ]
        chosen.sort(key=lambda item: -item[1].announced_at)
        return tuple(
            ReportedLeave(worker_id, round(now - leave.announced_at, 2))
            for worker_id, leave in chosen[:MAX_REPORTED_LEAVES]
        )

    def update_listed(self, worker_ids: Collection[str], now: float) -> None:
        """Apply the current list of workers and remove obsolete leaves and expired backoffs."""
        for worker_id, leave in list(self._leaves.items()):
            if worker_id not in worker_ids:
                leave.unlisted_since = now if leave.unlisted_since is None else leave.unlisted_since
                if now - leave.unlisted_since > UNLISTED_RETENTION_SECONDS:
                    del self._leaves[worker_id]
            elif leave.unlisted_since is not None:
                lapsed_only = now - leave.unlisted_since <= MAX_LAPSE_SECONDS
                leave.unlisted_since = None
                if not leave.incarnation_known and not lapsed_only:
                    del self._leaves[worker_id]
        self._remove_oldest_unlisted()
        for worker_id in [key for key, item in self._backoffs.items() if item.until <= now]:
            del self._backoffs[worker_id]
        for worker_id in [key for key, until in self._peers_backoffs.items() if until <= now]:
            del self._peers_backoffs[worker_id]

    def _remove_oldest_unlisted(self) -> None:
        unlisted = [
            (leave.unlisted_since, worker_id)
            for worker_id, leave in self._leaves.items()
            if leave.unlisted_since is not None
        ]
        for _, worker_id in sorted(unlisted)[: max(0, len(unlisted) - MAX_UNLISTED_LEAVES)]:
            del self._leaves[worker_id]
