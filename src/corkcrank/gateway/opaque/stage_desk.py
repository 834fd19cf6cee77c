"""The owner's side of stage workers: lanes, the calls at work, results given up."""

import asyncio
import time
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass, field

from corkcrank.contracts.opaque_configuration import ServiceProfile
from corkcrank.contracts.urgency import Urgency
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.gateway.opaque.peer_protocol import StageAnswer, StageWork
from corkcrank.gateway.opaque.stage_caller import StageCaller
from corkcrank.gateway.opaque.worker_client import SendFailure, WorkerClient
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.platform_ports import (
    PieceOrder,
    PieceOutcome,
    PieceResult,
    StageCodec,
)
from corkcrank.machines.heartbeat import StageLoad
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.scheduling.batch_filling import PieceTicket
from corkcrank.scheduling.stage_lane import StageCall, StageLane
from corkcrank.scheduling.worker_choice import StandingBook

AVOID_SECONDS = 1.5
"""Time for which a worker whose call failed is avoided."""

FULL_BLOCK_SECONDS = 0.08
"""Pause after a worker said that it is full: another owner fills it too."""


@dataclass(slots=True)
class _Lane:
    worker: WorkerRecord
    lane: StageLane
    futures: dict[int, asyncio.Future[PieceResult]] = field(default_factory=dict)
    timer: asyncio.TimerHandle | None = None
    to_free: list[str] = field(default_factory=list)
    freeing: bool = False
    asking_room: bool = False
    known_handles: dict[str, None] = field(default_factory=dict)


class StageDesk:
    """Fills the batches of the stage workers that this gateway owns.

    Whoever sends work here is served, also when this gateway does not think itself the
    owner: views differ for a moment, and the worker's own queue bears two owners.
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
        self._lanes: dict[str, _Lane] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def lane(self, worker_id: str) -> StageLane | None:
        """Return the lane of a worker if this gateway has one."""
        entry = self._lanes.get(worker_id)
        return entry.lane if entry is not None else None

    def lanes(self) -> list[tuple[str, StageLane]]:
        """Return every lane, for dumps and metrics."""
        return [(worker_id, entry.lane) for worker_id, entry in self._lanes.items()]

    @property
    def busy(self) -> bool:
        """Return whether any piece waits or is at work."""
        return any(entry.lane.waiting or entry.lane.at_work for entry in self._lanes.values())

    def loads(self, now: float) -> tuple[StageLoad, ...]:
        """Return what heartbeats tell of the lanes here."""
        loads = []
        for worker_id, entry in self._lanes.items():
            lane = entry.lane
            if lane.idle:
                continue
            loads.append(_load(worker_id, lane, now))
        return tuple(loads)

    async def make(self, work: StageWork) -> StageAnswer:
        """Queue pieces and return their results; on cancellation they are withdrawn."""
        worker = self._mirror.workers.get(work.worker_id)
        profile = self._profile(work.service)
        if worker is None or worker.leaving or profile is None or profile.stage is None:
            return _refuse(work, 0.0, "worker is leaving or unknown")
        entry = self._lane_of(worker, profile)
        now = time.monotonic()
        urgency = work.urgency.on_clock(now)
        forecast = entry.lane.forecast(now, urgency, len(work.pieces), work.result_bytes)
        if forecast.start > work.start_by:
            entry.lane.counters.refused += len(work.pieces)
            return _refuse(work, forecast.start, "too long a wait")
        tickets = [_ticket(work, piece, now) for piece in work.pieces]
        futures = [self._submit(entry, ticket) for ticket in tickets]
        self._pump(entry)
        try:
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
            entry = self._lane_of(worker, profile)
        now = time.monotonic()
        for handle in handles:
            entry.lane.free(handle, now)
        entry.to_free.extend(handles)
        self._start_freeing(entry)
        self._pump(entry)

    def workers_changed(self) -> None:
        """Send back the pieces that wait for workers that are leaving or gone."""
        for worker_id, entry in list(self._lanes.items()):
            worker = self._mirror.workers.get(worker_id)
            if worker is not None and not worker.leaving:
                continue
            for ticket in entry.lane.take_all():
                self._resolve(entry, ticket, PieceResult(PieceOutcome.REFUSED))
            if worker is None and entry.lane.at_work == 0:
                self._drop_lane(worker_id, entry)

    async def close(self) -> None:
        """Cancel what is at work."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _profile(self, service: str) -> ServiceProfile | None:
        configuration = self._mirror.configuration
        return configuration.service(service) if configuration is not None else None

    def _lane_of(self, worker: WorkerRecord, profile: ServiceProfile) -> _Lane:
        entry = self._lanes.get(worker.worker_id)
        assert profile.stage is not None
        if entry is None:
            entry = self._lanes[worker.worker_id] = _Lane(worker, StageLane(profile.stage))
            self._ask_for_room(entry)
        entry.lane.capacity = profile.stage
        return entry

    def _drop_lane(self, worker_id: str, entry: _Lane) -> None:
        if entry.timer is not None:
            entry.timer.cancel()
        del self._lanes[worker_id]

    def _submit(self, entry: _Lane, ticket: PieceTicket) -> asyncio.Future[PieceResult]:
        future: asyncio.Future[PieceResult] = asyncio.get_running_loop().create_future()
        entry.futures[id(ticket)] = future
        entry.lane.submit(ticket)
        return future

    def _abandon(
        self,
        entry: _Lane,
        tickets: list[PieceTicket],
        futures: list[asyncio.Future[PieceResult]],
    ) -> None:
        made = []
        for ticket, future in zip(tickets, futures, strict=True):
            entry.lane.withdraw(ticket)
            entry.futures.pop(id(ticket), None)
            if future.done() and not future.cancelled():
                made.append(future.result().handle)
        self.free(entry.worker.worker_id, [handle for handle in made if handle])

    def _pump(self, entry: _Lane) -> None:
        now = time.monotonic()
        for ticket in entry.lane.take_late(now):
            self._resolve(entry, ticket, PieceResult(PieceOutcome.LATE))
        while (call := entry.lane.next_call(now)) is not None:
            self._spawn(self._run(entry, call))
        self._set_timer(entry, now)

    def _set_timer(self, entry: _Lane, now: float) -> None:
        if entry.timer is not None:
            entry.timer.cancel()
            entry.timer = None
        at = entry.lane.next_event_at(now)
        if at is not None:
            delay = max(0.005, at - now)
            entry.timer = asyncio.get_running_loop().call_later(delay, self._pump, entry)

    def _resolve(self, entry: _Lane, ticket: PieceTicket, result: PieceResult) -> None:
        future = entry.futures.pop(id(ticket), None)
        if future is not None and not future.done():
            future.set_result(result)

    async def _run(self, entry: _Lane, call: StageCall) -> None:
        started = time.monotonic()
        outcome: list[PieceResult] | SendFailure | None = None
        try:
            outcome = await self._caller.ask(entry.worker, call, entry.known_handles)
        finally:
            self._finish(entry, call, outcome, started)

    def _finish(
        self,
        entry: _Lane,
        call: StageCall,
        outcome: list[PieceResult] | SendFailure | None,
        started: float,
    ) -> None:
        now = time.monotonic()
        results = outcome if isinstance(outcome, list) else None
        entry.lane.end_call(call, results, now)
        self._log.write(
            LogEvent.BATCH_ENDED,
            worker=entry.worker.worker_id,
            service=entry.worker.service,
            pieces=len(call.tickets),
            calls=sorted({ticket.order.call_id for ticket in call.tickets}),
            outcome=_describe(outcome),
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

    def _turned_away(self, entry: _Lane, call: StageCall, now: float) -> None:
        """Queue the pieces again for a worker that is full: another owner fills it too."""
        entry.lane.put_back(call.tickets)
        entry.lane.block(now, FULL_BLOCK_SECONDS)
        if self._leaving(entry):
            self.workers_changed()

    def _leaving(self, entry: _Lane) -> bool:
        worker = self._mirror.workers.get(entry.worker.worker_id)
        return worker is None or worker.leaving

    def _failed(self, entry: _Lane, call: StageCall, failure: SendFailure, now: float) -> None:
        standing = self._book.of(entry.worker.worker_id)
        standing.failures.append(now)
        standing.avoid_until = now + AVOID_SECONDS
        entry.lane.block(now, FULL_BLOCK_SECONDS)
        self._log.write(
            LogEvent.WORKER_AVOIDED,
            worker=entry.worker.worker_id,
            service=entry.worker.service,
            detail=failure.detail,
            seconds=AVOID_SECONDS,
        )
        for ticket in call.tickets:
            self._resolve(entry, ticket, PieceResult(PieceOutcome.FAILED))
        for ticket in entry.lane.take_all():
            self._resolve(entry, ticket, PieceResult(PieceOutcome.REFUSED))

    def _succeeded(self, entry: _Lane, call: StageCall, results: list[PieceResult]) -> None:
        orphans = []
        for ticket, result in zip(call.tickets, results, strict=True):
            if ticket.abandoned and result.handle:
                orphans.append(result.handle)
            if result.outcome is PieceOutcome.NO_ROOM:
                entry.lane.put_back([ticket])
            else:
                self._resolve(entry, ticket, result)
        if orphans:
            self.free(entry.worker.worker_id, orphans)
        if any(result.outcome is PieceOutcome.NO_ROOM for result in results):
            self._ask_for_room(entry)

    def _ask_for_room(self, entry: _Lane) -> None:
        """Ask a worker how much room it has, unless a question is under way."""
        if entry.asking_room:
            return
        entry.asking_room = True
        self._spawn(self._learn_room(entry))

    async def _learn_room(self, entry: _Lane) -> None:
        try:
            report = await self._caller.report(entry.worker)
        finally:
            entry.asking_room = False
        if report is None:
            return
        lane = entry.lane
        lane.take_free_room(report.free_bytes, time.monotonic())
        self._log.write(
            LogEvent.ROOM_REPORTED,
            worker=entry.worker.worker_id,
            service=entry.worker.service,
            free=int(report.free_bytes),
            room=int(lane.capacity.room_bytes),
            room_used=int(lane.room_used),
            waiting=lane.waiting,
        )
        self._pump(entry)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _start_freeing(self, entry: _Lane) -> None:
        if entry.freeing or not entry.to_free:
            return
        entry.freeing = True
        self._spawn(self._send_frees(entry))

    async def _send_frees(self, entry: _Lane) -> None:
        """Send what was given up, all that gathered meanwhile together."""
        try:
            while entry.to_free:
                handles, entry.to_free = entry.to_free, []
                await self._caller.free(entry.worker, handles)
        finally:
            entry.freeing = False


def _load(worker_id: str, lane: StageLane, now: float) -> StageLoad:
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


def _ticket(work: StageWork, piece: int, now: float) -> PieceTicket:
    order = PieceOrder(work.call_id, work.stage, piece, work.key, work.inputs)
    return PieceTicket(
        order=order,
        result_bytes=work.result_bytes,
        urgency=work.urgency.on_clock(now),
        start_by=now + work.start_by,
        end_at=now + work.remaining,
        submitted_at=now,
    )


def _refuse(work: StageWork, start_seconds: float, detail: str) -> StageAnswer:
    refused = PieceResult(PieceOutcome.REFUSED)
    return StageAnswer((refused,) * len(work.pieces), start_seconds, detail)


def _describe(outcome: list[PieceResult] | SendFailure | None) -> str:
    if outcome is None:
        return "turned away"
    if isinstance(outcome, SendFailure):
        return outcome.detail
    counts: dict[str, int] = {}
    for result in outcome:
        counts[result.outcome.value] = counts.get(result.outcome.value, 0) + 1
    return ", ".join(f"{count} {name}" for name, count in sorted(counts.items()))
