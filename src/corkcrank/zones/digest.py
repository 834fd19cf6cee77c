"""A zone's digest: the loads and members that one controller tells a whole zone.

The directory (who exists, and where) changes some hundred times a day and is sent only
to members that lack it; loads change every second and refer to it by index.
"""

from collections.abc import Sequence

import msgspec
import xxhash

from corkcrank.contracts.identifiers import Address, MemberId, WorkerId
from corkcrank.contracts.messages import WorkerEntry

RELAY_WIDTH = 4
"""Members to which each member passes a digest on."""


class MemberEntry(msgspec.Struct, frozen=True, order=True):
    """A live daemon of a zone."""

    member: MemberId
    role: str
    address: Address


class Directory(msgspec.Struct, frozen=True):
    """The workers of every zone and the daemons of one, in a fixed order."""

    workers: tuple[WorkerEntry, ...] = ()
    members: tuple[MemberEntry, ...] = ()
    list_version: int = 0


class WorkerLoad(msgspec.Struct, frozen=True):
    """One worker's load as told to gateways."""

    worker: WorkerId
    running: int
    waiting: int
    slots: int
    models: tuple[str, ...] = ()
    leaving: bool = False


class ZoneDigest(msgspec.Struct, frozen=True):
    """One second's news for one zone; ``directory`` is absent when the receiver has it."""

    zone: str
    fence: int
    sequence: int
    configuration_version: int
    directory_hash: int
    gateways: int
    loads: tuple[WorkerLoad, ...]
    directory: Directory | None = None

    @property
    def order_key(self) -> tuple[int, int]:
        """Return the key by which a newer digest of the zone supersedes an older one."""
        return (self.fence, self.sequence)


def hash_directory(directory: Directory) -> int:
    """Return a 64-bit content hash that names the directory."""
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(directory))


def relay_targets(
    members: Sequence[MemberEntry], position: int, width: int = RELAY_WIDTH
) -> tuple[int, ...]:
    """Return the positions to which the member at ``position`` passes a digest on.

    Position -1 is the holder, the root of the tree.

    >>> members = [MemberEntry(MemberId(str(i)), "gateway", Address("")) for i in range(7)]
    >>> relay_targets(members, -1, width=2), relay_targets(members, 0, width=2)
    ((0, 1), (2, 3))
    """
    first = (position + 1) * width
    return tuple(range(first, min(first + width, len(members))))
