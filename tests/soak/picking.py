"""Targets and sizes that a fault's numbers, 0 to 1, pick."""

from collections.abc import Sequence
from typing import TypeVar

_Choice = TypeVar("_Choice")


def pick(items: Sequence[_Choice], choice: float) -> _Choice | None:
    """Return one of some items, none of none."""
    return items[int(choice * len(items))] if items else None


def between(bounds: tuple[float, float], share: float) -> float:
    """Return a number between two."""
    return bounds[0] + share * (bounds[1] - bounds[0])
