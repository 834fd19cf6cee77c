"""Pulls newer configurations and worker lists from peers, and crash reports after a start."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

import msgspec

from corkcrank.contracts import clock
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.platform_ports import StoreTable
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.members import Member
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.machines.worker_changes import usable_changes
from corkcrank.node.peers.peer_client import PeerClient, PeerFailure, decode_answer
from corkcrank.node.peers.peer_protocol import (
    CONFIGURATION_PATH,
    CRASHES_PATH,
    WORKERS_PATH,
    ConfigurationAnswer,
    CrashesAnswer,
    WorkersAnswer,
    WorkersRequest,
)
from corkcrank.node.workers.crash_watch import CrashWatch

PULL_INTERVAL_SECONDS = 0.2
"""Time between checks for newer state at a peer."""

CONFIGURATION_LAG_SECONDS = 0.15
"""A gateway that follows the store waits this long for it before it asks a peer."""

WORKERS_LAG_SECONDS = 0.8
"""A newer list of workers is pulled if its changes did not arrive in heartbeats by then."""

MAX_CRASH_HISTORY_MEMBERS = 2
"""Members that a gateway asks after its start: one may have been cut off, or just started."""


class PeerPulls:
    """Requests missing state from members; ``on_adopted`` is called after a new configuration."""

    def __init__(
        self,
        fleet: Fleet,
        mirror: StoreMirror,
        peers: PeerClient,
        crash_watch: CrashWatch,
        log: DecisionLog,
    ) -> None:
        self._fleet = fleet
        self._mirror = mirror
        self._peers = peers
        self._crash_watch = crash_watch
        self._log = log
        self._behind_since: dict[StoreTable, float] = {}
        self._pull_requested = asyncio.Event()
        self._members_asked_for_crashes: set[str] = set()
        self.on_adopted: Callable[[], None] = lambda: None

    def request_pull(self) -> None:
        """Request an immediate check for newer state at a peer."""
        self._pull_requested.set()

    async def pull_periodically(self) -> None:
        """Pull newer state from peers until cancelled."""
        while True:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._pull_requested.wait(), PULL_INTERVAL_SECONDS)
            self._pull_requested.clear()
            now = clock.now()
            await self._pull_configuration(now)
            await self._pull_workers(now)
            await self._pull_crashes(now)

    def _lags_for(self, table: StoreTable, ahead: Member | None, limit: float, now: float) -> bool:
        """Return whether some peer has been ahead of this gateway for ``limit`` seconds."""
        if ahead is None:
            self._behind_since.pop(table, None)
            return False
        return now - self._behind_since.setdefault(table, now) >= limit

    async def _pull_configuration(self, now: float) -> None:
        member = self._fleet.member_with_newer_configuration(self._mirror.version, now)
        is_follower = self._mirror.version and self._mirror.is_follower(StoreTable.CONFIGURATION)
        limit = CONFIGURATION_LAG_SECONDS if is_follower else 0.0
        if not self._lags_for(StoreTable.CONFIGURATION, member, limit, now) or member is None:
            return
        body = await self._peers.request(
            member.heartbeat.address, CONFIGURATION_PATH, retry_on_silence=True
        )
        answer = decode_answer(body, ConfigurationAnswer)
        if isinstance(answer, PeerFailure):
            self._record_failure(member, answer)
            return
        if answer.configuration is not None:
            adopted = self._mirror.adopt_configuration(
                answer.configuration, f"peer {member.heartbeat.name}"
            )
            if adopted:
                self.on_adopted()

    async def _pull_workers(self, now: float) -> None:
        known, revisions = self._mirror.workers.revision, self._mirror.revisions
        member = self._fleet.member_with_newer_workers(known, now, revisions.refuted_from)
        limit = WORKERS_LAG_SECONDS if self._mirror.workers_known else 0.0
        if not self._lags_for(StoreTable.WORKERS, member, limit, now) or member is None:
            return
        question = msgspec.msgpack.encode(WorkersRequest(known))
        body = await self._peers.request(
            member.heartbeat.address, WORKERS_PATH, question, retry_on_silence=True
        )
        answer = decode_answer(body, WorkersAnswer)
        if isinstance(answer, PeerFailure):
            self._record_failure(member, answer)
            return
        source = f"peer {member.heartbeat.name}"
        if answer.changes is not None:
            if revisions.accepts_all(answer.changes.revision, answer.changes.changes):
                self._mirror.apply_worker_changes(usable_changes(answer.changes), source)
        elif revisions.accepts_all(answer.revision, answer.records):
            usable = tuple(record for record in answer.records if record.is_usable)
            self._mirror.apply_worker_list(usable, answer.revision, source)

    async def _pull_crashes(self, now: float) -> None:
        """Request all crash reports from the first live members.

        Heartbeats report old crashes in round-robin order: a gateway that has just started would
        know only some of them for minutes.
        """
        if len(self._members_asked_for_crashes) >= MAX_CRASH_HISTORY_MEMBERS:
            return
        live = self._fleet.live_members(now)
        new = [item for item in live if item.heartbeat.name not in self._members_asked_for_crashes]
        for member in new[: MAX_CRASH_HISTORY_MEMBERS - len(self._members_asked_for_crashes)]:
            body = await self._peers.request(
                member.heartbeat.address, CRASHES_PATH, retry_on_silence=True
            )
            self._members_asked_for_crashes.add(member.heartbeat.name)
            answer = decode_answer(body, CrashesAnswer)
            if isinstance(answer, PeerFailure):
                self._record_failure(member, answer)
                continue
            self._crash_watch.apply_reports(answer.reports, member.heartbeat.name)

    def _record_failure(self, member: Member, failure: PeerFailure) -> None:
        self._log.write(LogEvent.PULL_FAILED, member=member.heartbeat.name, detail=failure.value)
