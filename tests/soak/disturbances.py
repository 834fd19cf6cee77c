"""Records when faults disturbed the parts of a soak's environment."""

import time
from collections import defaultdict

MACHINE = "machine"
"""Name of the part that is disturbed when the machine stalled every process."""


class Disturbances:
    """Times at which unplanned faults disturbed each part of the environment."""

    def __init__(self) -> None:
        self._last: dict[str, float] = {}
        self._open: dict[str, int] = defaultdict(int)

    def begin(self, part: str) -> None:
        """Record that a fault began in a part."""
        self._open[part] += 1

    def end(self, part: str) -> None:
        """Record that a fault ended in a part."""
        self._open[part] -= 1
        self._last[part] = time.monotonic()

    def disturbed_since(self, part: str, moment: float) -> bool:
        """Return whether a part was disturbed at any time after ``moment``."""
        return self._open[part] > 0 or self._last.get(part, float("-inf")) >= moment
