"""Handles calls to plain services, directly or, if unrepeatable, under a claim."""

import asyncio

from aiohttp import web
from expression import Error, Ok, Result

from corkcrank.contracts import clock
from corkcrank.contracts.configuration import Service, ServiceKind
from corkcrank.contracts.identifiers import RequestId, new_attempt_id
from corkcrank.contracts.messages import PlainAnswer, PlainResult
from corkcrank.contracts.result_codes import Failure, Ran, ResultCode
from corkcrank.contracts.settings import Settings
from corkcrank.gateway import metrics
from corkcrank.gateway.access_control import AccessControl, Caller, Served
from corkcrank.gateway.claim_store import ClaimStore
from corkcrank.gateway.dispatch import Dispatcher
from corkcrank.gateway.plain_run import ClaimedCall, PlainRequest, send_plain
from corkcrank.gateway.request_reader import (
    read_body,
    read_deadline_seconds,
    read_key,
    read_text,
)
from corkcrank.gateway.responses import failure_response, json_response
from corkcrank.links.back_ends import NotSent

DEFAULT_DEADLINE_SECONDS = 10.0
"""Default deadline of a plain call."""

MAX_ATTEMPTS = 3
"""Maximum number of attempts of a repeatable plain call."""


class PlainHandler:
    """Serves calls to plain services."""

    def __init__(
        self, access: AccessControl, dispatcher: Dispatcher, claims: ClaimStore, settings: Settings
    ) -> None:
        self._access = access
        self._dispatcher = dispatcher
        self._claims = claims
        self._limits = settings.limits
        self._claim_tasks: set[asyncio.Task[None]] = set()

    @property
    def unsettled_claims(self) -> int:
        """Return the number of claims that are running or not recorded."""
        return len(self._claim_tasks) + self._claims.unrecorded

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one call."""
        return await self._access.handle(request, self._serve, _refuse)

    async def _serve(self, request: web.Request, caller: Caller) -> Served:
        read = await self._read(request, caller)
        failure = read.error if read.is_error() else self._access.check_quota(caller)
        if failure is not None:
            return Served(_refuse(request, caller.request, failure), failure.code)
        if read.ok.operation in read.ok.service.unrepeatable:
            return await self._serve_claimed(read.ok)
        return await self._serve_repeatable(read.ok)

    async def _read(self, request: web.Request, caller: Caller) -> Result[PlainRequest, Failure]:
        service = caller.index.get_service(request.match_info["service"])
        if service is None or service.kind != ServiceKind.PLAIN:
            return Error(Failure(ResultCode.UNKNOWN_SERVICE, request.match_info["service"]))
        seconds = read_deadline_seconds(request, DEFAULT_DEADLINE_SECONDS)
        key = read_key(request)
        body = await read_body(request, self._limits.maximum_body_bytes)
        for part in (seconds, key, body):
            if part.is_error():
                return Error(part.error)
        text = read_text(body.ok)
        if text.is_error():
            return Error(text.error)
        deadline = caller.arrived + seconds.ok
        return _create_call(caller, service, request, key.ok, text.ok, deadline)

    async def _serve_claimed(self, call: PlainRequest) -> Served:
        claimed = ClaimedCall(call, self._dispatcher, self._claims)
        # The claim continues after the caller disconnects, because its outcome must be recorded.
        task = asyncio.create_task(claimed.run())
        self._claim_tasks.add(task)
        task.add_done_callback(self._claim_tasks.discard)
        reply = await asyncio.shield(claimed.reply)
        metrics.CLAIM_TRANSACTIONS.set(self._claims.writer.transactions)
        if reply.code is ResultCode.OK:
            return _answered(call, reply.answer)
        return Served(failure_response(call.request, Failure(reply.code), reply.ran), reply.code)

    async def _serve_repeatable(self, call: PlainRequest) -> Served:
        budget = self._dispatcher.retry_budget(call.service.name)
        budget.record_first_attempt()
        sent = False
        for _ in range(MAX_ATTEMPTS):
            remaining = call.deadline - clock.now()
            if remaining <= 0:
                break
            outcome = await send_plain(
                call, new_attempt_id(), self._dispatcher, remaining, fresh=False
            )
            if isinstance(outcome, PlainAnswer):
                return _answered(call, outcome.body)
            sent = sent or not isinstance(outcome, NotSent)
            if not budget.try_spend():
                break
            metrics.RETRIES.labels(call.service.name).inc()
        code = ResultCode.STAGE_FAILED if sent else ResultCode.NO_BACKEND
        return Served(failure_response(call.request, Failure(code, retry_after=1.0)), code)


def _create_call(
    caller: Caller, service: Service, request: web.Request, key: str, body: str, deadline: float
) -> Result[PlainRequest, Failure]:
    operation = request.match_info["operation"]
    if operation in service.unrepeatable and not key:
        return Error(Failure(ResultCode.IDEMPOTENCY_KEY_REQUIRED, operation))
    return Ok(
        PlainRequest(
            request=caller.request,
            tenant=caller.tenant.name,
            service=service,
            operation=operation,
            key=key,
            body=body,
            deadline=deadline,
        )
    )


def _refuse(request: web.Request, identifier: RequestId, failure: Failure) -> web.StreamResponse:
    # An earlier call with the same key may have run, which only its claim would show.
    key = read_key(request)
    unsure = key.is_ok() and bool(key.ok) and failure.code.is_refusal
    return failure_response(identifier, failure, Ran.UNKNOWN if unsure else None)


def _answered(call: PlainRequest, body: str) -> Served:
    answer = PlainResult(call.request, ResultCode.OK.number, str(Ran.YES), body)
    return Served(json_response(call.request, answer), ResultCode.OK)
