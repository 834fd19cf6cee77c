"""An attempt that falls silent is ended only once another one is certain.

A pause of 1 s between tokens ended an attempt before a retry was granted. Where all engines paused
together, the requests beyond the retry budget failed, although their engines went on a moment
later. Calls of pools did the same after six times their usual time.
"""

import asyncio
import random
from collections.abc import AsyncGenerator
from pathlib import Path

import msgspec
import pytest

from corkcrank.contracts.configuration import ConfigurationIndex
from corkcrank.contracts.identifiers import RequestId, TenantName, WorkerId
from corkcrank.contracts.messages import (
    GenerateCall,
    StageAnswer,
    StageCall,
    TokenChunk,
    WorkerEntry,
)
from corkcrank.contracts.settings import Routing
from corkcrank.gateway import pipeline_run
from corkcrank.gateway.admission import ServiceTimeEstimate
from corkcrank.gateway.dispatch import Dispatcher
from corkcrank.gateway.pipeline_run import PipelineRun, stage_key
from corkcrank.links.back_ends import PossiblySent
from corkcrank.load.deployment import load_deployment
from corkcrank.machines.load_view import LoadView
from corkcrank.machines.routing import make_policy
from corkcrank.zones.digest import Directory

EXAMPLE = Path(__file__).parent.parent.parent / "examples" / "association.toml"
GAP_SECONDS = 0.02
SILENCE_SECONDS = 8 * GAP_SECONDS
TOKENS = 6
SILENT_AT = 3


@pytest.fixture(autouse=True)
def short_silences(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pipeline_run, "MAX_TOKEN_GAP_SECONDS", GAP_SECONDS)
    monkeypatch.setattr(pipeline_run, "MIN_ATTEMPT_TIMEOUT_SECONDS", GAP_SECONDS)
    monkeypatch.setattr(pipeline_run, "ATTEMPT_TIMEOUT_FACTOR", 0.0)


class BackEnds:
    """Back ends that fall silent for a while, those at ``lost`` addresses for good."""

    def __init__(self, *lost: str) -> None:
        self.lost = lost
        self.sent: list[str] = []
        self.cancelled: list[str] = []

    async def _pause(self, address: str) -> None:
        await asyncio.sleep(600.0 if address in self.lost else SILENCE_SECONDS)

    async def generate(
        self, address: str, call: GenerateCall, timeout: float
    ) -> AsyncGenerator[TokenChunk, None]:
        self.sent.append(address)
        for index in range(call.offset, TOKENS + 1):
            if index == SILENT_AT and len(self.sent) == 1:
                await self._pause(address)
            yield TokenChunk(call.attempt, index, "token", last=index == TOKENS)

    async def call_stage(
        self, address: str, call: StageCall, timeout: float
    ) -> StageAnswer | PossiblySent:
        self.sent.append(address)
        try:
            async with asyncio.timeout(timeout):
                if len(self.sent) == 1:
                    await self._pause(address)
        except TimeoutError:
            return PossiblySent("no answer in time")
        return StageAnswer(
            request=call.request,
            stage=call.stage,
            attempt=call.attempt,
            tenant=call.tenant,
            text=call.text,
            busy_seconds=0.01,
        )

    async def cancel_attempt(self, address: str, attempt: str) -> None:
        self.cancelled.append(attempt)


class Played:
    """One stage of a pipeline, before a number of back ends."""

    def __init__(self, back_ends: BackEnds, number: int, *, generates: bool) -> None:
        index = ConfigurationIndex(load_deployment(EXAMPLE).configuration())
        pipeline = index.configuration.pipelines[0]
        stage = pipeline.stages[-1 if generates else 0]
        view = LoadView("z")
        rows = (
            WorkerEntry(WorkerId(f"w{n}"), stage.service, "z", f"10.0.0.{n}:1", boot="1")
            for n in range(1, number + 1)
        )
        view.apply_directory(Directory(tuple(rows), list_version=1))
        policy = make_policy(Routing.ROUND_ROBIN, random.Random(1))
        dispatcher = Dispatcher(view, back_ends, policy, lambda: 0.0, frozenset)  # type: ignore[arg-type]
        self.budget = dispatcher.retry_budget(stage.service)
        self.tokens: list[str] = []
        self.run = PipelineRun(
            request=RequestId("r"),
            tenant=TenantName("t"),
            rank=0,
            pipeline=msgspec.structs.replace(pipeline, stages=(stage,), max_tokens=TOKENS),
            index=index,
            dispatcher=dispatcher,
            times={
                name: ServiceTimeEstimate(0.01)
                for name in (stage_key(pipeline, stage), stage.service)
            },
            text="question",
            max_tokens=TOKENS,
            deadline=asyncio.get_running_loop().time() + 30.0,
            sink=self._take,
            abandons_early=False,
        )

    async def _take(self, index: int, token: str) -> None:
        assert index == len(self.tokens)
        self.tokens.append(token)


KINDS = pytest.mark.parametrize("generates", [True, False], ids=["generation", "pool"])


@KINDS
async def test_a_silent_attempt_is_kept_while_no_retry_is_left(generates: bool) -> None:
    back_ends = BackEnds()
    played = Played(back_ends, 2, generates=generates)
    played.budget.balance = 0.0
    await played.run.run()
    assert len(back_ends.sent) == 1
    assert back_ends.cancelled == []
    assert len(played.tokens) == (TOKENS if generates else 0)


@KINDS
async def test_a_silent_attempt_is_kept_where_no_other_back_end_is(generates: bool) -> None:
    back_ends = BackEnds()
    played = Played(back_ends, 1, generates=generates)
    await played.run.run()
    assert len(back_ends.sent) == 1
    assert played.budget.spent == 0


@KINDS
async def test_a_silent_attempt_is_ended_for_another_back_end(generates: bool) -> None:
    back_ends = BackEnds("10.0.0.1:1", "10.0.0.2:1")
    played = Played(back_ends, 2, generates=generates)
    await played.run.run()
    assert sorted(back_ends.sent) == ["10.0.0.1:1", "10.0.0.2:1"]
    assert played.budget.spent == 1


@KINDS
async def test_a_retry_that_is_free_later_ends_a_silent_attempt(generates: bool) -> None:
    back_ends = BackEnds("10.0.0.1:1", "10.0.0.2:1")
    played = Played(back_ends, 2, generates=generates)
    played.budget.balance, played.budget._share = 0.0, 0.0
    sent_before: list[int] = []

    def free_retry() -> None:
        sent_before.append(len(back_ends.sent))
        played.budget._share = 1.0
        played.budget.record_first_attempt()

    asyncio.get_running_loop().call_later(4 * GAP_SECONDS, free_retry)
    await played.run.run()
    assert sent_before == [1]
    assert len(back_ends.sent) == 2


@KINDS
async def test_one_retry_is_reserved_by_one_of_many_silent_attempts(generates: bool) -> None:
    all_back_ends = [BackEnds() for _ in range(8)]
    played = [Played(back_ends, 2, generates=generates) for back_ends in all_back_ends]
    budget = played[0].budget
    budget.balance, budget._share = 1.0, 0.0
    for other in played:
        other.run.dispatcher._budgets = played[0].run.dispatcher._budgets
    await asyncio.gather(*(item.run.run() for item in played))
    assert budget.spent == 1
    assert sum(len(back_ends.sent) for back_ends in all_back_ends) == len(played) + 1
