"""State that a gateway keeps about another: its last heartbeat, and whether it is suspected.

Does no I/O: callers pass times of the local clock.
"""

from dataclasses import dataclass

from corkcrank.links.platform_ports import StoreTable
from corkcrank.machines.heartbeat import Heartbeat
from corkcrank.machines.store_contact import ReportedStoreContact

MAX_MISSED_HEARTBEATS = 4.0
"""Number of heartbeat intervals without a heartbeat after which a member is suspected."""

PROBE_INTERVAL_SECONDS = 0.25
"""Interval between probes of a silent member from which this one waits for an answer."""

MIN_SILENCE_FOR_PROBE_SECONDS = 0.6
"""Silence after which a member from which this one waits for an answer is probed."""

PROBE_TIMEOUT_SECONDS = 1.0
"""Time after the first probe without a heartbeat after which a member is suspected."""

REMOVE_AFTER_SECONDS = 60.0
"""Time for which heartbeats still go to a silent member, so that a network partition heals."""


@dataclass(slots=True)
class Member:
    """Another gateway and its last heartbeat.

    ``probed_at`` is the time of the first probe since the last heartbeat, ``next_probe_at``
    when it may be probed again. ``excused_seconds`` counts those since the last heartbeat in
    which this process was paused and could receive nothing.
    """

    heartbeat: Heartbeat
    received_at: float
    probed_at: float | None = None
    next_probe_at: float = 0.0
    excused_seconds: float = 0.0

    def silence_seconds(self, now: float) -> float:
        """Return the seconds without a heartbeat while this process ran."""
        return now - self.received_at - self.excused_seconds

    def exclude_pause(self, seconds: float) -> None:
        """Exclude a pause of this process from the silence and from the probe timeout."""
        self.excused_seconds += seconds
        if self.probed_at is not None:
            self.probed_at += seconds

    @property
    def suspected_at(self) -> float:
        """Return when the member is suspected if no heartbeat arrives until then.

        >>> beat = Heartbeat("n", 1, "z", "10.0.0.1:1", 1, 0.25)
        >>> Member(beat, received_at=5.0).suspected_at
        6.0
        >>> Member(beat, received_at=5.0, probed_at=4.8).suspected_at
        5.8
        """
        silence_limit = (
            self.received_at
            + self.excused_seconds
            + MAX_MISSED_HEARTBEATS * self.heartbeat.interval
        )
        if self.probed_at is None:
            return silence_limit
        return min(silence_limit, self.probed_at + PROBE_TIMEOUT_SECONDS)

    def is_suspected(self, now: float) -> bool:
        """Return whether the member was silent for too long, or has not answered probes."""
        return now > self.suspected_at

    def mark_suspected(self) -> None:
        """Suspect the member at once, until its next heartbeat."""
        self.received_at -= MAX_MISSED_HEARTBEATS * self.heartbeat.interval

    def may_be_probed(self, now: float) -> bool:
        """Return whether the member was silent for long enough, and was not just probed."""
        return (
            self.silence_seconds(now) > MIN_SILENCE_FOR_PROBE_SECONDS and now >= self.next_probe_at
        )

    def record_probe(self, now: float) -> None:
        """Record that the member is probed at ``now``."""
        if self.probed_at is None:
            self.probed_at = now
        self.next_probe_at = now + PROBE_INTERVAL_SECONDS

    def should_be_removed(self, now: float) -> bool:
        """Return whether the member was silent for so long that heartbeats to it stop."""
        return self.silence_seconds(now) > REMOVE_AFTER_SECONDS

    def store_contact(self, table: StoreTable) -> ReportedStoreContact:
        """Return the newest answer of the store about a table that the member has reported."""
        beat = self.heartbeat
        return beat.workers_contact if table is StoreTable.WORKERS else beat.configuration_contact
