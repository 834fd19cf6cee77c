"""Work stealing: which waiting pieces a free worker takes over from busy ones of its pool."""

from collections.abc import Sequence
from dataclasses import dataclass

from corkcrank.scheduling.batch_filling import StageItem
from corkcrank.scheduling.stage_queue import StageQueue


@dataclass(frozen=True, slots=True)
class StolenPiece:
    """A piece that is taken over, and the queue in which it waited."""

    queue: StageQueue
    stage_item: StageItem


def pieces_to_steal(
    free: StageQueue, others: Sequence[StageQueue], now: float
) -> tuple[StolenPiece, ...]:
    """Return waiting pieces that end earlier at the free queue, the most urgent first.

    A queue that can start a call itself keeps its pieces, and a slow worker takes none that
    its sibling would end sooner.
    """
    spare = free.capacity.batch - free.waiting
    if spare <= 0 or not free.may_start(now):
        return ()
    offered = [
        StolenPiece(queue, stage_item)
        for queue in others
        if not queue.may_start(now)
        for stage_item in queue.queued()
    ]
    offered.sort(key=lambda piece: piece.stage_item.urgency)
    taken: list[StolenPiece] = []
    for piece in offered:
        here = free.call_seconds(free.waiting + len(taken) + 1)
        there = piece.queue.free_in(now) + piece.queue.call_seconds(1)
        if here < there:
            taken.append(piece)
        if len(taken) == spare:
            break
    return tuple(taken)
