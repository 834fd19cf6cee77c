"""The owner's side of stage workers: lanes, the calls at work, results given up."""

import asyncio
import time
from collections.abc import Callable, Coroutine, Sequence

import msgspec

from corkcrank.contracts.opaque_configuration import ServiceProfile
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.gateway.opaque.coming_pieces import ComingPieces
from corkcrank.gateway.opaque.owned_lane import (
    AVOID_SECONDS,
    FULL_BLOCK_SECONDS,
    LEAST_TIMER_SECONDS,
    OwnedLane,
    OwnedLanes,
)
from corkcrank.gateway.opaque.peer_protocol import StageAnswer, StageWork
from corkcrank.gateway.opaque.stage_caller import StageCaller
from corkcrank.gateway.opaque.stage_messages import describe, given_up, load_of, refuse, ticket_of
from corkcrank.gateway.opaque.stage_room import StageRoom
from corkcrank.gateway.opaque.worker_client import SendFailure, WorkerClient
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.platform_ports import PieceOutcome, PieceResult, StageCodec
from corkcrank.machines.heartbeat import StageLoad
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.machines.worker_pools import pool_of
from corkcrank.scheduling.batch_filling import PieceTicket
from corkcrank.scheduling.queue_sharing import pieces_to_take
from corkcrank.scheduling.stage_lane import StageCall, StageLane
from corkcrank.scheduling.worker_choice import StandingBook
from corkcrank.scheduling.worker_outcomes import CallOutcome


class StageDesk:
    """Fills the batches of the stage workers that this gateway owns.

    Whoever sends work here is served, also by a gateway that does not think itself the owner:
    views differ for a moment, and the worker's own queue bears two.

    ``on_release`` takes a step, ``queued`` or ``stages``, and the seconds since a call left it;
    ``on_outcome`` a worker and how a call to it ended.
    """

    def __init__(
        self,
        mirror: StoreMirror,
        book: StandingBook,
        codec: StageCodec,
        client: WorkerClient,
        log: DecisionLog,
    ) -> None:
        self._mirror = mirror
        self._book = book
        self._caller = StageCaller(codec, client)
        self._log = log
        self._lanes = OwnedLanes(mirror, book, lambda entry: self.room.ask(entry.room))
        self.room = StageRoom(self._caller, log, self._spawn, self._room_changed)
        self.coming = ComingPieces()
        self._futures: dict[int, asyncio.Future[PieceResult]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._refusing = False
        self.on_release: Callable[[str, float], None] = lambda step, seconds: None
        self.on_outcome: Callable[[WorkerRecord, CallOutcome], None] = lambda worker, outcome: None

    def lane(self, worker_id: str) -> StageLane | None:
        """Return the lane of a worker if this gateway has one."""
        entry = self._lanes.get(worker_id)
        return entry.lane if entry is not None else None

    def lanes(self) -> list[tuple[str, StageLane]]:
        """Return every lane, for dumps and metrics."""
        return [(entry.worker.worker_id, entry.lane) for entry in self._lanes]

    @property
    def busy(self) -> bool:
        """Return whether any piece waits or is at work."""
        return any(entry.lane.waiting or entry.lane.at_work for entry in self._lanes)

    def loads(self, now: float) -> tuple[StageLoad, ...]:
        """Return what heartbeats tell of the lanes here."""
        loads = []
        for entry in self._lanes:
            if not entry.lane.idle:
                loads.append(load_of(entry.worker.worker_id, entry.lane, now))
        return tuple(loads)

    async def make(self, work: StageWork) -> StageAnswer:
        """Queue pieces and return their results; on cancellation they are withdrawn."""
        if self._refusing:
            return refuse(work, 0.0, "owner is stopping")
        worker = self._mirror.workers.get(work.worker_id)
        profile = self._profile(work.service)
        if worker is None or worker.leaving or profile is None or profile.stage is None:
            return refuse(work, 0.0, "worker is leaving or unknown")
        now = time.monotonic()
        entry, forecast = self._lanes.first_free(worker, profile, work, now)
        if forecast.start > work.start_by:
            entry.lane.counters.refused += len(work.pieces)
            return refuse(work, forecast.start, "too long a wait")
        tickets = [ticket_of(work, piece, now) for piece in work.pieces]
        futures = [self._submit(entry, ticket) for ticket in tickets]
        self._pump(entry)
        self._offer(entry, profile)
        try:
            with self.coming.counted(work, now):
                results = await asyncio.gather(*futures)
        except asyncio.CancelledError:
            self._abandon(entry, tickets, futures)
            raise
        return StageAnswer(tuple(results), forecast.start)

    def free(self, worker_id: str, handles: Sequence[str]) -> None:
        """Give up results; a worker that has left needs no word."""
        entry = self._lanes.get(worker_id)
        if entry is None:
            worker = self._mirror.workers.get(worker_id)
            profile = self._profile(worker.service) if worker is not None else None
            if worker is None or profile is None or profile.stage is None:
                return
            entry = self._lanes.of(worker, profile)
        self.room.free(entry.room, handles)
        self._pump(entry)

    def workers_changed(self) -> None:
        """Send back the pieces that wait for workers that are leaving or gone."""
        for entry in self._lanes:
            worker = self._mirror.workers.get(entry.worker.worker_id)
            if worker is not None and not worker.leaving:
                continue
            entry.room.ended = self._mirror.workers.replaced(entry.worker)
            self._give_back(entry)
            if worker is None and entry.lane.at_work == 0:
                self._lanes.drop(entry)

    def refuse_pieces(self) -> None:
        """Give back the pieces that wait, and take none any more: this gateway stops."""
        self._refusing = True
        for entry in self._lanes:
            self._give_back(entry)

    def _give_back(self, entry: OwnedLane) -> None:
        for ticket in entry.lane.take_all():
            self._resolve(ticket, PieceResult(PieceOutcome.REFUSED))

    async def close(self) -> None:
        """Cancel what is at work, and begin nothing any more."""
        self.room.close()
        for entry in self._lanes:
            if entry.timer is not None:
                entry.timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _profile(self, service: str) -> ServiceProfile | None:
        configuration = self._mirror.configuration
        return configuration.service(service) if configuration is not None else None

    def _submit(self, entry: OwnedLane, ticket: PieceTicket) -> asyncio.Future[PieceResult]:
        future: asyncio.Future[PieceResult] = asyncio.get_running_loop().create_future()
        self._futures[id(ticket)] = future
        entry.lane.submit(ticket)
        return future

    def _abandon(
        self,
        entry: OwnedLane,
        tickets: list[PieceTicket],
        futures: list[asyncio.Future[PieceResult]],
    ) -> None:
        entries = [entry, *self._lanes.siblings(entry)]
        lanes = [item.lane for item in entries]
        now = time.monotonic()
        if all(any(ticket in lane.queued() for lane in lanes) for ticket in tickets):
            self.on_release("queued", 0.0)
        for ticket, future in zip(tickets, futures, strict=True):
            for lane in lanes:
                lane.withdraw(ticket, now)
            self._futures.pop(id(ticket), None)
            made = future.done() and not future.cancelled() and future.result().handle
            if made:
                self.free(future.result().worker_id, [future.result().handle])
        # Not at once: others may leave in the same moment.
        for item in entries:
            asyncio.get_running_loop().call_later(LEAST_TIMER_SECONDS, self._pump, item)

    def _pump(self, entry: OwnedLane) -> None:
        now = time.monotonic()
        for ticket in entry.lane.take_late(now):
            self._resolve(ticket, PieceResult(PieceOutcome.LATE))
        self._take_over(entry, now)
        while (call := entry.lane.next_call(now)) is not None:
            self._spawn(self._run(entry, call))
        self._set_timer(entry, now)

    def _set_timer(self, entry: OwnedLane, now: float) -> None:
        if entry.timer is not None:
            entry.timer.cancel()
            entry.timer = None
        at = entry.lane.next_event_at(now)
        if at is not None:
            delay = max(LEAST_TIMER_SECONDS, at - now)
            entry.timer = asyncio.get_running_loop().call_later(delay, self._pump, entry)

    def _offer(self, entry: OwnedLane, profile: ServiceProfile) -> None:
        """Have idle workers of the pool take pieces that wait for a busy one."""
        for worker in pool_of(self._mirror.workers, entry.worker).workers:
            if not entry.lane.waiting:
                return
            if worker.worker_id != entry.worker.worker_id:
                self._pump(self._lanes.of(worker, profile))

    def _take_over(self, entry: OwnedLane, now: float) -> None:
        """Take over pieces that wait for busy workers, if this one is idle and sound."""
        standing = self._book.of(entry.worker.worker_id)
        unsound = standing.avoid_until > now or standing.set_aside(repeatable=True)
        if unsound or standing.leaving or self._leaving(entry):
            return
        others = [sibling.lane for sibling in self._lanes.siblings(entry)]
        for piece in pieces_to_take(entry.lane, others, now):
            piece.lane.take(piece.ticket)
            entry.lane.submit(piece.ticket)

    def _resolve(self, ticket: PieceTicket, result: PieceResult) -> bool:
        """Hand a result to whoever waits for it; return whether anybody still does."""
        future = self._futures.pop(id(ticket), None)
        if future is None or future.done():
            return False
        future.set_result(result)
        return True

    async def _run(self, entry: OwnedLane, call: StageCall) -> None:
        started = time.monotonic()
        outcome: list[PieceResult] | SendFailure | None = None
        try:
            outcome = await self._caller.ask(entry.worker, call, entry.known_handles)
        finally:
            self._finish(entry, call, outcome, started)

    def _finish(
        self,
        entry: OwnedLane,
        call: StageCall,
        outcome: list[PieceResult] | SendFailure | None,
        started: float,
    ) -> None:
        now = time.monotonic()
        results = outcome if isinstance(outcome, list) else None
        entry.lane.end_call(call, results, now)
        left = given_up(call.tickets, now)
        for since in left.values():
            self.on_release("stages", since)
        self._log.write(
            LogEvent.BATCH_ENDED,
            worker=entry.worker.worker_id,
            service=entry.worker.service,
            pieces=len(call.tickets),
            calls=sorted({ticket.order.call_id for ticket in call.tickets}),
            given_up=left,
            outcome=describe(outcome),
            seconds=round(now - started, 3),
            expected=round(call.expected_seconds, 3),
            batch=entry.lane.capacity.batch,
            fixed=entry.lane.capacity.call_seconds,
            waiting=entry.lane.waiting,
            room_used=int(entry.lane.room_used),
        )
        if outcome is None:
            self._turned_away(entry, call, now)
        elif isinstance(outcome, SendFailure):
            self._failed(entry, call, outcome, now)
        else:
            self._succeeded(entry, call, outcome)
        self._pump(entry)

    def _turned_away(self, entry: OwnedLane, call: StageCall, now: float) -> None:
        """Queue the pieces again for a worker that is full: another owner fills it too."""
        entry.lane.put_back(call.tickets)
        entry.lane.block(now, FULL_BLOCK_SECONDS)
        if self._leaving(entry):
            self.workers_changed()

    def _leaving(self, entry: OwnedLane) -> bool:
        worker = self._mirror.workers.get(entry.worker.worker_id)
        return worker is None or worker.leaving

    def _failed(self, entry: OwnedLane, call: StageCall, failure: SendFailure, now: float) -> None:
        standing = self._book.of(entry.worker.worker_id)
        standing.failures.append(now)
        standing.avoid_until = now + AVOID_SECONDS
        self.on_outcome(entry.worker, CallOutcome.BROKEN)
        entry.lane.block(now, FULL_BLOCK_SECONDS)
        self._log.write(
            LogEvent.WORKER_AVOIDED,
            worker=entry.worker.worker_id,
            service=entry.worker.service,
            detail=failure.detail,
            seconds=AVOID_SECONDS,
        )
        for ticket in call.tickets:
            self._resolve(ticket, PieceResult(PieceOutcome.FAILED))
        for ticket in entry.lane.take_all():
            self._resolve(ticket, PieceResult(PieceOutcome.REFUSED))

    def _succeeded(self, entry: OwnedLane, call: StageCall, results: list[PieceResult]) -> None:
        self.on_outcome(entry.worker, CallOutcome.SERVED)
        orphans = []
        for ticket, result in zip(call.tickets, results, strict=True):
            if result.outcome is PieceOutcome.NO_ROOM:
                entry.lane.put_back([ticket])
                continue
            made = msgspec.structs.replace(result, worker_id=entry.worker.worker_id)
            if not self._resolve(ticket, made) and result.handle:
                orphans.append(result.handle)
        if orphans:
            self.free(entry.worker.worker_id, orphans)
        if any(result.outcome is PieceOutcome.NO_ROOM for result in results):
            self.room.ask(entry.room)

    def _room_changed(self, worker_id: str) -> None:
        entry = self._lanes.get(worker_id)
        if entry is not None:
            self._pump(entry)

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
