"""Leases: one holder per scope, with a fence number that only rises.

The row in the table is authoritative. Times are read from the holder's local clock *before* the
renewal is sent, so the holder expects its lease to expire earlier than any other process does. A
candidate waits until the row was unchanged for the whole duration plus
:data:`MAX_ORDER_FLIGHT_SECONDS`; clocks of different processes are never compared.
"""

from dataclasses import dataclass

import msgspec

from corkcrank.contracts.bounded_values import Revision
from corkcrank.contracts.identifiers import Address, MemberId
from corkcrank.links.platform_ports import Unreadable
from corkcrank.links.strict_json import decode_strictly

LEASE_SECONDS = 3.0
"""Duration of a lease."""

RENEWAL_INTERVAL_SECONDS = 1.0
"""Time between renewals."""

MAX_ORDER_FLIGHT_SECONDS = 1.0
"""Maximum transit time of an order; the next holder waits this long before it takes over."""


class LeaseRow(msgspec.Struct, frozen=True):
    """The lease's row in the table; an empty ``holder`` marks a released lease."""

    holder: MemberId
    address: Address
    fence: Revision
    renewal: Revision


def decode_lease(value: str | None) -> LeaseRow | Unreadable | None:
    """Return the lease of a row's value, ``None`` if there is no row, or why it is unreadable.

    The fence of an unreadable one is unknown, so it must not be taken for an absent one.
    """
    return None if value is None else decode_strictly(value.encode(), LeaseRow)


@dataclass(frozen=True, slots=True)
class ZoneLease:
    """A zone's lease as last read."""

    zone: str
    row: LeaseRow


@dataclass(frozen=True, slots=True)
class WriteLease:
    """A write of ``row`` on condition that the table still has ``expected_revision``."""

    row: LeaseRow
    expected_revision: int


class Lease:
    """One process's view of one scope's lease."""

    def __init__(self, scope: str, member: MemberId, address: Address) -> None:
        self.scope = scope
        self.member = member
        self.address = address
        self.row: LeaseRow | None = None
        self.revision = 0
        self.held_until = 0.0
        self._unchanged_since: float | None = None

    def holds(self, now: float, margin: float = 0.0) -> bool:
        """Return whether this process holds the lease for at least ``margin`` more seconds."""
        return self.row is not None and self._is_local() and now + margin < self.held_until

    @property
    def fence(self) -> int:
        """Return the fence number of the row last read; zero if there was none."""
        return self.row.fence if self.row is not None else 0

    def record_row(self, row: LeaseRow | None, revision: int, now: float) -> None:
        """Record the row as read from the table or returned with a conflict."""
        # The row may stem from a local renewal whose answer was lost. Its send time is no longer
        # known, so it does not extend the lease; the next renewal does.
        if revision != self.revision or self._unchanged_since is None:
            self._unchanged_since = now
        self.row = row
        self.revision = revision

    def next_write(self, now: float) -> WriteLease | None:
        """Return the renewal or takeover to write now, or ``None``."""
        if self._unchanged_since is None:
            return None
        if self.row is None:
            return self._claim(fence=1)
        if self._is_local() and now < self.held_until:
            return self._renewal()
        if not self.row.holder:
            return self._claim(fence=self.row.fence + 1)
        # The wait also applies to an expired local lease: orders under its fence may still be
        # in flight, sent by an earlier process of the same name.
        quiet_since = max(self._unchanged_since, self.held_until - LEASE_SECONDS)
        if now - quiet_since < LEASE_SECONDS + MAX_ORDER_FLIGHT_SECONDS:
            return None
        return self._claim(fence=self.row.fence + 1)

    def release(self) -> WriteLease | None:
        """Return the write that releases the lease, or ``None`` if this member does not hold it.

        Only for a holder that sends no more orders: the next holder does not wait.
        """
        if self.row is None or not self._is_local():
            return None
        row = LeaseRow(MemberId(""), Address(""), self.row.fence, self.row.renewal + 1)
        return WriteLease(row, self.revision)

    def record_write(self, write: WriteLease, revision: int, sent_at: float) -> None:
        """Record that the table committed ``write``, which was sent at ``sent_at``."""
        self.row = write.row
        self.revision = revision
        self.held_until = sent_at + LEASE_SECONDS
        self._unchanged_since = sent_at

    def _is_local(self) -> bool:
        return self.row is not None and self.row.holder == self.member

    def _claim(self, fence: int) -> WriteLease:
        row = LeaseRow(self.member, self.address, fence, renewal=0)
        return WriteLease(row, self.revision)

    def _renewal(self) -> WriteLease:
        assert self.row is not None
        row = LeaseRow(self.member, self.address, self.row.fence, self.row.renewal + 1)
        return WriteLease(row, self.revision)
