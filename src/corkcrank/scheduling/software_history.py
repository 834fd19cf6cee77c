"""Remembers which software versions have served a service, and when each was last listed.

Does no I/O: callers pass the time.
"""

from collections.abc import Iterable

from corkcrank.contracts.worker_records import WorkerRecord

UNKNOWN_VERSION = ""
"""Stands for the version of a worker that came and left before this gateway heard of it."""

MAX_KEPT_SECONDS = 700.0
"""Time for which a version is kept after it was last listed; no stream is resumed later."""


class SoftwareHistory:
    """The versions of each service that this gateway has seen in the list of workers.

    Each change of the list is recorded, so that also a version is known that came and left at once.
    A change is heard of late, never early: a version counts as listed for too long, not too short.
    """

    def __init__(self) -> None:
        self._listed_at: dict[str, dict[str, float]] = {}
        self._unknown_at = float("-inf")
        self._since = float("inf")

    def restart(self, now: float) -> None:
        """Record that a whole list replaced the known one: changes in between may be unknown."""
        self._since = now

    def record(self, service: str, versions: Iterable[str], now: float) -> None:
        """Record the versions of a service that are listed now."""
        listed_at = self._listed_at.setdefault(service, {})
        for version in versions:
            listed_at[version] = now

    def record_change(
        self, previous: WorkerRecord | None, current: WorkerRecord | None, now: float
    ) -> None:
        """Record that a worker's entry was added, changed or removed."""
        for worker in (previous, current):
            if worker is not None:
                self.record(worker.service, [worker.version], now)
                self._remove_old(worker.service, now)

    def record_unknown(self, now: float) -> None:
        """Record that a worker has left whose service and version this gateway never knew."""
        self._unknown_at = now

    def covers(self, since: float) -> bool:
        """Return whether every change of the list since a time is known."""
        return self._since <= since

    def last_listed(self, service: str, since: float) -> dict[str, float]:
        """Return the versions that were listed at ``since`` or later, and when they last were.

        >>> history = SoftwareHistory()
        >>> history.record("s", ["v1"], now=1.0)
        >>> history.record("s", ["v2"], now=2.0)
        >>> sorted(history.last_listed("s", 1.0)), history.last_listed("s", 1.5)
        (['v1', 'v2'], {'v2': 2.0})
        >>> history.record_unknown(now=3.0)
        >>> history.last_listed("s", 2.5)
        {'': 3.0}
        >>> history.restart(now=1.0)
        >>> history.covers(1.0), history.covers(0.5)
        (True, False)
        """
        listed_at = self._listed_at.get(service, {})
        found = {version: at for version, at in listed_at.items() if at >= since}
        if self._unknown_at >= since:
            found[UNKNOWN_VERSION] = max(self._unknown_at, found.get(UNKNOWN_VERSION, since))
        return found

    def _remove_old(self, service: str, now: float) -> None:
        listed_at = self._listed_at[service]
        for version in [key for key, at in listed_at.items() if at < now - MAX_KEPT_SECONDS]:
            del listed_at[version]
