"""Relays requests of other gateways to workers that they cannot reach, and the responses."""

import asyncio
from collections.abc import Callable

import aiohttp
import msgspec
from aiohttp import web

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_configuration import RequestLimits
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.abandoned_tasks import abandon
from corkcrank.links.client_connections import is_final_status
from corkcrank.links.closed_connections import closed_by_peer
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.foreign_answers import ForeignKind
from corkcrank.links.platform_ports import CallCodec
from corkcrank.links.received_bytes import OversizedMessageError, Purpose
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.node.peers.peer_client import (
    PEER_PROGRESS_INTERVAL_SECONDS,
    PEER_SILENCE_SECONDS,
)
from corkcrank.node.relays.relay_protocol import (
    HEAD_LENGTH_BYTES,
    MAX_HEAD_BYTES,
    RELAY_HEADER,
    RELAY_RETRY_HEADER,
    RelayedRequest,
    RelayOutcome,
    WorkerProbeAnswer,
    WorkerProbeRequest,
    decode_relayed_request,
)
from corkcrank.node.telemetry.metrics import NodeMetrics
from corkcrank.node.workers.link_monitor import LinkMonitor
from corkcrank.node.workers.worker_availability import Unavailability, WorkerAvailability
from corkcrank.node.workers.worker_client import WorkerClient
from corkcrank.node.workers.worker_probe import ProbeResult, probe_worker
from corkcrank.node.workers.worker_request import (
    SendFailure,
    SendResult,
    SendTrouble,
    WorkerRequest,
)
from corkcrank.node.workers.worker_statements import WorkerStatements

MAX_RELAYED_REQUESTS = 256
"""Maximum number of concurrently relayed requests of other gateways."""

EXCHANGE_MARGIN_SECONDS = 1.0
"""Time added to a request's deadline before its exchange is aborted; the sender usually ends it."""

PROBE_TIMEOUT_SECONDS = 0.3
"""Timeout of a connection attempt on behalf of another gateway."""

MAX_TIMER_LAG_SECONDS = 0.02
"""Maximum delay of a timer. If a connection attempt times out later, the event loop was delayed,
and the worker may have accepted the connection."""

INTERIM_RESPONSE = b"HTTP/1.1 102 Processing\r\n\r\n"

FAILURE_STATUS = 502
"""Status of a response that does not come from a worker."""

_OUTCOMES = {
    SendTrouble.NOT_SENT: RelayOutcome.NOT_SENT,
    SendTrouble.REFUSED: RelayOutcome.REFUSED,
    SendTrouble.WITHDRAWN: RelayOutcome.DECLINED,
    SendTrouble.SILENT: RelayOutcome.UNKNOWN,
    SendTrouble.UNKNOWN: RelayOutcome.UNKNOWN,
}


class RelayServer:
    """Relays requests over one hop, and only to workers to which this gateway may send itself.

    ``accepts`` returns whether this gateway accepts requests of others; it does not while it stops.
    ``body_bytes`` is the size of the bodies of the requests that are being relayed.
    """

    def __init__(
        self,
        mirror: StoreMirror,
        client: WorkerClient,
        availability: WorkerAvailability,
        statements: WorkerStatements,
        links: LinkMonitor,
        calls: CallCodec,
        log: DecisionLog,
        metrics: NodeMetrics,
        accepts: Callable[[], bool],
    ) -> None:
        self._mirror = mirror
        self._client = client
        self._availability = availability
        self._statements = statements
        self._links = links
        self._calls = calls
        self._log = log
        self._metrics = metrics
        self._accepts = accepts
        self.in_flight = 0
        self.body_bytes = 0
        client.received.memory.add_account(lambda: self.body_bytes)

    async def probe(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond whether this gateway can connect to a worker."""
        message = msgspec.msgpack.decode(await request.read(), type=WorkerProbeRequest)
        worker = self._mirror.workers.get(message.worker_id)
        answer = WorkerProbeAnswer(reached=False)
        if worker is not None and not self._links.health.is_failed(message.worker_id):
            started = clock.loop_time()
            result = await probe_worker(worker.address, PROBE_TIMEOUT_SECONDS)
            lag = clock.loop_time() - started - PROBE_TIMEOUT_SECONDS
            late = result is ProbeResult.SILENT and lag > MAX_TIMER_LAG_SECONDS
            answer = WorkerProbeAnswer(result is ProbeResult.CONNECTED, late)
        return web.Response(body=msgspec.msgpack.encode(answer))

    async def relay(self, request: web.BaseRequest) -> web.StreamResponse:
        """Send a request to its worker and relay the response to the sender."""
        head, body = decode_relayed_request(await self._read_message(request))
        if closed_by_peer(request.transport):
            raise ConnectionResetError("the sender closed its connection")
        worker = self._mirror.workers.get(head.worker_id)
        refusal = self._refusal(head, worker, len(body))
        if refusal is not None or worker is None:
            return refusal or self._failure(head, RelayOutcome.DECLINED, "worker is not listed")
        self.in_flight += 1
        self.body_bytes += len(body)
        try:
            async with asyncio.timeout(head.seconds + EXCHANGE_MARGIN_SECONDS):
                return await self._exchange(request, head, worker, body)
        except TimeoutError:
            _abort(request)
            raise ConnectionResetError("the exchange outlasted its time") from None
        finally:
            self.in_flight -= 1
            self.body_bytes -= len(body)

    @property
    def _max_message_bytes(self) -> int:
        """Return the limit of a relayed request, whose body is one that a caller may send."""
        configuration = self._mirror.configuration
        limits = configuration.limits if configuration is not None else RequestLimits()
        return HEAD_LENGTH_BYTES + MAX_HEAD_BYTES + limits.body_bytes

    async def _read_message(self, request: web.BaseRequest) -> bytes:
        """Return a complete message; abort the connection if it is silent or too large."""
        try:
            with self._client.received.open(
                Purpose.RELAY, request.remote or "", limit_bytes=self._max_message_bytes
            ) as kept:
                kept.expect(request.content_length)
                while True:
                    async with asyncio.timeout(PEER_SILENCE_SECONDS):
                        piece = await request.content.readany()
                    if not piece:
                        return b"".join(kept.take())
                    kept.keep(piece)
        except TimeoutError:
            _abort(request)
            raise web.HTTPRequestTimeout from None
        except OversizedMessageError:
            _abort(request)
            raise ConnectionResetError("the message exceeds a bound") from None

    def _refusal(
        self, head: RelayedRequest, worker: WorkerRecord | None, body_bytes: int
    ) -> web.StreamResponse | None:
        """Return the response to a declined request, ``None`` if it may be sent."""
        detail = ""
        if worker is None:
            detail = "worker is not listed"
        elif not self._accepts():
            detail = "this gateway stops"
        elif self._links.health.is_failed(head.worker_id):
            detail = "this gateway does not reach the worker"
        elif self.in_flight >= MAX_RELAYED_REQUESTS:
            detail = "too many relayed requests"
        elif not self._has_room(body_bytes):
            detail = "no memory for the body"
        elif head.new_work:
            reason = self._availability.reason_not_to_send(worker)
            if reason is Unavailability.BACKOFF:
                return self._backoff(head, worker)
            detail = reason or ""
        elif self._availability.backoff_seconds(worker, clock.now()):
            return self._backoff(head, worker)
        return self._failure(head, RelayOutcome.DECLINED, detail) if detail else None

    def _has_room(self, body_bytes: int) -> bool:
        """Return whether the bodies in progress may grow by this many bytes.

        Together they may use as much memory as messages that are being received. One body always
        has room.
        """
        received = self._client.received
        if not received.bound_bytes or not self.body_bytes:
            return True
        within_bound = self.body_bytes + body_bytes <= received.bound_bytes
        return within_bound and received.memory.has_room(body_bytes)

    def _backoff(self, head: RelayedRequest, worker: WorkerRecord) -> web.Response:
        seconds = self._availability.backoff_seconds(worker, clock.now())
        return self._failure(head, RelayOutcome.WITHDRAWN, "backoff", seconds)

    async def _exchange(
        self, request: web.BaseRequest, head: RelayedRequest, worker: WorkerRecord, body: bytes
    ) -> web.StreamResponse:
        guard = self._availability.guard(worker) if head.new_work else None
        sent = WorkerRequest(
            worker,
            head.method,
            _decode(head.target),
            [(_decode(name), _decode(value)) for name, value in head.headers],
            body,
            head.seconds,
            # Nothing confirms here that a response without the id of a call belongs to its request.
            fresh=head.fresh or not head.call_id,
            still_wanted=guard,
            new_work=head.new_work,
            call_id=head.call_id,
        )
        upstream = await self._send_with_progress(request, sent)
        if isinstance(upstream, SendFailure):
            return self._failure(head, _OUTCOMES[upstream.trouble], upstream.detail)
        try:
            answered_id = self._calls.read_answer(upstream.headers).call_id
            if answered_id and head.call_id and answered_id != head.call_id:
                self._client.drop_foreign(upstream, ForeignKind.OTHER_CALL)
                return self._failure(head, RelayOutcome.UNKNOWN, "answer to another request")
            if not is_final_status(upstream.status):
                detail = f"status {upstream.status} is not the status of a final answer"
                return self._failure(head, RelayOutcome.UNKNOWN, detail)
            if answered_id == head.call_id or not head.call_id:
                # The worker's statements apply to this gateway as the sender.
                self._statements.record_response(worker, upstream.status, upstream.headers)
            self._record(head, RelayOutcome.ANSWERED, f"status {upstream.status}")
            return await self._relay_response(request, head, upstream)
        finally:
            upstream.close()

    async def _send_with_progress(
        self, request: web.BaseRequest, sent: WorkerRequest
    ) -> SendResult:
        """Send a request and report progress to the sender while the response is pending.

        The sender's HTTP library ignores interim responses, but they reset its read timeout.
        """
        sending = asyncio.create_task(self._client.send_directly(sent))
        try:
            while True:
                done, _ = await asyncio.wait({sending}, timeout=PEER_PROGRESS_INTERVAL_SECONDS)
                if done:
                    return sending.result()
                await request.writer.write(INTERIM_RESPONSE)
        except (asyncio.CancelledError, OSError):
            abandon(sending, _close_response)
            raise

    async def _relay_response(
        self, request: web.BaseRequest, head: RelayedRequest, upstream: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        """Relay head and body; abort the connection if the body is truncated."""
        response = web.StreamResponse(status=upstream.status, reason=upstream.reason)
        response.headers.clear()
        for name, value in self._calls.answer_headers(list(upstream.headers.items())):
            response.headers.add(name, value)
        response.headers[RELAY_HEADER] = RelayOutcome.ANSWERED.value
        await response.prepare(request)
        try:
            while chunk := await upstream.content.readany():
                await response.write(chunk)
            await response.write_eof()
        except (aiohttp.ClientError, OSError, ValueError):
            _abort(request)
            raise ConnectionResetError("the worker's answer broke off") from None
        return response

    def _failure(
        self, head: RelayedRequest, outcome: RelayOutcome, detail: str, seconds: float = 0.0
    ) -> web.Response:
        self._record(head, outcome, detail)
        headers = {RELAY_HEADER: outcome.value}
        if seconds:
            headers[RELAY_RETRY_HEADER] = f"{seconds:.3f}"
        return web.Response(status=FAILURE_STATUS, headers=headers)

    def _record(self, head: RelayedRequest, outcome: RelayOutcome, detail: str) -> None:
        self._metrics.requests_relayed_for_others.labels(outcome.value).inc()
        self._log.write(
            LogEvent.REQUEST_CARRIED,
            call=head.call_id,
            worker=head.worker_id,
            sender=head.sender,
            outcome=outcome.value,
            detail=detail,
        )


def _abort(request: web.BaseRequest) -> None:
    """Reset a request's connection, so that an incomplete response does not look complete."""
    if request.transport is not None:
        request.transport.abort()


def _decode(data: bytes) -> str:
    return data.decode("utf-8", "surrogateescape")


def _close_response(result: SendResult) -> None:
    if not isinstance(result, SendFailure):
        result.close()
