"""Tasks whose outcome nobody awaits any more."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import TypeVar

ResultT = TypeVar("ResultT")


def abandon(task: asyncio.Task[ResultT], release: Callable[[ResultT], None]) -> None:
    """Cancel a task; ``release`` gets the result if there is one nevertheless.

    A task that ended just before its waiter was cancelled keeps its outcome. A response that
    nobody took would stay open, and an error that nobody read would be reported as a fault.
    """
    task.cancel()
    task.add_done_callback(partial(_take_outcome, release))


def _take_outcome(release: Callable[[ResultT], None], task: asyncio.Task[ResultT]) -> None:
    if not task.cancelled() and task.exception() is None:
        release(task.result())
