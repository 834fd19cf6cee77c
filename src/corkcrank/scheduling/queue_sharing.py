"""Which pieces that wait for busy workers a free worker of the same pool takes over."""

from collections.abc import Sequence
from dataclasses import dataclass

from corkcrank.scheduling.batch_filling import PieceTicket
from corkcrank.scheduling.stage_lane import StageLane


@dataclass(frozen=True, slots=True)
class TakenPiece:
    """A piece that is taken over, and the lane in which it waited."""

    lane: StageLane
    ticket: PieceTicket


def pieces_to_take(
    free: StageLane, others: Sequence[StageLane], now: float
) -> tuple[TakenPiece, ...]:
    """Return waiting pieces that end earlier at the free lane, the most urgent first.

    A lane that can start a call itself keeps its pieces, and a slow worker takes none that
    its sibling would end sooner.
    """
    spare = free.capacity.batch - free.waiting
    if spare <= 0 or not free.may_start(now):
        return ()
    offered = [
        TakenPiece(lane, ticket)
        for lane in others
        if not lane.may_start(now)
        for ticket in lane.queued()
    ]
    offered.sort(key=lambda piece: piece.ticket.urgency)
    taken: list[TakenPiece] = []
    for piece in offered:
        here = free.call_seconds(free.waiting + len(taken) + 1)
        there = piece.lane.free_in(now) + piece.lane.call_seconds(1)
        if here < there:
            taken.append(piece)
        if len(taken) == spare:
            break
    return tuple(taken)
