"""Tracks owners that do not reply, to which a gateway sends no requests for a while.

An owner can send heartbeats and still answer no requests, for example because of a broken link or a
full connection queue. Each call would wait for the timeout, which is most of the time that an
urgent call has. The gateway therefore decides without the owner and probes it at intervals with a
single request. The module has no side effects.
"""

from dataclasses import dataclass

SILENT_REQUESTS = 3
"""Consecutive requests without a reply that make an owner silent. Single replies may be lost on
links with packet loss, and calls without a grant are not ordered by urgency."""

PROBE_SECONDS = 0.5
"""Interval of probes to a silent owner; only the probing calls wait for the timeout."""

MEMORY_SECONDS = 60.0
"""Time after its last request without a reply for which an owner's state is kept."""


@dataclass(slots=True)
class _Silence:
    requests: int = 0
    next_probe_at: float = 0.0


class SilentOwners:
    """The owners whose last requests got no reply; times are on the local clock, in seconds."""

    def __init__(self) -> None:
        self._silences: dict[str, _Silence] = {}

    def __len__(self) -> int:
        return len(self._silences)

    def may_ask(self, owner: str, now: float) -> bool:
        """Return whether to send an owner a request now; schedule the probes of a silent one."""
        silence = self._silences.get(owner)
        if silence is None or silence.requests < SILENT_REQUESTS:
            return True
        if now < silence.next_probe_at:
            return False
        silence.next_probe_at = now + PROBE_SECONDS
        return True

    def record_silence(self, owner: str, now: float) -> None:
        """Record a request without a reply; concurrent requests count as one each."""
        self._forget_old(now)
        silence = self._silences.setdefault(owner, _Silence())
        silence.requests += 1
        silence.next_probe_at = now + PROBE_SECONDS

    def record_reply(self, owner: str) -> None:
        """Record a reply, which ends an owner's silence."""
        self._silences.pop(owner, None)

    def _forget_old(self, now: float) -> None:
        old = [
            owner
            for owner, silence in self._silences.items()
            if silence.next_probe_at + MEMORY_SECONDS < now
        ]
        for owner in old:
            del self._silences[owner]
