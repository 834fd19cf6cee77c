"""Selects the waiting pieces that go into the next call to a stage worker."""

from collections.abc import Callable
from dataclasses import dataclass

from corkcrank.contracts.urgency import Urgency
from corkcrank.links.platform_ports import PieceOrder

MAX_OVERTAKING_SIZE_SHARE = 0.1
"""Maximum size of a piece that may overtake one that waits for result memory, as a share of the
latter's size."""

HasLeft = Callable[[], bool]
"""Returns whether the requester of pieces has closed its connection."""


def never_leaves() -> bool:
    """Return false: a requester in this process withdraws its pieces instead."""
    return False


@dataclass(slots=True, eq=False)
class StageItem:
    """One piece of a stage that waits in a queue.

    ``urgency`` orders the queue, lowest first; it includes the time by which the piece should
    finish. From ``start_by`` on, starting the piece is useless. ``abandoned_at`` is when its
    call abandoned it. A piece that goes ``alone`` shares no batch with pieces of other calls. A
    ``final`` piece is not placed again if its worker is silent.
    """

    order: PieceOrder
    result_bytes: float
    urgency: Urgency
    start_by: float
    end_at: float
    submitted_at: float
    sequence: int = 0
    abandoned_at: float | None = None
    alone: bool = False
    final: bool = False
    has_left: HasLeft = never_leaves

    @property
    def abandoned(self) -> bool:
        """Return whether the piece's call has abandoned it."""
        return self.abandoned_at is not None

    @property
    def wanted(self) -> bool:
        """Return whether the piece's call has not abandoned it and its requester is connected."""
        return not self.abandoned and not self.has_left()


def fill_batch(
    queue: list[StageItem], batch: int, room: float, whole_room: float
) -> list[StageItem]:
    """Return the pieces of the next call, in the order of the queue.

    The pieces of one call's stage start together if ``whole_room`` can hold them all. If only
    some of them started, their results would occupy memory until the others finish. While such
    a group waits for room, only far smaller pieces may overtake it.

    Pieces that go ``alone`` wait until they are first and then form their own batch. Such a piece
    may repeatedly crash its worker, and every other piece in the batch would fail with it.
    """
    chosen: list[StageItem] = []
    max_size = float("inf")
    for group in _group_by_call_and_stage(queue):
        if chosen and (group[0].alone or chosen[0].alone):
            continue
        size = group[0].result_bytes
        if size > max_size:
            continue
        group_size = size * len(group)
        if group_size > room and group_size <= whole_room:
            max_size = min(max_size, size * MAX_OVERTAKING_SIZE_SHARE)
            continue
        for stage_item in group:
            if len(chosen) >= batch:
                return chosen
            if size > room:
                max_size = min(max_size, size * MAX_OVERTAKING_SIZE_SHARE)
                break
            room -= size
            chosen.append(stage_item)
    return chosen


def _group_by_call_and_stage(queue: list[StageItem]) -> list[list[StageItem]]:
    """Group the pieces by call and stage; groups are in the order of their first piece."""
    groups: dict[tuple[str, int], list[StageItem]] = {}
    for stage_item in queue:
        groups.setdefault((stage_item.order.call_id, stage_item.order.stage), []).append(stage_item)
    return list(groups.values())
