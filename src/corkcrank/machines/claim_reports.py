"""Datagrams that bring a refused caller's claim to the gateway that keeps it."""

import msgspec

from corkcrank.scheduling.return_claims import ReturnClaim

DATAGRAM_TAG = b"R1"
"""First bytes of a datagram with a claim. Heartbeats are compressed and begin otherwise; a gateway
of a release that does not know these datagrams ignores them."""

_decoder = msgspec.msgpack.Decoder(ReturnClaim)


def encode_claim(claim: ReturnClaim) -> bytes:
    """Return the datagram that holds a claim.

    >>> claim = ReturnClaim(bytes(8), "t", (0, 1), (), 0.5)
    >>> decode_claim(encode_claim(claim)) == claim
    True
    """
    return DATAGRAM_TAG + msgspec.msgpack.encode(claim)


def is_claim(data: bytes) -> bool:
    """Return whether a datagram should hold a claim."""
    return data.startswith(DATAGRAM_TAG)


def decode_claim(data: bytes) -> ReturnClaim | None:
    """Return the claim of a datagram, ``None`` if it is malformed.

    >>> decode_claim(b"x") is None, decode_claim(DATAGRAM_TAG + b"x") is None
    (True, True)
    """
    if not is_claim(data):
        return None
    try:
        return _decoder.decode(data[len(DATAGRAM_TAG) :])
    except (msgspec.DecodeError, RecursionError):
        return None
