"""Predicts from the decoding speed of a stream whether it can meet its deadline."""

MIN_DECODE_TIME_SHARE = 0.5
"""Minimum decoding time of a stream, as a share of the usual decoding time."""


class DecodePace:
    """Compares one attempt with the usual decoding time of its service.

    Parameters
    ----------
    usual_seconds
        Moving average of the time from first to last token, without waiting.
    max_tokens
        Number of requested tokens.

    """

    def __init__(self, usual_seconds: float, max_tokens: int) -> None:
        self._usual_seconds = usual_seconds
        self._max_tokens = max_tokens
        self._first_at: float | None = None
        self._last_at = 0.0
        self._tokens = 0

    def slack_seconds(self, remaining_seconds: float, offset: int) -> float:
        """Return the delay in seconds after which the stream cannot meet its deadline.

        >>> DecodePace(usual_seconds=1.0, max_tokens=10).slack_seconds(2.0, offset=5)
        1.75
        """
        left = max(0, self._max_tokens - offset) / self._max_tokens
        return remaining_seconds - MIN_DECODE_TIME_SHARE * self._usual_seconds * left

    def record_token(self, now: float) -> None:
        """Record the arrival time of a token."""
        if self._first_at is None:
            self._first_at = now
        self._last_at = now
        self._tokens += 1

    @property
    def measured_seconds(self) -> float | None:
        """Return the decoding time for all requested tokens, ``None`` with fewer than 2 tokens."""
        if self._first_at is None or self._tokens < 2:
            return None
        per_token = (self._last_at - self._first_at) / (self._tokens - 1)
        return per_token * self._max_tokens
