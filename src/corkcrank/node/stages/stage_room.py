"""Manages the result memory of stage workers: frees results and requests memory reports."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field

from corkcrank.contracts import clock
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.platform_ports import StageWorkerReport, Unreadable
from corkcrank.links.unreadable_documents import (
    DocumentKind,
    UnreadableDocument,
    UnreadableListener,
    ignore_unreadable,
)
from corkcrank.node.limits.worker_limits import WorkerLimits
from corkcrank.node.stages.stage_worker_client import StageWorkerClient
from corkcrank.node.workers.worker_availability import WorkerAvailability
from corkcrank.scheduling.stage_queue import StageQueue

CALLS_PER_FREE_MESSAGE = 4.0
"""Number of calls that a rate-limited worker may get between two messages that free results. These
messages count as requests too, but take no slot."""

MAX_FREE_INTERVAL_SECONDS = 2.0
"""Maximum interval of messages that free results; unfreed results expire after seconds."""

Spawn = Callable[[Coroutine[None, None, None]], asyncio.Task[None]]


@dataclass(slots=True)
class WorkerRoom:
    """Pending messages about one worker's result memory.

    ``restarted`` is set if the worker process has restarted. Its results were lost, and the new
    incarnation at the same address may have assigned the same handles to other results.
    ``evacuated`` is set if nothing may be sent to the worker, so that its results expire.
    """

    worker: WorkerRecord
    queue: StageQueue
    handles_to_free: list[str] = field(default_factory=list)
    free_in_flight: bool = False
    report_in_flight: bool = False
    restarted: bool = False
    evacuated: bool = False

    @property
    def reachable(self) -> bool:
        """Return whether messages may be sent to the worker."""
        return not self.restarted and not self.evacuated


class StageRoom:
    """Frees unused results at workers, and requests reports of their free memory.

    ``spawn`` runs a task in the background. ``on_change`` is called with a worker's id when its
    free memory may have grown. A report of another incarnation is ignored, because it does not
    describe the worker. ``on_unreadable`` is called with unreadable reports.
    """

    def __init__(
        self,
        caller: StageWorkerClient,
        availability: WorkerAvailability,
        limits: WorkerLimits,
        log: DecisionLog,
        spawn: Spawn,
        on_change: Callable[[str], None],
    ) -> None:
        self._caller = caller
        self._availability = availability
        self._limits = limits
        self._log = log
        self._spawn = spawn
        self._on_change = on_change
        self._free_tasks: set[asyncio.Task[None]] = set()
        self._closed = False
        self.on_unreadable: UnreadableListener = ignore_unreadable

    def free_results(self, room: WorkerRoom, handles: Sequence[str]) -> None:
        """Free results; collect them for the next message while one is in flight."""
        now = clock.now()
        for handle in handles:
            room.queue.free_result(handle, now)
        room.handles_to_free.extend(handles)
        if room.evacuated:
            room.handles_to_free.clear()
        elif (
            room.handles_to_free and room.reachable and not room.free_in_flight and not self._closed
        ):
            room.free_in_flight = True
            task = self._spawn(self._send_frees(room))
            self._free_tasks.add(task)
            task.add_done_callback(self._free_tasks.discard)

    async def wait_for_free_messages(self, seconds: float) -> None:
        """Wait at most ``seconds`` for the messages in flight."""
        if self._free_tasks:
            await asyncio.wait(set(self._free_tasks), timeout=seconds)

    def request_report(self, room: WorkerRoom) -> None:
        """Request a memory report from a worker, unless such a request is in flight.

        No request is sent to workers with a rate limit, because it counts towards the limit, or to
        workers in backoff.
        """
        now = clock.now()
        spared = self._limits.interval(room.worker, now) > 0
        spared = spared or self._availability.backoff_seconds(room.worker, now) > 0
        if room.reachable and not room.report_in_flight and not spared and not self._closed:
            room.report_in_flight = True
            self._spawn(self._fetch_report(room))

    def close(self) -> None:
        """Stop sending messages before the connections to workers close."""
        self._closed = True

    async def _send_frees(self, room: WorkerRoom) -> None:
        try:
            while room.handles_to_free and room.reachable:
                if backoff := self._availability.backoff_seconds(room.worker, clock.now()):
                    await asyncio.sleep(backoff)
                    continue
                handles, room.handles_to_free = room.handles_to_free, []
                await self._caller.free_results(room.worker, handles)
                pause = CALLS_PER_FREE_MESSAGE * self._limits.interval(room.worker, clock.now())
                if pause:
                    await asyncio.sleep(min(pause, MAX_FREE_INTERVAL_SECONDS))
        finally:
            room.free_in_flight = False

    async def _fetch_report(self, room: WorkerRoom) -> None:
        try:
            report = await self._caller.fetch_report(room.worker)
        finally:
            room.report_in_flight = False
        if report is None:
            return
        if isinstance(report, Unreadable):
            self._record_unreadable(room.worker, report)
        elif room.worker.born not in (None, report.born):
            self._log.write(
                LogEvent.REPORT_OUTDATED,
                worker=room.worker.worker_id,
                service=room.worker.service,
                born=report.born,
            )
        else:
            self._apply_report(room, report)

    def _record_unreadable(self, worker: WorkerRecord, report: Unreadable) -> None:
        document = UnreadableDocument(DocumentKind.REPORT, worker.worker_id, report.reason)
        self.on_unreadable(document)

    def _apply_report(self, room: WorkerRoom, report: StageWorkerReport) -> None:
        queue = room.queue
        queue.apply_reported_free_room(report.free_bytes, clock.now())
        self._log.write(
            LogEvent.ROOM_REPORTED,
            worker=room.worker.worker_id,
            service=room.worker.service,
            free=int(report.free_bytes),
            room=int(queue.capacity.room_bytes),
            room_used=int(queue.room_used),
            waiting=queue.waiting,
        )
        self._on_change(room.worker.worker_id)
