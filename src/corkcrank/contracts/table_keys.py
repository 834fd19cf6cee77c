"""Names of the rows kept in the platform's table."""

import hashlib

CONFIGURATION_HEAD = "configuration/head"
"""Row that holds the committed version number."""


def configuration_document(version: int) -> str:
    """Return the key of an immutable configuration document."""
    return f"configuration/version/{version}"


def plan(plan_id: str) -> str:
    """Return the key of a plan."""
    return f"plan/{plan_id}"


def zone_lease(zone: str) -> str:
    """Return the key of a zone's lease."""
    return f"lease/zone/{zone}"


def claim(tenant: str, key: str) -> str:
    """Return the key of a claim; the caller's key is hashed, so any text is safe.

    >>> claim("a", "x") != claim("ax", "")
    True
    """
    return f"claim/{tenant}/{hashlib.sha256(key.encode()).hexdigest()[:40]}"
