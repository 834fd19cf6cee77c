"""Relays events to a caller as they arrive, in one answer to which several engines contribute."""

from collections.abc import Callable
from enum import StrEnum
from functools import partial
from typing import Protocol

import aiohttp

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import CallStep, OpaqueCall
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.received_bytes import Purpose, forget_readers
from corkcrank.node.calls.attempts import Attempt
from corkcrank.node.calls.services import CallServices
from corkcrank.node.streams.event_feed import EventFeed
from corkcrank.node.streams.events import StreamEvent
from corkcrank.node.streams.stream_answer import StreamAnswer
from corkcrank.node.streams.stream_part import StreamPart, body_framing
from corkcrank.node.streams.upstream_buffer import UpstreamBuffer
from corkcrank.node.workers.silence_timeout import SilenceRule, SilenceTimeout
from corkcrank.node.workers.worker_addresses import address_of

MIN_SILENCE_SECONDS = 1.0
"""Minimum silence between events before a stream fails over, in seconds."""

SILENCE_FACTOR = 2.5
"""Silence before a failover of a resumable stream, as a multiple of its pause objective."""

DEFAULT_PAUSE_SECONDS = 1.0
"""Default pause objective of a route, in seconds."""


class RelayEnd(StrEnum):
    """The end of one engine's part of a stream."""

    COMPLETE = "complete"
    BROKEN = "broken"
    FAILED = "failed"
    """The engine answered with a failure status, without a stream."""
    CALLER_GONE = "caller-gone"


class EngineSearch(Protocol):
    """The search for another engine while the current one is silent."""

    def rule(self, engine: WorkerRecord, seconds: float) -> SilenceRule:
        """Return the rule for a failover from an engine after a silence of ``seconds``."""

    @property
    def in_progress(self) -> bool:
        """Return whether another engine is sought, or has been found."""

    def cancel(self) -> None:
        """Cancel the search, because the current engine continues its answer."""


class StreamRelay:
    """Reads the parts of a stream from consecutive engines and relays each event once."""

    search: EngineSearch
    """The search for another engine; set after construction."""

    def __init__(self, call: OpaqueCall, services: CallServices, answer: StreamAnswer) -> None:
        self._call = call
        self._services = services
        self._answer = answer
        self.resume_after = call.envelope.resume_after
        """Id of the last event that the caller received, as it is sent to an engine."""
        self._next_event_begun = False
        self.on_first_event: Callable[[], None] = lambda: None

    def start_part(self, upstream: aiohttp.ClientResponse) -> StreamPart:
        """Return a new part for an engine's answer whose head has arrived."""
        return StreamPart(
            upstream.status, body_framing(upstream), self.resume_after, self._next_event_begun
        )

    async def relay(
        self,
        attempt: Attempt,
        part: StreamPart,
        first: SilenceRule | None,
        waiting: UpstreamBuffer | None = None,
    ) -> RelayEnd:
        """Relay an engine's events until the body ends, the connection fails or it is silent.

        ``first`` is the rule for an engine without a first event. ``waiting`` is the buffer of its
        answer, if bytes were already read.
        """
        upstream = attempt.response
        assert upstream is not None
        waiting = waiting or UpstreamBuffer(upstream)
        # Stays set if the call is cancelled, which is not a failure of the engine.
        end = RelayEnd.CALLER_GONE
        try:
            end = await self._relay_body(attempt, waiting, part, first)
        finally:
            self._next_event_begun = part.shows_next_event()
            if end is not RelayEnd.COMPLETE:
                attempt.close()
            if part.silent:
                self._call.left_workers.add(attempt.worker.worker_id)
            if end is RelayEnd.BROKEN:
                self._services.record_connection_failure(
                    self._call,
                    attempt.worker,
                    silent=part.silent,
                    progressed=part.progressed(clock.now()),
                )
                self._services.worker_statistics.get_or_create(
                    attempt.worker.worker_id
                ).failures.append(clock.now())
        return end

    async def _relay_body(
        self,
        attempt: Attempt,
        waiting: UpstreamBuffer,
        part: StreamPart,
        first: SilenceRule | None,
    ) -> RelayEnd:
        upstream = attempt.response
        assert upstream is not None
        received = self._services.client.received
        kept = received.open(Purpose.EVENT, attempt.worker.worker_id, upstream)
        statistics = self._services.worker_statistics.get_or_create(attempt.worker.worker_id)
        write = partial(self._answer.write, upstream)
        feed = EventFeed(waiting, kept, statistics, write, self._holds_comments)
        self._answer.set_waiting(waiting)
        silence = first
        try:
            while (events := await self._next_events(upstream, feed, silence)) is not None:
                self.search.cancel()
                if events and not await self._send_events(upstream, part, events, feed):
                    return RelayEnd.BROKEN
                if events:
                    silence = self._silence_rule(attempt.worker)
        except TimeoutError:
            part.silent = True
            return RelayEnd.CALLER_GONE if self._answer.caller_disconnected else RelayEnd.BROKEN
        except (aiohttp.ClientError, ConnectionError, ValueError) as error:
            forget_readers(error)
            return RelayEnd.CALLER_GONE if self._answer.caller_disconnected else RelayEnd.BROKEN
        finally:
            kept.close()
            part.leftover = feed.remainder
        return await self._end_answer(upstream, part, feed)

    async def _next_events(
        self, upstream: aiohttp.ClientResponse, feed: EventFeed, silence: SilenceRule | None
    ) -> list[StreamEvent] | None:
        """Return the next events of an engine; one without an event is silent, whatever it sends.

        While another engine is sought, only an event shows that this one continues its answer.
        """
        started = clock.now()
        left = clock.clamp_remaining_seconds(self._call.end_at - started)
        try:
            async with SilenceTimeout(left, silence):
                return await feed.read()
        except TimeoutError:
            waited = clock.now() - max(started, feed.heard_at)
            if waited >= MIN_SILENCE_SECONDS:
                self._services.client.record_silence(address_of(upstream), waited)
            raise

    def _holds_comments(self) -> bool:
        """Return whether comments wait: no event was sent yet, or another engine is sought."""
        return not self._answer.prepared or self.search.in_progress

    async def _send_events(
        self,
        upstream: aiohttp.ClientResponse,
        part: StreamPart,
        events: list[StreamEvent],
        feed: EventFeed,
    ) -> bool:
        """Relay events; return whether each id directly follows the previous one."""
        data = []
        whole = True
        for event in events:
            if not part.accept_event(event):
                whole = False
                break
            data.append(event.data)
        if part.last_event is not None:
            self.resume_after = str(part.last_event)
        if data:
            part.record_first_event(clock.now())
            self._call.step = CallStep.RELAY
            self.on_first_event()
            self.on_first_event = _do_nothing
            await self._answer.write(upstream, b"".join([feed.take_held(), *data]))
            if part.progressed(clock.now()):
                self._record_progress(part)
        return whole

    def _record_progress(self, part: StreamPart) -> None:
        if not part.progress_recorded and part.first_event_at is not None:
            part.progress_recorded = True
            self._services.crash_watch.record_progress(self._call, part.first_event_at)

    async def _end_answer(
        self, upstream: aiohttp.ClientResponse, part: StreamPart, feed: EventFeed
    ) -> RelayEnd:
        """End the answer as complete if the engine's part was the end of the stream.

        A properly terminated body is not sufficient: a failure answer or a partial event also ends
        with one, and would end an incomplete stream as complete.
        """
        if not part.is_stream_end():
            return RelayEnd.BROKEN
        try:
            await self._answer.end(upstream, feed.take_held() + part.leftover)
        except ConnectionError:
            return RelayEnd.CALLER_GONE
        self._observe_stream_time()
        self._record_progress(part)
        return RelayEnd.COMPLETE

    def _observe_stream_time(self) -> None:
        """Update the estimate of stream times, unless the caller resumed the stream."""
        call = self._call
        if call.first_byte_at is None or call.envelope.resume_after:
            return
        seconds = clock.now() - call.first_byte_at
        tokens = call.envelope.prompt.tokens_out
        self._services.stream_times.observe_stream(call.route.name, tokens, seconds)

    def _silence_rule(self, engine: WorkerRecord) -> SilenceRule | None:
        """Return the rule for a silence between events, ``None`` to wait indefinitely."""
        if not self._call.route.idempotent:
            return None
        pause = self._call.route.pause_objective or DEFAULT_PAUSE_SECONDS
        return self.search.rule(engine, max(MIN_SILENCE_SECONDS, SILENCE_FACTOR * pause))


def _do_nothing() -> None:
    pass
