"""Keys of the rows that are stored in the platform's table."""

import hashlib

CONFIGURATION_HEAD_KEY = "configuration/head"
"""Key of the row that holds the committed configuration version."""


def configuration_document_key(version: int) -> str:
    """Return the key of the immutable configuration document of a version."""
    return f"configuration/version/{version}"


def plan_key(plan_id: str) -> str:
    """Return the key of a plan."""
    return f"plan/{plan_id}"


def zone_lease_key(zone: str) -> str:
    """Return the key of the lease of a zone."""
    return f"lease/zone/{zone}"


def claim_key(tenant: str, key: str) -> str:
    """Return the key of a claim; the caller's idempotency key is hashed, so any text is valid.

    >>> claim_key("a", "x") != claim_key("ax", "")
    True
    """
    return f"claim/{tenant}/{hashlib.sha256(key.encode()).hexdigest()[:40]}"
