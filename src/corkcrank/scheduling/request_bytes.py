"""Bounds the bytes of unanswered requests that a gateway has sent to one worker.

A worker that reads slowly while large requests arrive may run out of memory and fail with all of
its requests.
"""

import math
from collections.abc import Callable

WORKER_REQUEST_BYTES = 64 * 2**20
"""Maximum bytes of unanswered requests of all gateways at one worker, 64 MiB: several times the
prompts of a worker's usual slots, and little compared with its model."""

MIN_SHARE_BYTES = 2**20
"""Minimum share of one gateway, so that gateways of a large fleet can send several long prompts."""


def _no_bound() -> float:
    return math.inf


class RequestBytes:
    """Bytes of this gateway's unanswered requests, by worker; ``bound`` applies to each."""

    def __init__(self, bound: Callable[[], float] = _no_bound) -> None:
        self._bound = bound
        self._bytes: dict[str, int] = {}

    def add(self, worker_id: str, size: int) -> bool:
        """Count a request that is being sent; return whether its worker is full because of it."""
        before = self.is_full(worker_id)
        self._bytes[worker_id] = self.at(worker_id) + size
        return self.is_full(worker_id) and not before

    def remove(self, worker_id: str, size: int) -> None:
        """Subtract a request that was answered or abandoned."""
        left = self.at(worker_id) - size
        if left > 0:
            self._bytes[worker_id] = left
        else:
            self._bytes.pop(worker_id, None)

    def at(self, worker_id: str) -> int:
        """Return the bytes of the unanswered requests at a worker."""
        return self._bytes.get(worker_id, 0)

    def is_full(self, worker_id: str) -> bool:
        """Return whether a worker gets no further request; an idle worker is never full."""
        sent = self._bytes.get(worker_id)
        return sent is not None and sent >= self._bound()


def request_bytes_share(members: int) -> float:
    """Return one gateway's share of a worker's bound.

    >>> request_bytes_share(4) / 2**20, request_bytes_share(196) / 2**20
    (16.0, 1.0)
    """
    return max(MIN_SHARE_BYTES, WORKER_REQUEST_BYTES / members)
