"""Handles pipeline requests: reads, admits, runs and answers them."""

from aiohttp import web
from expression import Error, Ok, Result

from corkcrank.contracts.configuration import Pipeline
from corkcrank.contracts.identifiers import RequestId
from corkcrank.contracts.messages import PipelineAnswer, PipelineRequest
from corkcrank.contracts.result_codes import Failure, Ran, ResultCode
from corkcrank.contracts.settings import Settings
from corkcrank.gateway import metrics
from corkcrank.gateway.access_control import AccessControl, Caller, Served
from corkcrank.gateway.admission import ServiceTimeEstimate, StageForecast, seconds_until_feasible
from corkcrank.gateway.dispatch import Dispatcher
from corkcrank.gateway.pipeline_run import PipelineRun, StageAbandonedError, stage_key
from corkcrank.gateway.request_reader import (
    read_body,
    read_deadline_seconds,
    read_pipeline_request,
)
from corkcrank.gateway.responses import failure_response
from corkcrank.gateway.stream_writer import StreamWriter

EVENT_STREAM = "text/event-stream"
"""Media type in the ``Accept`` header of a caller that requests a stream."""


class PipelineHandler:
    """Serves pipeline requests."""

    def __init__(self, access: AccessControl, dispatcher: Dispatcher, settings: Settings) -> None:
        self._access = access
        self._dispatcher = dispatcher
        self._limits = settings.limits
        self._policies = settings.policies
        self._times: dict[str, ServiceTimeEstimate] = {}

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one pipeline request."""
        return await self._access.handle(request, self._serve, _refuse)

    async def _serve(self, request: web.Request, caller: Caller) -> Served:
        admitted = await self._admit(request, caller)
        if admitted.is_error():
            failure = admitted.error
            return Served(_refuse(request, caller.request, failure), failure.code)
        run = admitted.ok
        streamed = EVENT_STREAM in request.headers.get("Accept", "")
        stream = StreamWriter(request, caller.request, streamed)
        run.sink = stream.write_token
        try:
            await run.run()
        except StageAbandonedError as error:
            _charge_waste(run)
            return Served(await stream.fail(error.failure), error.failure.code)
        metrics.TOKENS.inc(run.tokens)
        return Served(await stream.end(_answer(run)), ResultCode.OK)

    async def _admit(self, request: web.Request, caller: Caller) -> Result[PipelineRun, Failure]:
        pipeline = caller.index.get_pipeline(request.match_info["pipeline"])
        if pipeline is None:
            return Error(Failure(ResultCode.UNKNOWN_PIPELINE, request.match_info["pipeline"]))
        body = await self._read_body(request)
        if body.is_error():
            return Error(body.error)
        seconds = read_deadline_seconds(request, pipeline.deadline_seconds)
        if seconds.is_error():
            return Error(seconds.error)
        run = self._create_run(caller, pipeline, body.ok, caller.arrived + seconds.ok)
        refusal = self._access.check_quota(caller) or self._check_feasible(run, seconds.ok)
        return Ok(run) if refusal is None else Error(refusal)

    async def _read_body(self, request: web.Request) -> Result[PipelineRequest, Failure]:
        body = await read_body(request, self._limits.maximum_body_bytes)
        return Error(body.error) if body.is_error() else read_pipeline_request(body.ok)

    def _create_run(
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
            abandons_early=self._policies.admission,
        )

    def _check_feasible(self, run: PipelineRun, seconds: float) -> Failure | None:
        forecasts: list[StageForecast] = []
        for stage in run.pipeline.stages:
            usual = self._stage_times(stage_key(run.pipeline, stage), stage.expected_seconds)
            queue = self._stage_times(stage.service, stage.expected_seconds)
            pressure = self._dispatcher.min_pressure(stage.service, stage.model)
            if pressure is None:
                return Failure(ResultCode.NO_BACKEND, stage.service, retry_after=1.0)
            # Only the time of a generating stage depends on the number of tokens.
            scale = run.max_tokens / run.pipeline.max_tokens if stage.model else 1.0
            forecasts.append(StageForecast(usual.seconds * scale, pressure, queue.seconds))
        if not self._policies.admission:
            return None
        wait = seconds_until_feasible(forecasts, seconds, run.rank)
        return Failure(ResultCode.DEADLINE_UNREACHABLE, retry_after=wait) if wait > 0 else None

    def _stage_times(self, key: str, expected_seconds: float) -> ServiceTimeEstimate:
        return self._times.setdefault(key, ServiceTimeEstimate(expected_seconds))


def _refuse(request: web.Request, identifier: RequestId, failure: Failure) -> web.StreamResponse:
    return failure_response(identifier, failure)


def _answer(run: PipelineRun) -> PipelineAnswer:
    return PipelineAnswer(
        request=run.request,
        code=ResultCode.OK.number,
        ran=str(Ran.YES),
        text=run.answer or run.text,
        tokens=run.tokens,
        passages=run.passages,
        stage_costs=run.costs,
    )


def _charge_waste(run: PipelineRun) -> None:
    for service, cost in run.costs.items():
        metrics.WASTED_COST.labels(service).inc(cost)


async def _discard_token(index: int, token: str) -> None:
    """Discard a token."""
