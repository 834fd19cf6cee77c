"""Maps a fault's numbers, 0 to 1, to targets and sizes."""

from collections.abc import Sequence
from typing import TypeVar

_Choice = TypeVar("_Choice")


def pick(items: Sequence[_Choice], choice: float) -> _Choice | None:
    """Return the item at a relative position, or ``None`` if there are no items."""
    return items[int(choice * len(items))] if items else None


def between(bounds: tuple[float, float], share: float) -> float:
    """Return the linear interpolation between two bounds."""
    return bounds[0] + share * (bounds[1] - bounds[0])
