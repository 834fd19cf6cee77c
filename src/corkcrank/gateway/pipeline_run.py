"""Runs the stages of one pipeline request: I/O around the state machine of each stage."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing
from dataclasses import dataclass, field

from corkcrank.contracts import clock
from corkcrank.contracts.configuration import (
    ConfigurationIndex,
    Pipeline,
    Service,
    ServiceKind,
    Stage,
)
from corkcrank.contracts.identifiers import (
    RequestId,
    TenantName,
    WorkerId,
    new_attempt_id,
)
from corkcrank.contracts.messages import GenerateCall, Passage, StageAnswer, StageCall, TokenChunk
from corkcrank.contracts.result_codes import Failure
from corkcrank.gateway import metrics
from corkcrank.gateway.admission import ServiceTimeEstimate
from corkcrank.gateway.answer_checks import matches_stage_call
from corkcrank.gateway.decode_pace import DecodePace
from corkcrank.gateway.dispatch import Dispatcher
from corkcrank.gateway.silent_attempts import await_attempt
from corkcrank.gateway.stage_process import (
    AbandonStage,
    AttemptAnswered,
    AttemptFailed,
    AttemptNotSent,
    AttemptTooLate,
    FinishStage,
    IgnoreEvent,
    SendAttempt,
    StageEvent,
    StageProcess,
    StageStarted,
)
from corkcrank.gateway.streams import StreamAssembler, StreamGapError
from corkcrank.links.back_ends import BackEndError, NotSent
from corkcrank.machines.routing import PREFIX_BYTES

MIN_ATTEMPT_TIMEOUT_SECONDS = 0.5
"""Minimum timeout of one attempt."""

ATTEMPT_TIMEOUT_FACTOR = 6.0
"""Timeout of an attempt, as a multiple of the stage's usual time."""

MAX_TOKEN_GAP_SECONDS = 1.0
"""Maximum pause of a stream before it is resumed at another back end."""

TokenSink = Callable[[int, str], Awaitable[None]]
"""Receives each new token with its index, in order."""


class TooLateError(Exception):
    """Raised when a stream can no longer meet its deadline."""


class StageAbandonedError(Exception):
    """Raised when a stage is abandoned; contains the request's failure."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.code.name)
        self.failure = failure


@dataclass(slots=True)
class PipelineRun:
    """The state of one pipeline request.

    ``deadline`` is in seconds of :mod:`clock`; ``costs`` is by service.
    """

    request: RequestId
    tenant: TenantName
    rank: int
    pipeline: Pipeline
    index: ConfigurationIndex
    dispatcher: Dispatcher
    times: dict[str, ServiceTimeEstimate]
    text: str
    max_tokens: int
    deadline: float
    sink: TokenSink
    abandons_early: bool = True
    passages: tuple[Passage, ...] = ()
    answer: str = ""
    tokens: int = 0
    costs: dict[str, float] = field(default_factory=dict)
    work_started: bool = False

    async def run(self) -> None:
        """Run every stage; raise :class:`StageAbandonedError` if one is abandoned."""
        question = self.text
        for number, stage in enumerate(self.pipeline.stages):
            started = clock.now()
            service = self.index.get_service(stage.service)
            assert service is not None
            if service.kind == ServiceKind.ENGINE:
                await self._generate(number, stage, service, question)
            else:
                await self._call_pool(number, stage, service)
            elapsed = clock.now() - started
            metrics.STAGE_SECONDS.labels(stage.service).observe(elapsed)

    def _process(self, stage: Stage, affinity: str) -> StageProcess:
        def choose(tried: frozenset[WorkerId]) -> WorkerId | None:
            return self.dispatcher.choose_worker(stage.service, tried, affinity, stage.model)

        return StageProcess(
            choose=choose,
            new_attempt=new_attempt_id,
            budget=self.dispatcher.retry_budget(stage.service),
            deadline=self.deadline,
            work_started=self.work_started,
        )

    async def _run_attempts(
        self,
        stage: Stage,
        process: StageProcess,
        attempt: Callable[[SendAttempt], Awaitable[StageEvent]],
    ) -> None:
        event: StageEvent = StageStarted()
        while True:
            instruction = process.handle(event, clock.now())
            self.work_started = process.work_started
            match instruction:
                case SendAttempt():
                    if process.attempts > 1:
                        metrics.RETRIES.labels(stage.service).inc()
                    event = await attempt(instruction)
                    self._record_outcome(event, instruction.worker)
                case FinishStage():
                    return
                case AbandonStage(failure=failure):
                    raise StageAbandonedError(failure)
                case IgnoreEvent():
                    raise AssertionError("an attempt that was never sent has ended")

    def _record_outcome(self, event: StageEvent, worker: WorkerId) -> None:
        if isinstance(event, AttemptFailed | AttemptNotSent):
            self.dispatcher.view.mark_suspect(worker, clock.now())

    async def _call_pool(self, number: int, stage: Stage, service: Service) -> None:
        process = self._process(stage, affinity="")

        async def attempt(send: SendAttempt) -> StageEvent:
            return await self._attempt_pool(number, stage, service, send, process)

        await self._run_attempts(stage, process, attempt)

    async def _attempt_pool(
        self,
        number: int,
        stage: Stage,
        service: Service,
        send: SendAttempt,
        process: StageProcess,
    ) -> StageEvent:
        call = StageCall(
            request=self.request,
            stage=number,
            attempt=send.attempt,
            tenant=self.tenant,
            text=self.text,
            passages=self.passages,
            rank=self.rank,
        )
        with self.dispatcher.count_in_flight(send.worker) as address:
            try:
                outcome = await await_attempt(
                    self.dispatcher.back_ends.call_stage(address, call, self._seconds_left()),
                    lambda: self._attempt_timeout_seconds(stage),
                    lambda: process.reserve_retry(clock.now()),
                )
            except TimeoutError:
                return AttemptFailed(send.attempt)
        if isinstance(outcome, NotSent):
            return AttemptNotSent(send.attempt)
        if not isinstance(outcome, StageAnswer):
            return AttemptFailed(send.attempt)
        if not matches_stage_call(call, outcome):
            metrics.DROPPED_ANSWERS.labels(stage.service).inc()
            return AttemptFailed(send.attempt)
        self._apply_pool_answer(stage, service, outcome)
        return AttemptAnswered(send.attempt)

    def _apply_pool_answer(self, stage: Stage, service: Service, answer: StageAnswer) -> None:
        self.text = answer.text
        self.passages = answer.passages
        self._charge(stage, service, answer.busy_seconds)
        self.times[stage_key(self.pipeline, stage)].observe_seconds(answer.busy_seconds)
        self.times[stage.service].observe_seconds(answer.busy_seconds)

    def _attempt_timeout_seconds(self, stage: Stage) -> float:
        patience = max(
            MIN_ATTEMPT_TIMEOUT_SECONDS,
            ATTEMPT_TIMEOUT_FACTOR * self.times[stage_key(self.pipeline, stage)].seconds,
        )
        return min(patience, self._seconds_left())

    def _seconds_left(self) -> float:
        return max(0.001, self.deadline - clock.now())

    def _charge(self, stage: Stage, service: Service, busy_seconds: float) -> None:
        cost = busy_seconds * service.cost_per_second
        self.costs[stage.service] = self.costs.get(stage.service, 0.0) + cost
        metrics.STAGE_COST.labels(stage.service).inc(cost)

    async def _generate(self, number: int, stage: Stage, service: Service, question: str) -> None:
        prompt = assemble_prompt(question, self.passages)
        assembler = StreamAssembler()
        process = self._process(stage, affinity=prefix_key(self.tenant, prompt))

        async def attempt(send: SendAttempt) -> StageEvent:
            call = GenerateCall(
                request=self.request,
                stage=number,
                attempt=send.attempt,
                tenant=self.tenant,
                model=stage.model,
                prompt=prompt,
                cache_salt=self.tenant,
                max_tokens=self.max_tokens,
                offset=assembler.offset,
                rank=self.rank,
            )
            return await self._attempt_stream(stage, service, call, send, assembler, process)

        await self._run_attempts(stage, process, attempt)
        self.answer = "".join(assembler.tokens)
        self.tokens = assembler.offset

    async def _attempt_stream(
        self,
        stage: Stage,
        service: Service,
        call: GenerateCall,
        send: SendAttempt,
        assembler: StreamAssembler,
        process: StageProcess,
    ) -> StageEvent:
        assembler.begin(send.attempt)
        first_offset = assembler.offset
        with self.dispatcher.count_in_flight(send.worker) as address:
            try:
                await self._read_stream(stage, service, call, address, assembler, process)
            except TooLateError:
                await self.dispatcher.back_ends.cancel_attempt(address, send.attempt)
                return AttemptTooLate(send.attempt)
            except BackEndError as error:
                if not error.sent and assembler.offset == first_offset:
                    return AttemptNotSent(send.attempt)
                return AttemptFailed(send.attempt)
            except (TimeoutError, StreamGapError):
                metrics.DROPPED_ANSWERS.labels(stage.service).inc()
                await self.dispatcher.back_ends.cancel_attempt(address, send.attempt)
                return AttemptFailed(send.attempt)
            except (asyncio.CancelledError, ConnectionError):
                # The caller disconnected, which raises a cancellation, or an error if a token is
                # written before it. The engine's slot is freed first.
                await asyncio.shield(
                    self.dispatcher.back_ends.cancel_attempt(address, send.attempt)
                )
                raise
        return AttemptAnswered(send.attempt)

    async def _read_stream(
        self,
        stage: Stage,
        service: Service,
        call: GenerateCall,
        address: str,
        assembler: StreamAssembler,
        process: StageProcess,
    ) -> None:
        times = self.times[stage_key(self.pipeline, stage)]
        scale = self.max_tokens / self.pipeline.max_tokens
        usual = times.seconds * scale if self.abandons_early else 0.0
        pace = DecodePace(usual, self.max_tokens)
        chunks = self.dispatcher.back_ends.generate(address, call, self._seconds_left())
        async with aclosing(chunks):
            last = await self._forward_chunks(chunks, call, assembler, pace, process)
        self._charge(stage, service, last.busy_seconds)
        if pace.measured_seconds is not None:
            times.observe_seconds(pace.measured_seconds / scale)
            self.times[stage.service].observe_seconds(pace.measured_seconds)

    async def _forward_chunks(
        self,
        chunks: AsyncGenerator[TokenChunk, None],
        call: GenerateCall,
        assembler: StreamAssembler,
        pace: DecodePace,
        process: StageProcess,
    ) -> TokenChunk:
        """Forward an attempt's tokens as they arrive, and return its last chunk."""

        def begun() -> bool:
            return assembler.offset > call.offset

        def patience_seconds() -> float:
            slack = pace.slack_seconds(self.deadline - clock.now(), assembler.offset)
            if slack <= 0.0:
                raise TooLateError
            return min(slack, MAX_TOKEN_GAP_SECONDS) if begun() else slack

        while True:
            try:
                chunk = await await_attempt(
                    anext(chunks),
                    patience_seconds,
                    lambda: begun() and process.reserve_retry(clock.now()),
                )
            except StopAsyncIteration:
                raise BackEndError("the stream ended without its last chunk", sent=True) from None
            if assembler.accept(chunk):
                pace.record_token(clock.now())
                await self.sink(chunk.index, chunk.token)
            if assembler.complete:
                return chunk


def stage_key(pipeline: Pipeline, stage: Stage) -> str:
    """Return the key of a stage's usual time."""
    return f"{pipeline.name}/{stage.service}"


def assemble_prompt(question: str, passages: tuple[Passage, ...]) -> str:
    """Return the prompt. Passages come first, so that requests with equal ones share a prefix."""
    return "\n".join([*(passage.text for passage in passages), question])


def prefix_key(tenant: TenantName, prompt: str) -> str:
    """Return the affinity key that selects a prompt's preferred engine."""
    return f"{tenant}\x00{prompt[:PREFIX_BYTES]}"
