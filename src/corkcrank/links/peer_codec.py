"""Packed Cap'n Proto encoding of messages between corkcrank processes."""

import functools
from collections.abc import Callable
from importlib.resources import files
from typing import Any, ParamSpec, TypeVar

import capnp
import xxhash

from corkcrank.contracts.identifiers import Address, MemberId, WorkerId
from corkcrank.contracts.messages import LoadReport, WorkerEntry
from corkcrank.zones.digest import Directory, MemberEntry, Membership, WorkerLoad, ZoneDigest
from corkcrank.zones.peer_messages import (
    DigestReply,
    Enclosures,
    Heartbeat,
    HeartbeatReply,
    KnownTables,
)

capnp.remove_import_hook()
_SCHEMA: Any = capnp.load(str(files("corkcrank.links").joinpath("peer.capnp")))

_ArgumentsT = ParamSpec("_ArgumentsT")
_MessageT = TypeVar("_MessageT")

MAX_COUNT = 65_535
"""Maximum value of a load counter on the wire."""

CHECKSUM_BYTES = 8
"""Length of the checksum before each message."""

MAX_TRAVERSAL_WORDS = 1 << 20
"""Maximum number of words that decoding one message may traverse."""


class PeerDecodeError(Exception):
    """A peer's message that cannot be decoded."""


def _encode_with_checksum(message: Any) -> bytes:
    """Return a message's packed bytes, preceded by their checksum."""
    packed = bytes(message.to_bytes_packed())
    return xxhash.xxh3_64_digest(packed) + packed


def _decode_checked(struct: Any, data: bytes) -> Any:
    """Return the message in ``data`` after verification of its checksum.

    The checksum is verified first, because the unpacker of the library aborts the whole
    process on some damaged messages.
    """
    checksum, packed = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
    if not packed or xxhash.xxh3_64_digest(packed) != checksum:
        raise PeerDecodeError("the checksum does not match")
    try:
        return struct.from_bytes_packed(packed, traversal_limit_in_words=MAX_TRAVERSAL_WORDS)
    except (capnp.KjException, ValueError) as error:
        raise PeerDecodeError(str(error)) from error


def _raise_decode_errors(
    decode: Callable[_ArgumentsT, _MessageT],
) -> Callable[_ArgumentsT, _MessageT]:
    """Convert library errors, which any field may raise, to :class:`PeerDecodeError`."""

    @functools.wraps(decode)
    def decode_or_raise(*arguments: _ArgumentsT.args, **named: _ArgumentsT.kwargs) -> _MessageT:
        try:
            return decode(*arguments, **named)
        except (capnp.KjException, ValueError) as error:
            raise PeerDecodeError(str(error)) from error

    return decode_or_raise


def _clip(count: int) -> int:
    return max(0, min(MAX_COUNT, count))


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return the packed form of a heartbeat."""
    message = _SCHEMA.Heartbeat.new_message(
        member=heartbeat.member,
        role=heartbeat.role,
        zone=heartbeat.zone,
        address=heartbeat.address,
        configurationVersion=heartbeat.configuration_version,
    )
    reports = message.init("reports", len(heartbeat.reports))
    for target, report in zip(reports, heartbeat.reports, strict=True):
        target.worker = report.worker
        target.boot = report.boot
        target.leaving = report.leaving
        target.running = _clip(report.running)
        target.waiting = _clip(report.waiting)
        target.slots = _clip(report.slots)
        target.models = list(report.models)
        target.fence = report.fence
    return _encode_with_checksum(message)


@_raise_decode_errors
def decode_heartbeat(data: bytes) -> Heartbeat:
    """Return the heartbeat in ``data``; raises :class:`PeerDecodeError`."""
    message = _decode_checked(_SCHEMA.Heartbeat, data)
    return Heartbeat(
        member=MemberId(message.member),
        role=message.role,
        zone=message.zone,
        address=Address(message.address),
        configuration_version=message.configurationVersion,
        reports=tuple(_decode_report(report) for report in message.reports),
    )


def _decode_report(report: Any) -> LoadReport:
    return LoadReport(
        worker=WorkerId(report.worker),
        leaving=report.leaving,
        running=report.running,
        waiting=report.waiting,
        slots=report.slots,
        boot=report.boot,
        models=tuple(report.models),
        fence=report.fence,
    )


def encode_heartbeat_reply(reply: HeartbeatReply) -> bytes:
    """Return the packed form of a heartbeat's reply."""
    message = _SCHEMA.HeartbeatReply.new_message(
        configurationVersion=reply.configuration_version,
        holder=reply.holder,
        intervalMs=round(reply.interval_seconds * 1000),
        holderAddress=reply.holder_address,
    )
    return _encode_with_checksum(message)


@_raise_decode_errors
def decode_heartbeat_reply(data: bytes) -> HeartbeatReply:
    """Return the reply in ``data``; raises :class:`PeerDecodeError`."""
    message = _decode_checked(_SCHEMA.HeartbeatReply, data)
    return HeartbeatReply(
        message.configurationVersion,
        message.holder,
        message.intervalMs / 1000,
        Address(message.holderAddress),
    )


def encode_digest_reply(reply: DigestReply) -> bytes:
    """Return the packed form of a digest's reply."""
    message = _SCHEMA.DigestReply.new_message(
        directoryHash=reply.directory_hash,
        membershipHash=reply.membership_hash,
        configurationVersion=reply.configuration_version,
    )
    return _encode_with_checksum(message)


@_raise_decode_errors
def decode_digest_reply(data: bytes) -> DigestReply:
    """Return the reply in ``data``; raises :class:`PeerDecodeError`."""
    message = _decode_checked(_SCHEMA.DigestReply, data)
    return DigestReply(message.directoryHash, message.membershipHash, message.configurationVersion)


def encode_digest(digest: ZoneDigest, tables: KnownTables, enclosures: Enclosures) -> bytes:
    """Return the packed form of a digest.

    Each load identifies its worker by an index into the directory in ``tables``. ``enclosures``
    selects which tables are sent along.
    """
    message = _SCHEMA.ZoneDigest.new_message(
        zone=digest.zone,
        fence=digest.fence,
        sequence=digest.sequence,
        configurationVersion=digest.configuration_version,
        directoryHash=digest.directory_hash,
        membershipHash=digest.membership_hash,
        gateways=_clip(digest.gateways),
    )
    names = sorted({model for load in digest.loads for model in load.models})[:16]
    message.modelNames = names
    _fill_loads(message, digest, tables.directory, names)
    if enclosures.directory:
        _fill_directory(message.init("directory"), tables.directory)
    if enclosures.membership:
        _fill_membership(message.init("membership"), tables.membership)
    return _encode_with_checksum(message)


def _fill_loads(message: Any, digest: ZoneDigest, directory: Directory, names: list[str]) -> None:
    """Write the loads of a digest to its message.

    Workers that are not in ``directory`` are left out. A worker's models are a bit mask of 16
    bits over ``names``; a model that is not among these 16 names is left out.
    """
    index = {entry.worker: number for number, entry in enumerate(directory.workers)}
    known = [load for load in digest.loads if load.worker in index]
    bits = {name: 1 << number for number, name in enumerate(names)}
    loads = message.init("loads", len(known))
    for target, load in zip(loads, known, strict=True):
        target.index = index[load.worker]
        target.running = _clip(load.running)
        target.waiting = _clip(load.waiting)
        target.slots = _clip(load.slots)
        target.models = sum(bits.get(model, 0) for model in load.models)
        target.leaving = load.leaving
        if load.boot:
            target.boot = load.boot


def _fill_directory(target: Any, directory: Directory) -> None:
    target.listVersion = directory.list_version
    workers = target.init("workers", len(directory.workers))
    for row, worker in zip(workers, directory.workers, strict=True):
        row.worker = worker.worker
        row.service = worker.service
        row.zone = worker.zone
        row.address = worker.address
        row.boot = worker.boot
        row.leaving = worker.leaving


def _fill_membership(target: Any, membership: Membership) -> None:
    members = target.init("members", len(membership.members))
    for row, member in zip(members, membership.members, strict=True):
        row.member = member.member
        row.role = member.role
        row.address = member.address


@_raise_decode_errors
def decode_digest(data: bytes, tables: KnownTables) -> ZoneDigest:
    """Return the digest in ``data``, decoded against the known tables.

    Loads are omitted if the digest refers to a directory that is neither enclosed nor known;
    the hash in the reply then requests it from the sender. Raises :class:`PeerDecodeError`.
    """
    message = _decode_checked(_SCHEMA.ZoneDigest, data)
    enclosed = _decode_directory(message.directory) if message._has("directory") else None
    directory = enclosed
    if directory is None and message.directoryHash == tables.directory_hash:
        directory = tables.directory
    loads = _decode_loads(message, directory) if directory is not None else ()
    return ZoneDigest(
        zone=message.zone,
        fence=message.fence,
        sequence=message.sequence,
        configuration_version=message.configurationVersion,
        directory_hash=message.directoryHash,
        membership_hash=message.membershipHash,
        gateways=message.gateways,
        loads=loads,
        directory=enclosed,
        membership=_decode_membership(message),
    )


def _decode_loads(message: Any, directory: Directory) -> tuple[WorkerLoad, ...]:
    names = tuple(message.modelNames)
    return tuple(
        WorkerLoad(
            worker=directory.workers[load.index].worker,
            running=load.running,
            waiting=load.waiting,
            slots=load.slots,
            models=_decode_models(load.models, names),
            leaving=load.leaving,
            boot=load.boot,
        )
        for load in message.loads
        if load.index < len(directory.workers)
    )


def _decode_models(mask: int, names: tuple[str, ...]) -> tuple[str, ...]:
    if not mask:
        return ()
    return tuple(name for number, name in enumerate(names) if mask >> number & 1)


def _decode_directory(message: Any) -> Directory:
    return Directory(
        workers=tuple(
            WorkerEntry(
                worker=WorkerId(row.worker),
                service=row.service,
                zone=row.zone,
                address=row.address,
                boot=row.boot,
                leaving=row.leaving,
            )
            for row in message.workers
        ),
        list_version=message.listVersion,
    )


def _decode_membership(message: Any) -> Membership | None:
    if not message._has("membership"):
        return None
    return Membership(
        tuple(
            MemberEntry(MemberId(row.member), row.role, Address(row.address))
            for row in message.membership.members
        )
    )
