"""State of a zone at its holder: members, load reports, and the digest built from them.

The state is neither replicated nor stored. A new holder starts empty and has the complete
state after one heartbeat of each member.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from corkcrank.contracts.identifiers import WorkerId
from corkcrank.contracts.messages import LoadReport, MachineList, WorkerEntry
from corkcrank.zones.digest import (
    Directory,
    MemberEntry,
    Membership,
    WorkerLoad,
    ZoneDigest,
    content_hash,
)
from corkcrank.zones.peer_messages import Heartbeat, KnownTables

REPORTING_ROLE = "controller"
"""Role of members whose heartbeats carry load reports."""

MIN_HEARTBEAT_INTERVAL_SECONDS = 1.0
"""Interval between a member's heartbeats in a small zone."""

MAX_REPORTING_HEARTBEATS_PER_SECOND = 15.0
"""Maximum rate of heartbeats with load reports that a holder requests from controllers."""

MAX_GATEWAY_HEARTBEATS_PER_SECOND = 5.0
"""Maximum rate of heartbeats that a holder requests from its gateways."""

MAX_MEMBER_AGE_INTERVALS = 3.5
"""Heartbeat intervals without a heartbeat after which a member is removed."""

MAX_REPORT_AGE_INTERVALS = 5.0
"""Heartbeat intervals without a new report after which a load report is removed."""

MAX_REMOTE_WORKERS_PER_SERVICE = 8
"""Maximum number of least loaded workers of another zone reported for each service."""


@dataclass(slots=True)
class _Member:
    entry: MemberEntry
    received_at: float


@dataclass(slots=True)
class _Report:
    report: LoadReport
    received_at: float


class ZoneState:
    """State of one zone, collected by its holder from heartbeats and other zones."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.machine_list = MachineList(0, ())
        self.tables = KnownTables()
        self._members: dict[str, _Member] = {}
        self._reports: dict[WorkerId, _Report] = {}
        self._remote: dict[str, ZoneDigest] = {}
        self._sequence = 0

    def heartbeat_interval(self, role: str) -> float:
        """Return the interval between a member's heartbeats for the zone's size, in seconds."""
        count = sum(member.entry.role == role for member in self._members.values())
        rate = (
            MAX_REPORTING_HEARTBEATS_PER_SECOND
            if role == REPORTING_ROLE
            else MAX_GATEWAY_HEARTBEATS_PER_SECOND
        )
        return max(MIN_HEARTBEAT_INTERVAL_SECONDS, count / rate)

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Record a member's heartbeat and the load reports in it."""
        entry = MemberEntry(heartbeat.member, heartbeat.role, heartbeat.address)
        self._members[heartbeat.member] = _Member(entry, now)
        for report in heartbeat.reports:
            self._reports[report.worker] = _Report(report, now)

    def apply_machine_list(self, machine_list: MachineList) -> None:
        """Replace the machine list unless the given one is older."""
        if machine_list.version >= self.machine_list.version:
            self.machine_list = machine_list

    def apply_remote_digest(self, digest: ZoneDigest) -> None:
        """Replace the digest of another zone unless the given one is older."""
        known = self._remote.get(digest.zone)
        if known is None or digest.order_key > known.order_key:
            self._remote[digest.zone] = digest

    def prune_silent(self, now: float) -> None:
        """Remove expired members and reports, and rebuild the tables."""
        intervals = {role: self.heartbeat_interval(role) for role in (REPORTING_ROLE, "gateway")}
        self._members = {
            name: member
            for name, member in self._members.items()
            if now - member.received_at <= MAX_MEMBER_AGE_INTERVALS * intervals[member.entry.role]
        }
        self._reports = {
            worker: report
            for worker, report in self._reports.items()
            if now - report.received_at <= MAX_REPORT_AGE_INTERVALS * intervals[REPORTING_ROLE]
        }
        self._rebuild_tables()

    def reports(self) -> tuple[LoadReport, ...]:
        """Return the latest report of each worker."""
        return tuple(received.report for received in self._reports.values())

    def members(self) -> tuple[MemberEntry, ...]:
        """Return the live members in the order of the relay tree."""
        return tuple(sorted(member.entry for member in self._members.values()))

    def workers_of_zone(self) -> tuple[WorkerEntry, ...]:
        """Return the workers of this zone."""
        return tuple(row for row in self.machine_list.workers if row.zone == self.zone)

    def make_digest(self, fence: int, configuration_version: int) -> ZoneDigest:
        """Return the next digest for the members of the zone."""
        self._sequence += 1
        local = self._local_loads()
        remote = [load for digest in self._remote.values() for load in digest.loads]
        gateways = self._local_gateways() + sum(item.gateways for item in self._remote.values())
        loads = self._with_listed_leaving((*local, *remote))
        return self._digest(fence, configuration_version, loads, gateways)

    def make_summary(self, fence: int, configuration_version: int) -> ZoneDigest:
        """Return the digest for other zones: a few least loaded workers of each service."""
        services = {row.worker: row.service for row in self.machine_list.workers}
        chosen = least_loaded_by_service(self._local_loads(), services)
        return self._digest(fence, configuration_version, chosen, self._local_gateways())

    def validate(self) -> None:
        """Check the invariants that hold between calls."""
        assert self.tables.directory_hash in (0, content_hash(self.tables.directory))
        assert self.tables.membership_hash in (0, content_hash(self.tables.membership))

    def _digest(
        self, fence: int, version: int, loads: tuple[WorkerLoad, ...], gateways: int
    ) -> ZoneDigest:
        return ZoneDigest(
            zone=self.zone,
            fence=fence,
            sequence=self._sequence,
            configuration_version=version,
            directory_hash=self.tables.directory_hash,
            membership_hash=self.tables.membership_hash,
            gateways=gateways,
            loads=loads,
        )

    def _local_gateways(self) -> int:
        return sum(member.entry.role == "gateway" for member in self._members.values())

    def _local_loads(self) -> tuple[WorkerLoad, ...]:
        return tuple(
            WorkerLoad(
                worker=report.worker,
                running=report.running,
                waiting=report.waiting,
                slots=report.slots,
                models=report.models,
                leaving=report.leaving,
                boot=report.boot if report.leaving else "",
            )
            for report in self.reports()
        )

    def _current_directory(self) -> Directory:
        # The loads report that a worker is leaving, so that this needs no new directory.
        workers = tuple(
            msgspec.structs.replace(row, leaving=False) if row.leaving else row
            for row in self.machine_list.workers
        )
        if workers == self.tables.directory.workers:
            return self.tables.directory
        return Directory(workers, self.machine_list.version)

    def _with_listed_leaving(self, loads: Iterable[WorkerLoad]) -> tuple[WorkerLoad, ...]:
        by_worker = {load.worker: load for load in loads}
        for row in self.machine_list.workers:
            if row.leaving:
                known = by_worker.get(row.worker, WorkerLoad(row.worker, 0, 0, 0))
                by_worker[row.worker] = msgspec.structs.replace(known, leaving=True, boot=row.boot)
        return tuple(by_worker.values())

    def _rebuild_tables(self) -> None:
        current = self.tables
        directory = self._current_directory()
        membership = Membership(self.members())
        if directory == current.directory and membership == current.membership:
            return
        self.tables = KnownTables(
            directory, content_hash(directory), membership, content_hash(membership)
        )


def least_loaded_by_service(
    loads: Iterable[WorkerLoad], services: dict[WorkerId, str]
) -> tuple[WorkerLoad, ...]:
    """Return the leaving workers and the few least loaded live ones of each service."""
    by_service: dict[str, list[WorkerLoad]] = {}
    leaving: list[WorkerLoad] = []
    for load in loads:
        if load.leaving:
            leaving.append(load)
        else:
            by_service.setdefault(services.get(load.worker, ""), []).append(load)
    chosen = list(leaving)
    for group in by_service.values():
        group.sort(key=lambda load: (load.running + load.waiting) / max(1, load.slots))
        chosen += group[:MAX_REMOTE_WORKERS_PER_SERVICE]
    return tuple(chosen)
