"""Retry times for callers that were refused because rate-limited workers had no free slot.

Each caller gets the next unassigned slot, so that callers that retry at the reported times do not
collide. The functions read no clock: the time is an argument.
"""

MAX_RETURN_SECONDS = 5.0
"""Maximum retry time. Callers wait for at most a third of the time that remains before their
deadline."""


class ReturnTimes:
    """The next unassigned slot of each group of workers."""

    def __init__(self) -> None:
        self._next: dict[str, float] = {}

    def next_return_seconds(self, key: str, wait: float, rate: float, now: float) -> float:
        """Assign the next slot to a caller and return the seconds until it starts.

        ``wait`` is the time in seconds until the group's next slot, ``rate`` its slots a second.

        >>> times = ReturnTimes()
        >>> [times.next_return_seconds("g", 0.5, 2.0, now=10.0) for _ in range(3)]
        [0.5, 1.0, 1.5]
        >>> times.next_return_seconds("g", 0.5, 2.0, now=20.0), times.next_return_seconds(
        ...     "g", 3.0, 0.0, now=20.0)
        (0.5, 5.0)
        """
        at = max(now + wait, self._next.get(key, 0.0))
        if rate <= 0 or at - now >= MAX_RETURN_SECONDS:
            return MAX_RETURN_SECONDS
        self._next[key] = at + 1.0 / rate
        return at - now
