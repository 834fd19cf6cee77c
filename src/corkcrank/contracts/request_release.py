"""Defines the operator's request to release a quarantined request.

The operator sends it to any node, which reports the release to all others.
"""

import re

import msgspec

from corkcrank.contracts.request_fingerprint import FINGERPRINT_BYTES

RELEASE_REQUEST_PATH = "/requests/release"
"""Path to which a fingerprint is sent, in hex, as the body."""

_FINGERPRINT = re.compile(f"[0-9a-f]{{{2 * FINGERPRINT_BYTES}}}")


class ReleaseAnswer(msgspec.Struct, frozen=True):
    """The request's quarantine state at the node before and after the release."""

    request: str
    before: str
    state: str


def is_fingerprint(text: str) -> bool:
    """Return whether a text is a request's fingerprint in the form used in logs.

    >>> is_fingerprint("5f0c2d9e81a3b764"), is_fingerprint("5f0c")
    (True, False)
    """
    return _FINGERPRINT.fullmatch(text) is not None
