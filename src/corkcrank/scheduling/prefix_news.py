"""Prefixes sent lately, as told to the other gateways.

Each is told in several heartbeats, since datagrams are lost now and then.
"""

from collections import deque

from corkcrank.contracts.opaque_call import PromptShape
from corkcrank.machines.fleet import SentPrefix

TOLD_SECONDS = 0.8
"""Time for which a prefix is told."""

MOST_TOLD = 24
"""Prefixes that one heartbeat tells at most, the newest."""


class PrefixNews:
    """What this gateway sent to engines in the last moments."""

    def __init__(self) -> None:
        self._news: deque[tuple[float, SentPrefix]] = deque(maxlen=MOST_TOLD)

    def add(self, worker_id: str, prompt: PromptShape, now: float) -> None:
        """Note a prompt that was sent to an engine."""
        parts = tuple((part.part_id, part.tokens) for part in prompt.shared_parts)
        if parts:
            self._news.append((now, SentPrefix(worker_id, parts)))

    def current(self, now: float) -> tuple[SentPrefix, ...]:
        """Return what is to be told now."""
        while self._news and now - self._news[0][0] > TOLD_SECONDS:
            self._news.popleft()
        return tuple(item for _, item in self._news)
