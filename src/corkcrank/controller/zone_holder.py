"""Manages one zone: holds its lease, publishes its digest and sends model orders to workers.

The digest is a hint, so the last holder keeps publishing it while the table is unavailable.
Orders are not hints: each is sent only if the lease remains valid for longer than the
maximum time in flight of the order.
"""

import asyncio
import contextlib

import msgspec

from corkcrank.contracts import clock, table_keys
from corkcrank.contracts.identifiers import Address
from corkcrank.contracts.messages import LoadReport, MachineList, ModelOrder, WorkerEntry
from corkcrank.links.back_ends import ORDER_TIMEOUT_SECONDS, BackEndClient
from corkcrank.links.logs import ComponentLog
from corkcrank.links.peer_client import PeerClient
from corkcrank.links.peer_codec import (
    PeerDecodeError,
    decode_digest,
    decode_heartbeat,
    encode_digest,
)
from corkcrank.links.platform_ports import Unreadable
from corkcrank.links.table import Committed, Condition, Conflicted, Table, Unanswered, Write
from corkcrank.machines.leases import Lease, LeaseRow, WriteLease, ZoneLease, decode_lease
from corkcrank.machines.member import MemberAgent
from corkcrank.machines.orders import required_orders
from corkcrank.zones.peer_messages import Enclosures, HeartbeatReply, KnownTables
from corkcrank.zones.poll_shares import PollShares
from corkcrank.zones.zone_state import ZoneState

TICK_SECONDS = 1.0
"""Interval between digests and between lease renewals."""

TICKS_PER_SUMMARY_READ = 2
"""Number of digests between two reads of other zones' summaries."""


class ZoneHolder:
    """One controller's work for its zone; only the holder of the lease publishes."""

    def __init__(
        self, agent: MemberAgent, table: Table, peers: PeerClient, back_ends: BackEndClient
    ) -> None:
        process = agent.settings.process
        self.zone = process.zone
        self.state = ZoneState(process.zone)
        self.lease = Lease(process.zone, process.name, process.peer_address)
        self.member_versions: dict[str, int] = {}
        self.orders_sent = 0
        self.last_digest_at = 0.0
        self._agent = agent
        self._table = table
        self._peers = peers
        self._back_ends = back_ends
        self._log = ComponentLog("zone")
        self._wake = asyncio.Event()
        self._local_reports: tuple[LoadReport, ...] = ()
        self._other_holders: dict[str, LeaseRow] = {}
        self._remote_tables: dict[str, KnownTables] = {}
        self._shares = PollShares(process.name)
        self._ticks = 0
        self._known_version = 0

    @property
    def publishes(self) -> bool:
        """Return whether this controller publishes the digest: it is the last known holder."""
        row = self.lease.row
        return row is not None and row.holder == self._agent.settings.process.name

    def reports(self) -> tuple[LoadReport, ...]:
        """Return the loads that this controller polled, for the next heartbeat."""
        return self._local_reports

    def apply_heartbeat(self, data: bytes) -> HeartbeatReply:
        """Apply a member's heartbeat and return the reply."""
        heartbeat = decode_heartbeat(data)
        if heartbeat.zone == self.zone:
            self.state.apply_heartbeat(heartbeat, clock.now())
            self.member_versions[heartbeat.member] = heartbeat.configuration_version
            self._agent.view.adoption.record_announced_version(heartbeat.configuration_version)
            self.wake_if_newer()
        return HeartbeatReply(
            configuration_version=self._agent.view.adoption.announced_version,
            holder=self.publishes,
            interval_seconds=self.state.heartbeat_interval(heartbeat.role),
            holder_address=self._agent.holder_address_for_zone(heartbeat.zone),
        )

    def known_holders(self) -> tuple[ZoneLease, ...]:
        """Return each zone's last known lease."""
        rows: dict[str, LeaseRow] = dict(self._other_holders)
        own = self.lease.row or self._agent.view.lease
        if own is not None:
            rows[self.zone] = own
        return tuple(ZoneLease(zone, row) for zone, row in sorted(rows.items()) if row.address)

    def wake_if_newer(self) -> None:
        """Wake the loop to publish at once if a newer configuration version is known."""
        version = self._agent.view.adoption.announced_version
        if version > self._known_version:
            self._known_version = version
            self._wake.set()

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            started = clock.now()
            await self.tick()
            pause = max(0.05, TICK_SECONDS - (clock.now() - started))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), pause)
            self._wake.clear()

    async def tick(self) -> None:
        """Renew or claim the lease, then publish if this controller is the holder."""
        self._ticks += 1
        await self._refresh_leases()
        await self._advance_lease()
        if self.publishes:
            await self._read_machine_list()
            if self._ticks % TICKS_PER_SUMMARY_READ == 0:
                await self._pull_summaries()
            self._publish()
            await self._send_orders()

    async def release(self) -> None:
        """Release the lease at a planned stop, after the last order."""
        write = self.lease.release()
        if write is not None:
            await self._write_lease(write)

    def encoded_summary(self, known_directory: int) -> bytes | None:
        """Return the summary for other zones, or ``None`` if this controller is not the holder.

        The directory is included unless its hash equals ``known_directory``.
        """
        if not self.publishes:
            return None
        version = self._agent.view.adoption.announced_version
        digest = self.state.make_summary(self.lease.fence, version)
        enclose = known_directory != self.state.tables.directory_hash
        return encode_digest(digest, self.state.tables, Enclosures(directory=enclose))

    async def _refresh_leases(self) -> None:
        zones: list[str] = [self.zone]
        if self.publishes:
            zones += sorted({row.zone for row in self.state.machine_list.workers} - {self.zone})
        outcome = await self._table.read(tuple(table_keys.zone_lease_key(zone) for zone in zones))
        if isinstance(outcome, Unanswered):
            return
        now = clock.now()
        for zone, row in zip(zones, outcome.rows, strict=True):
            lease_row = decode_lease(row.value)
            if isinstance(lease_row, Unreadable):
                continue
            if zone == self.zone:
                self.lease.record_row(lease_row, row.revision, now)
            elif lease_row is not None:
                self._other_holders[zone] = lease_row

    async def _advance_lease(self) -> None:
        write = self.lease.next_write(clock.now())
        if write is not None:
            await self._write_lease(write)

    async def _write_lease(self, write: WriteLease) -> None:
        key = table_keys.zone_lease_key(self.zone)
        sent_at = clock.now()
        outcome = await self._table.commit(
            (Condition(key, write.expected_revision),),
            (Write(key, msgspec.json.encode(write.row).decode()),),
        )
        match outcome:
            case Committed(rows=rows):
                if write.row.fence != self.lease.fence:
                    self._log.info("Lease taken.", zone=self.zone, fence=write.row.fence)
                self.lease.record_write(write, rows[0].revision, sent_at)
            case Conflicted(rows=rows):
                found = decode_lease(rows[0].value)
                if not isinstance(found, Unreadable):
                    self.lease.record_row(found, rows[0].revision, clock.now())
            case Unanswered():
                return

    async def _read_machine_list(self) -> None:
        listed = await self._back_ends.read_machine_list(self._agent.settings.platform.machine_list)
        if isinstance(listed, MachineList):
            self.state.apply_machine_list(listed)

    async def _pull_summaries(self) -> None:
        holders = [(zone, row) for zone, row in self._other_holders.items() if row.address]
        await asyncio.gather(*(self._pull_summary(zone, row.address) for zone, row in holders))

    async def _pull_summary(self, zone: str, address: Address) -> None:
        known = self._remote_tables.get(zone, KnownTables())
        data = await self._peers.pull_summary(address, known.directory_hash)
        if not data:
            return
        try:
            digest = decode_digest(data, known)
        except PeerDecodeError:
            return
        if digest.zone != zone:
            return
        if digest.directory is not None:
            self._remote_tables[zone] = KnownTables(digest.directory, digest.directory_hash)
        self.state.apply_remote_digest(msgspec.structs.replace(digest, directory=None))
        self._agent.view.adoption.record_announced_version(digest.configuration_version)

    def _publish(self) -> None:
        now = clock.now()
        self.state.prune_silent(now)
        version = self._agent.view.adoption.announced_version
        digest = self.state.make_digest(self.lease.fence, version)
        self.last_digest_at = now
        self._agent.publish_digest(digest, self.state.tables)

    async def _send_orders(self) -> None:
        index = self._agent.view.adoption.index
        if index is None or self._agent.view.adoption.version_to_fetch is not None:
            return
        due_orders = required_orders(
            index.configuration,
            self.state.workers_of_zone(),
            self.state.reports(),
            self.lease.fence,
        )
        addresses = {row.worker: row.address for row in self.state.machine_list.workers}
        await asyncio.gather(
            *(self._send_order(Address(addresses[order.worker]), order) for order in due_orders)
        )

    async def _send_order(self, address: Address, order: ModelOrder) -> None:
        # The lease is checked without an await before the send. A pause of the process here
        # is covered by the limit on the time in flight, which the next holder waits out.
        if not self.lease.holds(clock.now(), margin=ORDER_TIMEOUT_SECONDS):
            return
        if order.fence != self.lease.fence:
            return
        self.orders_sent += 1
        await self._back_ends.send_order(address, order)

    async def poll_workers(self) -> None:
        """Poll this controller's share of the zone's workers, for the next heartbeat."""
        share = self._shares.share(self._agent.view.tables.membership.members, self._zone_workers())
        outcomes = await asyncio.gather(
            *(self._back_ends.read_load_report(worker.address) for worker in share)
        )
        self._local_reports = tuple(
            outcome for outcome in outcomes if isinstance(outcome, LoadReport)
        )

    def _zone_workers(self) -> tuple[WorkerEntry, ...]:
        listed = self.state.machine_list.workers or self._agent.view.tables.directory.workers
        return tuple(row for row in listed if row.zone == self.zone)
