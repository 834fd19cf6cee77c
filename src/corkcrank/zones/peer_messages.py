"""Messages between corkcrank processes; :mod:`corkcrank.links.peer_codec` encodes them."""

from dataclasses import dataclass, field

import msgspec

from corkcrank.contracts.identifiers import Address, MemberId
from corkcrank.contracts.messages import LoadReport
from corkcrank.zones.digest import Directory, Membership


class Heartbeat(msgspec.Struct, frozen=True):
    """A daemon's heartbeat to its zone's holder, with reports of the workers it polled."""

    member: MemberId
    role: str
    zone: str
    address: Address
    configuration_version: int
    reports: tuple[LoadReport, ...] = ()


class HeartbeatReply(msgspec.Struct, frozen=True):
    """The receiver's committed configuration version, and whether it is the zone's holder.

    ``interval_seconds`` is the heartbeat interval that the holder requests from this member. A
    receiver of the same zone that is not the holder sets ``holder_address``, if known.
    """

    configuration_version: int
    holder: bool
    interval_seconds: float = 1.0
    holder_address: Address = Address("")


class DigestReply(msgspec.Struct, frozen=True):
    """Hashes and version that the receiver of a digest has."""

    directory_hash: int
    membership_hash: int
    configuration_version: int


@dataclass(frozen=True, slots=True)
class KnownTables:
    """Directory and membership that one side has, with their hashes."""

    directory: Directory = field(default_factory=Directory)
    directory_hash: int = 0
    membership: Membership = field(default_factory=Membership)
    membership_hash: int = 0


@dataclass(frozen=True, slots=True)
class Enclosures:
    """Tables that are enclosed in a digest."""

    directory: bool = False
    membership: bool = False
