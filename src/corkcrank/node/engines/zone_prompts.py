"""The queue of prompts for one zone's engines of a service, at the engines' owner."""

import asyncio
from collections.abc import Callable
from functools import partial

import msgspec

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import PromptShape
from corkcrank.contracts.urgency import Urgency
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.machines.heartbeat import PromptLoad
from corkcrank.node.engines.engine_owner import EngineOwner, GrantCandidates
from corkcrank.node.engines.held_prompts import (
    ASK_AGAIN_SECONDS,
    HOLD_SECONDS,
    HeldPrompt,
    hold_seconds,
)
from corkcrank.node.engines.prompt_reports import PromptReports
from corkcrank.node.engines.zone_engines import ZoneEngines
from corkcrank.node.peers.peer_protocol import PrefillDone, PromptGrant, PromptRequest, PromptTerms
from corkcrank.scheduling.call_admission import MAX_RETRY_SHARE, MIN_RETRY_SECONDS
from corkcrank.scheduling.prompt_queue import (
    LOOKAHEAD_SECONDS,
    EngineTurn,
    PromptForecast,
    PromptQueue,
    QueuedPrompt,
    ReadingRoom,
)
from corkcrank.scheduling.return_times import ReturnTimes

MIN_WAKE_SECONDS = 0.002
"""Minimum interval of timed checks of a queue."""

MAX_WAKE_SECONDS = 0.05
"""Maximum interval of checks of a queue, which bounds the delay of refusals of late prompts."""

SPARE_PROMPTS = 2
"""Number of prompts considered for each engine that can begin one: some prefer another engine."""


class ZonePrompts:
    """Grants, holds or refuses the requests for one zone's engines of a service."""

    def __init__(
        self,
        service: str,
        zone: str,
        owner: EngineOwner,
        factor: Callable[[str], float],
        reports: PromptReports,
    ) -> None:
        self.service = service
        self.zone = zone
        self.queue = PromptQueue()
        self.engines = ZoneEngines(service, zone, owner, factor)
        self._owner = owner
        self._reports = reports
        self._returns = ReturnTimes()
        self._waiters: dict[str, HeldPrompt] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def grant_or_wait(self, request: PromptRequest, terms: PromptTerms) -> PromptGrant:
        """Grant an engine to a prompt, hold its request for a short time, or refuse it."""
        now = clock.now()
        request = self._without_bad_counts(request, self._owner.capacity(request.service))
        candidates = self._owner.candidates(request, now)
        takes_any = terms.begun and terms.patience <= 0
        if takes_any or not self._owner.rank(candidates, {}, now):
            self._forget(request.call_id)
            return self._grant(request, candidates, candidates.available, now)
        waiter = self._waiters.get(request.call_id)
        if waiter is None:
            room = self.engines.room_for(candidates, now)
            waiter = self._new_waiter(request, terms, candidates, now)
            verdict = self.queue.offer(waiter.prompt, room, now)
            if not verdict.admitted:
                return self._refusal(verdict.forecast, request, verdict.excess, room, "arrival")
            self._waiters[request.call_id] = waiter
        waiter.request = request
        return await self._hold(waiter, now)

    def record_done(self, call_id: str, *, read: bool) -> None:
        """Record that a prompt was read or withdrawn, and grant engines to the next ones."""
        now = clock.now()
        self.engines.record_done(call_id, now, read=read)
        if not read:
            self._forget(call_id)
        self._look()

    def load(self, now: float) -> PromptLoad:
        """Return the load for heartbeats."""
        room = self.engines.room(now)
        starts: dict[tuple[int, int], float] = {}
        for item in self.queue.forecasts(room):
            starts[item.prompt.rank] = max(starts.get(item.prompt.rank, 0.0), item.next_start)
        return PromptLoad(
            self.service,
            self.zone,
            round(min(room.free), 3),
            tuple((rank, round(start, 3)) for rank, start in sorted(starts.items())),
            len(self.queue),
            round(room.tokens_per_second, 1),
        )

    def _new_waiter(
        self, request: PromptRequest, terms: PromptTerms, candidates: GrantCandidates, now: float
    ) -> HeldPrompt:
        unread = min(
            self._owner.unread_tokens(engine.worker_id, request.prompt)
            for engine in candidates.available
        )
        queued = QueuedPrompt(
            call_id=request.call_id,
            tenant=terms.tenant,
            urgency=Urgency(terms.rank, now + terms.objective),
            tokens=unread,
            begun=terms.begun,
            arrived_at=now,
            lapses_at=now + HOLD_SECONDS,
        )
        return HeldPrompt(queued, request)

    def _without_bad_counts(self, request: PromptRequest, capacity: int) -> PromptRequest:
        """Return the request, without its prompt's token counts if they fit no engine."""
        prompt = request.prompt
        counts = [prompt.tokens_in, prompt.tokens_out, *(part.tokens for part in prompt.parts)]
        too_large = capacity and prompt.total_tokens > capacity
        if min(counts) >= 0 and not too_large:
            return request
        if request.call_id not in self._waiters:
            self._reports.record_bad_count(request.call_id, prompt)
        return msgspec.structs.replace(request, prompt=PromptShape(prompt.model))

    async def _hold(self, waiter: HeldPrompt, asked_at: float) -> PromptGrant:
        call_id = waiter.prompt.call_id
        waiter.prompt.lapses_at = asked_at + HOLD_SECONDS + ASK_AGAIN_SECONDS
        answered: asyncio.Future[PromptGrant] = asyncio.get_running_loop().create_future()
        waiter.answered = answered
        try:
            self._look()
            if not answered.done():
                if waiter.prompt.arrived_at == asked_at:
                    self._reports.record_wait(self._forecast_of(call_id), self.engines.reading)
                await asyncio.wait({answered}, timeout=hold_seconds(waiter.request))
        except asyncio.CancelledError:
            self._forget(call_id)
            if answered.done() and answered.result().worker_id:
                self._take_back(call_id)
            raise
        finally:
            if waiter.answered is answered:
                waiter.answered = None
        return answered.result() if answered.done() else PromptGrant("", held=True)

    def _take_back(self, call_id: str) -> None:
        """Revoke a grant that did not reach its gateway."""
        self._owner.release_grant(PrefillDone(call_id, self.service))
        self.record_done(call_id, read=False)

    def _forecast_of(self, call_id: str) -> PromptForecast | None:
        waiter = self._waiters.get(call_id)
        if waiter is None:
            return None
        now = clock.now()
        room = self.engines.room_for(self._owner.candidates(waiter.request, now), now)
        return self.queue.forecast(waiter.prompt, room)

    def _look(self) -> None:
        """Grant prompts that engines can begin, refuse late ones, and schedule the next check."""
        now = clock.now()
        for prompt in self.queue.remove_lapsed(now):
            self._waiters.pop(prompt.call_id, None)
            self._reports.record_outcome("lapsed", prompt, now)
        if self._waiters:
            self._grant_waiting(now)
        if self._waiters:
            self._end_late(now)
        self._plan_look(now)

    def _grant_waiting(self, now: float) -> None:
        while self._waiters and (free := self.engines.that_can_begin(now)):
            limit = SPARE_PROMPTS * len(free) + SPARE_PROMPTS
            reading = self.engines.reading_tokens(now)
            chosen = self.queue.select(partial(self._turn, reading, now), limit)
            if not chosen and len(self.queue) > limit:
                # With more waiting prompts than free engines, prefix affinity is ignored, so that
                # no engine is idle.
                chosen = self._first_for_any(free, now)
            granted = [self._answer_grant(prompt, engine, now) for prompt, engine in chosen]
            if not any(granted):
                return

    def _turn(self, reading: dict[str, int], now: float, prompt: QueuedPrompt) -> EngineTurn | None:
        waiter = self._waiters[prompt.call_id]
        candidates = self._owner.candidates(waiter.request, now)
        ranked = self._owner.rank(candidates, reading, now)
        prompt_shape, capacity = waiter.request.prompt, candidates.capacity
        fitting = [item for item in ranked if self.engines.fits(item, prompt_shape, capacity, now)]
        if not fitting or not waiter.awaited:
            return None
        best = fitting[0]
        pace = self.engines.reading.tokens_per_second
        can_begin = reading.get(best.worker_id, 0) <= LOOKAHEAD_SECONDS * pace
        unread = self._owner.unread_tokens(best.worker_id, waiter.request.prompt)
        reading[best.worker_id] = reading.get(best.worker_id, 0) + unread
        return EngineTurn(best.worker_id, can_begin)

    def _first_for_any(self, free: list[str], now: float) -> list[tuple[QueuedPrompt, str]]:
        """Return the first awaited prompt with its best free engine, empty without one."""
        for prompt in self.queue.ordered():
            waiter = self._waiters[prompt.call_id]
            if waiter.awaited:
                engine = self._best_of(free, waiter, now)
                return [(prompt, engine)] if engine else []
        return []

    def _best_of(self, free: list[str], waiter: HeldPrompt, now: float) -> str:
        """Return the best free engine for a prompt, empty without one."""
        prompt = waiter.request.prompt
        candidates = self._owner.candidates(waiter.request, now)
        capacity = candidates.capacity
        for engine in self._owner.rank(candidates, self.engines.reading_tokens(now), now):
            if engine.worker_id in free and self.engines.fits(engine, prompt, capacity, now):
                return engine.worker_id
        return ""

    def _answer_grant(self, prompt: QueuedPrompt, worker_id: str, now: float) -> bool:
        waiter = self._waiters.pop(prompt.call_id)
        candidates = self._owner.candidates(waiter.request, now)
        engines = [item for item in candidates.available if item.worker_id == worker_id]
        self.queue.record_grant(prompt)
        grant = self._grant(waiter.request, candidates, engines, now)
        self._reports.record_outcome("granted", prompt, now)
        waiter.answer(grant)
        return bool(grant.worker_id)

    def _grant(
        self,
        request: PromptRequest,
        candidates: GrantCandidates,
        engines: list[WorkerRecord],
        now: float,
    ) -> PromptGrant:
        """Grant the best of some engines and count the prompt's reading and memory there."""
        tokens = {
            engine.worker_id: self._owner.unread_tokens(engine.worker_id, request.prompt)
            for engine in engines
        }
        grant = self._owner.grant_from(engines, request, candidates, now)
        if grant.worker_id:
            self.engines.record_grant(request, grant.worker_id, tokens[grant.worker_id], now)
        return PromptGrant(grant.worker_id, grant.limited, grant.wait, grant.leased)

    def _end_late(self, now: float) -> None:
        """End the waits of prompts that become late.

        A prompt that an idle engine could begin may wait for another engine, which may stay full.
        It gets the best engine that can begin. Prompts delayed by more urgent ones are refused.
        """
        first = next(iter(self._waiters.values()))
        room = self.engines.room_for(self._owner.candidates(first.request, now), now)
        late = [item.prompt for item in self.queue.forecasts(room) if item.misses_objective(now)]
        for prompt in late:
            waiter = self._waiters[prompt.call_id]
            if waiter.awaited:
                self._end_if_late(waiter, now)

    def _end_if_late(self, waiter: HeldPrompt, now: float) -> None:
        """End the wait of a prompt that is late by a forecast for its own candidates."""
        prompt = waiter.prompt
        room = self.engines.room_for(self._owner.candidates(waiter.request, now), now)
        forecast = self.queue.forecast(prompt, room)
        if not forecast.misses_objective(now):
            return
        engine = self._best_of(self.engines.that_can_begin(now), waiter, now)
        if forecast.is_idle and engine:
            self._answer_grant(prompt, engine, now)
        elif forecast.is_late(now):
            self._forget(prompt.call_id)
            excess = now + forecast.first_event - prompt.urgency.due
            waiter.answer(self._refusal(forecast, waiter.request, excess, room, "displaced"))

    def _refusal(
        self,
        forecast: PromptForecast,
        request: PromptRequest,
        excess: float,
        room: ReadingRoom,
        cause: str,
    ) -> PromptGrant:
        """Return a refusal with the retry time at which the queue has capacity for the prompt."""
        now, prompt = clock.now(), forecast.prompt
        left = room.tokens_per_second - self.queue.demand.more_urgent(prompt.rank, now)
        rate = max(0.0, left) / max(1, prompt.tokens)
        wait = self._returns.next_return_seconds(str(prompt.rank), excess, rate, now)
        wait = max(MIN_RETRY_SECONDS, min(wait, MAX_RETRY_SHARE * request.seconds))
        self._reports.record_refusal(forecast, self.engines.reading, cause, wait)
        return PromptGrant("", wait=wait, refused=True)

    def _forget(self, call_id: str) -> None:
        self._waiters.pop(call_id, None)
        self.queue.remove(call_id)

    def _plan_look(self, now: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._waiters:
            return
        waits = self.engines.seconds_until_turn(now)
        wait = max(MIN_WAKE_SECONDS, min([MAX_WAKE_SECONDS, *waits]))
        self._timer = asyncio.get_running_loop().call_later(wait, self._look)
