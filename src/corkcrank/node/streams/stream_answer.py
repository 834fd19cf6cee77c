"""Writes the answer to a streamed call to its caller."""

import asyncio
from collections.abc import Coroutine

import aiohttp
from aiohttp import HttpVersion11, web

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.links.closed_connections import closed_by_peer, set_reset_on_close
from corkcrank.links.silence import ConnectionKind, SilentConnection
from corkcrank.node.callers.caller_connection import CallerConnection, has_request_behind
from corkcrank.node.callers.refusals import CallerDisconnectedError
from corkcrank.node.calls.services import CallServices
from corkcrank.node.calls.worker_answers import replace_headers
from corkcrank.node.streams.upstream_buffer import UpstreamBuffer


class StreamAnswer:
    """One answer to which several engines may contribute; the first one sets its head."""

    def __init__(self, call: OpaqueCall, services: CallServices, request: web.BaseRequest) -> None:
        self._call = call
        self._services = services
        self._request = request
        self._response: web.StreamResponse | None = None
        self._sent_at: float | None = None
        self._waiting: UpstreamBuffer | None = None
        self.longest_pause = 0.0

    @property
    def prepared(self) -> bool:
        """Return whether the head of the answer was sent."""
        return self._response is not None

    @property
    def caller_disconnected(self) -> bool:
        """Return whether the caller's connection is closed or closing."""
        transport = self._request.transport
        return transport is None or transport.is_closing()

    @property
    def kept_bytes(self) -> int:
        """Return the number of buffered bytes of the engine's answer."""
        return self._waiting.kept_bytes if self._waiting is not None else 0

    @property
    def written_bytes(self) -> int:
        """Return the number of bytes written to the caller's connection."""
        return self._request.writer.output_size

    @property
    def worker_waits(self) -> bool:
        """Return whether the engine cannot send the rest of its answer."""
        return self._waiting is not None and self._waiting.worker_waits

    def read_ahead(self, count: int) -> None:
        """Let the engine send about ``count`` more bytes although the caller has not read."""
        if self._waiting is not None:
            self._waiting.read_ahead(count)

    def set_waiting(self, waiting: UpstreamBuffer) -> None:
        """Set the buffer of the engine's answer that is being relayed."""
        self._waiting = waiting

    def check_caller(self) -> None:
        """Raise :class:`CallerDisconnectedError` if the caller has closed its connection."""
        if closed_by_peer(self._request.transport):
            raise CallerDisconnectedError

    def finished(self) -> web.StreamResponse:
        """Return the complete answer."""
        assert self._response is not None
        return self._response

    def abort(self) -> None:
        """Abort the connection, so that the caller detects an incomplete answer."""
        transport = self._request.transport
        if transport is not None:
            transport.abort()

    async def write(self, upstream: aiohttp.ClientResponse, data: bytes) -> None:
        """Write bytes to the caller; the first ones follow the head of ``upstream``."""
        self._record_pause()
        await self._write_before_deadline(self._write(upstream, data))

    async def end(self, upstream: aiohttp.ClientResponse, rest: bytes) -> None:
        """Write the last bytes and end the answer as complete."""
        await self._write_before_deadline(self._write_end(upstream, rest))

    async def _write(self, upstream: aiohttp.ClientResponse, data: bytes) -> None:
        response = await self._prepare(upstream)
        await response.write(data)
        # The library applies backpressure only after each 64 KiB.
        await self._request.writer.drain()

    async def _write_end(self, upstream: aiohttp.ClientResponse, rest: bytes) -> None:
        response = await self._prepare(upstream)
        if rest:
            await response.write(rest)
        await response.write_eof()
        self._set_close_by_reset(False)

    async def _write_before_deadline(self, writing: Coroutine[None, None, None]) -> None:
        """Write until the call's deadline, then drop a caller that accepts no bytes."""
        started = clock.now()
        try:
            async with asyncio.timeout(clock.clamp_remaining_seconds(self._call.end_at - started)):
                await writing
        except TimeoutError:
            waited = clock.now() - started
            self._services.record_silence(
                SilentConnection(ConnectionKind.CALLER, self._request.remote or "", waited)
            )
            self.abort()
            raise ConnectionResetError("the caller accepted no bytes until the deadline") from None

    async def _prepare(self, upstream: aiohttp.ClientResponse) -> web.StreamResponse:
        if self._response is None:
            response = web.StreamResponse(status=upstream.status, reason=upstream.reason)
            headers = self._services.ports.calls.answer_headers(list(upstream.headers.items()))
            replace_headers(response, headers)
            if self._services.drain.signal_received and not has_request_behind(self._request):
                response.force_close()
            self._response = response
            connection = self._request.protocol
            if isinstance(connection, CallerConnection):
                connection.call_id = self._call.call_id
                connection.source = self
            self._call.answer_begun = True
            self._set_close_by_reset(True)
            await response.prepare(self._request)
        return self._response

    def _set_close_by_reset(self, reset: bool) -> None:
        """Set whether an HTTP/1.0 connection is closed by a reset.

        HTTP/1.0 has no chunked encoding, so a closed connection marks the end of an answer. A reset
        distinguishes an aborted stream from a complete one.
        """
        if self._request.version < HttpVersion11:
            set_reset_on_close(self._request.transport, reset)

    def _record_pause(self) -> None:
        now = clock.now()
        if self._call.first_byte_at is None:
            self._call.first_byte_at = now
        if self._sent_at is not None:
            self.longest_pause = max(self.longest_pause, now - self._sent_at)
        self._sent_at = now
