"""Delay after which the stage results that an engine fetches may be freed.

An engine fetches a call's results before it reads the prompt, well before its first event. Result
memory at stage workers is scarce, so results are freed a short delay after the call was sent. The
delay doubles when an engine misses a result and shrinks with each call that finds all results.
"""

from dataclasses import dataclass

INITIAL_DELAY_SECONDS = 0.06
"""Delay before the first observation, and its minimum: several round trips."""

MAX_DELAY_SECONDS = 2.0
"""Upper bound of the delay. Results are kept until the first event anyway."""

SUCCESS_DECAY_FACTOR = 0.98
"""Factor that shortens the delay after a call that found all its results."""


@dataclass(slots=True)
class FetchDelay:
    """The delay for one engine service, in seconds."""

    seconds: float = INITIAL_DELAY_SECONDS

    def record_miss(self) -> None:
        """Double the delay after an engine missed a result.

        >>> delay = FetchDelay(); delay.record_miss(); delay.seconds
        0.12
        """
        self.seconds = min(MAX_DELAY_SECONDS, 2.0 * self.seconds)

    def record_hit(self) -> None:
        """Shorten the delay after a call that found all its results."""
        self.seconds = max(INITIAL_DELAY_SECONDS, SUCCESS_DECAY_FACTOR * self.seconds)
