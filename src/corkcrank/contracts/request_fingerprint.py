"""Computes a fingerprint of a request's content, by which a repeated request is recognized.

A caller that repeats a request gives it a new id. Path, caller and body stay the same.
"""

from hashlib import blake2b

FINGERPRINT_BYTES = 8
"""Length of a fingerprint. The probability that any two of a million requests collide is 3e-8.
Finding a request that matches a given request of another caller takes some 2^64 attempts."""

_PURPOSE = b"request"


def request_fingerprint(caller: str, target: str, body: bytes) -> str:
    """Return the fingerprint of a request in hex; the request cannot be recovered from it.

    Each part is prefixed with its length, so that different requests never yield the same input.

    >>> request_fingerprint("a", "/bc", b"") == request_fingerprint("ab", "/c", b"")
    False
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES, person=_PURPOSE)
    for part in (caller.encode(), target.encode("utf-8", "surrogateescape"), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
