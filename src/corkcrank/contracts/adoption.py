"""Adoption of configuration versions: which version a daemon holds, and may it serve.

Versions only rise. A daemon learns of a committed version from the table's head row or
from a peer; it fetches the document from whichever has it and adopts it only if it is
higher than the one in force. A daemon that has heard from neither the table nor a peer
for :data:`CONFIRMATION_LIMIT_SECONDS` may not admit requests, because a newer version
may be in force elsewhere. The time is compared at each admission, so a process that was
frozen stops at its first request after waking.
"""

from corkcrank.contracts.configuration import Configuration, ConfigurationIndex

CONFIRMATION_LIMIT_SECONDS = 5.0
"""Longest time without word from table or peers before admission stops."""


class ConfigurationAdoption:
    """The configuration that one daemon enforces."""

    def __init__(self) -> None:
        self.index: ConfigurationIndex | None = None
        self.announced_version = 0
        self.confirmed_at: float | None = None
        self.adopted_at: float | None = None

    @property
    def version(self) -> int:
        """Return the version in force here; zero before the first adoption."""
        return self.index.configuration.version if self.index is not None else 0

    @property
    def wanted_version(self) -> int | None:
        """Return the version to fetch, or ``None`` when up to date."""
        return self.announced_version if self.announced_version > self.version else None

    def announce(self, version: int) -> None:
        """Take a committed version from a message of unknown age."""
        self.announced_version = max(self.announced_version, version)

    def confirm(self, version: int, asked_at: float) -> None:
        """Take a committed version answered to a question asked at ``asked_at``.

        The time of asking counts, not that of reading the answer: a process that was
        frozen finds old answers waiting for it when it wakes.
        """
        self.announce(version)
        self.confirmed_at = max(asked_at, self.confirmed_at or asked_at)

    def adopt(self, configuration: Configuration, now: float) -> bool:
        """Put ``configuration`` in force if it is newer; return whether it was.

        >>> adoption = ConfigurationAdoption()
        >>> adoption.adopt(Configuration(version=2), now=0.0)
        True
        >>> adoption.adopt(Configuration(version=1), now=1.0), adoption.version
        (False, 2)
        """
        if configuration.version <= self.version:
            return False
        self.index = ConfigurationIndex(configuration)
        self.announced_version = max(self.announced_version, configuration.version)
        self.adopted_at = now
        return True

    def may_admit(self, now: float) -> bool:
        """Return whether requests may be admitted under the version held here."""
        if self.index is None or self.confirmed_at is None:
            return False
        if self.wanted_version is not None:
            return False
        return now - self.confirmed_at <= CONFIRMATION_LIMIT_SECONDS

    def validate(self) -> None:
        """Check the invariants that hold between calls."""
        assert self.announced_version >= self.version
