"""State of one daemon as a member of its zone, and decisions on it. Does no I/O."""

import dataclasses

from corkcrank.contracts.adoption import ConfigurationAdoption
from corkcrank.machines.leases import LeaseRow
from corkcrank.zones.digest import ZoneDigest
from corkcrank.zones.peer_messages import DigestReply, Enclosures, KnownTables

DIGEST_STALE_SECONDS = 3.0
"""Age of the last digest after which a member asks a peer for one."""


class MemberView:
    """State of a zone as one member knows it."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.adoption = ConfigurationAdoption()
        self.tables = KnownTables()
        self.digest: ZoneDigest | None = None
        self.digest_at: float | None = None
        self.lease: LeaseRow | None = None

    @property
    def gateways(self) -> int:
        """Return the number of live gateways in all zones, at least one."""
        return max(1, self.digest.gateways) if self.digest is not None else 1

    def apply_digest(self, digest: ZoneDigest, now: float) -> bool:
        """Apply a digest unless it is older than the known one; return whether it was applied."""
        self.adoption.record_announced_version(digest.configuration_version)
        if self.digest is not None and digest.order_key < self.digest.order_key:
            return False
        self._apply_tables(digest)
        if digest.directory_hash != self.tables.directory_hash:
            return False
        self.digest = digest
        self.digest_at = now
        return True

    def _apply_tables(self, digest: ZoneDigest) -> None:
        if digest.directory is not None:
            self.tables = dataclasses.replace(
                self.tables, directory=digest.directory, directory_hash=digest.directory_hash
            )
        if digest.membership is not None:
            self.tables = dataclasses.replace(
                self.tables, membership=digest.membership, membership_hash=digest.membership_hash
            )

    def missing_enclosures(self, reply: DigestReply, digest: ZoneDigest) -> Enclosures:
        """Return the tables that the receiver of a digest lacks, by its reply."""
        return Enclosures(
            directory=reply.directory_hash != digest.directory_hash,
            membership=reply.membership_hash != digest.membership_hash,
        )

    def digest_is_stale(self, now: float) -> bool:
        """Return whether the last digest is too old to wait for the next one."""
        return self.digest_at is None or now - self.digest_at > DIGEST_STALE_SECONDS

    def relay_position(self, member: str) -> int | None:
        """Return the member's position in the relay tree, or ``None`` if it is not listed."""
        for number, entry in enumerate(self.tables.membership.members):
            if entry.member == member:
                return number
        return None
