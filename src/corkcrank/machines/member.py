"""Runs a daemon as a member of its zone: configuration, heartbeats, digests.

:class:`~corkcrank.machines.member_view.MemberView` makes the decisions; :class:`MemberAgent`
does the I/O. Gateways and controllers are both members.
"""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable, Coroutine

import msgspec

from corkcrank.contracts import clock, table_keys
from corkcrank.contracts.bounded_values import MAX_REVISION, parse_unsigned
from corkcrank.contracts.configuration import (
    Configuration,
    ConfigurationDecodeError,
    decode_configuration,
)
from corkcrank.contracts.identifiers import Address
from corkcrank.contracts.messages import LoadReport
from corkcrank.contracts.settings import Settings
from corkcrank.links.logs import ComponentLog
from corkcrank.links.peer_client import PeerClient
from corkcrank.links.peer_codec import (
    PeerDecodeError,
    decode_digest,
    decode_heartbeat,
)
from corkcrank.links.table import Row, Table, Unanswered
from corkcrank.machines.leases import LeaseRow, decode_lease
from corkcrank.machines.member_view import DIGEST_STALE_SECONDS, MemberView
from corkcrank.machines.relay import HOLDER_POSITION, DigestRelay
from corkcrank.zones.digest import ZoneDigest
from corkcrank.zones.peer_messages import (
    DigestReply,
    Heartbeat,
    HeartbeatReply,
    KnownTables,
)
from corkcrank.zones.zone_state import MIN_HEARTBEAT_INTERVAL_SECONDS

REFRESH_SECONDS = 1.0
"""Interval between reads of the newest configuration's version number."""

MAX_PEERS_ASKED = 2
"""Most peers asked one after the other if the holder or the table does not answer."""

MAX_KNOWN_MEMBERS_ASKED = 8
"""Most members of the last membership that may be asked in addition to the seeds."""

PULL_JITTER = (0.5, 1.5)
"""Bounds of the random factor on the pause before a digest is pulled again."""

MIN_PAUSE_SECONDS = 0.05
"""Shortest pause between two rounds, regardless of how long the first one took."""


class MemberAgent:
    """Performs the periodic I/O of a member."""

    def __init__(self, settings: Settings, role: str, table: Table, peers: PeerClient) -> None:
        self.settings = settings
        self.role = role
        self.table = table
        self.peers = peers
        self.view = MemberView(settings.process.zone)
        self.on_digest: Callable[[ZoneDigest], None] = lambda digest: None
        self.before_heartbeat: Callable[[], Awaitable[None]] = _no_operation
        self.reports: Callable[[], tuple[LoadReport, ...]] = lambda: ()
        self._log = ComponentLog("member")
        self._random = random.Random(settings.process.name)
        self._tasks: set[asyncio.Task[None]] = set()
        self._fetching = False
        self._relay = DigestRelay(settings.process.name, self.view, peers)
        self._reported_holder = Address("")
        self._next_pull_at = clock.now() + DIGEST_STALE_SECONDS
        self._interval = MIN_HEARTBEAT_INTERVAL_SECONDS

    async def run(self) -> None:
        """Refresh and send heartbeats until cancelled."""
        await asyncio.gather(self._run_refresh(), self._run_heartbeats())

    async def _run_refresh(self) -> None:
        while True:
            started = clock.now()
            await self.refresh()
            await self._pull_digest_if_stale()
            await asyncio.sleep(_pause_before_next_round(started, REFRESH_SECONDS))

    async def _run_heartbeats(self) -> None:
        while True:
            started = clock.now()
            await self.before_heartbeat()
            await self.send_heartbeat()
            await asyncio.sleep(_pause_before_next_round(started, self._interval))

    def answer_heartbeat(self, data: bytes) -> HeartbeatReply:
        """Return the reply to a heartbeat at a daemon that does not hold a zone."""
        heartbeat = decode_heartbeat(data)
        return HeartbeatReply(
            configuration_version=self.view.adoption.announced_version,
            holder=False,
            holder_address=self.holder_address_for_zone(heartbeat.zone),
        )

    def holder_address_for_zone(self, zone: str) -> Address:
        """Return the address of a zone's holder; empty unless it is the local zone and known."""
        lease = self.view.lease
        return lease.address if lease is not None and zone == self.view.zone else Address("")

    async def refresh(self) -> None:
        """Read the newest configuration's version number and the zone's lease from the table."""
        keys = (table_keys.CONFIGURATION_HEAD_KEY, table_keys.zone_lease_key(self.view.zone))
        asked_at = clock.now()
        outcome = await self.table.read(keys)
        if isinstance(outcome, Unanswered):
            await self._confirm_with_peer()
            return
        head, lease = outcome.rows
        version = head_version(head)
        if version is not None:
            self.view.adoption.record_confirmed_version(version, asked_at)
        known = decode_lease(lease.value)
        if isinstance(known, LeaseRow):
            self.view.lease = known
        await self.fetch_wanted_configuration(None)

    async def _confirm_with_peer(self) -> None:
        """Ask a peer for the committed version while the table is unreachable."""
        addresses = self._peer_addresses(None)
        self._random.shuffle(addresses)
        for address in addresses[:MAX_PEERS_ASKED]:
            if await self._send_heartbeat_to(address, ()):
                return

    async def fetch_wanted_configuration(self, reporter: Address | None) -> None:
        """Fetch and adopt a newer configuration from the table, or from peers if that fails."""
        version = self.view.adoption.version_to_fetch
        if version is None or self._fetching:
            return
        self._fetching = True
        try:
            configuration = await self._fetch_configuration(version, reporter)
        finally:
            self._fetching = False
        if configuration is None:
            return
        if self.view.adoption.adopt_if_newer(configuration, clock.now()):
            self._log.info("Configuration adopted.", version=configuration.version)

    async def _fetch_configuration(
        self, version: int, reporter: Address | None
    ) -> Configuration | None:
        outcome = await self.table.read((table_keys.configuration_document_key(version),))
        if not isinstance(outcome, Unanswered) and outcome.rows[0].value is not None:
            with contextlib.suppress(ConfigurationDecodeError):
                return decode_configuration(outcome.rows[0].value.encode())
        for address in self._peer_addresses(reporter):
            configuration = await self.peers.pull_configuration(address, version)
            if configuration is not None and configuration.version >= version:
                return configuration
        return None

    async def send_heartbeat(self) -> None:
        """Send a heartbeat to the holder, or to a peer if there is none or it does not answer."""
        reports = self.reports()
        for address in self._heartbeat_targets():
            if await self._send_heartbeat_to(address, reports):
                break

    async def _send_heartbeat_to(self, address: Address, reports: tuple[LoadReport, ...]) -> bool:
        heartbeat = Heartbeat(
            member=self.settings.process.name,
            role=self.role,
            zone=self.view.zone,
            address=self.settings.process.peer_address,
            configuration_version=self.view.adoption.version,
            reports=reports,
        )
        asked_at = clock.now()
        reply = await self.peers.push_heartbeat(address, heartbeat)
        if reply is None:
            return False
        self._reported_holder = reply.holder_address or self._reported_holder
        if reply.holder:
            self._interval = reply.interval_seconds
        self.view.adoption.record_confirmed_version(reply.configuration_version, asked_at)
        await self.fetch_wanted_configuration(address)
        return True

    def apply_encoded_digest(self, data: bytes) -> DigestReply:
        """Apply a digest that a peer pushed, call ``on_digest``, and relay it.

        A digest whose directory is unknown here changes nothing. The reply names the known
        directory, so the sender sends the digest again with its directory enclosed.
        """
        digest = decode_digest(data, self.view.tables)
        if digest.zone == self.view.zone and self.view.apply_digest(digest, clock.now()):
            self.on_digest(digest)
            self._spawn(self._relay.forward_digest(digest))
        if self.view.adoption.version_to_fetch is not None:
            self._spawn(self.fetch_wanted_configuration(None))
        return DigestReply(
            self.view.tables.directory_hash,
            self.view.tables.membership_hash,
            self.view.adoption.announced_version,
        )

    def publish_digest(self, digest: ZoneDigest, tables: KnownTables) -> None:
        """Apply this daemon's own digest as the holder, and send it down the relay tree."""
        enclosed = msgspec.structs.replace(
            digest, directory=tables.directory, membership=tables.membership
        )
        if self.view.apply_digest(enclosed, clock.now()):
            self.on_digest(enclosed)
            # The holder sends as the root of the relay tree, but is also one of the members in it.
            # The members below it there get the digest when the relay reaches the holder again.
            self._spawn(self._relay.send_to_children(digest, HOLDER_POSITION))

    async def _pull_digest_if_stale(self) -> None:
        # A new member waits as well: the holder's next digest contains everything, unless
        # there is no holder. Jitter on the pause keeps a zone's members from pulling at once.
        now = clock.now()
        if not self.view.digest_is_stale(now) or now < self._next_pull_at:
            return
        self._next_pull_at = now + DIGEST_STALE_SECONDS * self._random.uniform(*PULL_JITTER)
        await self._pull_digest()

    async def _pull_digest(self) -> None:
        addresses = self._peer_addresses(None)
        self._random.shuffle(addresses)
        for address in addresses:
            data = await self.peers.pull_digest(address)
            if not data:
                continue
            try:
                digest = decode_digest(data, self.view.tables)
            except PeerDecodeError:
                continue
            if digest.zone == self.view.zone or not self.view.tables.directory.workers:
                self._apply_pulled_digest(digest)
                return

    def _apply_pulled_digest(self, digest: ZoneDigest) -> None:
        if digest.directory is None:
            return
        if digest.zone == self.view.zone and not self.view.apply_digest(digest, clock.now()):
            return
        self.on_digest(digest)

    def _heartbeat_targets(self) -> list[Address]:
        targets: list[Address] = []
        holder = self.view.lease.address if self.view.lease is not None else self._reported_holder
        if holder:
            targets.append(holder)
        others = self._peer_addresses(None)
        self._random.shuffle(others)
        return targets + others[:MAX_PEERS_ASKED]

    def _peer_addresses(self, first: Address | None) -> list[Address]:
        known = [entry.address for entry in self.view.tables.membership.members]
        ordered = [
            *([first] if first else []),
            *self.settings.peers.seeds,
            *known[:MAX_KNOWN_MEMBERS_ASKED],
        ]
        own = self.settings.process.peer_address
        return list(dict.fromkeys(address for address in ordered if address != own))

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _no_operation() -> None:
    """Do nothing."""


def _pause_before_next_round(started: float, interval: float) -> float:
    return max(MIN_PAUSE_SECONDS, interval - (clock.now() - started))


def head_version(head: Row) -> int | None:
    """Return the version in the configuration's head row, 0 if the row is absent.

    ``None`` if it is unreadable.
    """
    return parse_unsigned(head.value, MAX_REVISION) if head.value is not None else 0
