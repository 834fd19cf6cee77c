"""Runs long computations in short slices, so that they do not hold the event loop."""

import asyncio
import time
from collections.abc import Generator
from typing import TypeVar

SLICE_SECONDS = 0.005
"""Time after which other tasks of the event loop get their turn."""

_Result = TypeVar("_Result")

Steps = Generator[None, None, _Result]
"""A computation that yields after each short step, and returns its result."""


async def run_in_slices(steps: Steps[_Result]) -> _Result:
    """Run a computation, and let other tasks run in between."""
    ends_at = time.perf_counter() + SLICE_SECONDS
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            result: _Result = stop.value
            return result
        if time.perf_counter() >= ends_at:
            await asyncio.sleep(0)
            ends_at = time.perf_counter() + SLICE_SECONDS


def run_at_once(steps: Steps[_Result]) -> _Result:
    """Run a computation without a pause.

    >>> run_at_once((yield_ for yield_ in ()))
    """
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            result: _Result = stop.value
            return result
