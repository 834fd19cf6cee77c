"""Estimates the time of a stream from its first event to its end, by route.

A stopping gateway starts a stream only if the stream usually ends before the gateway exits. Callers
state the maximum number of output tokens, so the time is estimated per such token.

The estimate is the mean, not an upper bound. A stream is worth starting if it will probably end in
time. During a rolling restart of the gateways, a refused caller that tries another gateway has no
better chance. An upper bound is not useful either: one stream in a hundred takes nine times the
usual time.
"""

from dataclasses import dataclass, field

DEFAULT_TOKEN_SECONDS = 0.01
"""Estimate per output token before the first stream of a route has ended."""

SAMPLE_WEIGHT = 0.15
"""Weight of the newest stream in the moving average."""


@dataclass(slots=True)
class StreamTimes:
    """Usual stream times by route, in seconds per maximum output token."""

    _token_seconds: dict[str, float] = field(default_factory=dict)

    def observe_stream(self, route: str, tokens_out: int, seconds: float) -> None:
        """Update the estimate with the seconds from a stream's first event to its end.

        >>> times = StreamTimes()
        >>> times.observe_stream("r", 100, 2.0); times.observe_stream("r", 100, 1.0)
        >>> round(times.usual_seconds("r", 200), 2), times.usual_seconds("unknown", 10)
        (3.7, 0.1)
        """
        measured = seconds / max(1, tokens_out)
        known = self._token_seconds.get(route, measured)
        self._token_seconds[route] = known + SAMPLE_WEIGHT * (measured - known)

    def usual_seconds(self, route: str, tokens_out: int) -> float:
        """Return the usual seconds from the first event of a route's stream to its end."""
        pace = self._token_seconds.get(route, DEFAULT_TOKEN_SECONDS)
        return pace * max(1, tokens_out)
