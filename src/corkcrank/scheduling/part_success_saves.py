"""Decides when a gateway saves its successes of prompt parts in the store again.

Each save is a call to the store, and nearly each run brings a part that only few runs have. A part
is held only if different requests with it crash engines, so one that many runs have is saved soon,
the others together after a while.
"""

from collections.abc import Mapping

from corkcrank.scheduling.part_successes import SUCCESS_MEMORY_SECONDS

MAX_UNSAVED_SECONDS = 10.0
"""Time after the last save for which successes of parts that few runs have stay unsaved."""

MAX_UNSAVED_BY_OTHERS_SECONDS = 60.0
"""The same at a gateway that does not save for others: what many runs have is saved by those."""

MIN_USUAL_SUCCESSES = 2
"""Minimum number of successes since the last save of a part that is saved at once."""

USUAL_SHARE = 0.05
"""Its minimum share of all successes since then."""

REFRESH_SECONDS = SUCCESS_MEMORY_SECONDS / 2.0
"""A saved success is replaced by one that is this much later."""


class PartSuccessSaves:
    """What one gateway has saved of its successes, and when."""

    def __init__(self) -> None:
        self._saved: Mapping[str, int] = {}
        self._saved_at = float("-inf")

    def is_due(self, times: Mapping[str, int], counts: Mapping[str, int], now: float) -> bool:
        """Return whether to save the ``times`` of parts' successes now.

        ``counts`` are the successes of each part since the last save.

        >>> saves = PartSuccessSaves()
        >>> saves.record_save({"p": 5}, 5.0)
        >>> saves.is_due({"p": 6, "q": 6}, {"p": 1, "q": 1}, 6.0)
        False
        >>> saves.is_due({"p": 6, "q": 7}, {"p": 1, "q": 2}, 7.0)
        True
        """
        new = self._new_parts(times)
        if not new or now - self._saved_at >= MAX_UNSAVED_SECONDS:
            return bool(new)
        usual = max(MIN_USUAL_SUCCESSES, USUAL_SHARE * sum(counts.values()))
        return any(counts.get(part, 0) >= usual for part in new)

    def is_due_late(self, times: Mapping[str, int], now: float) -> bool:
        """Return whether to save successes at a gateway that does not save for others."""
        is_late = now - self._saved_at >= MAX_UNSAVED_BY_OTHERS_SECONDS
        return is_late and bool(self._new_parts(times))

    def record_save(self, times: Mapping[str, int], now: float) -> None:
        """Record that the store holds these successes and no others."""
        self._saved, self._saved_at = times, now

    def record_read(self, times: Mapping[str, int]) -> None:
        """Record what the store holds after a start: a new success is saved at once."""
        self._saved = times

    def record_failure(self) -> None:
        """Record that a save failed, or that nobody knows whether it did: repeat it at once."""
        self._saved_at = float("-inf")

    def _new_parts(self, times: Mapping[str, int]) -> list[str]:
        return [part for part, at in times.items() if self._is_new(part, at)]

    def _is_new(self, part: str, at: int) -> bool:
        """Return whether a part is not saved, or has succeeded much later."""
        return part not in self._saved or at - self._saved[part] >= REFRESH_SECONDS
