"""How many requests a worker gets while it warms up, from all gateways together.

A warming worker bears a stated rate and falls over at well above it. Two ways lead to one:

- Where one gateway decides for all (the owner of a zone's engines), it counts what it granted
  in the last second.
- Where nobody can be asked (a plain call; an owner that does not answer), each gateway has
  times of its own, one request each, that follow from its name and the worker's. Equal shares
  of the rate would be nothing in a fleet of 86, and unused ones would all come due at once;
  times that pass unused are lost.

Pure: the time is handed in.
"""

from collections import deque

from corkcrank.contracts.rendezvous import rendezvous_weight

WINDOW_SECONDS = 1.0
"""Time over which requests are counted."""

SLOT_SHARE = 0.5
"""Part of the rate that all gateways' own times add up to: several fall together by chance, and
an owner may be granting beside them."""

_PHASES = 1 << 32


class GrantWindow:
    """What one gateway granted to each warming worker in the last second."""

    def __init__(self) -> None:
        self._granted: dict[str, deque[float]] = {}

    def fits(self, worker_id: str, rate: float, now: float) -> bool:
        """Return whether a worker that bears ``rate`` requests a second bears one more.

        >>> window = GrantWindow()
        >>> window.note("w", 5.0)
        >>> window.fits("w", 2.0, 5.5), window.fits("w", 1.0, 5.5), window.fits("w", 1.0, 6.1)
        (True, False, True)
        """
        granted = self._granted.get(worker_id)
        if granted is None:
            return True
        while granted and granted[0] <= now - WINDOW_SECONDS:
            granted.popleft()
        if not granted:
            del self._granted[worker_id]
            return True
        return len(granted) < max(1, int(rate))

    def note(self, worker_id: str, now: float) -> None:
        """Take that a request was granted to a warming worker."""
        self._granted.setdefault(worker_id, deque()).append(now)


class LocalSlots:
    """The times at which one gateway may send to a warming worker without asking anybody."""

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._used: dict[str, int] = {}

    def open(self, worker_id: str, rate: float, members: int, now: float) -> bool:
        """Return whether a request may go now; ``rate`` is the worker's, in requests a second."""
        position, slot = self._position(worker_id, rate, members, now)
        return position < 1.0 and self._used.get(worker_id) != slot

    def note(self, worker_id: str, rate: float, members: int, now: float) -> None:
        """Take that a request goes now."""
        self._used[worker_id] = self._position(worker_id, rate, members, now)[1]

    def _position(self, worker_id: str, rate: float, members: int, now: float) -> tuple[float, int]:
        """Return where in its round of ``members`` slots a gateway is, and the round's number."""
        phase = rendezvous_weight(self._own_name, worker_id) % _PHASES / _PHASES
        turns = now * SLOT_SHARE * rate / members + phase
        round_number = int(turns)
        return (turns - round_number) * members, round_number
