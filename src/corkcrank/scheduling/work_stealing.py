"""Selects waiting pieces that a free worker steals from busy workers of its pool."""

from collections.abc import Sequence
from dataclasses import dataclass

from corkcrank.scheduling.batch_filling import StageItem
from corkcrank.scheduling.stage_queue import StageQueue


@dataclass(frozen=True, slots=True)
class StolenPiece:
    """A piece to move to another worker, with the queue in which it waits."""

    queue: StageQueue
    stage_item: StageItem


def pieces_to_steal(
    free_queue: StageQueue, other_queues: Sequence[StageQueue], now: float
) -> tuple[StolenPiece, ...]:
    """Return waiting pieces that would finish earlier at the free queue, most urgent first.

    Queues that can start a call themselves are skipped. A piece stays in its queue if the current
    worker would finish it sooner, so a slow worker steals few pieces.
    """
    free_places = free_queue.capacity.batch - free_queue.waiting
    if free_places <= 0 or not free_queue.can_start_call(now):
        return ()
    candidates = [
        StolenPiece(queue, stage_item)
        for queue in other_queues
        if not queue.can_start_call(now)
        for stage_item in queue.queued()
    ]
    candidates.sort(key=lambda piece: piece.stage_item.urgency)
    taken: list[StolenPiece] = []
    for piece in candidates:
        seconds_if_moved = free_queue.call_seconds(free_queue.waiting + len(taken) + 1)
        seconds_if_kept = piece.queue.seconds_until_free_if_late(now) + piece.queue.call_seconds(1)
        if seconds_if_moved < seconds_if_kept:
            taken.append(piece)
        if len(taken) == free_places:
            break
    return tuple(taken)
