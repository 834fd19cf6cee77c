"""A planned stop: until when calls are taken, answered and streamed.

No forecast of how long a call takes holds while the rest of the fleet is being restarted too.
So whether a call is cut must not depend on one: streams are begun only while the balancer may
not have noticed the stop, when most of the grace is left, and a call without an answer gets
one before the end, which says that it has not run unless a worker may have it.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

from aiohttp import web

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.result_codes import ResultCode
from corkcrank.node.callers.caller_server import CallerServer
from corkcrank.node.callers.refusals import Refusal

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
"""Time kept back from the drain to write out the answers of calls that had none: four looks."""

PIECES_RESERVE_SECONDS = 0.8
"""Time before the end of the drain from which other gateways' pieces are not queued here any
more, so that calls at work can end: about two of them."""

CHECK_SECONDS = 0.05
"""Time between looks at whether a start or a drain is complete."""

NEVER = float("inf")

CallAnswer = web.StreamResponse | Refusal

Result = TypeVar("Result", covariant=True)


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """Moments of a planned stop on the clock of :mod:`clock`, in seconds; never without a signal.

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
        answer_by = stop_at - ANSWER_RESERVE_SECONDS
        lag = min(BALANCER_LAG_SECONDS, LARGEST_LAG_SHARE * grace)
        return cls(signalled_at, min(signalled_at + lag, answer_by), answer_by, stop_at)

    @property
    def pieces_until(self) -> float:
        """Return until when other gateways' pieces are queued here."""
        return self.stop_at - PIECES_RESERVE_SECONDS

    @property
    def begun(self) -> bool:
        """Return whether the signal has come."""
        return self.signalled_at < NEVER


class PeerWork(Protocol):
    """What a gateway does for others, as far as its stop must know."""

    @property
    def busy(self) -> bool:
        """Return whether anything of theirs waits or is at work."""

    def refuse_pieces(self) -> None:
        """Give back what waits, and take nothing new."""


class CallRun(Protocol[Result]):
    """Something that is done for a caller, and that a stop may have to give up.

    ``answer_begun`` must be true before the first byte of the answer goes out.
    """

    @property
    def answer_begun(self) -> bool:
        """Return whether any part of the answer has gone out."""

    async def run(self) -> Result:
        """Return the result, usually the answer."""

    def fits_before_stop(self) -> bool:
        """Return whether it may still end before a stop that has begun does."""

    def give_up(self) -> CallAnswer:
        """Return the answer of a stop that does not wait for :meth:`run`."""


@dataclass(eq=False, slots=True)
class _OpenCall:
    run: CallRun[Any]
    scope: asyncio.Timeout


class OpenCalls:
    """The calls being served, so that a stop can answer those that have no answer yet."""

    def __init__(self) -> None:
        self._open: set[_OpenCall] = set()

    @property
    def unanswered(self) -> int:
        """Return how many calls have no part of an answer yet."""
        return sum(not item.run.answer_begun for item in self._open)

    async def serve(self, run: CallRun[Result]) -> Result | CallAnswer:
        """Return what a run returns, or the answer of a stop that gave it up."""
        scope = asyncio.timeout(None)
        item = _OpenCall(run, scope)
        self._open.add(item)
        try:
            async with scope:
                return await run.run()
        except TimeoutError:
            if not scope.expired():
                raise
            return run.give_up()
        finally:
            self._open.discard(item)

    def end_unanswered(self) -> None:
        """Give up every call that has no part of an answer; its caller is answered now."""
        self._give_up(item for item in self._open if not item.run.answer_begun)

    def end_hopeless(self) -> None:
        """Give up the calls without an answer that would not end before the stop."""
        self._give_up(
            item
            for item in self._open
            if not item.run.answer_begun and not item.run.fits_before_stop()
        )

    def _give_up(self, items: Iterable[_OpenCall]) -> None:
        now = asyncio.get_running_loop().time()
        for item in list(items):
            if item.scope.when() is None:
                item.scope.reschedule(now)


def stopped_answer(call: OpaqueCall) -> Refusal:
    """Return the answer to a call given up: a worker that may have it may have run it."""
    if call.may_have_run:
        return Refusal(ResultCode.OUTCOME_UNKNOWN, "this gateway is stopping", close=True)
    return Refusal.draining("given up at the end of the drain")


class CallerDrain:
    """Carries a schedule out: lets calls end, then answers those that have not ended.

    ``peers`` is what this gateway does for others.
    """

    def __init__(self, callers: CallerServer, open_calls: OpenCalls, peers: PeerWork) -> None:
        self._callers = callers
        self._open_calls = open_calls
        self._peers = peers

    async def run(self, schedule: DrainSchedule) -> None:
        """Return when nothing is in flight, or when streams are to be cut."""
        while not self._over(schedule):
            self._look(schedule, clock.now())
            await asyncio.sleep(CHECK_SECONDS)
        self._callers.stop_listening()
        answers_until = max(schedule.stop_at, clock.now()) + ANSWER_RESERVE_SECONDS
        # Requests that came meanwhile are read now, and served like those before them.
        await asyncio.sleep(CHECK_SECONDS)
        while self._pending(schedule, clock.now(), answers_until):
            self._callers.close_resting(0.0)
            self._look(schedule, clock.now())
            await asyncio.sleep(CHECK_SECONDS)

    def _look(self, schedule: DrainSchedule, now: float) -> None:
        self._callers.close_resting(RESTING_CLOSE_SECONDS)
        if now >= schedule.answer_by:
            self._open_calls.end_unanswered()
        else:
            self._open_calls.end_hopeless()
        if now >= schedule.pieces_until:
            self._peers.refuse_pieces()

    def _over(self, schedule: DrainSchedule) -> bool:
        now = clock.now()
        busy = self._callers.in_flight or self._peers.busy
        return now >= schedule.stop_at or (now >= schedule.streams_until and not busy)

    def _pending(self, schedule: DrainSchedule, now: float, answers_until: float) -> bool:
        """Return whether callers still wait; after the drain's end only for an answer at all."""
        if now < schedule.stop_at:
            return self._callers.in_flight > 0
        unanswered = self._open_calls.unanswered or self._callers.unbegun
        return bool(unanswered) and now < answers_until
