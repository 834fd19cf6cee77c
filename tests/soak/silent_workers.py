"""Silence of a simulated worker, which then goes on where it was."""

import asyncio

from soak.sent_calls import Run


class WorkerSilence:
    """Holds up what a worker sends while it is silent.

    After a silence for good the worker serves new requests, and never answers those of before.
    During a silence in which it is ``rejecting``, it rejects every second new request.
    """

    def __init__(self) -> None:
        self._over: asyncio.Event | None = None
        self._for_good = False
        self._rejecting = False
        self._received = 0

    @property
    def silent(self) -> bool:
        """Return whether the worker is silent."""
        return self._over is not None

    def begin(self, *, for_good: bool, rejecting: bool) -> None:
        """Begin a silence."""
        self._over, self._for_good = asyncio.Event(), for_good
        self._rejecting = rejecting

    def end(self) -> None:
        """End the silence; requests of a silence for good stay unanswered."""
        if self._over is not None and not self._for_good:
            self._over.set()
        self._over, self._rejecting = None, False

    def rejects_next(self) -> bool:
        """Return whether the worker rejects the request that it has received."""
        self._received += self._rejecting
        return self._rejecting and self._received % 2 == 0

    async def wait(self, run: Run | None = None) -> None:
        """Wait until the worker may send something, of a run or of itself."""
        if self._over is None:
            return
        if run is not None:
            run.hung = self._for_good
        await self._over.wait()
