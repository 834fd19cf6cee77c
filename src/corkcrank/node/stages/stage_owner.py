"""Queues pieces for the stage workers that this gateway owns, and sends them in batches."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence

import msgspec

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_configuration import ServiceProfile
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.platform_ports import PieceOutcome, PieceResult
from corkcrank.machines.heartbeat import StageLoad
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.machines.worker_pools import pool_for_worker
from corkcrank.node.limits.worker_limits import WorkerLimits
from corkcrank.node.peers.peer_protocol import StageAnswer, StageWork
from corkcrank.node.stages.downstream_backlog import DownstreamBacklog
from corkcrank.node.stages.input_releases import InputReleases
from corkcrank.node.stages.owned_queue import (
    AVOID_SECONDS,
    BRITTLE_BLOCK_SECONDS,
    FULL_BLOCK_SECONDS,
    MIN_TIMER_SECONDS,
    OwnedQueue,
    OwnedQueues,
    block_if_limited,
    start_call_if_allowed,
)
from corkcrank.node.stages.piece_waiters import PieceWaiters
from corkcrank.node.stages.stage_messages import (
    build_stage_item,
    build_stage_load,
    describe_batch,
    piece_outcome,
    refusal_answer,
    seconds_since_abandoned,
)
from corkcrank.node.stages.stage_room import StageRoom
from corkcrank.node.stages.stage_worker_client import StageWorkerClient
from corkcrank.node.workers.worker_availability import WorkerAvailability
from corkcrank.node.workers.worker_request import SILENT_FAILURE, SendFailure, SendTrouble
from corkcrank.scheduling.batch_filling import HasLeft, StageItem, never_leaves
from corkcrank.scheduling.stage_queue import StageCall, StageQueue
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable
from corkcrank.scheduling.worker_outcomes import CallOutcome
from corkcrank.scheduling.worker_pace import WorkerPaces


class StageOwner:
    """Fills the batches of the stage workers that this gateway owns.

    Accepts work even if this gateway does not consider itself the owner: membership views differ
    for a short time, and a worker's own queue can serve two owners.

    ``on_release`` gets an abandoned call's step, ``queued`` or ``stages``, and the seconds until no
    worker ran it; ``on_outcome`` a worker and a call's outcome. No piece may end after ``ends_by``.
    """

    def __init__(
        self,
        mirror: StoreMirror,
        worker_statistics: WorkerStatisticsTable,
        availability: WorkerAvailability,
        caller: StageWorkerClient,
        limits: WorkerLimits,
        log: DecisionLog,
        paces: WorkerPaces | None = None,
    ) -> None:
        self._mirror = mirror
        self.paces = paces if paces is not None else WorkerPaces()
        self._availability = availability
        self._caller = caller
        self._limits = limits
        self._log = log
        self._queues = OwnedQueues(
            mirror,
            worker_statistics,
            lambda entry: self.room.request_report(entry.room),
            self.paces,
        )
        self.room = StageRoom(caller, availability, limits, log, self._spawn, self._room_changed)
        self.backlog = DownstreamBacklog()
        self.inputs = InputReleases()
        self._waiters = PieceWaiters()
        self._tasks: set[asyncio.Task[None]] = set()
        self._refusing = False
        self.ends_by = float("inf")
        self.on_release: Callable[[str, float], None] = lambda step, seconds: None
        self.on_outcome: Callable[[WorkerRecord, CallOutcome], None] = lambda worker, outcome: None

    def get_queue(self, worker_id: str) -> StageQueue | None:
        """Return the queue of a worker, or ``None`` if this gateway has none."""
        entry = self._queues.get(worker_id)
        return entry.queue if entry is not None else None

    def queues(self) -> list[tuple[str, StageQueue]]:
        """Return all queues with their worker ids, for dumps and metrics."""
        return [(entry.worker.worker_id, entry.queue) for entry in self._queues]

    @property
    def busy(self) -> bool:
        """Return whether any piece is queued or running, or awaited from a silent worker."""
        at_work = any(entry.queue.waiting or entry.queue.at_work for entry in self._queues)
        return at_work or self._waiters.any_awaited

    def stage_loads(self, now: float) -> tuple[StageLoad, ...]:
        """Return the loads of the queues that are not idle or are blocked, for heartbeats."""
        return tuple(
            build_stage_load(entry.worker.worker_id, entry.queue, now)
            for entry in self._queues
            if not entry.queue.idle or entry.queue.blocked_until > now
        )

    async def run_pieces(self, work: StageWork, has_left: HasLeft = never_leaves) -> StageAnswer:
        """Queue pieces and return their results; withdraw the pieces on cancellation.

        A batch is not sent if all requesters of its pieces have disconnected, by ``has_left``.
        """
        if self._refusing:
            return refusal_answer(work, 0.0, "owner is stopping")
        worker = self._mirror.workers.get(work.worker_id)
        profile = self._mirror.profile(work.service)
        if worker is None or not self._mirror.workers.accepts_work(worker):
            return refusal_answer(work, 0.0, "worker is unknown, leaving or in an evacuated zone")
        if profile is None or profile.stage is None:
            return refusal_answer(work, 0.0, "worker is of a service without stages")
        now = clock.now()
        choice = self._queues.queue_with_earliest_end(worker, profile, work, now)
        if choice is None:
            return refusal_answer(work, 0.0, "all workers of the pool leave")
        entry, forecast = choice
        if forecast.start > work.start_by:
            entry.queue.counters.refused += len(work.pieces)
            return refusal_answer(work, forecast.start, "too long a wait")
        if now + forecast.end > self.ends_by:
            return refusal_answer(work, 0.0, "owner is stopping")
        stage_items = [build_stage_item(work, piece, now) for piece in work.pieces]
        self.inputs.track(work, stage_items)
        futures = [self._waiters.add(stage_item) for stage_item in stage_items]
        for stage_item in stage_items:
            stage_item.has_left = has_left
            entry.queue.submit(stage_item)
        self._start_calls(entry)
        self._offer_to_idle_workers(entry, profile)
        try:
            with self.backlog.count_following(work, now):
                results = await asyncio.gather(*futures)
        except asyncio.CancelledError:
            self._withdraw_pieces(entry, stage_items, futures)
            self.inputs.discard(stage_items, inputs_missed=False)
            raise
        missed = any(result.outcome is PieceOutcome.INPUT_GONE for result in results)
        freed = self.inputs.discard(stage_items, inputs_missed=missed)
        return StageAnswer(
            tuple(results),
            forecast.start,
            inputs_freed=freed,
            short_of_room=entry.queue.short_of_room,
        )

    def free_results(self, worker_id: str, handles: Sequence[str]) -> None:
        """Free results; send nothing to a worker that is no longer listed."""
        entry = self._queues.get_or_create_listed(worker_id)
        if entry is None:
            return
        self.room.free_results(entry.room, handles)
        self._start_calls(entry)

    def apply_worker_changes(self) -> None:
        """Refuse the pieces queued for workers that no longer accept work."""
        for entry in self._queues:
            entry.room.evacuated = entry.worker.zone in self._mirror.workers.evacuated
            if self._availability.accepts_work(entry.worker):
                continue
            entry.room.restarted = self._mirror.workers.is_replaced(entry.worker)
            self._waiters.refuse(entry.queue.remove_all())
            if self._mirror.workers.get(entry.worker.worker_id) is None and not entry.queue.at_work:
                self._queues.remove(entry)

    def refuse_pieces(self) -> None:
        """Refuse queued and later pieces, because this gateway is stopping."""
        self._refusing = True
        for entry in self._queues:
            self._waiters.refuse(entry.queue.remove_all())

    async def close(self) -> None:
        """Cancel the running batches and timers."""
        self.room.close()
        for entry in self._queues:
            entry.cancel_timer()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _withdraw_pieces(
        self,
        entry: OwnedQueue,
        stage_items: list[StageItem],
        futures: list[asyncio.Future[PieceResult]],
    ) -> None:
        entries = [entry, *self._queues.siblings(entry)]
        queues = [item.queue for item in entries]
        now = clock.now()
        if all(any(stage_item in queue.queued() for queue in queues) for stage_item in stage_items):
            self.on_release("queued", 0.0)  # 0 s: all pieces wait, so no worker has to stop
        for stage_item, future in zip(stage_items, futures, strict=True):
            for queue in queues:
                queue.withdraw(stage_item, now)
            self._waiters.discard(stage_item)
            made = future.done() and not future.cancelled() and future.result().handle
            if made:
                self.free_results(future.result().worker_id, [future.result().handle])
        # Delayed, because further callers may disconnect at the same time.
        for item in entries:
            asyncio.get_running_loop().call_later(MIN_TIMER_SECONDS, self._start_calls, item)

    def _start_calls(self, entry: OwnedQueue) -> None:
        now = clock.now()
        for stage_item in entry.queue.remove_overdue(now):
            self._waiters.set_result(stage_item, PieceResult(PieceOutcome.LATE))
        block_if_limited(entry, self._limits, self._availability, now)
        self._queues.apply_pace(entry, now)
        self._queues.steal_pieces(entry, self._availability, now)
        while call := start_call_if_allowed(entry, self._limits, self._availability, now):
            if entry.queue.room_sufficed:
                # A piece that is rejected for lack of result memory reads its inputs again.
                self.inputs.record_begun(call.stage_items)
            self._spawn(self._run_call(entry, call))
        entry.set_timer(self._check, now)

    def _check(self, entry: OwnedQueue) -> None:
        """Start calls at a worker, and at free ones of its pool that steal its pieces."""
        self._start_calls(entry)
        for sibling in self._queues.free_siblings(entry, clock.now()):
            self._start_calls(sibling)

    def _offer_to_idle_workers(self, entry: OwnedQueue, profile: ServiceProfile) -> None:
        """Let idle workers of the pool steal pieces that are queued for a busy worker."""
        for worker in pool_for_worker(self._mirror.workers, entry.worker).workers:
            if not entry.queue.waiting:
                return
            if worker.worker_id != entry.worker.worker_id:
                self._start_calls(self._queues.get_or_create(worker, profile))

    async def _run_call(self, entry: OwnedQueue, call: StageCall) -> None:
        started = clock.now()
        outcome: list[PieceResult] | SendFailure | None = None
        try:
            outcome = await self._caller.run_call(
                entry.worker, call, entry.known_handles, lambda: self._outlast(entry, call)
            )
        finally:
            self._finish_call(entry, call, outcome, started)

    async def _outlast(self, entry: OwnedQueue, call: StageCall) -> None:
        """Wait for a silent worker while a caller awaits a final piece of its call.

        The worker counts as failed meanwhile, and the other pieces are placed again.
        """
        call.overdue = True
        entry.queue.end_call(call, None, clock.now())
        self._record_failed_worker(entry, SILENT_FAILURE)
        self._fail(entry, [item for item in call.stage_items if not item.final], SILENT_FAILURE)
        self._start_calls(entry)
        await self._waiters.wait_while_awaited(call.stage_items)

    def _finish_call(
        self,
        entry: OwnedQueue,
        call: StageCall,
        outcome: list[PieceResult] | SendFailure | None,
        started: float,
    ) -> None:
        now = clock.now()
        entry.queue.end_call(call, outcome if isinstance(outcome, list) else None, now)
        left = seconds_since_abandoned(call.stage_items, now)
        for since in left.values():
            self.on_release("stages", since)
        record = describe_batch(entry, call, outcome, now - started)
        self._log.write(LogEvent.BATCH_ENDED, given_up=left, **record)
        if outcome is None:
            self._rejected(entry, call, now)
        elif isinstance(outcome, SendFailure):
            known = call.overdue and outcome.trouble is SendTrouble.SILENT
            if outcome.trouble is not SendTrouble.WITHDRAWN and not known:
                self._record_failed_worker(entry, outcome)
            self._fail(entry, call.stage_items, outcome)
        else:
            self._succeeded(entry, call, outcome)
        self._start_calls(entry)

    def _rejected(self, entry: OwnedQueue, call: StageCall, now: float) -> None:
        """Requeue pieces that a full worker rejected because another owner sends to it too.

        If the worker leaves or requested a backoff, all its pieces are returned to be placed again.
        """
        awaited = [item for item in call.stage_items if self._waiters.awaits(item)]
        entry.queue.requeue(awaited)
        self.inputs.record_requeued(awaited)
        brittle = self._limits.cap_limits(entry.worker, now) is not None
        entry.queue.block_calls(now, BRITTLE_BLOCK_SECONDS if brittle else FULL_BLOCK_SECONDS)
        if not self._availability.may_send(entry.worker):
            self._waiters.refuse(entry.queue.remove_all())

    def _record_failed_worker(self, entry: OwnedQueue, failure: SendFailure) -> None:
        """Avoid a worker, and return its queued pieces to be placed again."""
        self._waiters.refuse(self._queues.record_failure(entry, failure.trouble, clock.now()))
        self.on_outcome(entry.worker, CallOutcome.CONNECTION_FAILED)
        self._log.write(
            LogEvent.WORKER_AVOIDED,
            worker=entry.worker.worker_id,
            service=entry.worker.service,
            detail=failure.detail,
            seconds=AVOID_SECONDS,
        )

    def _fail(self, entry: OwnedQueue, items: Sequence[StageItem], failure: SendFailure) -> None:
        """Return the outcome of a failed call to the callers of its pieces."""
        result = PieceResult(piece_outcome(failure), worker_id=entry.worker.worker_id)
        for stage_item in items:
            self._waiters.set_result(stage_item, result)

    def _succeeded(self, entry: OwnedQueue, call: StageCall, results: list[PieceResult]) -> None:
        self.on_outcome(entry.worker, CallOutcome.SERVED)
        orphans = []
        for stage_item, result in zip(call.stage_items, results, strict=True):
            if result.outcome is PieceOutcome.NO_ROOM:
                if self._waiters.awaits(stage_item):
                    entry.queue.requeue([stage_item])
                    self.inputs.record_requeued([stage_item])
                continue
            made = msgspec.structs.replace(result, worker_id=entry.worker.worker_id)
            if not self._waiters.set_result(stage_item, made) and result.handle:
                orphans.append(result.handle)
        if orphans:
            self.free_results(entry.worker.worker_id, orphans)
        if any(result.outcome is PieceOutcome.NO_ROOM for result in results):
            self.room.request_report(entry.room)

    def _room_changed(self, worker_id: str) -> None:
        entry = self._queues.get(worker_id)
        if entry is not None:
            self._start_calls(entry)

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
