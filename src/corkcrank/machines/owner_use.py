"""Tracks whether a gateway's queues or grants were used recently.

Other gateways then choose workers and admit calls by its reports, so it may send them more often.
"""

OWNER_USE_SECONDS = 5.0
"""Time after its last use for which a gateway counts as an owner of queues or engines. It spans a
few of an owner's heartbeat intervals in a fleet of 195 (1.1 s each)."""


class OwnerUse:
    """Time of the last request to an owner; callers pass the time."""

    def __init__(self) -> None:
        self._used_at = float("-inf")

    def record_use(self, now: float) -> None:
        """Record a request to the owner."""
        self._used_at = now

    def used_recently(self, now: float) -> bool:
        """Return whether the owner had a request within the last ``OWNER_USE_SECONDS``.

        >>> use = OwnerUse()
        >>> use.record_use(10.0)
        >>> use.used_recently(11.0), use.used_recently(16.0)
        (True, False)
        """
        return now - self._used_at < OWNER_USE_SECONDS
