"""Waits for an attempt and retries it elsewhere if it is silent."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from corkcrank.links.abandoned_tasks import abandon

ResultT = TypeVar("ResultT")


async def await_attempt(
    work: Awaitable[ResultT],
    patience_seconds: Callable[[], float],
    reserve_next: Callable[[], bool],
) -> ResultT:
    """Await a part of an attempt; abandon it only if a retry is reserved.

    After each silence of ``patience_seconds``, ``reserve_next`` is called to reserve a retry.
    Raises ``TimeoutError`` if it returns true.
    """
    seconds = patience_seconds()
    task = asyncio.ensure_future(work)
    try:
        while not (await asyncio.wait({task}, timeout=seconds))[0]:
            seconds = patience_seconds()
            if reserve_next():
                raise TimeoutError
        return task.result()
    finally:
        if not task.done():
            abandon(task, _discard)
            await asyncio.wait({task})


def _discard(_: object) -> None:
    pass
