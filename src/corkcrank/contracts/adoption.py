"""Tracks which configuration version a daemon enforces and whether it may admit requests.

Versions only rise. A daemon receives the number of a committed version from the table's
head row or from a peer. It fetches the document from either and adopts it only if its
version is higher than the one in force. A daemon that has received no confirmation from
the table or a peer for :data:`CONFIRMATION_LIMIT_SECONDS` may not admit requests, because
a newer version may be in force elsewhere. Each admission compares the time, so a process
that was frozen stops admitting at its first request after it resumes.
"""

from corkcrank.contracts.configuration import Configuration, ConfigurationIndex

CONFIRMATION_LIMIT_SECONDS = 5.0
"""Longest time without a confirmation by the table or a peer before admission stops."""


class ConfigurationAdoption:
    """The configuration that one daemon enforces, and the newest version it knows of."""

    def __init__(self) -> None:
        self.index: ConfigurationIndex | None = None
        self.announced_version = 0
        self.confirmed_at: float | None = None
        self.adopted_at: float | None = None

    @property
    def version(self) -> int:
        """Return the version in force in this daemon; zero before the first adoption."""
        return self.index.configuration.version if self.index is not None else 0

    @property
    def version_to_fetch(self) -> int | None:
        """Return the version to fetch, or ``None`` if the newest known one is in force."""
        return self.announced_version if self.announced_version > self.version else None

    def record_announced_version(self, version: int) -> None:
        """Record a committed version from a message of unknown age."""
        self.announced_version = max(self.announced_version, version)

    def record_confirmed_version(self, version: int, asked_at: float) -> None:
        """Record the committed version from the response to a request sent at ``asked_at``.

        The time of the request counts, not the time at which the response is read: a
        process that was frozen reads old responses when it resumes.
        """
        self.record_announced_version(version)
        self.confirmed_at = max(asked_at, self.confirmed_at or asked_at)

    def adopt_if_newer(self, configuration: Configuration, now: float) -> bool:
        """Put ``configuration`` in force if it is newer; return whether it was newer.

        >>> adoption = ConfigurationAdoption()
        >>> adoption.adopt_if_newer(Configuration(version=2), now=0.0)
        True
        >>> adoption.adopt_if_newer(Configuration(version=1), now=1.0), adoption.version
        (False, 2)
        """
        if configuration.version <= self.version:
            return False
        self.index = ConfigurationIndex(configuration)
        self.announced_version = max(self.announced_version, configuration.version)
        self.adopted_at = now
        return True

    def may_admit(self, now: float) -> bool:
        """Return whether requests may be admitted under the version in force at time ``now``."""
        if self.index is None or self.confirmed_at is None:
            return False
        if self.version_to_fetch is not None:
            return False
        return now - self.confirmed_at <= CONFIRMATION_LIMIT_SECONDS

    def validate(self) -> None:
        """Assert the invariants that hold between calls."""
        assert self.announced_version >= self.version
