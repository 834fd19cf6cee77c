"""Tracks the results that occupy the result memory ("room") of one stage worker.

Pure code: callers pass in the time.
"""

from dataclasses import dataclass, field

HOLD_WEIGHT = 0.1
"""Weight of the newest result in the mean hold time."""

USABLE_ROOM_DECREASE = 0.05
"""Decrease of the usable share of the room after a call that lacked room."""

USABLE_ROOM_INCREASE = 0.005
"""Increase of the usable share of the room after a call with sufficient room."""

MIN_USABLE_ROOM_SHARE = 0.6
"""Lower bound of the usable share of the room."""

UNKNOWN_HANDLE = ""
"""Placeholder handle for results of other calls that occupy room."""

UNKNOWN_HOLD_SECONDS = 0.3
"""Time for which room is not requested again after the worker refused a piece for lack of it."""

FREE_SHARE_OF_REFUSED_SIZE = 0.99
"""Share of a refused piece's size that counts as free, so that a truly smaller piece fits."""

REPORTED_HOLD_SECONDS = 0.1
"""Time for which room is not requested again after the worker reported its free room. It is short
because another attempt, with the report that follows a refusal, costs a few round trips."""


@dataclass(slots=True)
class _HeldResult:
    size: float
    completed_at: float
    expires_at: float


@dataclass(slots=True)
class ResultRoom:
    """The held results of one worker, their mean hold time, and the usable share of the room."""

    mean_hold: float = 0.5
    usable_share: float = 1.0
    _held: dict[str, _HeldResult] = field(default_factory=dict)
    _smallest_refused: float = float("inf")

    @property
    def used(self) -> float:
        """Return the bytes occupied by the held results."""
        return sum(result.size for result in self._held.values())

    @property
    def occupied(self) -> bool:
        """Return whether any result is held."""
        return bool(self._held)

    def expiries(self) -> list[float]:
        """Return when the held results expire."""
        return [result.expires_at for result in self._held.values()]

    def hold(self, handle: str, size: float, now: float, expires_at: float) -> None:
        """Record a result that occupies room until it is freed or expires."""
        self._held[handle] = _HeldResult(size, now, expires_at)

    def free(self, handle: str, now: float) -> None:
        """Release the room of a result and update the mean hold time."""
        held = self._held.pop(handle, None)
        if held is not None:
            self.mean_hold += HOLD_WEIGHT * ((now - held.completed_at) - self.mean_hold)

    def remove_expired(self, now: float) -> None:
        """Remove the results that have expired at the worker."""
        for handle in [key for key, held in self._held.items() if held.expires_at <= now]:
            del self._held[handle]

    def hold_unknown(self, free_bytes: float, smallest_refused: float, now: float) -> None:
        """Reserve room for unknown results, after a piece was refused for lack of room.

        They belong to calls without an answer and to previous owners of the queue. The remaining
        room is less than the smallest refused piece; smaller pieces may fit.
        """
        self._smallest_refused = smallest_refused
        unknown_bytes = free_bytes - FREE_SHARE_OF_REFUSED_SIZE * smallest_refused
        if unknown_bytes > 0:
            self.hold(UNKNOWN_HANDLE, unknown_bytes, now, now + UNKNOWN_HOLD_SECONDS)

    def apply_reported_free(
        self, free_bytes: float, room_bytes: float, working_bytes: float, now: float
    ) -> None:
        """Apply the free room that a worker reports; unexplained use counts as unknown results.

        ``room_bytes`` is the whole room, of which running calls take ``working_bytes``. A new owner
        has no record of the results that occupy room. A piece that the worker has just refused is
        not resent immediately, even if the worker reports enough free room.
        """
        self._held.pop(UNKNOWN_HANDLE, None)
        free = min(free_bytes, FREE_SHARE_OF_REFUSED_SIZE * self._smallest_refused)
        self._smallest_refused = float("inf")
        unknown = room_bytes - free - (working_bytes + self.used)
        if unknown > 0:
            self.hold(UNKNOWN_HANDLE, unknown, now, now + REPORTED_HOLD_SECONDS)

    def update_usable_share(self, refused_pieces: int) -> None:
        """Adapt the usable share to refused pieces: stated result sizes are estimates."""
        if refused_pieces:
            self.usable_share = max(MIN_USABLE_ROOM_SHARE, self.usable_share - USABLE_ROOM_DECREASE)
        else:
            self.usable_share = min(1.0, self.usable_share + USABLE_ROOM_INCREASE)
