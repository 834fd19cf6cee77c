"""The monotonic clock for every age, deadline and lease.

The clock never steps, and it includes time during which the machine was suspended. On Linux,
``time.monotonic`` excludes that time: after a suspension of ten seconds, all data that a process
considers fresh would be ten seconds older than its computed age. Timers of the event loop exclude
it too, so they fire late after a suspension; the code that they run must read this clock.
"""

import time

_SUSPENSION_AWARE_CLOCK: int | None = getattr(time, "CLOCK_BOOTTIME", None)
"""Identifier of the clock on Linux; ``None`` elsewhere, where ``time.monotonic`` is used."""


def loop_time() -> float:
    """Return the time of the event loop's timers in seconds, which excludes suspensions."""
    return time.monotonic()


def now() -> float:
    """Return the time in seconds since a fixed point, the same for the life of the process.

    >>> now() <= now()
    True
    """
    if _SUSPENSION_AWARE_CLOCK is None:
        return time.monotonic()
    return time.clock_gettime(_SUSPENSION_AWARE_CLOCK)


MIN_REMAINING_SECONDS = 0.001
"""Remaining time of work that is due or overdue; the platform counts whole milliseconds."""


def clamp_remaining_seconds(seconds: float) -> float:
    """Return ``seconds``, but at least 0.001: zero or less would mean "no limit".

    >>> clamp_remaining_seconds(2.0), clamp_remaining_seconds(-2.0)
    (2.0, 0.001)
    """
    return max(MIN_REMAINING_SECONDS, seconds)


class SuspensionMeter:
    """Measures machine suspensions: :func:`now` includes them, :func:`loop_time` does not."""

    def __init__(self) -> None:
        self._offset = now() - loop_time()

    def measure(self) -> float:
        """Return the seconds of suspension since the last measurement."""
        offset = now() - loop_time()
        suspended, self._offset = offset - self._offset, offset
        return max(0.0, suspended)
