"""What an owner of stage workers tells others: loads, answers, log texts."""

from collections.abc import Sequence

from corkcrank.contracts.urgency import Urgency
from corkcrank.gateway.opaque.peer_protocol import StageAnswer, StageWork
from corkcrank.gateway.opaque.worker_client import SendFailure
from corkcrank.links.platform_ports import PieceOrder, PieceOutcome, PieceResult
from corkcrank.machines.heartbeat import StageLoad
from corkcrank.scheduling.batch_filling import PieceTicket
from corkcrank.scheduling.stage_lane import StageLane


def load_of(worker_id: str, lane: StageLane, now: float) -> StageLoad:
    """Return what heartbeats tell of a lane."""
    first = Urgency((-1, -1), float("inf"))
    starts = tuple(
        (rank, round(lane.forecast(now, Urgency(rank, float("inf")), 1, 0.0).start, 3))
        for rank in lane.ranks_waiting()
    )
    return StageLoad(
        worker_id=worker_id,
        free_seconds=round(lane.forecast(now, first, 1, 0.0).start, 3),
        starts=starts,
        waiting=lane.waiting,
        room_free=lane.capacity.room_bytes - lane.room_used - lane.room_wanted,
    )


def ticket_of(work: StageWork, piece: int, now: float) -> PieceTicket:
    """Return the ticket of one piece, with its times on this machine's clock."""
    order = PieceOrder(work.call_id, work.stage, piece, work.key, work.inputs)
    return PieceTicket(
        order=order,
        result_bytes=work.result_bytes,
        urgency=work.urgency.on_clock(now),
        start_by=now + work.start_by,
        end_at=now + work.remaining,
        submitted_at=now,
    )


def refuse(work: StageWork, start_seconds: float, detail: str) -> StageAnswer:
    """Return the answer to pieces that are not queued, and why."""
    refused = PieceResult(PieceOutcome.REFUSED)
    return StageAnswer((refused,) * len(work.pieces), start_seconds, detail)


def given_up(tickets: Sequence[PieceTicket], now: float) -> dict[str, float]:
    """Return the calls that gave up pieces of a batch, and how many seconds ago."""
    return {
        ticket.order.call_id: round(now - ticket.abandoned_at, 3)
        for ticket in tickets
        if ticket.abandoned_at is not None
    }


def describe(outcome: list[PieceResult] | SendFailure | None) -> str:
    """Return how the pieces of a call ended, for the log."""
    if outcome is None:
        return "turned away"
    if isinstance(outcome, SendFailure):
        return outcome.detail
    counts: dict[str, int] = {}
    for result in outcome:
        counts[result.outcome.value] = counts.get(result.outcome.value, 0) + 1
    return ", ".join(f"{count} {name}" for name, count in sorted(counts.items()))
