"""Prefixes sent lately, as told to the other gateways.

Each is told in several heartbeats, since datagrams are lost now and then.
"""

from collections import deque

from corkcrank.contracts.opaque_call import PromptShape
from corkcrank.machines.heartbeat import SentPrefix

TOLD_SECONDS = 0.8
"""Shortest time for which a prefix is told."""

TOLD_INTERVALS = 1.2
"""Intervals between heartbeats for which it is told at least, so that each member hears it."""

MOST_TOLD = 48
"""Prefixes that one heartbeat tells at most, the newest."""


class RecentPrefixes:
    """What this gateway sent to engines in the last moments."""

    def __init__(self) -> None:
        self._sent: deque[tuple[float, SentPrefix]] = deque(maxlen=MOST_TOLD)

    def add(self, worker_id: str, prompt: PromptShape, now: float) -> None:
        """Note a prompt that was sent to an engine."""
        parts = tuple((part.part_id, part.tokens) for part in prompt.shared_parts)
        if parts:
            self._sent.append((now, SentPrefix(worker_id, parts)))

    def current(self, now: float, interval: float) -> tuple[SentPrefix, ...]:
        """Return what is to be told now; heartbeats go to each member every ``interval``.

        >>> from corkcrank.contracts.opaque_call import PrefixPart
        >>> recent = RecentPrefixes()
        >>> recent.add("w", PromptShape(parts=(PrefixPart("a", 5), PrefixPart("own", 9))), 0.0)
        >>> len(recent.current(1.5, interval=2.0)), len(recent.current(1.5, interval=0.25))
        (1, 0)
        """
        told_seconds = max(TOLD_SECONDS, TOLD_INTERVALS * interval)
        while self._sent and now - self._sent[0][0] > told_seconds:
            self._sent.popleft()
        return tuple(item for _, item in self._sent)
