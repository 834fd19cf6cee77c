"""How often a member sends heartbeats: as often as the bytes that all of them take allow."""

HEARTBEAT_SECONDS = 0.25
"""Interval between heartbeats in a small fleet."""

MAX_HEARTBEAT_BYTES_PER_SECOND = 25_000.0
"""Most bytes of heartbeats that one member sends. In larger fleets the interval is longer. The
calls that older reports would cost are worth more than the bytes."""

MAX_FULL_RATE_MEMBERS = 100
"""Fleet size up to which each member sends the full rate. In a larger fleet each sends less, so
that the bytes a node reads and sends do not grow with the fleet."""

MAX_OWNER_BYTES_PER_SECOND = 60_000.0
"""Most bytes of heartbeats sent by a member that owns queues or engines of its zone. Other members
choose workers and admit calls by the owners' reports, and owners are few. A fortieth of a link of
20 Mbit/s."""

INITIAL_HEARTBEAT_BYTES = 250.0
"""Heartbeat length that is assumed before the first one is sent."""

HEARTBEAT_LENGTH_WEIGHT = 0.05
"""Weight of the newest heartbeat in the moving average of lengths."""


class HeartbeatRate:
    """The interval of one member's heartbeats, from their average length in bytes."""

    def __init__(self) -> None:
        self.bytes = INITIAL_HEARTBEAT_BYTES

    def observe_length(self, length: int) -> None:
        """Update the average length with a heartbeat that was sent, in bytes."""
        self.bytes += HEARTBEAT_LENGTH_WEIGHT * (length - self.bytes)

    def interval(self, receivers: int, *, is_owner: bool) -> float:
        """Return the seconds between heartbeats; owners may send more often."""
        rate = MAX_OWNER_BYTES_PER_SECOND if is_owner else max_send_rate(receivers)
        return max(HEARTBEAT_SECONDS, receivers * self.bytes / rate)


def max_send_rate(receivers: int) -> float:
    """Return the most bytes per second that a member sends if it owns nothing.

    >>> max_send_rate(100), max_send_rate(200)
    (25000.0, 12500.0)
    """
    return MAX_HEARTBEAT_BYTES_PER_SECOND * min(1.0, MAX_FULL_RATE_MEMBERS / max(1, receivers))
