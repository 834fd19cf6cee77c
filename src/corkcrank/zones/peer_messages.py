"""Messages between the system's own processes; :mod:`corkcrank.links.peer_codec` encodes them."""

from dataclasses import dataclass, field

import msgspec

from corkcrank.contracts.identifiers import Address, MemberId
from corkcrank.contracts.messages import LoadReport
from corkcrank.zones.digest import Directory, Membership


class Heartbeat(msgspec.Struct, frozen=True):
    """A daemon's sign of life to its zone's holder, with the workers it polled."""

    member: MemberId
    role: str
    zone: str
    address: Address
    configuration_version: int
    reports: tuple[LoadReport, ...] = ()


class HeartbeatReply(msgspec.Struct, frozen=True):
    """The receiver's committed configuration version, and whether it holds the zone.

    ``interval_seconds`` is the pace that the holder asks of this member. A receiver that
    is not the holder names it in ``holder_address``, if it is of the same zone and knows.
    """

    configuration_version: int
    holder: bool
    interval_seconds: float = 1.0
    holder_address: Address = Address("")


class DigestReply(msgspec.Struct, frozen=True):
    """What the receiver of a digest holds."""

    directory_hash: int
    membership_hash: int
    configuration_version: int


@dataclass(frozen=True, slots=True)
class KnownTables:
    """The directory and membership that one side holds, with their hashes."""

    directory: Directory = field(default_factory=Directory)
    directory_hash: int = 0
    membership: Membership = field(default_factory=Membership)
    membership_hash: int = 0


@dataclass(frozen=True, slots=True)
class Enclosures:
    """What a digest is sent with."""

    directory: bool = False
    membership: bool = False
