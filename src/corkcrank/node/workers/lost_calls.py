"""Keeps the calls whose workers are being checked after a failed connection."""

import asyncio
import contextlib
from dataclasses import dataclass, field
from itertools import chain

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.worker_records import WorkerRecord

MAX_WAIT_SECONDS = 0.25
"""Time after a failed connection after which a call goes on without the result of the check."""


@dataclass(frozen=True, slots=True, eq=False)
class LostCall:
    """A call whose connection to a worker failed; ``progressed`` is set if it ran for a while.

    The check of the worker may outlast the call, so the call and its body are not kept. ``request``
    and ``parts`` are the fingerprints of what may have crashed the worker.
    """

    call_id: str
    service: str
    request: str
    parts: tuple[str, ...]
    worker: WorkerRecord
    progressed: bool
    failed_at: float = field(default_factory=clock.now)
    removed: asyncio.Event = field(default_factory=asyncio.Event)


class LostCalls:
    """Lost calls whose workers are being checked."""

    def __init__(self) -> None:
        self._lost: dict[str, set[LostCall]] = {}

    def snapshot(self) -> list[LostCall]:
        """Return all lost calls of this moment."""
        return list(chain.from_iterable(self._lost.values()))

    def add(self, lost: LostCall) -> None:
        """Add a lost call whose worker is being checked."""
        self._lost.setdefault(lost.call_id, set()).add(lost)

    def remove(self, lost: LostCall) -> None:
        """Remove a lost call, whose crash is known or ruled out; no effect if it is removed."""
        lost.removed.set()
        lost_calls = self._lost.get(lost.call_id, set())
        lost_calls.discard(lost)
        if not lost_calls:
            self._lost.pop(lost.call_id, None)

    async def wait_until_removed(self, call: OpaqueCall) -> None:
        """Wait until a call is not in this collection, for :data:`MAX_WAIT_SECONDS` at most.

        Half of the call's remaining time is left for its next attempt.
        """
        for lost in list(self._lost.get(call.call_id, ())):
            now = clock.now()
            wait = min(lost.failed_at + MAX_WAIT_SECONDS - now, (call.end_at - now) / 2.0)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, wait)):
                    await lost.removed.wait()
