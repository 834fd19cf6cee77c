"""How long a stream takes from its first event to its end, by route.

A gateway that is stopping admits only streams that end before it does. Callers tell the
most tokens that may come out, so the time is kept for each of these tokens, and as an upper
envelope: a stream that is cut serves its caller worse than one that is refused.
"""

from dataclasses import dataclass, field

UNKNOWN_TOKEN_SECONDS = 0.03
"""Seconds a token before any stream of a route was measured: a slow engine's pace."""

SHRINK_WEIGHT = 0.05
"""Weight of a shorter stream in the envelope; a longer one replaces it."""


@dataclass(slots=True)
class StreamTimes:
    """The longest usual time of streams, in seconds for each token that may come out."""

    _token_seconds: dict[str, float] = field(default_factory=dict)

    def learn(self, route: str, tokens_out: int, seconds: float) -> None:
        """Take the time that a whole stream took after its first event.

        >>> times = StreamTimes()
        >>> times.learn("r", 100, 2.0); times.learn("r", 100, 1.0)
        >>> round(times.of("r", 200), 2), times.of("unknown", 10)
        (3.9, 0.3)
        """
        measured = seconds / max(1, tokens_out)
        known = self._token_seconds.get(route, 0.0)
        shrunk = known + SHRINK_WEIGHT * (measured - known)
        self._token_seconds[route] = max(measured, shrunk)

    def of(self, route: str, tokens_out: int) -> float:
        """Return the seconds that a stream of a route may take after its first event."""
        pace = self._token_seconds.get(route, UNKNOWN_TOKEN_SECONDS)
        return pace * max(1, tokens_out)
