"""Counts a daemon's control traffic: bodies, and an allowance for the heads around them."""

from dataclasses import dataclass

HEAD_BYTES = 300
"""Allowance for the two HTTP heads of one exchange; a benchmark measures that it is enough."""

UNUSED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")
"""Headers that the client library would send and nobody reads."""


@dataclass(slots=True)
class ControlTraffic:
    """What one daemon exchanged for control, sent and received."""

    exchanges: int = 0
    body_bytes: int = 0

    def count(self, request_bytes: int, answer_bytes: int) -> None:
        """Count one exchange, as client or as server."""
        self.exchanges += 1
        self.body_bytes += request_bytes + answer_bytes

    @property
    def total_bytes(self) -> int:
        """Return bodies and heads."""
        return self.body_bytes + HEAD_BYTES * self.exchanges
