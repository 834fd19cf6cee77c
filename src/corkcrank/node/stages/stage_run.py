"""Runs the stages of one call: places pieces, collects results and frees unused ones."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.urgency import Urgency
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.platform_ports import PieceOutcome
from corkcrank.node.peers.peer_protocol import (
    FollowingPieces,
    FreeResults,
    StageWork,
)
from corkcrank.node.stages.held_results import HeldResults
from corkcrank.node.stages.stage_dispatch import StageDispatch
from corkcrank.node.stages.stage_failures import InputsUnavailableError, StageFailedError
from corkcrank.node.stages.stage_placing import stage_placing, urgency_at
from corkcrank.node.stages.stage_round import (
    Announcement,
    StageRound,
    describe_unavailable_inputs,
)
from corkcrank.node.workers.crash_watch import CrashWatch
from corkcrank.scheduling.call_admission import MAX_IDLE_WAIT_SECONDS, MAX_OVERRUN_DEVIATIONS
from corkcrank.scheduling.stage_plan import StagePlan

MAX_ROUNDS = 4
"""Maximum number of times that the pieces of one stage are placed before the call fails."""

ROUND_PAUSE_SECONDS = 0.05
"""Pause before uncompleted pieces are placed again."""

_UNFINISHED_OUTCOMES = (PieceOutcome.REFUSED, PieceOutcome.FAILED, PieceOutcome.BROKEN)


@dataclass(slots=True)
class StageRun:
    """Runs the stages of one call; its results are freed by :meth:`close`.

    ``seconds_after_stages`` is the time needed after the stages. ``spread_seconds`` is the standard
    deviation of the forecast by which the call was admitted. ``check_caller`` raises an error if
    the caller has closed its connection. ``promised`` is set if the pieces may wait until the
    call's deadline, because its stream has begun. ``started`` is set if a piece was run or
    attempted, ``_begun`` if any was requested.
    """

    call: OpaqueCall
    plan: StagePlan
    dispatch: StageDispatch
    crash_watch: CrashWatch
    log: DecisionLog
    zone: str
    seconds_after_stages: float
    spread_seconds: float
    check_caller: Callable[[], None]
    returning: bool = False
    started: bool = False
    closed: bool = False
    promised: bool = False
    shortest_wait: float = float("inf")
    _held: HeldResults = field(default_factory=HeldResults)
    _begun: bool = False
    _was_rerun: bool = False
    _short_of_room: set[int] = field(default_factory=set)
    """Stages at whose workers other pieces wait for result memory."""

    async def run(self) -> tuple[str, ...]:
        """Return the results that the call reads, once every stage has completed.

        Inputs are freed once a worker has read them. If that worker fails, all stages are rerun
        once. Raises :class:`StageFailedError`, at the latest at the call's deadline.
        """
        while True:
            left = clock.clamp_remaining_seconds(self.call.end_at - clock.now())
            try:
                async with asyncio.timeout(left):
                    return await self._run_once()
            except TimeoutError:
                raise StageFailedError("deadline", started=True, retry_after=0.0) from None
            except InputsUnavailableError as gone:
                if self._was_rerun:
                    raise StageFailedError(
                        gone.detail, started=self.started, retry_after=gone.retry_after
                    ) from None
                self._was_rerun = True
                self.log.write(LogEvent.STAGES_RERUN, call=self.call.call_id, detail=gone.detail)
                self._free_all()
                self.plan.reset_results()

    async def _run_once(self) -> tuple[str, ...]:
        tasks: dict[asyncio.Task[tuple[str, ...]], int] = {}
        try:
            while not self.plan.complete:
                for task, stage in self._start_stages():
                    tasks[task] = stage
                done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    self.plan.record_results(tasks.pop(task), task.result())
                self._free_handles(self.plan.release_consumed_results())
        finally:
            await _cancel(list(tasks))
        return self.plan.final_handles()

    def _start_stages(self) -> list[tuple[asyncio.Task[tuple[str, ...]], int]]:
        """Start the stages that are ready.

        Only the longest branch reports the call's later pieces, so that they are counted once.
        """
        ready = self.plan.ready_stages()
        for stage in ready:
            self.plan.record_start(stage)
        leading = self.plan.stage_with_longest_chain(ready) if ready else None
        begins, self._begun = not self._begun, True
        started = []
        for stage in ready:
            later = self._later_pieces() if stage == leading else ()
            work = self._run_stage(stage, Announcement(later, begins))
            started.append((asyncio.create_task(work), stage))
        return started

    def _later_pieces(self) -> tuple[FollowingPieces, ...]:
        return tuple(
            FollowingPieces(self.plan.definition(stage).service, self.plan.counts[stage])
            for stage in self.plan.unstarted_stages()
        )

    def reopen(self, *, promised: bool) -> None:
        """Allow the stages to run again after their results were freed."""
        self.closed = False
        self.promised = promised

    def close(self) -> None:
        """Free all results that are still stored."""
        self.closed = True
        self.plan.release_all_results()
        self._free_all()

    def _free_handles(self, handles: list[str]) -> None:
        if held := self._held.remove(handles):
            self.dispatch.free_results(held)

    def _free_all(self) -> None:
        if held := self._held.remove_all():
            self.dispatch.free_results(held)

    async def _run_stage(self, stage: int, announcement: Announcement) -> tuple[str, ...]:
        count = self.plan.counts[stage]
        handles: dict[int, str] = {}
        refused: set[str] = set()
        detail, wait = "", 0.0
        for attempt in range(MAX_ROUNDS):
            missing = [piece for piece in range(count) if piece not in handles]
            if attempt:
                await asyncio.sleep(ROUND_PAUSE_SECONDS)
            if wait := await self.crash_watch.wait_for_verdict(self.call):
                raise StageFailedError("quarantined", started=self.started, retry_after=wait)
            rounds = await self._place_pieces(stage, missing, refused, announcement)
            final = attempt + 2 == MAX_ROUNDS and not self.promised
            announcement = replace(announcement, begins=False, final=final)
            for item in rounds:
                detail, wait = item.answer.detail or detail, item.answer.start_seconds
                self._apply_round(item, handles, refused)
            if len(handles) == count:
                return tuple(handles[piece] for piece in range(count))
            if self._retry_is_useless(rounds):
                break
        if self.shortest_wait < float("inf"):
            wait = self.shortest_wait
        if any(item.inputs_unavailable for item in rounds):
            raise InputsUnavailableError(
                describe_unavailable_inputs(rounds), started=self.started, retry_after=wait
            )
        raise StageFailedError(
            detail or f"stage {stage} was not made", started=self.started, retry_after=wait
        )

    def _retry_is_useless(self, rounds: list[StageRound]) -> bool:
        outcomes = {result.outcome for item in rounds for result in item.answer.results}
        if any(item.inputs_unavailable for item in rounds) or clock.now() >= self.call.end_at:
            return True
        return not self.started and (not rounds or PieceOutcome.LATE in outcomes)

    def _apply_round(self, item: StageRound, handles: dict[int, str], refused: set[str]) -> None:
        for piece, result in zip(item.pieces, item.answer.results, strict=True):
            if result.outcome is PieceOutcome.DONE:
                handles[piece] = result.handle
                self.started = True
            elif result.outcome in _UNFINISHED_OUTCOMES:
                refused.add(item.worker.worker_id)
            if result.outcome in (PieceOutcome.FAILED, PieceOutcome.BROKEN):
                self.started = True
        self._report_connection_failures(item)

    def _report_connection_failures(self, item: StageRound) -> None:
        """Report connection failures of workers that ran this call's pieces to the crash watch."""
        broken = {
            result.worker_id
            for result in item.answer.results
            if result.outcome is PieceOutcome.BROKEN
        }
        for worker_id in broken:
            worker = self.dispatch.get_worker(worker_id)
            if worker is not None:
                self.crash_watch.record_connection_failure(self.call, worker)

    async def _place_pieces(
        self,
        stage: int,
        missing: list[int],
        refused: set[str],
        announcement: Announcement,
    ) -> list[StageRound]:
        """Place pieces in batches, each at the worker with the earliest forecast end."""
        # The task of this stage is cancelled some loop iterations after its call.
        self.check_caller()
        capacity = self.dispatch.service_capacity(self.plan.definition(stage).service)
        if capacity is None:
            return []
        placings = []
        for start in range(0, len(missing), capacity.batch):
            pieces = tuple(missing[start : start + capacity.batch])
            placings.append(self._place_batch(stage, pieces, refused, announcement))
            announcement = replace(announcement, following=())
        rounds = await asyncio.gather(*placings)
        return [item for item in rounds if item is not None]

    async def _place_batch(
        self,
        stage: int,
        pieces: tuple[int, ...],
        refused: set[str],
        announcement: Announcement,
    ) -> StageRound | None:
        definition = self.plan.definition(stage)
        placing = stage_placing(self.plan, self.dispatch, self.call, stage, len(pieces))
        placing = replace(
            placing,
            end_by=placing.end_by - self.seconds_after_stages,
            inputs=self._input_bytes(stage, len(pieces)),
            reader_zone=self.zone if not self.plan.reader_stages(stage) else "",
        )
        choice = self.dispatch.choose_worker(placing, refused)
        if choice is None and refused:
            refused.clear()
            choice = self.dispatch.choose_worker(placing, refused)
        if choice is None:
            return None
        worker, forecast = choice
        now = clock.now()
        if not self.started and forecast.start > self._max_wait(now):
            self.shortest_wait = min(self.shortest_wait, forecast.start)
            return None
        self.log.write(
            LogEvent.STAGE_PLACED,
            call=self.call.call_id,
            stage=stage,
            pieces=len(pieces),
            worker=worker.worker_id,
            zone=worker.zone,
            wanted_zone=self.zone,
            size=int(placing.size),
            start=round(forecast.start, 3),
            end=round(forecast.end, 3),
        )
        work = StageWork(
            worker_id=worker.worker_id,
            service=definition.service,
            call_id=self.call.call_id,
            stage=stage,
            pieces=pieces,
            key="" if definition.after else self.call.envelope.piece_key,
            inputs=self.plan.input_handles(stage),
            result_bytes=placing.size,
            urgency=self._urgency(stage),
            start_by=self._max_wait(now),
            remaining=clock.clamp_remaining_seconds(self.call.end_at - now),
            following=announcement.following,
            begins=announcement.begins,
            alone=self.crash_watch.is_suspected(self.call),
            last_reads=self._results_read_last(stage, len(pieces)),
            final=announcement.final,
        )
        answer = await self.dispatch.run_pieces(worker, work)
        if answer.short_of_room:
            self._short_of_room.add(stage)
        if answer.inputs_freed:
            for read in work.last_reads:
                self._held.remove(read.handles)
        for result in answer.results:
            if result.handle:
                self._held.add(result.handle, self.dispatch.get_worker(result.worker_id) or worker)
        return StageRound(worker, pieces, answer)

    def _results_read_last(self, stage: int, pieces: int) -> tuple[FreeResults, ...]:
        """Return the results of which these pieces are the last readers, by worker.

        Returns none if no piece waits for the memory of these results: after an early release, a
        failed worker causes a rerun of all stages. Returns none if only some of the stage's pieces
        are placed together, because the other pieces read the results too.
        """
        if pieces != self.plan.counts[stage]:
            return ()
        only_here = [
            source
            for source in self.plan.definition(stage).after
            if source in self._short_of_room and self.plan.reader_stages(source) == [stage]
        ]
        handles = [handle for source in only_here for handle in self.plan.result_handles(source)]
        return self._held.group_by_worker(handles)

    def _input_bytes(self, stage: int, pieces: int) -> dict[str, float]:
        """Return the bytes that pieces of a stage fetch, by the zone of their storage."""
        inputs: dict[str, float] = {}
        for source in self.plan.definition(stage).after:
            size = pieces * self.plan.definition(source).result_bytes
            for zone, count in self._held.count_by_zone(self.plan.result_handles(source)).items():
                inputs[zone] = inputs.get(zone, 0.0) + count * size
        return inputs

    def _urgency(self, stage: int) -> Urgency:
        """Return the urgency at a stage: the rank, and the seconds until the stages are due."""
        seconds_left = self.call.due_at - clock.now() - self.seconds_after_stages
        urgency = Urgency(self.call.queue_rank, round(seconds_left, 3))
        return urgency_at(self.plan, stage, urgency, self.dispatch.downstream_order)

    def _max_wait(self, now: float) -> float:
        """Return the maximum wait in seconds after which pieces may still start.

        Before any work has begun, a start must still be in time. Later, a call is abandoned once
        its lateness exceeds usual forecast errors. The minimum keeps such a call, or a
        returning caller that is too late for its objective, from a refusal while workers are idle.
        """
        if self.promised:
            return max(0.0, self.call.end_at - now - self.seconds_after_stages)
        limit = self.call.due_at
        if self.started or self.returning:
            limit += MAX_OVERRUN_DEVIATIONS * self.spread_seconds
        limit = min(limit, self.call.end_at)
        minimum = MAX_IDLE_WAIT_SECONDS if self.started or self.returning else 0.0
        return max(minimum, limit - now - self.seconds_after_stages)


async def _cancel(tasks: list[asyncio.Task[tuple[str, ...]]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
