"""Simulated plain workers and engines that check requests and inject failures."""

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Any

from aiohttp import web
from platform_standins import ATTEMPT, EXPECT, INSTANCE, NOT_RUN, SEAL, Server

from soak.brittleness import Brittleness
from soak.ledger import (
    CRASHING_BODY_PREFIX,
    Ledger,
    Run,
    SentCall,
    plain_body,
)
from soak.links import FaultLink
from soak.named_limit import NamedLimit
from soak.report_requests import ReportRequests
from soak.request_window import RequestWindow
from soak.silent_workers import WorkerSilence
from soak.stage_workers import SoakStageWorker, births, numbers, wrong_inputs
from soak.stated_notices import StatedNotices
from soak.stated_pace import StatedPace
from soak.streams import engine_version, event

PLAIN_SECONDS = (0.003, 0.06)
PAUSE_SECONDS = (0.005, 0.06)
SLOTS = 8

REPORT_PATH = "/report"
COLD_SECONDS = 1.0
"""Window in which requests to a cold worker are counted."""

ENDLESS = "endless"
"""Kind of failure of a worker that answers a call without end."""

ENDLESS_CHUNK = b"x" * 65_536
GREY_KINDS = ("reset", "no-seal", "foreign-id", "cut", "surplus", "hang", "error", "full")


class SoakWorker:
    """A simulated plain worker or model engine behind its own fault link.

    ``grey`` is the kind of failure, and ``grey_share`` the share of calls that fail.
    """

    def __init__(
        self, service: str, zone: str, ledger: Ledger, source: random.Random, worker_id: str = ""
    ) -> None:
        self.service = service
        self.zone = zone
        self.worker_id = worker_id or f"i-{next(numbers):08x}"
        self.born = next(births)
        self.server = Server(self._handle)
        self.grey = ""
        self.grey_share = 0.0
        self.link: FaultLink | None = None
        self.at_work = 0
        self.on_crashing: Callable[[SentCall], None] = lambda call: None
        self._ledger = ledger
        self._source = source
        self.cold = RequestWindow(COLD_SECONDS)
        self.limit = NamedLimit()
        self.notices = StatedNotices()
        self.brittleness = Brittleness()
        self.silence = WorkerSilence()
        self.reports = ReportRequests(ledger, self.worker_id)
        self.pace = StatedPace(random.Random(), stating=False)

    @property
    def busy(self) -> bool:
        """Return whether the worker is running a call."""
        return self.at_work > 0

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the worker's row in the store."""
        assert self.link is not None
        return {
            "service": self.service,
            "address": self.link.address,
            "zone": self.zone,
            "version": engine_version(self.worker_id),
            "slots": SLOTS,
            "state": state,
            "warmup_left_ms": self.cold.left_ms,
            "sequence": 1,
            "born": self.born,
        }

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        if request.headers.get(EXPECT) not in (None, self.worker_id):
            return web.Response(status=421, headers={INSTANCE: self.worker_id, **_own(request)})
        if request.path == REPORT_PATH:
            self.reports.record(self.link)
            await self.silence.wait()
            return web.json_response({"queued": 0, "active": self.at_work})
        sent = self._ledger.calls.get(request.headers.get(ATTEMPT, ""))
        if sent is not None:
            self.notices.check(self._ledger, sent, self.worker_id, self.link)
        if sent is not None and self.notices.rejecting:
            headers = {NOT_RUN: "1", **self.notices.rejection_headers, **self._own(request)}
            self._record_notices(request, sent, headers)
            return web.Response(status=503, headers=headers)
        kind = self.grey if self._source.random() < self.grey_share else ""
        full = self.brittleness.is_full(self.at_work)
        full = full or self.silence.rejects_next() or self.at_work >= 4 * SLOTS
        if full or kind == "full":
            headers = {NOT_RUN: "1", **self._own(request)}
            if sent is not None:
                self._record_notices(request, sent, headers)
            return web.Response(status=503, headers=headers)
        if SoakStageWorker.lost.intersection(_inputs(request)):
            return web.Response(status=409, headers={NOT_RUN: "1", **self._own(request)})
        begun = self._ledger.begin_run(
            self.worker_id,
            self.service,
            request.method,
            request.raw_path,
            request.headers,
            body,
            self.link,
        )
        if begun is None:
            return web.Response(status=400)
        self._ledger.check_evacuated(begun[0], self.worker_id, self.zone, self.link)
        self._check_limits(begun[0])
        crashes = body.startswith(CRASHING_BODY_PREFIX) and not begun[0].stage_runs
        if crashes or begun[0].bad_part:
            begun[1].broken_off = True
            self.on_crashing(begun[0])
            raise ConnectionResetError
        self.at_work += 1
        run = begun[1]
        run.worker = self
        try:
            response = await self._serve(request, *begun, kind)
            run.ended = True
            return response
        finally:
            run.ended = run.ended or run.broken_off
            self.at_work -= 1

    def _check_limits(self, call: SentCall) -> None:
        assert self.link is not None
        self._ledger.check_cold(call, self.worker_id, self.cold, self.link)
        limit = self.limit
        self._ledger.check_limit(call, self.worker_id, limit.window, limit.max_requests, self.link)

    def _record_notices(
        self, request: web.BaseRequest, call: SentCall, headers: Mapping[str, str]
    ) -> None:
        """Record the notices in a response that is sent now, unless its link may lose it."""
        transport = request.transport
        if transport is None or transport.is_closing():
            return
        if self.link is None or self.link.passes_answers(transport.get_extra_info("peername")):
            self.notices.record_response(call, headers)

    def _own(self, request: web.BaseRequest) -> dict[str, str]:
        return {
            **_own(request),
            **self.limit.headers,
            **self.notices.headers,
            **self.brittleness.headers,
            **self.pace.headers(self.at_work, SLOTS),
        }

    async def _serve(
        self, request: web.BaseRequest, call: SentCall, run: Run, kind: str
    ) -> web.StreamResponse:
        transport = request.transport
        assert isinstance(transport, asyncio.Transport)
        if kind == "hang":
            run.hung = True
            await asyncio.Event().wait()
        await self.silence.wait(run)
        if kind == "reset":
            run.broken_off = True
            transport.abort()
            raise ConnectionResetError
        headers = {**self._own(request), INSTANCE: self.worker_id}
        if kind != "no-seal":
            run.sealed = headers[SEAL] = f"{self.worker_id}.{call.call_id}.{len(call.runs)}"
        if kind == "foreign-id":
            headers[ATTEMPT] = "0" * 16
        run.status = 500 if kind == "error" else 200
        if kind == ENDLESS:
            return await self._answer_without_end(request, run, headers, bool(call.events))
        if kind == "error":
            self._record_notices(request, call, headers)
            return web.Response(status=run.status, body=b"failed", headers=headers)
        if call.events:
            return await self._stream(request, call, run, headers, kind)
        await asyncio.sleep(self.pace.factor * self._source.uniform(*PLAIN_SECONDS))
        await self.silence.wait(run)
        body = plain_body(call.call_id, call.body)
        self._record_notices(request, call, headers)
        if kind in ("surplus", "cut"):
            return await self._send_raw(transport, run, headers, body, kind)
        return web.Response(body=body, headers=headers)

    async def _answer_without_end(
        self, request: web.BaseRequest, run: Run, headers: dict[str, str], streamed: bool
    ) -> web.StreamResponse:
        """Send a body, or an event, that does not end before its connection."""
        run.broken_off = True
        response = web.StreamResponse(headers=headers)
        if streamed:
            response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        while True:
            await response.write(ENDLESS_CHUNK)
            await asyncio.sleep(0)

    async def _send_raw(
        self,
        transport: asyncio.Transport,
        run: Run,
        headers: dict[str, str],
        body: bytes,
        kind: str,
    ) -> web.StreamResponse:
        """Send the response twice, or close the connection within the response."""
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = f"HTTP/1.1 200 OK\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode()
        if kind == "surplus":
            transport.write((head + body) * 2)
            await asyncio.sleep(0.05)
        else:
            run.broken_off = True
            transport.write(head + body[: len(body) // 2])
        transport.close()
        raise ConnectionResetError

    async def _stream(
        self,
        request: web.BaseRequest,
        call: SentCall,
        run: Run,
        headers: dict[str, str],
        kind: str,
    ) -> web.StreamResponse:
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        problem = self._inputs_problem(request, call)
        if problem:
            self._ledger.violate("inputs", f"{call.call_id} at its engine: {problem}")
        breaks_at = self._source.randrange(first, call.events + 1) if kind == "cut" else 0
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        self._record_notices(request, call, headers)
        for number in range(first, call.events + 1):
            data = event(call.stream_id, number, engine_version(self.worker_id))
            if number == breaks_at:
                run.broken_off = True
                await response.write(data[: len(data) // 2])
                assert request.transport is not None
                request.transport.abort()
                raise ConnectionResetError
            await response.write(data)
            await self.silence.wait(run)
            await asyncio.sleep(self.pace.factor * self._source.uniform(*PAUSE_SECONDS))
        await response.write_eof()
        return response

    def _inputs_problem(self, request: web.BaseRequest, call: SentCall) -> str:
        if not any(call.pieces):
            return ""
        stage = max(number for number, count in enumerate(call.pieces) if count)
        return wrong_inputs(_inputs(request), call, (stage,))


def _inputs(request: web.BaseRequest) -> list[str]:
    text = request.headers.get("X-Corkcrank-Inputs", "")
    return text.split(",") if text else []


def _own(request: web.BaseRequest) -> dict[str, str]:
    return {ATTEMPT: request.headers.get(ATTEMPT, "")}
