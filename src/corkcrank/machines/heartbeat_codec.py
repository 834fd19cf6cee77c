"""Heartbeats as datagrams: packed, compressed, and never longer than a datagram may be.

What a heartbeat tells of loads grows with a member's work. If it does not fit, the least
needed goes first: prefixes, then calls in flight, the smallest counts first; a member that
is not heard at all would be taken for dead.
"""

import zlib

import msgspec

from corkcrank.links.datagrams import MAXIMUM_DATAGRAM_BYTES
from corkcrank.machines.heartbeat import Heartbeat

COMPRESSION_LEVEL = 1
"""Ids are most of a heartbeat; higher levels save one byte in a hundred more."""

MAXIMUM_HEARTBEAT_BYTES = 65_536
"""Longest heartbeat that is unpacked."""

ALWAYS_PACKED = Heartbeat.__struct_fields__.index("trials")
"""Fields that are packed whatever they tell; those behind them tell of what is rare."""

_decoder = msgspec.msgpack.Decoder(Heartbeat)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return a datagram; what does not fit is left out.

    >>> beat = Heartbeat("n", 1, "z", "10.0.0.1:1", 1, 0.25)
    >>> decode_heartbeat(encode_heartbeat(beat)) == beat
    True
    """
    data = _pack(heartbeat)
    while len(data) > MAXIMUM_DATAGRAM_BYTES:
        shorter = _shortened(heartbeat)
        if shorter == heartbeat:
            break
        heartbeat, data = shorter, _pack(shorter)
    return data


def decode_heartbeat(data: bytes) -> Heartbeat | None:
    """Return the heartbeat of a datagram, or ``None`` for anything else."""
    unpacker = zlib.decompressobj()
    try:
        return _decoder.decode(unpacker.decompress(data, MAXIMUM_HEARTBEAT_BYTES))
    except (zlib.error, msgspec.DecodeError):
        return None


def _pack(heartbeat: Heartbeat) -> bytes:
    """Pack the fields in order, without the last ones where they tell nothing.

    Each byte of a heartbeat is sent to every member.
    """
    fields = msgspec.structs.astuple(heartbeat)
    while len(fields) > ALWAYS_PACKED and not fields[-1]:
        fields = fields[:-1]
    return zlib.compress(msgspec.msgpack.encode(fields), COMPRESSION_LEVEL)


def _shortened(heartbeat: Heartbeat) -> Heartbeat:
    """Return a heartbeat that tells half of what is needed least, the newest or largest."""
    if heartbeat.prefixes:
        kept = heartbeat.prefixes[(len(heartbeat.prefixes) + 1) // 2 :]
        return msgspec.structs.replace(heartbeat, prefixes=kept)
    if heartbeat.call_loads:
        largest = sorted(heartbeat.call_loads, key=lambda load: load.in_flight, reverse=True)
        return msgspec.structs.replace(heartbeat, call_loads=tuple(largest[: len(largest) // 2]))
    if heartbeat.worker_changes is not None:
        return msgspec.structs.replace(heartbeat, worker_changes=None)
    return msgspec.structs.replace(heartbeat, stage_loads=heartbeat.stage_loads[1:])
