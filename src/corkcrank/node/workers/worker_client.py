"""HTTP client for workers that sends each attempt once and reports whether it was received."""

from collections.abc import Callable
from types import TracebackType
from typing import Any, Self
from weakref import WeakKeyDictionary

import aiohttp
from multidict import CIMultiDict

from corkcrank.contracts import clock
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.client_connections import ResponseConnection
from corkcrank.links.foreign_answers import (
    ForeignAnswer,
    ForeignAnswerListener,
    ForeignKind,
    ignore_foreign_answer,
)
from corkcrank.links.received_bytes import OversizedMessageError, Purpose, ReceivedBytes
from corkcrank.links.silence import (
    ConnectionKind,
    SilenceListener,
    SilentConnection,
    drop_all_idle,
    drop_idle,
    ignore_silence,
)
from corkcrank.node.workers.connect_watch import ConnectWatch
from corkcrank.node.workers.link_monitor import LinkFailure, LinkMonitor
from corkcrank.node.workers.silence_timeout import SilenceRule, SilenceTimeout
from corkcrank.node.workers.worker_addresses import address_of, exact_url
from corkcrank.node.workers.worker_request import (
    SILENT_FAILURE,
    MemberSearch,
    NoRelay,
    RequestRelay,
    SendFailure,
    SendResult,
    SendTrouble,
    WorkerRequest,
)
from corkcrank.node.workers.worker_sessions import (
    CONNECT_TIMEOUT_SECONDS,
    CheckedConnector,
    SendGuard,
    WithdrawnError,
    create_session,
    send_guard,
)

MAX_TIMER_LAG_SECONDS = 0.02
"""Maximum delay of a connect timeout. If it expires later, the event loop was stalled, and the
worker may have accepted the connection."""

MAX_IDLE_SECONDS = 1.5
"""Maximum idle time of a keep-alive connection for reuse. A connection may fail without an error,
which only the timeout of a request would show."""

MIN_SILENCE_SECONDS = 0.1
"""A shorter wait does not show a silent connection: the call's deadline was close."""


_LINK_FAILURES = {
    SendTrouble.NOT_SENT: LinkFailure.NOT_CONNECTED,
    SendTrouble.REFUSED: LinkFailure.REFUSED,
    SendTrouble.UNKNOWN: LinkFailure.BROKEN,
}
"""Failures of requests that a failed link may cause."""


class WorkerClient:
    """Sends requests to workers on new or on keep-alive connections.

    After a timeout, no idle connection to that worker is reused. A request to a worker that this
    gateway cannot connect to is relayed by a member that can; the node sets ``relay`` and ``links``
    for that. Connection failures are reported to ``links``, answers that belong to other requests
    to ``on_foreign_answer``.
    """

    def __init__(
        self,
        on_silence: SilenceListener = ignore_silence,
        received: ReceivedBytes | None = None,
        on_foreign_answer: ForeignAnswerListener = ignore_foreign_answer,
    ) -> None:
        self._on_silence = on_silence
        self._on_foreign_answer = on_foreign_answer
        self.received = received or ReceivedBytes()
        self._kept = self._create_session(keepalive_timeout=MAX_IDLE_SECONDS)
        self._fresh = self._create_session(force_close=True)
        self._unnamed = self._create_session(
            keepalive_timeout=MAX_IDLE_SECONDS, needs_confirmation=True
        )
        self._connections: WeakKeyDictionary[aiohttp.ClientResponse, ResponseConnection] = (
            WeakKeyDictionary()
        )
        """The connections of responses, which the library releases with the body."""
        self.relay: RequestRelay = NoRelay()
        self.links: LinkMonitor | None = None

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Close every connection."""
        await self._kept.close()
        await self._fresh.close()
        await self._unnamed.close()

    def confirm(self, response: aiohttp.ClientResponse) -> None:
        """Record that a response without the id of a call belongs to its request.

        Only then its connection is used again.
        """
        connection = self._connections.get(response)
        if connection is not None:
            connection.confirmed = True

    def drop_foreign(self, response: aiohttp.ClientResponse, kind: ForeignKind) -> None:
        """Drop a response that belongs to another request; its connection is not used again.

        If the body is complete, the library has released the connection, and closing the response
        has no effect on it.
        """
        connection = self._connections.get(response)
        if connection is not None:
            connection.confirmed = False
        response.close()
        self._on_foreign_answer(ForeignAnswer(kind, address_of(response)))

    def _create_session(self, **options: Any) -> aiohttp.ClientSession:
        return create_session(CheckedConnector(limit=0, on_surplus=self._record_surplus, **options))

    def _record_surplus(self, peer: str) -> None:
        self._on_foreign_answer(ForeignAnswer(ForeignKind.SURPLUS, peer))

    async def send(self, request: WorkerRequest, silence: SilenceRule | None = None) -> SendResult:
        """Send a request and wait for the head of its response, for at most its ``seconds``.

        ``silence`` may end the wait earlier. The target is sent unchanged. A request is sent at
        most once.
        """
        return await self._send(request, silence, relayed=True)

    async def send_directly(self, request: WorkerRequest) -> SendResult:
        """Send a request as :meth:`send` does, but never through a member."""
        return await self._send(request, None, relayed=False)

    async def _send(
        self, request: WorkerRequest, silence: SilenceRule | None, *, relayed: bool
    ) -> SendResult:
        started = clock.now()
        try:
            async with SilenceTimeout(request.seconds, silence):
                if relayed and self.links is not None:
                    return await self._send_or_relay(request, self.links)
                return await self._send_directly(request, None)
        except TimeoutError:
            self.record_silent_worker(request.worker, clock.now() - started)
            return SILENT_FAILURE

    async def _send_or_relay(self, request: WorkerRequest, links: LinkMonitor) -> SendResult:
        worker = request.worker
        if links.health.is_failed(worker.worker_id):
            result = await self.relay.send(request)
            if result is not None:
                if isinstance(result, SendFailure) and not result.connected:
                    links.record_unreachable_for_peers(worker.worker_id)
                return result
        search = MemberSearch()

        async def reached_elsewhere() -> bool:
            nonlocal search
            search = await self.relay.find_member(worker)
            return search.member is not None

        watch = ConnectWatch(reached_elsewhere) if self.relay.available else None
        result = await self._send_directly(request, watch)
        if not isinstance(result, SendFailure) or result.connected or result.stalled:
            return result
        if search.member is None:
            await reached_elsewhere()
        if search.member is None:
            return result if search.complete else result.without_verdict()
        links.record_failed_link(worker, search.member)
        relayed = await self.relay.send(request)
        return result.without_verdict() if relayed is None else relayed

    async def _send_directly(
        self, request: WorkerRequest, watch: ConnectWatch | None
    ) -> SendResult:
        result = await self._try_request(request, watch)
        if isinstance(result, SendFailure) and not result.stalled:
            cause = _LINK_FAILURES.get(result.trouble)
            if cause is not None:
                self._report_failure(request.worker, cause)
        return result

    async def _try_request(self, request: WorkerRequest, watch: ConnectWatch | None) -> SendResult:
        guard = SendGuard(request.still_wanted, watch)
        send_guard.set(guard)
        connecting_since = clock.loop_time()
        try:
            if watch is None:
                return await self._request(request, guard)
            async with watch:
                return await self._request(request, guard)
        except WithdrawnError:
            if watch is not None and watch.gave_up:
                return SendFailure(SendTrouble.NOT_SENT, "connection given up")
            return SendFailure(SendTrouble.WITHDRAWN, "withdrawn before it was sent")
        except aiohttp.ClientConnectorError as error:
            if isinstance(error.os_error, ConnectionRefusedError):
                return SendFailure(SendTrouble.REFUSED, "connection refused")
            return SendFailure(SendTrouble.NOT_SENT, type(error).__name__)
        except aiohttp.ConnectionTimeoutError:
            lag = clock.loop_time() - connecting_since - CONNECT_TIMEOUT_SECONDS
            stalled = lag > MAX_TIMER_LAG_SECONDS
            return SendFailure(SendTrouble.NOT_SENT, "connect time-out", stalled=stalled)
        except TimeoutError:
            if watch is None or not watch.gave_up:
                raise
            return SendFailure(SendTrouble.NOT_SENT, "connection given up")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return SendFailure(SendTrouble.UNKNOWN, type(error).__name__)
        finally:
            guard.clear()

    def _report_failure(self, worker: WorkerRecord, failure: LinkFailure) -> None:
        if self.links is not None:
            self.links.record_failure(worker.worker_id, failure)

    async def _request(self, request: WorkerRequest, guard: SendGuard) -> aiohttp.ClientResponse:
        response = await self._session_for(request).request(
            request.method,
            exact_url(request.worker.address, request.target),
            headers=CIMultiDict(request.headers),
            data=request.payload,
            allow_redirects=False,
        )
        if guard.connection is not None:
            self._connections[response] = guard.connection
        return response

    def _session_for(self, request: WorkerRequest) -> aiohttp.ClientSession:
        """Return the session whose connections a request may use.

        Responses to calls carry the id of their call. Others carry none, so their connections are
        not shared with calls.
        """
        if request.fresh:
            return self._fresh
        return self._kept if request.call_id else self._unnamed

    async def is_partitioned(self) -> bool:
        """Return whether this gateway reaches no worker, so that a silent request is lost."""
        return self.links is not None and self.links.health.partitioned

    async def read_body(
        self,
        response: aiohttp.ClientResponse,
        seconds: float,
        silence: SilenceRule | None = None,
        purpose: Purpose = Purpose.ANSWER,
    ) -> bytes | None:
        """Return a complete body, or ``None`` if it was truncated, too large or timed out.

        ``seconds`` bounds the whole read; ``silence`` may end each wait for the next byte earlier.
        """
        pieces = await self.read_pieces(response, seconds, silence, purpose)
        return None if pieces is None else b"".join(pieces)

    async def read_pieces(
        self,
        response: aiohttp.ClientResponse,
        seconds: float,
        silence: SilenceRule | None = None,
        purpose: Purpose = Purpose.ANSWER,
        may_keep: Callable[[int], bool] | None = None,
    ) -> list[bytes] | None:
        """Return the pieces of a complete body, as :meth:`read_body` does.

        Returns earlier once ``may_keep`` is false of the number of bytes read.
        """
        end_at = clock.now() + seconds
        received_at = clock.now()
        try:
            with self.received.open(purpose, address_of(response), response) as kept:
                kept.expect(response.content_length)
                while True:
                    async with SilenceTimeout(max(0.0, end_at - received_at), silence):
                        piece = await response.content.readany()
                    if not piece:
                        return kept.take()
                    kept.keep(piece)
                    received_at = clock.now()
                    if may_keep is not None and not may_keep(kept.count):
                        return kept.take()
        except TimeoutError:
            response.close()
            self.record_silence(address_of(response), clock.now() - received_at)
            return None
        except OversizedMessageError:
            response.close()
            return None
        except (aiohttp.ClientError, OSError, ValueError):
            return None

    def drop_all_idle(self) -> int:
        """Close all idle connections; return their number."""
        return drop_all_idle(self._kept) + drop_all_idle(self._unnamed)

    def drop_idle(self, worker: WorkerRecord) -> None:
        """Close all idle connections to a worker, because one to it is silent."""
        self._drop_idle(worker.address)

    def _drop_idle(self, address: str) -> int:
        return drop_idle(self._kept, address) + drop_idle(self._unnamed, address)

    def record_silent_worker(self, worker: WorkerRecord, waited: float) -> None:
        """Record that a request was abandoned after ``waited`` seconds without a byte."""
        self.record_silence(worker.address, waited)
        if waited >= MIN_SILENCE_SECONDS:
            self._report_failure(worker, LinkFailure.SILENT)

    def suspect_silence(self, worker: WorkerRecord) -> None:
        """Close idle connections to a worker and request a link check, because one is silent."""
        self.drop_idle(worker)
        self._report_failure(worker, LinkFailure.SILENT)

    def record_silence(self, address: str, waited: float) -> None:
        """Record that a worker's connection was dropped after ``waited`` seconds without a byte.

        Also closes all idle connections to that worker, because they may be silent as well. A wait
        below :data:`MIN_SILENCE_SECONDS` has no effect.
        """
        if waited < MIN_SILENCE_SECONDS:
            return
        idle = self._drop_idle(address)
        self._on_silence(SilentConnection(ConnectionKind.WORKER, address, waited, idle))
