"""What an owner of stage workers tells others: loads, answers, log texts."""

from collections.abc import Sequence
from typing import Any

from corkcrank.contracts.urgency import Urgency
from corkcrank.links.platform_ports import PieceOrder, PieceOutcome, PieceResult
from corkcrank.machines.heartbeat import StageLoad
from corkcrank.node.peers.peer_protocol import StageAnswer, StageWork
from corkcrank.node.stages.owned_queue import OwnedQueue
from corkcrank.node.workers.worker_client import SendFailure, SendTrouble
from corkcrank.scheduling.batch_filling import StageItem
from corkcrank.scheduling.stage_queue import StageCall, StageQueue

_OUTCOMES = {
    SendTrouble.NOT_SENT: PieceOutcome.REFUSED,
    SendTrouble.REFUSED: PieceOutcome.REFUSED,
    SendTrouble.SILENT: PieceOutcome.FAILED,
    SendTrouble.UNKNOWN: PieceOutcome.BROKEN,
}
"""What became of the pieces of a batch without an answer. Only one that broke off shows that its
pieces may have ended the worker: what was not sent was never there."""


def load_of(worker_id: str, queue: StageQueue, now: float) -> StageLoad:
    """Return what heartbeats tell of a queue."""
    first = Urgency((-1, -1), float("inf"))
    starts = tuple(
        (rank, round(queue.forecast(now, Urgency(rank, float("inf")), 1, 0.0).start, 3))
        for rank in queue.ranks_waiting()
    )
    return StageLoad(
        worker_id=worker_id,
        free_seconds=round(queue.forecast(now, first, 1, 0.0).start, 3),
        starts=starts,
        waiting=queue.waiting,
        room_free=queue.capacity.room_bytes - queue.room_used - queue.room_wanted,
    )


def stage_item_of(work: StageWork, piece: int, now: float) -> StageItem:
    """Return the stage item of one piece, with its times on this machine's clock."""
    order = PieceOrder(work.call_id, work.stage, piece, work.key, work.inputs)
    return StageItem(
        order=order,
        result_bytes=work.result_bytes,
        urgency=work.urgency.on_clock(now),
        start_by=now + work.start_by,
        end_at=now + work.remaining,
        submitted_at=now,
        alone=work.alone,
    )


def refuse(work: StageWork, start_seconds: float, detail: str) -> StageAnswer:
    """Return the answer to pieces that are not queued, and why."""
    refused = PieceResult(PieceOutcome.REFUSED)
    return StageAnswer((refused,) * len(work.pieces), start_seconds, detail)


def given_up(stage_items: Sequence[StageItem], now: float) -> dict[str, float]:
    """Return the calls that gave up pieces of a batch, and how many seconds ago."""
    return {
        stage_item.order.call_id: round(now - stage_item.abandoned_at, 3)
        for stage_item in stage_items
        if stage_item.abandoned_at is not None
    }


def outcome_of(failure: SendFailure) -> PieceOutcome:
    """Return what became of the pieces of a batch without an answer."""
    return _OUTCOMES[failure.trouble]


def describe_batch(
    entry: OwnedQueue,
    call: StageCall,
    outcome: list[PieceResult] | SendFailure | None,
    seconds: float,
) -> dict[str, Any]:
    """Return what the log tells of a batch that has ended."""
    queue = entry.queue
    return {
        "worker": entry.worker.worker_id,
        "service": entry.worker.service,
        "pieces": len(call.stage_items),
        "calls": sorted({stage_item.order.call_id for stage_item in call.stage_items}),
        "outcome": describe(outcome),
        "seconds": round(seconds, 3),
        "expected": round(call.expected_seconds, 3),
        "batch": queue.capacity.batch,
        "fixed": queue.capacity.call_seconds,
        "waiting": queue.waiting,
        "room_used": int(queue.room_used),
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
