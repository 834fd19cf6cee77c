"""Frees a call's stage results once its engine has probably fetched them."""

import asyncio
from collections.abc import Callable

from corkcrank.contracts import clock
from corkcrank.scheduling.worker_choice import WorkerStatistics


class ResultRelease:
    """Calls ``release`` once the engine sent bytes after the usual time to fetch results.

    A paused engine fetches nothing, so time alone does not show that the results are unused.
    """

    def __init__(
        self, release: Callable[[], None], statistics: WorkerStatistics, delay: float
    ) -> None:
        self._release = release
        self._statistics = statistics
        self._delay = delay
        self._fetched_at = clock.now() + delay
        self._timer = asyncio.get_running_loop().call_later(delay, self._release_if_heard)

    def cancel(self) -> None:
        """Cancel the release and keep the results."""
        self._timer.cancel()

    def _release_if_heard(self) -> None:
        if self._statistics.heard_at >= self._fetched_at:
            self._release()
            return
        self._timer = asyncio.get_running_loop().call_later(self._delay, self._release_if_heard)
