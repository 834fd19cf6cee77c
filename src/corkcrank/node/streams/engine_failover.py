"""Finds the engine that continues a stream after its current engine became silent or failed.

A silent engine keeps the call during the search. The engine that sends the next event first
continues the stream, and the connections to the others are closed.
"""

import asyncio
from collections.abc import Collection

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.abandoned_tasks import abandon
from corkcrank.node.callers.refusals import CallerDisconnectedError
from corkcrank.node.calls.services import CallServices
from corkcrank.node.stages.stage_failures import StageFailedError
from corkcrank.node.streams.engine_exchange import BegunExchange, EngineExchanges
from corkcrank.node.streams.engine_turns import EngineTurns
from corkcrank.node.streams.failover_log import FailoverLog
from corkcrank.node.streams.stream_admission import StreamAdmission
from corkcrank.node.streams.stream_answer import StreamAnswer
from corkcrank.node.workers.liveness import PROBE_TIMEOUT_SECONDS
from corkcrank.node.workers.silence_timeout import SilenceRule
from corkcrank.scheduling.stage_plan import StagePlan

PROBED_TOGETHER = 3
"""Number of engines that are probed concurrently."""

MAX_PROBED = 9
"""Maximum number of engines that are probed before a search pauses."""

MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.8
"""Bounds of the pause after a search that found no engine. Each pause doubles the previous one."""

RESUMED_EVENT_SECONDS = 0.1
"""Time within which an engine that answers again sends its next event. An engine that answers a
probe within this time was not paused."""

Attempts = set[asyncio.Task[BegunExchange | None]]


class EngineFailover:
    """The search for an engine that continues one call's stream."""

    def __init__(
        self,
        call: OpaqueCall,
        services: CallServices,
        plan: StagePlan,
        admission: StreamAdmission,
        turns: EngineTurns,
        answer: StreamAnswer,
        exchanges: EngineExchanges,
    ) -> None:
        self._call = call
        self._services = services
        self._plan = plan
        self._admission = admission
        self._turns = turns
        self._answer = answer
        self._exchanges = exchanges
        self._log = FailoverLog(call, services, exchanges)
        self._search: asyncio.Task[BegunExchange | None] | None = None
        self._stood_still = False
        self._engine_lost = False
        exchanges.set_search(self)

    def rule(self, engine: WorkerRecord, seconds: float) -> SilenceRule:
        """Return the rule for a failover from an engine after a silence of ``seconds``."""
        lead = min(PROBE_TIMEOUT_SECONDS, seconds / 2)
        return SilenceRule(seconds - lead, lambda: self._begin_search(engine, clock.now() + lead))

    @property
    def in_progress(self) -> bool:
        """Return whether another engine is sought, or has been found."""
        return self._search is not None and not _found_nothing(self._search)

    async def _begin_search(self, engine: WorkerRecord, leave_at: float) -> bool:
        """Search while an engine is silent; return whether another one has begun to send.

        Sends nothing to another engine before ``leave_at``.
        """
        if self._search is None or _found_nothing(self._search):
            self._stood_still = self._engine_lost = False
            self._search = asyncio.create_task(self._find(engine, leave_at))
            self._count_silence(engine)
        await asyncio.wait({self._search})
        return not self._search.cancelled() and self._search.result() is not None

    async def take(self, *, begins: bool) -> BegunExchange | None:
        """Return the engine that continues the stream after the current one failed.

        ``begins`` starts a search if none is in progress.
        """
        if begins and not self.in_progress:
            self._search = asyncio.create_task(self._find(None, clock.now()))
        if self._search is None:
            return None
        search, self._engine_lost = self._search, True
        # If this is cancelled, the search stays set, and cancel() closes the engine it has found.
        begun = await search
        self._search = None
        return begun

    def cancel(self) -> None:
        """Cancel the search, because the current engine continues its answer."""
        search, self._search = self._search, None
        if search is None:
            return
        if not search.cancel() and not search.cancelled():
            self._leave(search.result())
        if self._answer.prepared and self._exchanges.stages is not None:
            self._exchanges.stages.close()

    def _count_silence(self, engine: WorkerRecord) -> None:
        """Count a stream of a silent engine until its search has ended."""
        silent = self._services.silent_engines
        silent[engine.worker_id] += 1

        def search_ended(_: asyncio.Task[BegunExchange | None]) -> None:
            silent[engine.worker_id] -= 1
            if not silent[engine.worker_id]:
                del silent[engine.worker_id]

        assert self._search is not None
        self._search.add_done_callback(search_ended)

    async def _find(self, silent: WorkerRecord | None, leave_at: float) -> BegunExchange | None:
        """Send the call to engines until one of them sends the next event, or the call ends."""
        attempts: Attempts = set()
        left = self._call.end_at - clock.now()
        self._keep_repeat(kept=True)
        try:
            async with asyncio.timeout(clock.clamp_remaining_seconds(left)):
                return await self._find_among(attempts, silent, leave_at)
        except (CallerDisconnectedError, TimeoutError):
            return None
        except Exception as error:
            self._log.write_fault(error)
            return None
        finally:
            self._keep_repeat(kept=False)
            self._end(attempts)

    async def _find_among(
        self, attempts: Attempts, silent: WorkerRecord | None, leave_at: float
    ) -> BegunExchange | None:
        pause = MIN_PAUSE_SECONDS
        while clock.now() < self._call.end_at:
            wait: float | None = pause
            engine: WorkerRecord | None = None
            if not self._exchanges.has_attempt_left:
                if not attempts:
                    return None
                wait = None
            elif not self._exchanges.may_try_another:
                self._log.write_deferred("no repeat left")
            else:
                engine = await self._choose(silent, leave_at)
                if engine is not None and (attempt := await self._send_to(engine)) is not None:
                    attempts.add(attempt)
                    wait = self._exchanges.first_event_seconds(engine)
            if not attempts and self._is_hopeless(engine):
                return None
            none_responds = engine is None and bool(self._call.unresponsive_workers)
            self._keep_repeat(kept=not attempts and not none_responds)
            if begun := await self._first_begun(attempts, wait):
                return begun
            pause = min(2 * pause, MAX_PAUSE_SECONDS)
        return None

    def _keep_repeat(self, *, kept: bool) -> None:
        """Set whether other calls must leave a repeat to the call's stream, if it has begun."""
        waiting = self._services.budget(self._call.service).waiting_streams
        change = waiting.add if kept and self._answer.prepared else waiting.discard
        change(self._call.call_id)

    def _is_hopeless(self, engine: WorkerRecord | None) -> bool:
        """Return whether a search cannot succeed, so that the call should end now.

        ``engine`` is the chosen engine to which the call was not sent. If the caller has received
        nothing, the call is retried as a new one, by this gateway or by its caller.
        """
        if not self._engine_lost:
            return False
        self._call.unresponsive_workers = frozenset()
        if not self._answer.prepared:
            return True
        return engine is None and not self._admission.may_continue_later()

    async def _choose(self, silent: WorkerRecord | None, leave_at: float) -> WorkerRecord | None:
        """Return an engine that may continue the stream; it must respond if one is silent."""
        if await self._services.crash_watch.wait_for_verdict(self._call):
            self._log.write_deferred("quarantined")
            return None
        if self._is_too_late():
            return None
        self._call.unresponsive_workers = frozenset()
        engines = self._admission.rank_engines()
        if silent is None:
            return await self._first_usable(engines)
        present = asyncio.create_task(self._observe_resumption(silent))
        try:
            engine = await self._find_responsive(engines[:MAX_PROBED])
            await asyncio.sleep(max(0.0, leave_at - clock.now()))
            if engine is not None and present.done():
                await asyncio.sleep(max(0.0, present.result() - clock.now()))
        finally:
            present.cancel()
        if engine is None:
            self._log.write_deferred("no engine answers" if engines else "no engine")
            return None
        self._log.write_silence(silent, engine)
        return engine

    def _is_too_late(self) -> bool:
        """Return whether a stream without an event would not end before this gateway stops."""
        too_late = not self._answer.prepared and not self._admission.drain.fits()
        if too_late:
            self._log.write_deferred("draining")
        return too_late

    async def _first_usable(self, engines: list[WorkerRecord]) -> WorkerRecord | None:
        """Return the best engine; an engine that the call was sent to before must respond."""
        if not engines or engines[0].worker_id not in self._call.workers_tried:
            return engines[0] if engines else None
        return await self._find_responsive(engines[:MAX_PROBED])

    async def _observe_resumption(self, engine: WorkerRecord) -> float:
        """Return the time until which a silent engine that responds again may send its next event.

        An engine that responds immediately was not paused, so its stream is lost.
        """
        asked_at = clock.now()
        if not await self._services.liveness.is_responsive(engine):
            self._stood_still = True
            return 0.0
        answered_at = clock.now()
        if answered_at - asked_at > RESUMED_EVENT_SECONDS:
            self._stood_still = True
        return answered_at + RESUMED_EVENT_SECONDS if self._stood_still else 0.0

    async def _find_responsive(self, engines: list[WorkerRecord]) -> WorkerRecord | None:
        """Return the first engine that responds; exclude groups of probed engines without one."""
        for start in range(0, len(engines), PROBED_TOGETHER):
            asked = engines[start : start + PROBED_TOGETHER]
            if engine := await self._first_responsive(asked):
                return engine
            ids = (engine.worker_id for engine in asked)
            self._call.unresponsive_workers = self._call.unresponsive_workers.union(ids)
        return None

    async def _first_responsive(self, engines: Collection[WorkerRecord]) -> WorkerRecord | None:
        probe = self._services.liveness.is_responsive
        asked = {asyncio.create_task(probe(engine)): engine for engine in engines}
        waiting = set(asked)
        try:
            while waiting:
                done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
                if found := next((task for task in done if task.result()), None):
                    return asked[found]
            return None
        finally:
            for task in waiting:
                task.cancel()

    async def _send_to(self, engine: WorkerRecord) -> asyncio.Task[BegunExchange | None] | None:
        """Send the call to an engine, with the results of its stages and a grant."""
        call, services = self._call, self._services
        inputs = await self._prepare_inputs()
        if inputs is None:
            return None
        turn = await self._turns.request_turn(engine)
        if self._is_too_late():
            return None
        if turn.engine is None:
            self._log.write_deferred("no grant")
            return None
        if turn.engine != engine and not await services.liveness.is_responsive(turn.engine):
            self._log.write_deferred("the granted engine does not answer")
            return None
        if services.crash_watch.quarantine_seconds_left(call):
            self._log.write_deferred("quarantined")
            return None
        if not services.availability.may_send_call(call, turn.engine):
            self._log.write_deferred("unavailable")
            return None
        if not services.try_spend_repeat(call):
            self._log.write_deferred("no repeat left")
            return None
        return asyncio.create_task(self._begin(turn.engine, inputs))

    async def _begin(self, engine: WorkerRecord, inputs: tuple[str, ...]) -> BegunExchange | None:
        """Send the call to an engine; it has not failed if another engine was faster."""
        resume_after, left = self._exchanges.resume_after, True
        try:
            begun = await self._exchanges.begin(engine, inputs)
            left = begun is None and self._exchanges.resume_after != resume_after
            return begun
        finally:
            if left:
                self._call.left_workers.add(engine.worker_id)

    async def _prepare_inputs(self) -> tuple[str, ...] | None:
        """Return the results that an engine fetches; rerun the stages if they were freed."""
        stages = self._exchanges.stages
        if stages is None:
            return ()
        if self._plan.complete and not stages.closed:
            return self._plan.final_handles()
        self._plan.reset_results()
        stages.reopen(promised=self._answer.prepared)
        try:
            return await stages.run()
        except StageFailedError as error:
            self._log.write_deferred("stages", error.detail)
            return None

    async def _first_begun(self, attempts: Attempts, seconds: float | None) -> BegunExchange | None:
        """Wait for an attempt to begin or fail; return the one that has begun, if any."""
        if not attempts:
            await asyncio.sleep(seconds or 0.0)
            return None
        done, _ = await asyncio.wait(attempts, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
        attempts -= done
        begun = [exchange for task in done if (exchange := task.result()) is not None]
        for surplus in begun[1:]:
            self._leave(surplus)
        return begun[0] if begun else None

    def _end(self, attempts: Attempts) -> None:
        """Close the connections of attempts that are no longer needed.

        Does not await anything, so that a cancellation cannot lose the engine that was found.
        """
        for attempt in attempts:
            abandon(attempt, self._leave)

    def _leave(self, begun: BegunExchange | None) -> None:
        """Close the connection to a surplus engine, which the call may use again."""
        if begun is not None:
            self._call.left_workers.add(begun.attempt.worker.worker_id)
            begun.close()


def _found_nothing(search: asyncio.Task[BegunExchange | None]) -> bool:
    """Return whether a search has ended without an engine that continues the stream."""
    return search.done() and (search.cancelled() or search.result() is None)
