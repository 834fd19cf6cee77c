"""Passes events on to a caller as they come, within one answer over several workers."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from enum import StrEnum

import aiohttp
from aiohttp import web

from corkcrank.contracts.opaque_call import CallStep, OpaqueCall
from corkcrank.gateway.opaque.attempts import Attempt
from corkcrank.gateway.opaque.events import EventReader, StreamEvent
from corkcrank.gateway.opaque.plain_run import replace_headers
from corkcrank.gateway.opaque.services import CallServices
from corkcrank.gateway.opaque.stream_part import StreamPart, framing_of
from corkcrank.gateway.opaque.worker_client import address_of, unframed_end
from corkcrank.links.silence import ConnectionKind, SilentConnection

LEAST_SILENCE_SECONDS = 1.0
"""A stream is never moved for a shorter silence between events."""

SILENCE_PAUSES = 2.5
"""A resumable stream is moved after this multiple of the pause that it may have."""

DEFAULT_PAUSE_SECONDS = 1.0
"""Pause assumed where the route tells none."""


class RelayEnd(StrEnum):
    """How one worker's part of a stream ended."""

    COMPLETE = "complete"
    BROKEN = "broken"
    CALLER_GONE = "caller-gone"


class StreamRelay:
    """The answer to one streamed call; its head is that of the first worker."""

    def __init__(
        self,
        call: OpaqueCall,
        services: CallServices,
        request: web.BaseRequest,
        may_move: Callable[[], bool],
    ) -> None:
        self._may_move = may_move
        self._call = call
        self._services = services
        self._request = request
        self._response: web.StreamResponse | None = None
        self._last_id: int | None = None
        self.part: StreamPart | None = None
        self.started = False
        self.longest_pause = 0.0
        self._sent_at: float | None = None
        self.on_first_event: Callable[[], None] = lambda: None

    @property
    def prepared(self) -> bool:
        """Return whether the head of the answer has gone out."""
        return self._response is not None

    @property
    def resume_after(self) -> str:
        """Return the id of the last event that the caller has."""
        if self._last_id is None:
            return self._call.envelope.resume_after
        return str(self._last_id)

    def finished(self) -> web.StreamResponse:
        """Return the answer, whose end has gone out."""
        assert self._response is not None
        return self._response

    def break_off(self) -> None:
        """End the answer so that nobody takes it for whole."""
        transport = self._request.transport
        if transport is not None:
            transport.abort()

    async def relay(self, attempt: Attempt, first_seconds: float) -> RelayEnd:
        """Pass one worker's events on until they end, break or fall silent."""
        upstream = attempt.response
        assert upstream is not None
        self.part = StreamPart(upstream.status, framing_of(upstream), self.resume_after)
        # Without another word the call was cancelled, which is no fault of the engine.
        end = RelayEnd.CALLER_GONE
        try:
            end = await self._relay(upstream, first_seconds)
        finally:
            if end is not RelayEnd.COMPLETE:
                attempt.close()
            if end is RelayEnd.BROKEN:
                self._services.book.of(attempt.worker.worker_id).failures.append(time.monotonic())
        return end

    async def _relay(self, upstream: aiohttp.ClientResponse, first_seconds: float) -> RelayEnd:
        reader = EventReader()
        closed = unframed_end(upstream)
        patience = first_seconds
        try:
            while True:
                chunk = await self._next_chunk(upstream, patience)
                if not chunk:
                    break
                events = reader.feed(chunk)
                self._note_read(reader.rest)
                if events and not await self._send_events(upstream, events):
                    return RelayEnd.BROKEN
                if events:
                    patience = self._silence_limit()
            if closed is not None:
                await closed
        except (aiohttp.ClientError, ConnectionError, TimeoutError, ValueError):
            return RelayEnd.CALLER_GONE if self._caller_gone() else RelayEnd.BROKEN
        return await self._complete(upstream, reader.rest)

    async def _next_chunk(self, upstream: aiohttp.ClientResponse, patience: float) -> bytes:
        started = time.monotonic()
        left = self._call.end_at - started
        try:
            async with asyncio.timeout(max(0.001, min(left, patience))):
                return await upstream.content.readany()
        except TimeoutError:
            waited = time.monotonic() - started
            if waited >= LEAST_SILENCE_SECONDS:
                self._services.client.note_silence(address_of(upstream), waited)
            raise

    async def _send_events(
        self, upstream: aiohttp.ClientResponse, events: list[StreamEvent]
    ) -> bool:
        """Send events on; return whether their ids go on where the last ended."""
        data = []
        whole = True
        for event in events:
            if not self._follows(event):
                whole = False
                break
            if event.event_id is not None:
                self._last_id = event.event_id
            self._note_sent(event)
            data.append(event.data)
        if data:
            if not self.started:
                self.started = True
            self._call.step = CallStep.RELAY
            self.on_first_event()
            self.on_first_event = _nothing
            self._note_pause()
            await self._within_call(self._write(upstream, b"".join(data)))
        return whole

    async def _write(self, upstream: aiohttp.ClientResponse, data: bytes) -> None:
        response = await self._prepare(upstream)
        await response.write(data)

    async def _write_end(self, upstream: aiohttp.ClientResponse, rest: bytes) -> None:
        response = await self._prepare(upstream)
        if rest:
            await response.write(rest)
        await response.write_eof()

    async def _within_call(self, writing: Coroutine[None, None, None]) -> None:
        """Write to the caller; one that accepts no bytes is dropped at the call's end."""
        started = time.monotonic()
        try:
            async with asyncio.timeout(max(0.001, self._call.end_at - started)):
                await writing
        except TimeoutError:
            waited = time.monotonic() - started
            self._services.note_silence(
                SilentConnection(ConnectionKind.CALLER, self._request.remote or "", waited)
            )
            self.break_off()
            raise ConnectionResetError("the caller accepts no bytes") from None

    def _note_read(self, leftover: bytes) -> None:
        if self.part is not None:
            self.part.leftover = leftover

    def _note_sent(self, event: StreamEvent) -> None:
        if self.part is not None:
            self.part.take(event)

    def _note_pause(self) -> None:
        now = time.monotonic()
        if self._call.first_byte_at is None:
            self._call.first_byte_at = now
        if self._sent_at is not None:
            self.longest_pause = max(self.longest_pause, now - self._sent_at)
        self._sent_at = now

    def _follows(self, event: StreamEvent) -> bool:
        if event.event_id is None or self._last_id is None:
            return True
        return event.event_id == self._last_id + 1

    async def _prepare(self, upstream: aiohttp.ClientResponse) -> web.StreamResponse:
        if self._response is None:
            response = web.StreamResponse(status=upstream.status, reason=upstream.reason)
            headers = self._services.ports.calls.answer_headers(list(upstream.headers.items()))
            replace_headers(response, headers)
            if self._services.drain.begun:
                response.force_close()
            self._response = response
            self._call.answer_begun = True
            await response.prepare(self._request)
        return self._response

    async def _complete(self, upstream: aiohttp.ClientResponse, rest: bytes) -> RelayEnd:
        try:
            await self._within_call(self._write_end(upstream, rest))
        except ConnectionError:
            return RelayEnd.CALLER_GONE
        self._learn_time()
        return RelayEnd.COMPLETE

    def _learn_time(self) -> None:
        """Learn how long the stream took, unless its caller had a part of it before."""
        call = self._call
        if call.first_byte_at is None or call.envelope.resume_after:
            return
        seconds = time.monotonic() - call.first_byte_at
        tokens = call.envelope.prompt.tokens_out
        self._services.stream_times.learn(call.route.name, tokens, seconds)

    def _silence_limit(self) -> float:
        if not self._may_move():
            return float("inf")
        pause = self._call.route.pause_objective or DEFAULT_PAUSE_SECONDS
        return max(LEAST_SILENCE_SECONDS, SILENCE_PAUSES * pause)

    def _caller_gone(self) -> bool:
        transport = self._request.transport
        return transport is None or transport.is_closing()


def _nothing() -> None:
    pass
