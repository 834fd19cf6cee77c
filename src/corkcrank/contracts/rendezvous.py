"""Rendezvous hashing: every process that knows the same nodes finds the same owner."""

import xxhash


def rendezvous_weight(key: str, node: str) -> int:
    """Return the hash of ``key`` on ``node``; the node with the highest owns the key.

    >>> max(("a", "b"), key=lambda node: rendezvous_weight("key", node)) in ("a", "b")
    True
    """
    return xxhash.xxh3_64_intdigest(f"{key}\x00{node}".encode())
