"""Rendezvous hashing: every process that knows the same nodes finds the same owner."""

import math

import xxhash

_HASH_RANGE = float(1 << 64)


def rendezvous_weight(key: str, node: str) -> int:
    """Return the hash of ``key`` on ``node``; the node with the highest owns the key.

    >>> max(("a", "b"), key=lambda node: rendezvous_weight("key", node)) in ("a", "b")
    True
    """
    return xxhash.xxh3_64_intdigest(f"{key}\x00{node}".encode())


def weighted_rendezvous(key: str, node: str, weight: float) -> float:
    """Return a score whose highest holder owns the key; shares follow the weights.

    >>> scores = {node: weighted_rendezvous("key", node, 1.0) for node in ("a", "b")}
    >>> max(scores, key=scores.get) in ("a", "b")
    True
    """
    uniform = (rendezvous_weight(key, node) + 0.5) / _HASH_RANGE
    return -weight / math.log(uniform)
