"""When the results that an engine reads may be freed.

An engine fetches a call's results before it reads the prompt, well before its first event.
Room at stage workers is scarce, so results are freed a short while after the call was sent.
An engine that missed a result doubles the while; each good call shortens it again.
"""

from dataclasses import dataclass

FIRST_DELAY_SECONDS = 0.06
"""Delay before anything was learned: several round trips."""

LONGEST_DELAY_SECONDS = 2.0
"""Beyond this the first event is waited for in any case."""

SHRINK = 0.98
"""Factor of the delay after a call that found all its results."""


@dataclass(slots=True)
class FetchDelay:
    """The delay for one engine service, in seconds."""

    seconds: float = FIRST_DELAY_SECONDS

    def missed(self) -> None:
        """Double the delay after an engine missed a result.

        >>> delay = FetchDelay(); delay.missed(); delay.seconds
        0.12
        """
        self.seconds = min(LONGEST_DELAY_SECONDS, 2.0 * self.seconds)

    def found(self) -> None:
        """Shorten the delay a little."""
        self.seconds = max(FIRST_DELAY_SECONDS, SHRINK * self.seconds)
