"""Encodes heartbeats as datagrams: packed, compressed, and never above the datagram limit.

The loads in a heartbeat grow with a member's work. If it does not fit, the least needed data
is dropped first: prefixes, then calls in flight, the smallest counts first. A member whose
heartbeats do not arrive at all would be suspected as dead.
"""

import zlib

import msgspec

from corkcrank.contracts.socket_addresses import parse_member_address
from corkcrank.links.datagrams import MAX_DATAGRAM_BYTES
from corkcrank.machines.heartbeat import Heartbeat

COMPRESSION_LEVEL = 1
"""Compression level of zlib. Ids are most of a heartbeat; higher levels save 1 more byte in 100."""

MAX_HEARTBEAT_BYTES = 65_536
"""Most bytes to which a received heartbeat is decompressed."""

MIN_PACKED_FIELDS = Heartbeat.__struct_fields__.index("trials")
"""Number of leading fields that are always packed; the fields after them are rarely set."""

_decoder = msgspec.msgpack.Decoder(Heartbeat)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return a heartbeat as a datagram, without the data that does not fit.

    >>> beat = Heartbeat("n", 1, "z", "10.0.0.1:1", 1, 0.25)
    >>> decode_heartbeat(encode_heartbeat(beat)) == beat
    True
    """
    data = _pack(heartbeat)
    while len(data) > MAX_DATAGRAM_BYTES:
        shorter = _reduced(heartbeat)
        if shorter == heartbeat:
            break
        heartbeat, data = shorter, _pack(shorter)
    return data


def decode_heartbeat(data: bytes) -> Heartbeat | None:
    """Return the heartbeat of a datagram, or ``None`` for anything else.

    Heartbeats and requests go to the address that a member states, so it must be one.
    """
    unpacker = zlib.decompressobj()
    try:
        heartbeat = _decoder.decode(unpacker.decompress(data, MAX_HEARTBEAT_BYTES))
    except (zlib.error, msgspec.DecodeError, RecursionError):
        return None
    return heartbeat if parse_member_address(heartbeat.address) is not None else None


def _pack(heartbeat: Heartbeat) -> bytes:
    """Pack the fields in order, without trailing fields that are empty.

    Each byte of a heartbeat is sent to every member, so bytes that say nothing are left out.
    """
    fields = msgspec.structs.astuple(heartbeat)
    while len(fields) > MIN_PACKED_FIELDS and not fields[-1]:
        fields = fields[:-1]
    return zlib.compress(msgspec.msgpack.encode(fields), COMPRESSION_LEVEL)


def _reduced(heartbeat: Heartbeat) -> Heartbeat:
    """Return a heartbeat with half of its least needed data, the newest or largest half."""
    if heartbeat.prefixes:
        kept = heartbeat.prefixes[(len(heartbeat.prefixes) + 1) // 2 :]
        return msgspec.structs.replace(heartbeat, prefixes=kept)
    if heartbeat.call_loads:
        largest = sorted(heartbeat.call_loads, key=lambda load: load.in_flight, reverse=True)
        return msgspec.structs.replace(heartbeat, call_loads=tuple(largest[: len(largest) // 2]))
    if heartbeat.worker_changes is not None:
        return msgspec.structs.replace(heartbeat, worker_changes=None)
    return msgspec.structs.replace(heartbeat, stage_loads=heartbeat.stage_loads[1:])
