"""Remembers which software versions have served a service, and when each was last listed.

Does no I/O: callers pass the time.
"""

from collections.abc import Iterable


class SoftwareHistory:
    """The versions of each service that this gateway has seen in the list of workers."""

    def __init__(self) -> None:
        self._listed_at: dict[str, dict[str, float]] = {}
        self._since: dict[str, float] = {}

    def record(self, service: str, versions: Iterable[str], now: float) -> None:
        """Record the versions of a service that are listed now."""
        self._since.setdefault(service, now)
        listed_at = self._listed_at.setdefault(service, {})
        for version in versions:
            listed_at[version] = now

    def covers(self, service: str, since: float) -> bool:
        """Return whether the service has been observed from ``since`` on."""
        return self._since.get(service, float("inf")) <= since

    def versions_since(self, service: str, since: float) -> set[str]:
        """Return the versions that were listed at ``since`` or later.

        >>> history = SoftwareHistory()
        >>> history.record("s", ["v1"], now=1.0)
        >>> history.record("s", ["v2"], now=2.0)
        >>> sorted(history.versions_since("s", 1.0)), history.versions_since("s", 1.5)
        (['v1', 'v2'], {'v2'})
        >>> history.covers("s", 1.0), history.covers("s", 0.5)
        (True, False)
        """
        listed_at = self._listed_at.get(service, {})
        return {version for version, at in listed_at.items() if at >= since}
