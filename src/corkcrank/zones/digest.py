"""Digest of a zone: the loads and members that one controller sends to the whole zone.

The directory (back ends and their addresses) and the membership (live daemons) change some
hundred times a day; each is sent only to members that lack it. Loads change every second and
refer to the directory by index.
"""

from collections.abc import Sequence

import msgspec
import xxhash

from corkcrank.contracts.identifiers import Address, MemberId, WorkerId
from corkcrank.contracts.messages import WorkerEntry

RELAY_FANOUT = 2
"""Number of members to which each member relays a digest."""


class MemberEntry(msgspec.Struct, frozen=True, order=True):
    """A live daemon of a zone."""

    member: MemberId
    role: str
    address: Address


class Directory(msgspec.Struct, frozen=True):
    """The workers of every zone, in a fixed order."""

    workers: tuple[WorkerEntry, ...] = ()
    list_version: int = 0


class Membership(msgspec.Struct, frozen=True):
    """The live daemons of one zone, in the order of the relay tree."""

    members: tuple[MemberEntry, ...] = ()


class WorkerLoad(msgspec.Struct, frozen=True):
    """One worker's load as reported to gateways.

    ``boot`` identifies the incarnation that is leaving; it is empty for one that is not.
    """

    worker: WorkerId
    running: int
    waiting: int
    slots: int
    models: tuple[str, ...] = ()
    leaving: bool = False
    boot: str = ""


class ZoneDigest(msgspec.Struct, frozen=True):
    """State of one zone, sent every second.

    ``directory`` and ``membership`` are absent if the receiver has them.
    """

    zone: str
    fence: int
    sequence: int
    configuration_version: int
    directory_hash: int
    gateways: int
    membership_hash: int
    loads: tuple[WorkerLoad, ...]
    directory: Directory | None = None
    membership: Membership | None = None

    @property
    def order_key(self) -> tuple[int, int]:
        """Return the key by which a newer digest of the zone supersedes an older one."""
        return (self.fence, self.sequence)


def content_hash(content: Directory | Membership) -> int:
    """Return a 64-bit content hash that identifies a directory or a membership."""
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(content))


def relay_targets(
    members: Sequence[MemberEntry], position: int, width: int = RELAY_FANOUT
) -> tuple[int, ...]:
    """Return the positions to which the member at ``position`` relays a digest.

    Position -1 is the holder, the root of the tree.

    >>> members = [MemberEntry(MemberId(str(i)), "gateway", Address("")) for i in range(7)]
    >>> relay_targets(members, -1, width=2), relay_targets(members, 0, width=2)
    ((0, 1), (2, 3))
    """
    first = (position + 1) * width
    return tuple(range(first, min(first + width, len(members))))
