"""Runs concurrent attempts of a plain call."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

from aiohttp import web

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.node.calls.attempts import record_dropped_attempt
from corkcrank.node.calls.relayed_answer import RelayedAnswer
from corkcrank.node.calls.services import CallServices


@dataclass(eq=False, slots=True)
class OpenAttempt:
    """An attempt whose task is not done.

    ``worker`` is ``None`` until it is chosen. ``silent`` is set while the worker is silent for
    longer than usual, ``ended`` once its exchange with the worker has ended.
    """

    worker: WorkerRecord | None = None
    received_at: float = 0.0
    silent: bool = False
    ended: bool = False

    def begin(self, worker: WorkerRecord) -> None:
        """Record that the call is sent to a worker."""
        self.worker = worker
        self.received_at = clock.now()

    def record_bytes(self) -> None:
        """Record that the worker sent bytes, which ends its silence."""
        self.received_at = clock.now()
        self.silent = False

    @property
    def active(self) -> bool:
        """Return whether the attempt has neither ended nor a silent worker."""
        return not self.silent and not self.ended


AttemptAnswer = web.Response | RelayedAnswer
"""An answer of a worker that was read whole, or whose head was read."""

AttemptRun = Callable[[OpenAttempt], Coroutine[None, None, AttemptAnswer | None]]
"""Chooses the worker of an attempt and returns its answer, or ``None`` if it failed."""


class OpenAttempts:
    """Runs the attempts of one call; the first answer ends the others.

    A silent attempt stays open beside later ones, because it may still answer first.
    """

    def __init__(self, services: CallServices, call: OpaqueCall) -> None:
        self._services = services
        self._call = call
        self._tasks: dict[OpenAttempt, asyncio.Task[AttemptAnswer | None]] = {}
        self._any_done = asyncio.Event()

    @property
    def any_active(self) -> bool:
        """Return whether any attempt in progress is not silent."""
        return any(attempt.active for attempt in self._tasks)

    def any_active_besides(self, attempt: OpenAttempt) -> bool:
        """Return whether another attempt in progress is not silent."""
        return any(other.active for other in self._tasks if other is not attempt)

    def any_sent_besides(self, attempt: OpenAttempt) -> bool:
        """Return whether the call is in progress at another worker."""
        others = [other for other in self._tasks if other is not attempt]
        return any(other.worker is not None and not other.ended for other in others)

    def start(self, run: AttemptRun) -> None:
        """Start an attempt."""
        attempt = OpenAttempt()
        task = self._tasks[attempt] = asyncio.create_task(run(attempt))
        task.add_done_callback(lambda _: self._any_done.set())

    async def wait_for_answer(self) -> AttemptAnswer | None:
        """Return the first answer, or ``None`` if all attempts fail; cancel the other attempts.

        A cancellation of this coroutine also cancels all attempts.
        """
        answer: AttemptAnswer | None = None
        try:
            while answer is None and self._tasks:
                await self._any_done.wait()
                self._any_done.clear()
                answer = self._take_answer()
        finally:
            dropped = await self._cancel_tasks()
        for attempt in dropped:
            self._record_dropped(attempt)
        return answer

    def _take_answer(self) -> AttemptAnswer | None:
        """Remove completed attempts until one has an answer; return it, or ``None`` without one."""
        for attempt in [item for item, task in self._tasks.items() if task.done()]:
            answer = self._tasks.pop(attempt).result()
            if answer is not None:
                return answer
        return None

    async def _cancel_tasks(self) -> list[OpenAttempt]:
        """Cancel all tasks; return the attempts whose exchange was interrupted."""
        open_attempts = [attempt for attempt in self._tasks if not attempt.ended]
        for task in self._tasks.values():
            task.cancel()
        for result in await asyncio.gather(*self._tasks.values(), return_exceptions=True):
            if isinstance(result, RelayedAnswer):
                result.close()
        self._tasks.clear()
        return [attempt for attempt in open_attempts if not attempt.ended]

    def _record_dropped(self, attempt: OpenAttempt) -> None:
        if attempt.worker is None:
            return
        silent_seconds = clock.now() - attempt.received_at if attempt.silent else 0.0
        record_dropped_attempt(self._services, self._call, attempt.worker, silent_seconds)
