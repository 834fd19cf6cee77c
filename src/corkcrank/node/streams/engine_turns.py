"""Requests grants for reading a call's prompt from the owners of engines."""

import asyncio

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import REJECTED_SECONDS, OpaqueCall
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import LogEvent
from corkcrank.node.calls.services import CallServices
from corkcrank.node.engines.prefill_client import PrefillVerdict, PromptPatience
from corkcrank.node.streams.stream_admission import StreamAdmission

MIN_WAIT_SECONDS = 0.02
"""Minimum pause before another request for a turn, in seconds."""

MAX_TURN_WAIT_SECONDS = 1.0
"""Maximum wait for a turn at a rate-limited engine after the stages, in seconds."""

MAX_FIRST_TURN_WAIT_SECONDS = 0.1
"""Maximum wait of a call without stages for its first turn at a limited engine, in seconds."""


class EngineTurns:
    """Requests turns for one call from the owners of the zones' engines."""

    def __init__(
        self, call: OpaqueCall, services: CallServices, admission: StreamAdmission
    ) -> None:
        self._call = call
        self._services = services
        self._admission = admission
        self._may_wait = False
        self._has_results = False

    async def wait_for_turn(self, chosen: WorkerRecord, *, has_results: bool) -> PrefillVerdict:
        """Request a turn; wait briefly if every engine has reached its limit.

        ``has_results`` is set if the call's stages have results, which a refusal would waste.
        """
        give_up_at = min(self._call.end_at, clock.now() + self._max_wait(chosen, has_results))
        self._may_wait, self._has_results = True, has_results
        turn = await self.request_turn(chosen)
        while not turn.refused and turn.engine is None:
            if clock.now() + self._wait(turn) >= give_up_at:
                break
            await asyncio.sleep(max(MIN_WAIT_SECONDS, self._wait(turn)))
            turn = await self.request_turn(chosen)
        self._may_wait = False
        return turn

    async def wait_for_room(self) -> bool:
        """Wait until an engine that rejected the rest of a stream may have room again.

        Returns false at once if the call is not the rest of a stream, or if none may continue it
        then. A new call has every engine to begin at, the rest of a stream those of its version.
        """
        call = self._call
        if not call.precedes or not call.rejected_at:
            return False
        seconds = max(0.0, min(call.rejected_at.values()) + REJECTED_SECONDS - clock.now())
        end_at = clock.now() + seconds + self._admission.first_event_seconds()
        self._admission.drain.expect_ready(seconds)
        if end_at >= call.end_at or not self._admission.drain.fits():
            return False
        if not self._admission.may_continue_later():
            return False
        await asyncio.sleep(seconds)
        return True

    def _patience(self) -> PromptPatience:
        """Return how the call may wait in a queue of prompts.

        Only a call that has not run may be refused, and a resumed stream only if it has no
        precedence. During a failover, while another engine still holds the call, it gets the best
        engine without waiting.
        """
        call = self._call
        begun = self._has_results or bool(call.workers_tried) or call.precedes
        return PromptPatience(
            seconds=min(call.end_at - clock.now(), MAX_TURN_WAIT_SECONDS)
            if self._may_wait
            else 0.0,
            begun=begun or not self._may_wait,
            stream_seconds=self._services.stream_times.usual_seconds(
                call.route.name, call.envelope.prompt.tokens_out
            ),
        )

    def _max_wait(self, engine: WorkerRecord, has_results: bool) -> float:
        if has_results:
            return MAX_TURN_WAIT_SECONDS
        if not self._call.workers_tried:
            return MAX_FIRST_TURN_WAIT_SECONDS
        brittle = self._services.limits.cap_limits(engine, clock.now()) is not None
        return 0.0 if brittle else MAX_TURN_WAIT_SECONDS

    def _wait(self, turn: PrefillVerdict) -> float:
        """Return the seconds until a turn may be granted, after none was granted."""
        availability, now = self._services.availability, clock.now()
        in_backoff = availability.workers_in_backoff(self._call.service, now)
        backoffs = [availability.backoff_seconds(engine, now) for engine in in_backoff]
        return max(turn.wait, min(backoffs, default=0.0))

    async def request_turn(self, chosen: WorkerRecord) -> PrefillVerdict:
        """Request a turn, which the owner of a zone's engines grants.

        Requests go first to the owner of the chosen engine's zone, then to those of other zones.
        """
        turn = await self._request_zone_turn(chosen)
        if turn.engine is None:
            return await self._request_elsewhere(chosen.zone, turn)
        return turn

    async def _request_zone_turn(self, chosen: WorkerRecord) -> PrefillVerdict:
        """Request a turn from the owner of the chosen engine's zone.

        Without a usable answer, the call goes to the chosen engine or to another engine of the
        zone, whichever is first within its limit.
        """
        services = self._services
        long = services.prompt_sizes.has_long_prompts(self._call.route.name)
        turn = await services.prefill_grants.request_grant(
            self._call, chosen, long=long, patience=self._patience()
        )
        availability = services.availability
        call = self._call
        if turn.decided and (turn.engine is None or availability.may_send_call(call, turn.engine)):
            return turn
        others = (
            engine
            for engine in self._admission.rank_engines()
            if engine.zone == chosen.zone and engine.worker_id != chosen.worker_id
        )
        engine = services.prefill_grants.use_without_grant(
            item for item in (chosen, *others) if availability.may_send_call(call, item)
        )
        return PrefillVerdict(engine, turn.wait, decided=False)

    async def _request_elsewhere(self, zone: str, turn: PrefillVerdict) -> PrefillVerdict:
        """Request a turn from the owners of the other zones, best zone first."""
        asked = {zone}
        for candidate in self._admission.rank_engines():
            if turn.engine is None and candidate.zone not in asked:
                asked.add(candidate.zone)
                found = await self._request_zone_turn(candidate)
                refused = turn.refused and found.refused
                turn = PrefillVerdict(found.engine, min(turn.wait, found.wait), refused=refused)
        if turn.refused:
            return turn
        outcome = "held back" if turn.engine is None else "elsewhere"
        self._services.metrics.calls_at_limits.labels(outcome).inc()
        self._services.log.write(
            LogEvent.LIMIT_DEFERRED,
            call=self._call.call_id,
            zone=zone,
            taken=turn.engine.worker_id if turn.engine is not None else None,
            wait=round(turn.wait, 3),
        )
        return turn
