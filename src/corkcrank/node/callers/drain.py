"""Drains a gateway at a planned stop: sets until when calls are admitted, answered and streamed.

Forecasts of call durations are wrong while the rest of the fleet is being restarted too, so
whether a call is cut must not depend on one. New streams are admitted only while the load
balancer may not have noticed the stop, and go to an engine only while enough of the drain is left,
however long their stages take. Plain calls go to a worker by the same times, unless their own time
ends before the drain. Each call without a response gets one before the end; it states that the call
was not run, unless a worker may have run it.
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
"""Time for which the load balancer may still send connections to a gateway that is not ready.

It checks readiness once a second and needs two failed checks. The listener stays open to the
end: if no other machine of a zone is ready, the balancer keeps sending callers here, and an
error response is more useful to them than a refused connection."""

MAX_LAG_SHARE = 0.5
"""Maximum share of the grace period for the balancer's lag; applies if the period is short."""

MIN_STREAM_SHARE = 0.5
"""Minimum share of the drain that is left for a call when it is sent to a worker."""

DRAIN_IDLE_SECONDS = 0.3
"""Idle time after which connections are closed once the balancer has noticed the stop.

Before, the next request on one is answered, and the response closes it."""

DRAIN_RESERVE_SECONDS = 0.4
"""Part of the grace period that is reserved for closing down."""

ANSWER_RESERVE_SECONDS = 0.2
"""Part of the drain that is reserved for writing responses to unanswered calls: 4 intervals of
the drain's check, ``CHECK_INTERVAL_SECONDS``."""

PIECES_RESERVE_SECONDS = 0.8
"""Time before the end of the drain at which this gateway stops queueing pieces (the units of
stage work) of other gateways, so that the requests in progress at stage workers can end: about
the duration of two such requests."""

CHECK_INTERVAL_SECONDS = 0.05
"""Interval of the check whether a start or a drain is complete."""

MAX_ANSWER_CHECKS = round(ANSWER_RESERVE_SECONDS / CHECK_INTERVAL_SECONDS)
"""Number of checks after the end of the drain for which callers without a response are kept. Time
is no measure: a stall of the loop would use it up before any response is written."""

NEVER = float("inf")

CallAnswer = web.StreamResponse | Refusal

Result = TypeVar("Result", covariant=True)


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """Times of a planned stop on the clock of :mod:`clock`, in seconds; infinite before a signal.

    After ``streams_until`` no stream is admitted and no unrepeatable call is sent to a worker;
    after ``engines_until`` no stream is sent to an engine, and no repeatable call to a worker,
    unless one may have run it. A plain call whose own time ends by ``answer_by`` is not bound by
    these. At ``answer_by`` every call without a response gets one. At ``stop_at`` streams that are
    still running are cut.
    """

    signalled_at: float = NEVER
    streams_until: float = NEVER
    engines_until: float = NEVER
    answer_by: float = NEVER
    stop_at: float = NEVER

    @classmethod
    def after_signal(cls, signalled_at: float, grace: float) -> "DrainSchedule":
        """Return the schedule of a stop that may take ``grace`` seconds from its signal.

        >>> schedule = DrainSchedule.after_signal(100.0, 8.0)
        >>> schedule.streams_until, round(schedule.engines_until, 2)
        (102.5, 103.8)
        >>> round(schedule.answer_by, 2), round(schedule.stop_at, 2)
        (107.4, 107.6)
        """
        stop_at = signalled_at + grace - DRAIN_RESERVE_SECONDS
        answer_by = stop_at - ANSWER_RESERVE_SECONDS
        lag = min(BALANCER_LAG_SECONDS, MAX_LAG_SHARE * grace)
        streams_until = min(signalled_at + lag, answer_by)
        engines_until = stop_at - MIN_STREAM_SHARE * (stop_at - signalled_at)
        return cls(
            signalled_at, streams_until, max(streams_until, engines_until), answer_by, stop_at
        )

    @property
    def pieces_until(self) -> float:
        """Return the time until which other gateways' pieces are queued here."""
        return self.stop_at - PIECES_RESERVE_SECONDS

    @property
    def signal_received(self) -> bool:
        """Return whether the signal to stop was received."""
        return self.signalled_at < NEVER


class PeerWork(Protocol):
    """The work that a gateway does for other gateways, as its drain uses it."""

    @property
    def busy(self) -> bool:
        """Return whether any piece is queued or running."""

    def end_by(self, stop_at: float) -> None:
        """Accept only pieces that are expected to end before a time."""

    def refuse_pieces(self) -> None:
        """Refuse queued and later pieces; the gateways that sent them receive the refusals."""


class CallRun(Protocol[Result]):
    """The processing of one call, which a stop may have to abandon.

    ``answer_begun`` must be true before the first byte of the response is sent.
    """

    @property
    def answer_begun(self) -> bool:
        """Return whether any part of the response was sent."""

    async def run(self) -> Result:
        """Process the call and return the result, usually the response."""

    def fits_before_stop(self) -> bool:
        """Return whether a stop in progress lets the call run until ``DrainSchedule.answer_by``.

        If not, the call is abandoned at once, because it is not expected to end before the stop.
        """

    def answer_at_stop(self) -> CallAnswer:
        """Return the response that is sent if a stop abandons :meth:`run`."""


@dataclass(eq=False, slots=True)
class _OpenCall:
    run: CallRun[Any]
    scope: asyncio.Timeout


class OpenCalls:
    """The calls in progress, so that a stop can respond to those without a response."""

    def __init__(self) -> None:
        self._open: set[_OpenCall] = set()

    @property
    def unanswered(self) -> int:
        """Return how many calls have not started a response."""
        return sum(not item.run.answer_begun for item in self._open)

    async def serve(self, run: CallRun[Result]) -> Result | CallAnswer:
        """Return the result of a run, or its stop response if a stop abandoned it."""
        scope = asyncio.timeout(None)
        item = _OpenCall(run, scope)
        self._open.add(item)
        try:
            async with scope:
                return await run.run()
        except TimeoutError:
            if not scope.expired():
                raise
            return run.answer_at_stop()
        finally:
            self._open.discard(item)

    def abandon_unanswered(self) -> None:
        """Abandon every call that has not started a response; its caller is answered now."""
        self._abandon(item for item in self._open if not item.run.answer_begun)

    def abandon_too_long(self) -> None:
        """Abandon the calls without a response that would not end before the stop."""
        self._abandon(
            item
            for item in self._open
            if not item.run.answer_begun and not item.run.fits_before_stop()
        )

    def _abandon(self, items: Iterable[_OpenCall]) -> None:
        now = asyncio.get_running_loop().time()
        for item in list(items):
            if item.scope.when() is None:
                item.scope.reschedule(now)


def abandoned_call_answer(call: OpaqueCall) -> Refusal:
    """Return the response to an abandoned call: unknown outcome if a worker may have run it."""
    if call.may_have_run:
        return Refusal(ResultCode.OUTCOME_UNKNOWN, "this gateway is stopping")
    return Refusal.draining("given up at the end of the drain")


class CallerDrain:
    """Applies a drain schedule: lets calls end, then responds to those that have not ended.

    ``peers`` is the work that this gateway does for other gateways.
    """

    def __init__(self, callers: CallerServer, open_calls: OpenCalls, peers: PeerWork) -> None:
        self._callers = callers
        self._open_calls = open_calls
        self._peers = peers

    async def run(self, schedule: DrainSchedule) -> None:
        """Drain until nothing is in flight, or until the time at which streams are cut."""
        self._peers.end_by(schedule.stop_at)
        while not self._drained(schedule):
            self._apply_schedule(schedule, clock.now())
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        self._callers.stop_listening()
        # Requests that arrived in the meantime are read now, and served as usual.
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        checks_left = MAX_ANSWER_CHECKS
        while checks_left and self._callers_wait(schedule, clock.now()):
            self._callers.close_idle_connections(0.0)
            self._apply_schedule(schedule, clock.now())
            checks_left -= clock.now() >= schedule.stop_at
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        # In the turn of the check: what is read later would be closed without an answer.
        self._callers.end_connections()

    def _apply_schedule(self, schedule: DrainSchedule, now: float) -> None:
        if now >= schedule.streams_until:
            self._callers.close_idle_connections(DRAIN_IDLE_SECONDS)
        if now >= schedule.answer_by:
            self._open_calls.abandon_unanswered()
        else:
            self._open_calls.abandon_too_long()
        if now >= schedule.pieces_until:
            self._peers.refuse_pieces()

    def _drained(self, schedule: DrainSchedule) -> bool:
        now = clock.now()
        busy = self._callers.in_flight or self._peers.busy
        return now >= schedule.stop_at or (now >= schedule.streams_until and not busy)

    def _callers_wait(self, schedule: DrainSchedule, now: float) -> bool:
        """Return whether callers still wait; after ``stop_at`` only those without a response."""
        if now < schedule.stop_at:
            arriving = self._callers.partial_heads(DRAIN_IDLE_SECONDS)
            return bool(self._callers.in_flight or self._callers.unread_connections or arriving)
        unanswered = self._open_calls.unanswered or self._callers.unhandled_requests
        return bool(unanswered or self._callers.unread_connections)
