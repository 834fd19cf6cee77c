"""How long a stream takes from its first event to its end, by route.

A gateway that is stopping begins a stream only if it usually ends before the gateway does.
Callers tell the most tokens that may come out, so the time is kept for each of these tokens.

The usual time, not an upper bound, is what serves callers: a stream that is likelier to end
than not is worth beginning, since a caller sent away is served about as seldom while gateways
restart in turn. No bound would hold anyway: one in a hundred takes nine times as long as usual.
"""

from dataclasses import dataclass, field

UNKNOWN_TOKEN_SECONDS = 0.01
"""Seconds a token before any stream of a route has ended."""

NEWEST_WEIGHT = 0.15
"""Weight of the newest stream in the mean."""


@dataclass(slots=True)
class StreamTimes:
    """The usual time of streams, in seconds for each token that may come out."""

    _token_seconds: dict[str, float] = field(default_factory=dict)

    def learn(self, route: str, tokens_out: int, seconds: float) -> None:
        """Take the time that a whole stream took after its first event.

        >>> times = StreamTimes()
        >>> times.learn("r", 100, 2.0); times.learn("r", 100, 1.0)
        >>> round(times.of("r", 200), 2), times.of("unknown", 10)
        (3.7, 0.1)
        """
        measured = seconds / max(1, tokens_out)
        known = self._token_seconds.get(route, measured)
        self._token_seconds[route] = known + NEWEST_WEIGHT * (measured - known)

    def of(self, route: str, tokens_out: int) -> float:
        """Return the seconds that a stream of a route usually takes after its first event."""
        pace = self._token_seconds.get(route, UNKNOWN_TOKEN_SECONDS)
        return pace * max(1, tokens_out)
