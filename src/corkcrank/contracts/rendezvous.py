"""Rendezvous hashing: processes with the same node list choose the same owner for a key."""

import math
from collections.abc import Sequence

import xxhash

HASH_RANGE = float(1 << 64)
"""Upper bound of the hashes."""


def rendezvous_hash(key: str, node: str) -> int:
    """Return the hash of ``key`` with ``node``; the node with the highest hash owns the key.

    >>> max(("a", "b"), key=lambda node: rendezvous_hash("key", node)) in ("a", "b")
    True
    """
    return xxhash.xxh3_64_intdigest(f"{key}\x00{node}".encode())


def highest_rendezvous(key: str, nodes: Sequence[str]) -> int:
    """Return the place of the node that owns ``key``, the first one if several do.

    The key is encoded once for all nodes: a choice among many costs little more than the hashes.

    >>> highest_rendezvous("key", ["a", "b", "a"]) == max(
    ...     range(3), key=lambda place: rendezvous_hash("key", "aba"[place])
    ... )
    True
    """
    digest, prefix = xxhash.xxh3_64_intdigest, f"{key}\x00".encode()
    hashes = [digest(prefix + node.encode()) for node in nodes]
    return hashes.index(max(hashes))


def weighted_rendezvous_score(key: str, node: str, weight: float) -> float:
    """Return the weighted score of ``node`` for ``key``.

    The node with the highest score owns the key. Each node's share of the keys is
    proportional to its weight.

    >>> scores = {node: weighted_rendezvous_score("key", node, 1.0) for node in ("a", "b")}
    >>> max(scores, key=scores.get) in ("a", "b")
    True
    """
    uniform = (rendezvous_hash(key, node) + 0.5) / HASH_RANGE
    return -weight / math.log(uniform)
