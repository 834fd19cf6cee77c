"""The gateway's caller-facing routes: checks, admission, and the final answer."""

import asyncio
import time
from dataclasses import dataclass

from aiohttp import web
from expression import Error, Ok, Result

from corkcrank.contracts.configuration import (
    ConfigurationIndex,
    Pipeline,
    Service,
    ServiceKind,
    Tenant,
)
from corkcrank.contracts.identifiers import RequestId, new_attempt_id, new_request_id
from corkcrank.contracts.messages import PipelineAnswer, PipelineRequest, PlainAnswer, PlainResult
from corkcrank.contracts.process_life import ProcessLife
from corkcrank.contracts.result_codes import Failure, Ran, ResultCode
from corkcrank.contracts.settings import Settings
from corkcrank.gateway import metrics
from corkcrank.gateway.admission import StageForecast, StageTimes, seconds_until_feasible
from corkcrank.gateway.claim_store import ClaimStore
from corkcrank.gateway.dispatch import Dispatcher
from corkcrank.gateway.pipeline_run import PipelineRun, StageGivenUpError, stage_key
from corkcrank.gateway.plain_run import ClaimedCall, PlainRequest, send_plain
from corkcrank.gateway.quota import TenantQuotas
from corkcrank.gateway.request_reader import (
    read_api_key,
    read_body,
    read_deadline_seconds,
    read_key,
    read_pipeline_request,
    read_text,
)
from corkcrank.gateway.responses import failure_response, json_response
from corkcrank.gateway.stream_writer import StreamWriter
from corkcrank.links.back_ends import NotSent
from corkcrank.links.logs import PartLog
from corkcrank.machines.member import MemberView

PLAIN_DEADLINE_SECONDS = 10.0
"""Deadline of a plain call whose caller states none."""

MAXIMUM_PLAIN_ATTEMPTS = 3
"""Most attempts of a repeatable plain call."""


@dataclass(frozen=True, slots=True)
class Caller:
    """Who asks, under which configuration, and since when (monotonic seconds)."""

    request: RequestId
    tenant: Tenant
    rank: int
    index: ConfigurationIndex
    arrived: float


class Front:
    """Serves callers."""

    def __init__(
        self,
        view: MemberView,
        dispatcher: Dispatcher,
        claims: ClaimStore,
        life: ProcessLife,
        settings: Settings,
    ) -> None:
        self._view = view
        self._dispatcher = dispatcher
        self._claims = claims
        self._life = life
        self._limits = settings.limits
        self._policies = settings.policies
        self._quotas = TenantQuotas()
        self._times: dict[str, StageTimes] = {}
        self._log = PartLog("request")
        self._claim_tasks: set[asyncio.Task[None]] = set()
        self.in_flight = 0

    def add_to(self, application: web.Application) -> None:
        """Add the routes to an application."""
        application.add_routes(
            [
                web.post("/v1/pipelines/{pipeline}", self._handle_pipeline),
                web.post("/v1/services/{service}/{operation}", self._handle_plain),
                web.get("/healthz", self._handle_health),
                web.get("/readyz", self._handle_ready),
                web.route("*", "/{path:.*}", self._handle_unknown),
            ]
        )

    @property
    def unsettled_claims(self) -> int:
        """Return claims that still run or are not recorded."""
        return len(self._claim_tasks) + self._claims.unrecorded

    async def _handle_health(self, request: web.Request) -> web.Response:
        return web.Response(text="alive")

    async def _handle_ready(self, request: web.Request) -> web.Response:
        confirmed = self._view.adoption.may_admit(time.monotonic())
        ready = confirmed and self._dispatcher.view.known and not self._life.draining
        return web.Response(status=200 if ready else 503, text="ready" if ready else "not ready")

    async def _handle_unknown(self, request: web.Request) -> web.Response:
        return failure_response(new_request_id(), Failure(ResultCode.UNKNOWN_PATH, request.path))

    async def _handle_pipeline(self, request: web.Request) -> web.StreamResponse:
        identifier = new_request_id()
        arrived = time.monotonic()
        self.in_flight += 1
        metrics.IN_FLIGHT.set(self.in_flight)
        rank = -1
        code = ResultCode.STAGE_FAILED
        try:
            caller = self._identify(request, identifier, arrived)
            if caller.is_error():
                code = caller.error.code
                return self._finish(request, failure_response(identifier, caller.error))
            rank = caller.ok.rank
            response, code = await self._serve_pipeline(request, caller.ok)
            return response
        finally:
            self._note_end(identifier, rank, code, arrived)

    def _note_end(self, identifier: RequestId, rank: int, code: ResultCode, arrived: float) -> None:
        self.in_flight -= 1
        elapsed = time.monotonic() - arrived
        metrics.IN_FLIGHT.set(self.in_flight)
        metrics.REQUESTS.labels(rank, code.number).inc()
        metrics.REQUEST_SECONDS.labels(rank).observe(elapsed)
        if code is not ResultCode.OK:
            self._log.info("Request failed.", request=identifier, code=code.number, name=code.name)

    def _identify(
        self, request: web.Request, identifier: RequestId, arrived: float
    ) -> Result[Caller, Failure]:
        adoption = self._view.adoption
        if adoption.index is None or not adoption.may_admit(arrived):
            return Error(Failure(ResultCode.CONFIGURATION_NOT_CONFIRMED, retry_after=1.0))
        index = adoption.index
        tenant = index.tenant_for_key(read_api_key(request))
        if tenant is None:
            return Error(Failure(ResultCode.UNKNOWN_API_KEY))
        return Ok(Caller(identifier, tenant, index.rank(tenant), index, arrived))

    def _check_quota(self, caller: Caller) -> Failure | None:
        wait = self._quotas.seconds_until_admission(
            caller.tenant.name,
            caller.tenant.requests_per_second,
            caller.tenant.burst,
            self._view.gateways,
            caller.arrived,
        )
        if wait <= 0:
            return None
        return Failure(ResultCode.TENANT_QUOTA_EXCEEDED, retry_after=wait)

    async def _serve_pipeline(
        self, request: web.Request, caller: Caller
    ) -> tuple[web.StreamResponse, ResultCode]:
        admitted = await self._admit_pipeline(request, caller)
        if admitted.is_error():
            response = failure_response(caller.request, admitted.error)
            return self._finish(request, response), admitted.error.code
        run = admitted.ok
        streamed = "text/event-stream" in request.headers.get("Accept", "")
        stream = StreamWriter(request, caller.request, streamed)
        run.sink = stream.write_token
        try:
            await run.run()
        except StageGivenUpError as error:
            self._charge_waste(run)
            return await stream.fail(error.failure, self._life.draining), error.failure.code
        answer = PipelineAnswer(
            request=caller.request,
            code=ResultCode.OK.number,
            ran=str(Ran.YES),
            text=run.answer or run.text,
            tokens=run.tokens,
            passages=run.passages,
            stage_costs=run.costs,
        )
        metrics.TOKENS.inc(run.tokens)
        return await stream.end(answer, self._life.draining), ResultCode.OK

    def _charge_waste(self, run: PipelineRun) -> None:
        for service, cost in run.costs.items():
            metrics.WASTED_COST.labels(service).inc(cost)

    async def _admit_pipeline(
        self, request: web.Request, caller: Caller
    ) -> Result[PipelineRun, Failure]:
        pipeline = caller.index.pipeline(request.match_info["pipeline"])
        if pipeline is None:
            return Error(Failure(ResultCode.UNKNOWN_PIPELINE, request.match_info["pipeline"]))
        body = await self._read_pipeline_body(request)
        if body.is_error():
            return Error(body.error)
        seconds = read_deadline_seconds(request, pipeline.deadline_seconds)
        if seconds.is_error():
            return Error(seconds.error)
        scale = (body.ok.max_tokens or pipeline.max_tokens) / pipeline.max_tokens
        refusal = self._check_quota(caller) or self._check_feasible(
            caller, pipeline, seconds.ok, scale
        )
        if refusal is not None:
            return Error(refusal)
        return Ok(self._make_run(caller, pipeline, body.ok, caller.arrived + seconds.ok))

    async def _read_pipeline_body(self, request: web.Request) -> Result[PipelineRequest, Failure]:
        body = await read_body(request, self._limits.maximum_body_bytes)
        return Error(body.error) if body.is_error() else read_pipeline_request(body.ok)

    def _make_run(
        self, caller: Caller, pipeline: Pipeline, body: PipelineRequest, deadline: float
    ) -> PipelineRun:
        return PipelineRun(
            request=caller.request,
            tenant=caller.tenant.name,
            rank=caller.rank,
            pipeline=pipeline,
            index=caller.index,
            dispatcher=self._dispatcher,
            times=self._times,
            text=body.input,
            max_tokens=body.max_tokens or pipeline.max_tokens,
            deadline=deadline,
            sink=_discard_token,
            gives_up_early=self._policies.admission,
        )

    def _check_feasible(
        self, caller: Caller, pipeline: Pipeline, seconds: float, scale: float
    ) -> Failure | None:
        forecasts: list[StageForecast] = []
        for stage in pipeline.stages:
            key = stage_key(pipeline, stage)
            times = self._times.setdefault(key, StageTimes(stage.expected_seconds))
            pressure = self._dispatcher.least_pressure(stage.service, stage.model)
            if pressure is None:
                return Failure(ResultCode.NO_BACKEND, stage.service, retry_after=1.0)
            # Only a stage that generates takes longer for more tokens.
            service_seconds = times.seconds * (scale if stage.model else 1.0)
            queue = self._times.setdefault(stage.service, StageTimes(stage.expected_seconds))
            forecasts.append(StageForecast(service_seconds, pressure, queue.seconds))
        if not self._policies.admission:
            return None
        wait = seconds_until_feasible(forecasts, seconds, caller.rank)
        if wait <= 0:
            return None
        return Failure(ResultCode.DEADLINE_UNREACHABLE, retry_after=wait)

    async def _handle_plain(self, request: web.Request) -> web.StreamResponse:
        identifier = new_request_id()
        arrived = time.monotonic()
        self.in_flight += 1
        code = ResultCode.STAGE_FAILED
        rank = -1
        try:
            caller = self._identify(request, identifier, arrived)
            if caller.is_error():
                code = caller.error.code
                return self._refuse_plain(request, identifier, caller.error)
            rank = caller.ok.rank
            response, code = await self._serve_plain(request, caller.ok)
            return self._finish(request, response)
        finally:
            self._note_end(identifier, rank, code, arrived)

    def _refuse_plain(
        self, request: web.Request, identifier: RequestId, failure: Failure
    ) -> web.StreamResponse:
        # With a key, an earlier call may have run: only the claim could tell.
        key = read_key(request)
        unsure = key.is_ok() and bool(key.ok) and failure.code.is_refusal
        ran = Ran.UNKNOWN if unsure else None
        return self._finish(request, failure_response(identifier, failure, ran))

    async def _serve_plain(
        self, request: web.Request, caller: Caller
    ) -> tuple[web.StreamResponse, ResultCode]:
        read = await self._read_plain(request, caller)
        failure = read.error if read.is_error() else self._check_quota(caller)
        if failure is not None:
            return self._refuse_plain(request, caller.request, failure), failure.code
        call = read.ok
        if call.operation in call.service.unrepeatable:
            return await self._serve_claimed(call)
        return await self._serve_repeatable(call)

    async def _read_plain(
        self, request: web.Request, caller: Caller
    ) -> Result[PlainRequest, Failure]:
        service = caller.index.service(request.match_info["service"])
        if service is None or service.kind != ServiceKind.PLAIN:
            return Error(Failure(ResultCode.UNKNOWN_SERVICE, request.match_info["service"]))
        seconds = read_deadline_seconds(request, PLAIN_DEADLINE_SECONDS)
        key = read_key(request)
        body = await read_body(request, self._limits.maximum_body_bytes)
        for part in (seconds, key, body):
            if part.is_error():
                return Error(part.error)
        text = read_text(body.ok)
        if text.is_error():
            return Error(text.error)
        return self._check_key(request, caller, service, key.ok, text.ok, seconds.ok)

    def _check_key(
        self,
        request: web.Request,
        caller: Caller,
        service: Service,
        key: str,
        body: str,
        seconds: float,
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
                deadline=caller.arrived + seconds,
            )
        )

    async def _serve_claimed(self, call: PlainRequest) -> tuple[web.StreamResponse, ResultCode]:
        claimed = ClaimedCall(call, self._dispatcher, self._claims)
        # The claim runs on when the caller leaves: its outcome must be recorded.
        task = asyncio.create_task(claimed.run())
        self._claim_tasks.add(task)
        task.add_done_callback(self._claim_tasks.discard)
        reply = await asyncio.shield(claimed.reply)
        metrics.CLAIM_TRANSACTIONS.set(self._claims.writer.transactions)
        if reply.code is ResultCode.OK:
            return self._plain_answer(call, reply.answer), reply.code
        failure = Failure(reply.code)
        return failure_response(call.request, failure, reply.ran), reply.code

    async def _serve_repeatable(self, call: PlainRequest) -> tuple[web.StreamResponse, ResultCode]:
        budget = self._dispatcher.budget(call.service.name)
        budget.record_first_attempt()
        sent = False
        for _ in range(MAXIMUM_PLAIN_ATTEMPTS):
            remaining = call.deadline - time.monotonic()
            if remaining <= 0:
                break
            outcome = await send_plain(
                call, new_attempt_id(), self._dispatcher, remaining, fresh=False
            )
            if isinstance(outcome, PlainAnswer):
                return self._plain_answer(call, outcome.body), ResultCode.OK
            sent = sent or not isinstance(outcome, NotSent)
            if not budget.try_spend():
                break
            metrics.RETRIES.labels(call.service.name).inc()
        code = ResultCode.STAGE_FAILED if sent else ResultCode.NO_BACKEND
        return failure_response(call.request, Failure(code, retry_after=1.0)), code

    def _plain_answer(self, call: PlainRequest, body: str) -> web.Response:
        answer = PlainResult(call.request, ResultCode.OK.number, str(Ran.YES), body)
        return json_response(call.request, answer)

    def _finish(self, request: web.Request, response: web.StreamResponse) -> web.StreamResponse:
        if self._life.draining:
            response.force_close()
        return response


async def _discard_token(index: int, token: str) -> None:
    """Take a token that nobody reads."""
