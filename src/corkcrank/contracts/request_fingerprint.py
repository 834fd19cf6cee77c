"""Computes fingerprints of requests and of the prompt parts that several requests share.

A caller that repeats a request gives it a new id. Path, caller and body stay the same.
"""

from hashlib import blake2b

FINGERPRINT_BYTES = 8
"""Length of a fingerprint. The probability that any two of a million requests collide is 3e-8.
Finding a request that matches a given request of another caller takes some 2^64 attempts."""

_REQUEST = b"request"
_PART = b"part"


def request_fingerprint(caller: str, target: str, body: bytes) -> str:
    """Return the fingerprint of a request in hex; the request cannot be recovered from it.

    Each part is prefixed with its length, so that different requests never yield the same input.

    >>> request_fingerprint("a", "/bc", b"") == request_fingerprint("ab", "/c", b"")
    False
    """
    return _digest(_REQUEST, caller.encode(), target.encode("utf-8", "surrogateescape"), body)


def part_fingerprint(service: str, model: str, part_id: str) -> str:
    """Return the fingerprint of a part of prompts, as a service's engines read it for a model.

    Callers are no part of it: what a part does to an engine does not depend on who sends it.

    >>> part_fingerprint("s", "m", "5c1e") == part_fingerprint("s", "n", "5c1e")
    False
    """
    names = (name.encode("utf-8", "surrogateescape") for name in (service, model, part_id))
    return _digest(_PART, *names)


def _digest(purpose: bytes, *fields: bytes) -> str:
    digest = blake2b(digest_size=FINGERPRINT_BYTES, person=purpose)
    for field in fields:
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.hexdigest()
