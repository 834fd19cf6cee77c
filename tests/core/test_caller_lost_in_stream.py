"""A caller that disconnects while a token is written to it frees the engine at once.

The close of a caller's connection cancels its request, or, if a token is being written then,
makes that write fail. In the second case the engine was not cancelled and its connection stayed
open, so it generated all 1,000 tokens after the caller had left. It happened in 8 of 40 runs of
``test_engine_work_ends_when_the_caller_leaves`` beside a load of 30.
"""

import asyncio
import random
from collections.abc import AsyncGenerator
from pathlib import Path

import msgspec
import pytest

from corkcrank.contracts.configuration import ConfigurationIndex
from corkcrank.contracts.identifiers import RequestId, TenantName, WorkerId
from corkcrank.contracts.messages import GenerateCall, TokenChunk, WorkerEntry
from corkcrank.contracts.settings import Routing
from corkcrank.gateway.admission import ServiceTimeEstimate
from corkcrank.gateway.dispatch import Dispatcher
from corkcrank.gateway.pipeline_run import PipelineRun, TokenSink, stage_key
from corkcrank.load.deployment import load_deployment
from corkcrank.machines.load_view import LoadView
from corkcrank.machines.routing import make_policy
from corkcrank.zones.digest import Directory

EXAMPLE = Path(__file__).parent.parent.parent / "examples" / "association.toml"


class Engine:
    """Generates 1,000 tokens and records cancellations and whether its stream was closed."""

    def __init__(self) -> None:
        self.cancelled: list[str] = []
        self.closed = False

    async def generate(
        self, address: str, call: GenerateCall, timeout: float
    ) -> AsyncGenerator[TokenChunk, None]:
        try:
            for index in range(1000):
                yield TokenChunk(call.attempt, index, "token")
                await asyncio.sleep(0)
        finally:
            self.closed = True

    async def cancel_attempt(self, address: str, attempt: str) -> None:
        self.cancelled.append(attempt)


def engine_run(engine: Engine, sink: TokenSink) -> PipelineRun:
    """Return a run of a pipeline's last stage, with one engine."""
    index = ConfigurationIndex(load_deployment(EXAMPLE).configuration())
    pipeline = index.configuration.pipelines[0]
    stage = pipeline.stages[-1]
    view = LoadView("z")
    row = WorkerEntry(WorkerId("engine"), stage.service, "z", "10.0.0.1:1", boot="1")
    view.apply_directory(Directory((row,), list_version=1))
    policy = make_policy(Routing.ROUND_ROBIN, random.Random(1))
    return PipelineRun(
        request=RequestId("r"),
        tenant=TenantName("t"),
        rank=0,
        pipeline=msgspec.structs.replace(pipeline, stages=(stage,), max_tokens=1000),
        index=index,
        dispatcher=Dispatcher(view, engine, policy, lambda: 0.0, frozenset),  # type: ignore[arg-type]
        times={
            name: ServiceTimeEstimate(0.1) for name in (stage_key(pipeline, stage), stage.service)
        },
        text="question",
        max_tokens=1000,
        deadline=asyncio.get_running_loop().time() + 60.0,
        sink=sink,
        abandons_early=False,
    )


async def test_a_failed_write_to_the_caller_stops_the_engine() -> None:
    engine = Engine()

    async def failing_write(index: int, token: str) -> None:
        raise ConnectionResetError("the caller has disconnected")

    with pytest.raises(ConnectionResetError):
        await engine_run(engine, failing_write).run()
    assert len(engine.cancelled) == 1
    assert engine.closed


async def test_a_cancelled_request_stops_the_engine() -> None:
    engine = Engine()
    written = asyncio.Event()

    async def blocked_write(index: int, token: str) -> None:
        written.set()
        await asyncio.Event().wait()

    request = asyncio.create_task(engine_run(engine, blocked_write).run())
    await written.wait()
    request.cancel()
    with pytest.raises(asyncio.CancelledError):
        await request
    assert len(engine.cancelled) == 1
    assert engine.closed
