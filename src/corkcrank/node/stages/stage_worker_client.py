"""Client of stage workers: runs pieces, frees results, fetches reports."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from http import HTTPStatus

import aiohttp

from corkcrank.contracts import clock
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.foreign_answers import ForeignKind
from corkcrank.links.platform_ports import (
    PieceOrder,
    PieceOutcome,
    PieceResult,
    StageCodec,
    StageWorkerReport,
    Unreadable,
)
from corkcrank.links.received_bytes import Purpose
from corkcrank.node.workers.silence_timeout import SilenceRule
from corkcrank.node.workers.worker_availability import WorkerAvailability
from corkcrank.node.workers.worker_client import WorkerClient
from corkcrank.node.workers.worker_request import (
    SendFailure,
    SendResult,
    SendTrouble,
    WorkerRequest,
)
from corkcrank.node.workers.worker_statements import WorkerStatements
from corkcrank.scheduling.batch_filling import StageItem
from corkcrank.scheduling.stage_queue import StageCall

CALL_TIME_FACTOR = 4.0
"""Timeout of a call, as a multiple of its expected time; the margin is added."""

PARTITION_SILENCE_FACTOR = 1.5
"""Timeout of a call without a response while this gateway is partitioned from the workers, as a
multiple of its expected time."""

CALL_TIME_MARGIN = 1.0
"""Seconds added to the timeout of a call; also the timeout of messages that free results."""

REPORT_SECONDS = 0.2
"""Timeout of a report: many round trips, and less than a usual call."""

MIN_PARTITION_CHECK_SECONDS = 0.05
"""Minimum interval of checks whether this gateway is partitioned from a silent worker."""

MAX_KNOWN_HANDLES = 512
"""Maximum number of handles stored for each worker to detect duplicate answers."""

REJECTED_STATUS = 503
"""Status of a worker that is at capacity and has not run the call."""


class StageWorkerClient:
    """Sends calls to stage workers and decodes their responses."""

    def __init__(
        self,
        codec: StageCodec,
        client: WorkerClient,
        availability: WorkerAvailability,
        statements: WorkerStatements,
    ) -> None:
        self._codec = codec
        self._availability = availability
        self._client = client
        self._statements = statements

    async def run_call(
        self,
        worker: WorkerRecord,
        call: StageCall,
        known_handles: dict[str, None],
        outlast: Callable[[], Awaitable[None]],
    ) -> list[PieceResult] | SendFailure | None:
        """Run a call; return its results, a failure, or ``None`` if the worker rejected it.

        The call is not sent if none of its pieces is wanted or the worker is unavailable when its
        connection is ready. An answer with a known handle belongs to an earlier call. If the worker
        is silent for too long and the call has final pieces, ``outlast`` is awaited while the call
        stays open.
        """
        now = clock.now()
        orders = [_order_with_remaining_time(stage_item, now) for stage_item in call.stage_items]
        limit = CALL_TIME_FACTOR * call.expected_seconds + CALL_TIME_MARGIN
        response = await self._send_request(
            worker,
            "POST",
            self._codec.run_path,
            self._codec.encode_run(orders),
            max(limit, _seconds_to_last_end(call, now)),
            lambda: _is_wanted(call) and self._availability.may_send(worker),
            self._silence_rule(worker, call, limit, outlast),
        )
        if isinstance(response, SendFailure):
            return response
        results = await self._read_results(response, len(orders), known_handles, limit)
        if (
            isinstance(results, list)
            and not call.overdue
            and all(item.outcome is PieceOutcome.DONE for item in results)
        ):
            self._statements.paces.observe_work(
                worker.worker_id,
                worker.service,
                clock.now() - now,
                call.stated_seconds,
                clock.now(),
            )
        return results

    async def free_results(self, worker: WorkerRecord, handles: Sequence[str]) -> None:
        """Free results. If that fails, they expire at the worker."""
        body = self._codec.encode_free(handles)
        response = await self._send_request(
            worker, "POST", self._codec.free_path, body, CALL_TIME_MARGIN
        )
        if not isinstance(response, SendFailure):
            answer = await self._client.read_body(response, CALL_TIME_MARGIN, purpose=Purpose.STAGE)
            if answer is None or response.status != HTTPStatus.OK:
                return
            if self._codec.is_free_answer(answer):
                self._client.confirm(response)

    async def fetch_report(self, worker: WorkerRecord) -> StageWorkerReport | Unreadable | None:
        """Return a worker's memory report, or ``None`` if it did not answer.

        An answer that cannot be decoded is returned as :class:`Unreadable`.
        """
        end_at = clock.now() + REPORT_SECONDS
        response = await self._send_request(
            worker, "GET", self._codec.report_path, b"", REPORT_SECONDS
        )
        if isinstance(response, SendFailure):
            return None
        left = max(0.0, end_at - clock.now())
        body = await self._client.read_body(response, left, purpose=Purpose.REPORT)
        if body is None or response.status != HTTPStatus.OK:
            return None
        report = self._codec.decode_report(body)
        if not isinstance(report, Unreadable):
            self._client.confirm(response)
        return report

    async def _send_request(
        self,
        worker: WorkerRecord,
        method: str,
        path: str,
        body: bytes,
        seconds: float,
        still_wanted: Callable[[], bool] | None = None,
        silence: SilenceRule | None = None,
    ) -> SendResult:
        """Send a request, and record the worker's statements in the response headers.

        Without ``still_wanted``, the request is sent unless the worker is in backoff.
        """
        request = WorkerRequest(
            worker,
            method,
            path,
            list(self._codec.run_headers(worker).items()),
            body,
            seconds,
            still_wanted=still_wanted or (lambda: not self._is_in_backoff(worker)),
            new_work=still_wanted is not None,
        )
        response = await self._client.send(request, silence)
        if not isinstance(response, SendFailure):
            self._statements.record_response(worker, response.status, response.headers)
        return response

    def _silence_rule(
        self,
        worker: WorkerRecord,
        call: StageCall,
        limit: float,
        outlast: Callable[[], Awaitable[None]],
    ) -> SilenceRule:
        """Return the rule for abandoning a silent worker; a wanted final piece prevents it."""
        seconds = PARTITION_SILENCE_FACTOR * call.expected_seconds
        if not any(stage_item.final for stage_item in call.stage_items):
            return SilenceRule(seconds, self._client.is_partitioned)
        overdue_at = clock.now() + limit

        async def give_up() -> bool:
            while (left := overdue_at - clock.now()) > 0:
                if await self._client.is_partitioned():
                    break
                await asyncio.sleep(min(left, max(seconds, MIN_PARTITION_CHECK_SECONDS)))
            if any(stage_item.final and stage_item.wanted for stage_item in call.stage_items):
                self._client.suspect_silence(worker)
                await outlast()
            return True

        return SilenceRule(min(seconds, limit), give_up)

    def _is_in_backoff(self, worker: WorkerRecord) -> bool:
        return self._availability.backoff_seconds(worker, clock.now()) > 0

    async def _read_results(
        self,
        response: aiohttp.ClientResponse,
        count: int,
        known_handles: dict[str, None],
        limit: float,
    ) -> list[PieceResult] | SendFailure | None:
        body = await self._client.read_body(response, limit, purpose=Purpose.STAGE)
        if response.status == REJECTED_STATUS:
            return None
        results = self._codec.decode_run(body, count) if body is not None else None
        if response.status != HTTPStatus.OK or results is None:
            response.close()
            return SendFailure(SendTrouble.UNKNOWN, f"status {response.status}")
        if any(item.handle in known_handles for item in results if item.handle):
            self._client.drop_foreign(response, ForeignKind.KNOWN_HANDLE)
            return SendFailure(SendTrouble.UNKNOWN, "answer to an earlier call")
        _record_handles(known_handles, results)
        if any(item.handle for item in results):
            # A new handle shows that the answer is the one to this call.
            self._client.confirm(response)
        return results


def _is_wanted(call: StageCall) -> bool:
    """Return whether any piece of a call is wanted."""
    return any(stage_item.wanted for stage_item in call.stage_items)


def _seconds_to_last_end(call: StageCall, now: float) -> float:
    """Return the seconds until the last of a call's final pieces must end, 0 without any."""
    return max((item.end_at - now for item in call.stage_items if item.final), default=0.0)


def _record_handles(known_handles: dict[str, None], results: list[PieceResult]) -> None:
    for result in results:
        if result.handle:
            known_handles[result.handle] = None
    while len(known_handles) > MAX_KNOWN_HANDLES:
        del known_handles[next(iter(known_handles))]


def _order_with_remaining_time(stage_item: StageItem, now: float) -> PieceOrder:
    order = stage_item.order
    remaining = clock.clamp_remaining_seconds(stage_item.end_at - now)
    return PieceOrder(order.call_id, order.stage, order.piece, order.key, order.inputs, remaining)
