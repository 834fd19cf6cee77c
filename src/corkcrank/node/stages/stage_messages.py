"""Builds the loads, answers and log fields of an owner of stage workers."""

from collections.abc import Sequence
from typing import Any

from corkcrank.contracts.urgency import Urgency
from corkcrank.links.platform_ports import PieceOrder, PieceOutcome, PieceResult
from corkcrank.machines.heartbeat import StageLoad
from corkcrank.node.peers.peer_protocol import StageAnswer, StageWork
from corkcrank.node.stages.owned_queue import OwnedQueue
from corkcrank.node.workers.worker_request import SendFailure, SendTrouble
from corkcrank.scheduling.batch_filling import StageItem
from corkcrank.scheduling.stage_queue import StageCall, StageQueue

_OUTCOMES = {
    SendTrouble.NOT_SENT: PieceOutcome.REFUSED,
    SendTrouble.REFUSED: PieceOutcome.REFUSED,
    SendTrouble.WITHDRAWN: PieceOutcome.REFUSED,
    SendTrouble.SILENT: PieceOutcome.FAILED,
    SendTrouble.UNKNOWN: PieceOutcome.BROKEN,
}
"""Outcome of the pieces of a batch without a response. Only a connection that failed after the
batch was sent suggests that its pieces crashed the worker: unsent pieces never reached it."""


def build_stage_load(worker_id: str, queue: StageQueue, now: float) -> StageLoad:
    """Return the load of a queue for heartbeats."""
    most_urgent = Urgency((-1, -1), float("inf"))
    starts = tuple(
        (rank, round(queue.forecast(now, Urgency(rank, float("inf")), 1, 0.0).start, 3))
        for rank in queue.ranks_waiting()
    )
    waiting = queue.queued()
    room = queue.capacity.room_bytes - queue.room_used
    ahead = [(0, round(room))] if waiting else []
    for rank, _ in starts:
        sizes = [item.result_bytes for item in waiting if item.urgency.rank <= rank]
        ahead.append((len(sizes), round(room - sum(sizes))))
    return StageLoad(
        worker_id=worker_id,
        free_seconds=round(queue.forecast(now, most_urgent, 1, 0.0).start, 3),
        starts=starts,
        waiting=queue.waiting,
        room_free=room - queue.room_wanted,
        ahead=tuple(ahead),
    )


def build_stage_item(work: StageWork, piece: int, now: float) -> StageItem:
    """Return the queue item of one piece, with its times converted to this machine's clock."""
    order = PieceOrder(work.call_id, work.stage, piece, work.key, work.inputs)
    # If inputs are freed that no other piece reads, a silent worker causes a rerun of all stages.
    final = work.final and not work.last_reads
    return StageItem(
        order=order,
        result_bytes=work.result_bytes,
        urgency=work.urgency.to_local_clock(now),
        start_by=now + work.start_by,
        end_at=now + work.remaining,
        submitted_at=now,
        alone=work.alone,
        final=final,
    )


def refusal_answer(work: StageWork, start_seconds: float, detail: str) -> StageAnswer:
    """Return an answer that refuses pieces, with the forecast wait and the reason."""
    refused = PieceResult(PieceOutcome.REFUSED)
    return StageAnswer((refused,) * len(work.pieces), start_seconds, detail)


def seconds_since_abandoned(stage_items: Sequence[StageItem], now: float) -> dict[str, float]:
    """Return the calls that abandoned pieces of a batch, and the seconds since then."""
    return {
        stage_item.order.call_id: round(now - stage_item.abandoned_at, 3)
        for stage_item in stage_items
        if stage_item.abandoned_at is not None
    }


def piece_outcome(failure: SendFailure) -> PieceOutcome:
    """Return the outcome of the pieces of a batch without a response."""
    return _OUTCOMES[failure.trouble]


def describe_batch(
    entry: OwnedQueue,
    call: StageCall,
    outcome: list[PieceResult] | SendFailure | None,
    seconds: float,
) -> dict[str, Any]:
    """Return the log fields of a batch that has ended."""
    queue = entry.queue
    return {
        "worker": entry.worker.worker_id,
        "service": entry.worker.service,
        "pieces": len(call.stage_items),
        "calls": sorted({stage_item.order.call_id for stage_item in call.stage_items}),
        "outcome": describe_outcome(outcome),
        "seconds": round(seconds, 3),
        "expected": round(call.expected_seconds, 3),
        "batch": queue.capacity.batch,
        "fixed": queue.capacity.call_seconds,
        "waiting": queue.waiting,
        "room_used": int(queue.room_used),
    }


def describe_outcome(outcome: list[PieceResult] | SendFailure | None) -> str:
    """Return the outcomes of the pieces of a call as a log text."""
    if outcome is None:
        return "turned away"
    if isinstance(outcome, SendFailure):
        return outcome.detail
    counts: dict[str, int] = {}
    for result in outcome:
        counts[result.outcome.value] = counts.get(result.outcome.value, 0) + 1
    return ", ".join(f"{count} {name}" for name, count in sorted(counts.items()))
