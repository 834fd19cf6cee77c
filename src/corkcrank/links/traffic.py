"""Counts the bytes of a daemon's control traffic: bodies and an estimate for HTTP heads."""

from dataclasses import dataclass

HEAD_ALLOWANCE_BYTES = 300
"""Upper estimate for the two HTTP heads of one exchange, verified by a benchmark."""

UNUSED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")
"""Headers that the client library sends by default and no receiver reads."""


@dataclass(slots=True)
class ControlTraffic:
    """Totals of one daemon's control exchanges, as client and as server."""

    exchanges: int = 0
    body_bytes: int = 0

    def record_exchange(self, request_bytes: int, answer_bytes: int) -> None:
        """Count one exchange, as client or as server."""
        self.exchanges += 1
        self.body_bytes += request_bytes + answer_bytes

    @property
    def total_bytes(self) -> int:
        """Return the bytes of bodies and heads."""
        return self.body_bytes + HEAD_ALLOWANCE_BYTES * self.exchanges
