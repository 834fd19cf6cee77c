"""Records the prompt prefixes recently sent to engines, for reports to other gateways.

Each prefix is repeated in several heartbeats, because datagrams may be lost.
"""

from collections import deque

from corkcrank.contracts.opaque_call import PromptShape
from corkcrank.machines.heartbeat import SentPrefix

MIN_REPORT_SECONDS = 0.8
"""Minimum time for which a prefix is reported."""

MIN_REPORT_INTERVALS = 1.2
"""Minimum number of heartbeat intervals for which a prefix is reported, to reach each member."""

MAX_REPORTED_PREFIXES = 48
"""Maximum number of prefixes in one heartbeat; the newest are sent."""


class RecentPrefixes:
    """Prefixes that this gateway recently sent to engines."""

    def __init__(self) -> None:
        self._sent: deque[tuple[float, SentPrefix]] = deque(maxlen=MAX_REPORTED_PREFIXES)

    def record_prefix(self, worker_id: str, prompt: PromptShape, now: float) -> None:
        """Record a prompt that was sent to an engine."""
        parts = tuple((part.part_id, part.tokens) for part in prompt.shared_parts)
        if parts:
            self._sent.append((now, SentPrefix(worker_id, parts)))

    def prefixes_to_report(self, now: float, interval: float) -> tuple[SentPrefix, ...]:
        """Return the prefixes to report now; ``interval`` is the heartbeat interval in seconds.

        >>> from corkcrank.contracts.opaque_call import PrefixPart
        >>> recent = RecentPrefixes()
        >>> recent.record_prefix(
        ...     "w", PromptShape(parts=(PrefixPart("a", 5), PrefixPart("own", 9))), 0.0
        ... )
        >>> len(recent.prefixes_to_report(1.5, interval=2.0)), len(
        ...     recent.prefixes_to_report(1.5, interval=0.25))
        (1, 0)
        """
        report_seconds = max(MIN_REPORT_SECONDS, MIN_REPORT_INTERVALS * interval)
        while self._sent and now - self._sent[0][0] > report_seconds:
            self._sent.popleft()
        return tuple(item for _, item in self._sent)
