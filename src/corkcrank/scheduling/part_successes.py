"""Records when runs with each shared prompt part last progressed at this gateway."""

from collections import OrderedDict
from collections.abc import Mapping

MAX_PARTS = 4096
"""Maximum number of recorded parts; the least recently successful ones are evicted first."""

SUCCESS_MEMORY_SECONDS = 600.0
"""Time for which a success is evidence that a part does not crash every engine."""


class PartSuccesses:
    """The latest success of each part: the time of the first event of a run that progressed."""

    def __init__(self) -> None:
        self._times: OrderedDict[str, float] = OrderedDict()
        self._counts: dict[str, int] = {}

    def record(self, part: str, at: float) -> None:
        """Record a success.

        >>> successes = PartSuccesses()
        >>> successes.record("p", 5.0)
        >>> successes.record("p", 3.0)
        >>> successes.latest("p", now=6.0)
        5.0
        >>> successes.latest("p", now=5.0 + SUCCESS_MEMORY_SECONDS + 1.0) is None
        True
        """
        self._times[part] = max(at, self._times.pop(part, at))
        self._counts[part] = self._counts.get(part, 0) + 1
        self._evict_oldest()

    def restore(self, part: str, at: float) -> None:
        """Record a success from before this gateway started; it does not count as a new one.

        >>> successes = PartSuccesses()
        >>> successes.record("p", 5.0)
        >>> for part in ("p", "q"):
        ...     successes.restore(part, 3.0)
        >>> successes.recent(2, now=6.0), dict(successes.counts)
        ({'q': 3.0, 'p': 5.0}, {'p': 1})
        """
        if part in self._times:
            self._times[part] = max(at, self._times[part])
            return
        self._times[part] = at
        self._times.move_to_end(part, last=False)
        self._evict_oldest()

    def _evict_oldest(self) -> None:
        if len(self._times) > MAX_PARTS:
            evicted, _ = self._times.popitem(last=False)
            self._counts.pop(evicted, None)

    @property
    def counts(self) -> Mapping[str, int]:
        """Return the number of each part's successes since the last reset."""
        return self._counts

    def reset_counts(self) -> None:
        """Count the successes of all parts from now on."""
        self._counts = {}

    def latest(self, part: str, now: float) -> float | None:
        """Return the time of a part's latest success, ``None`` if there is none."""
        at = self._times.get(part)
        return at if at is not None and now - at <= SUCCESS_MEMORY_SECONDS else None

    def recent(self, limit: int, now: float) -> dict[str, float]:
        """Return the latest successes of some parts, those that succeeded last, oldest first.

        >>> successes = PartSuccesses()
        >>> for part in ("p", "q", "p", "r"):
        ...     successes.record(part, 5.0)
        >>> list(successes.recent(2, now=6.0))
        ['p', 'r']
        """
        parts = [part for part in reversed(self._times) if self.latest(part, now) is not None]
        return {part: self._times[part] for part in reversed(parts[:limit])}
