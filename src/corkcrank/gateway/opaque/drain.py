"""A planned stop: until when calls are taken, answered and streamed.

No forecast of how long a call takes holds while the rest of the fleet is being restarted too.
So whether a call is cut must not depend on one: streams are begun only while the balancer may
not have noticed the stop, when most of the grace is left, and a call without an answer gets
one before the end, which says that it has not run unless a worker may have it.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.gateway.opaque.caller_server import CallerServer
from corkcrank.gateway.opaque.refusals import Refusal

BALANCER_LAG_SECONDS = 2.5
"""Time for which the balancer may still send connections after it was told not to.

It asks for readiness once a second and needs two misses. The listener stays open to the end:
where no other machine of a zone is ready, the balancer goes on sending callers here, and a
refused connection serves them worse than an answer."""

LARGEST_LAG_SHARE = 0.5
"""Part of the grace that the balancer's lag may take, where the grace is short."""

RESTING_CLOSE_SECONDS = 0.3
"""While draining, connections that have rested for this long are closed."""

DRAIN_RESERVE_SECONDS = 0.4
"""Time kept back from the grace for closing down."""

ANSWER_RESERVE_SECONDS = 0.2
"""Time kept back from the drain to write out the answers of calls that had none: some
turns of a loop that is late by up to 0.1 s on a busy machine."""

CHECK_SECONDS = 0.05
"""Time between looks at whether the drain is complete."""

NEVER = float("inf")

Answer = TypeVar("Answer")


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """Moments of a planned stop on the monotonic clock, in seconds; never without a signal.

    After ``streams_until`` no stream is begun. At ``answer_by`` every call without an answer
    gets one. At ``stop_at`` streams that still run are cut.
    """

    signalled_at: float = NEVER
    streams_until: float = NEVER
    answer_by: float = NEVER
    stop_at: float = NEVER

    @classmethod
    def after_signal(cls, signalled_at: float, grace: float) -> "DrainSchedule":
        """Return the schedule of a stop that may take ``grace`` seconds from its signal.

        >>> schedule = DrainSchedule.after_signal(100.0, 8.0)
        >>> schedule.streams_until, round(schedule.answer_by, 2), round(schedule.stop_at, 2)
        (102.5, 107.4, 107.6)
        """
        stop_at = signalled_at + grace - DRAIN_RESERVE_SECONDS
        return cls(
            signalled_at=signalled_at,
            streams_until=signalled_at + min(BALANCER_LAG_SECONDS, LARGEST_LAG_SHARE * grace),
            answer_by=stop_at - ANSWER_RESERVE_SECONDS,
            stop_at=stop_at,
        )

    @property
    def begun(self) -> bool:
        """Return whether the signal has come."""
        return self.signalled_at < NEVER


@dataclass(eq=False, slots=True)
class _OpenCall:
    call: OpaqueCall
    scope: asyncio.Timeout


class OpenCalls:
    """The calls being served, so that a stop can answer those that have no answer yet."""

    def __init__(self) -> None:
        self._open: set[_OpenCall] = set()

    @property
    def unanswered(self) -> int:
        """Return how many calls have no part of an answer yet."""
        return sum(not item.call.answer_begun for item in self._open)

    async def serve(
        self, call: OpaqueCall, run: Callable[[], Awaitable[Answer]]
    ) -> Answer | Refusal:
        """Return what ``run`` returns, or the answer of a stop that did not wait for it."""
        scope = asyncio.timeout(None)
        item = _OpenCall(call, scope)
        self._open.add(item)
        try:
            async with scope:
                return await run()
        except TimeoutError:
            if not scope.expired():
                raise
            return _stopped_answer(call)
        finally:
            self._open.discard(item)

    def end_unanswered(self) -> None:
        """Give up every call that has no part of an answer; its caller is answered now."""
        now = asyncio.get_running_loop().time()
        for item in list(self._open):
            if not item.call.answer_begun and item.scope.when() is None:
                item.scope.reschedule(now)


def _stopped_answer(call: OpaqueCall) -> Refusal:
    """Return the answer to a call given up: a worker that may have it may have run it."""
    if call.may_have_run:
        return Refusal(ResultCode.OUTCOME_UNKNOWN, "this gateway is stopping", close=True)
    return Refusal.draining("given up at the end of the drain")


class CallerDrain:
    """Carries a schedule out: lets calls end, then answers those that have not ended.

    ``peers_busy`` says whether this gateway still works for others.
    """

    def __init__(
        self, callers: CallerServer, open_calls: OpenCalls, peers_busy: Callable[[], bool]
    ) -> None:
        self._callers = callers
        self._open_calls = open_calls
        self._peers_busy = peers_busy

    async def run(self, schedule: DrainSchedule) -> None:
        """Return when nothing is in flight, or when streams are to be cut."""
        while not self._over(schedule):
            self._callers.close_resting(self._resting_seconds(schedule))
            await asyncio.sleep(CHECK_SECONDS)
            if time.monotonic() >= schedule.answer_by:
                self._open_calls.end_unanswered()
        self._callers.stop_listening()
        await self._write_answers()

    def _over(self, schedule: DrainSchedule) -> bool:
        now = time.monotonic()
        busy = self._callers.in_flight or self._peers_busy()
        return now >= schedule.stop_at or (now >= schedule.streams_until and not busy)

    def _resting_seconds(self, schedule: DrainSchedule) -> float:
        return 0.0 if time.monotonic() >= schedule.answer_by else RESTING_CLOSE_SECONDS

    async def _write_answers(self) -> None:
        """Answer what came last: a drain that began late has had no time for it."""
        give_up = time.monotonic() + ANSWER_RESERVE_SECONDS
        while self._open_calls.unanswered and time.monotonic() < give_up:
            self._open_calls.end_unanswered()
            await asyncio.sleep(CHECK_SECONDS)
