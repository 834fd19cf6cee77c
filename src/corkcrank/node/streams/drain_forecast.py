"""Decides whether a stream may still begin at an engine while its gateway is draining."""

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.links.decision_log import LogEvent
from corkcrank.node.calls.services import DEFAULT_FIRST_EVENT_SECONDS, CallServices

MAX_ID_DIGITS = 18
"""Maximum number of digits of an event id that is read as a number."""


class DrainForecast:
    """The forecast times of one stream, compared with what is left of a drain.

    Its stages and the wait for an engine come before the stream, so they decide how much of the
    drain is left for it.
    """

    def __init__(self, call: OpaqueCall, services: CallServices) -> None:
        self._call = call
        self._services = services
        self._ready_at = 0.0

    def expect_ready(self, seconds: float) -> None:
        """Record the forecast time until the stages end and an engine is free, in seconds."""
        self._ready_at = clock.now() + seconds

    def record_ready(self) -> None:
        """Record that the stages have ended or an engine is free, whatever was forecast."""
        self._ready_at = 0.0

    def fits(self) -> bool:
        """Return whether the stream may begin before this gateway stops; true unless draining.

        The usual time of a stream says little of a single one, so it must also begin while enough
        of the drain is left for others. An engine may already run a call that was sent before: it
        cannot be refused as not run, and is continued if the usual time is left.
        """
        drain = self._services.drain
        if not drain.signal_received:
            return True
        begins_at = clock.now() + self._ready_seconds()
        if begins_at > drain.engines_until and not self._call.may_have_run:
            return False
        return begins_at + self._first_event_seconds() + self._stream_seconds() <= drain.stop_at

    def write(self) -> None:
        """Log the forecast times of a call that is served while this gateway is draining."""
        drain = self._services.drain
        if not drain.signal_received:
            return
        self._services.log.write(
            LogEvent.CALL_ADMITTED_STOPPING,
            call=self._call.call_id,
            route=self._call.route.name,
            stages=round(self._ready_seconds(), 3),
            engine=round(self._first_event_seconds(), 3),
            stream=round(self._stream_seconds(), 3),
            tokens=self._call.envelope.prompt.tokens_out,
            left=round(drain.stop_at - clock.now(), 3),
        )

    def _ready_seconds(self) -> float:
        return max(0.0, self._ready_at - clock.now())

    def _first_event_seconds(self) -> float:
        return self._services.first_event_times.mean_seconds(
            self._call.service, DEFAULT_FIRST_EVENT_SECONDS
        )

    def _stream_seconds(self) -> float:
        """Return the usual time of the part of the stream that the caller lacks, in seconds."""
        envelope = self._call.envelope
        tokens_left = envelope.prompt.tokens_out - min_tokens_received(envelope.resume_after)
        return self._services.stream_times.usual_seconds(self._call.route.name, tokens_left)


def min_tokens_received(last_id: str) -> int:
    """Return a lower bound of the tokens that a caller has, from the id of its last event.

    Ids of events are consecutive, and each event holds a token at least.

    >>> min_tokens_received("95"), min_tokens_received(""), min_tokens_received("9" * 5_000)
    (95, 0, 0)
    """
    return int(last_id) if last_id.isdecimal() and len(last_id) <= MAX_ID_DIGITS else 0
