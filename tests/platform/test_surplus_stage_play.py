"""Thousands of stage calls of a worker that sends surplus answers of any kind, early and late.

Guards against engines that get the results of other requests, and against requests that count as
not run although an engine ran them.
"""

import asyncio
import itertools
import json
import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import pytest
from aiohttp import web
from node_world import LONG_IDLE_TIMEOUT_MS, call_id, configuration, route, world
from platform_standins import NOT_RUN, StandinStageWorker, StandinWorker, raw_response

EVENTS = 1
CALLERS, CALLS = 25, 24
SEEDS = (1, 2, 3)
SURPLUS_SHARE = 0.3
MAX_SURPLUS_DELAY_SECONDS = 0.02
FAILED_SHARE = 0.15
"""Share of the calls for which no piece is made, so that their answers carry no handle."""

REJECTED_SHARE = 0.1
KINDS = ("copy", "rejection", "failure", "empty", "fault")
"""Kinds of surplus answers, which come in turn."""

STAGES = [{"service": "encode", "since_revision": [], "byte_length": 1000}]
ROUTES = [route("staged", "stream", "model", stages=STAGES)]


@dataclass
class SurplusWorker(StandinStageWorker):
    """A stage worker that sends answers again, or answers that nobody asked for, after a while."""

    source: random.Random = field(default_factory=random.Random)
    made_for: dict[str, str] = field(default_factory=dict)
    surplus: Counter[str] = field(default_factory=Counter)
    _kinds: Iterator[str] = field(default_factory=lambda: itertools.cycle(KINDS))
    _late: set[asyncio.Task[None]] = field(default_factory=set)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != "/stage-run":
            return await super()._handle(request)
        call = json.loads(await request.read())
        await asyncio.sleep(self.source.uniform(0.0, 0.004))
        status, headers, body = self._answer_to(call)
        if self.source.random() < SURPLUS_SHARE:
            transport = request.transport
            assert isinstance(transport, asyncio.Transport)
            late = asyncio.create_task(self._send_late(transport, status, headers, body))
            self._late.add(late)
            late.add_done_callback(self._late.discard)
        return web.Response(status=status, headers=headers, body=body)

    def _answer_to(self, call: dict[str, Any]) -> tuple[int, dict[str, str], bytes]:
        drawn = self.source.random()
        if drawn < REJECTED_SHARE:
            return 503, {NOT_RUN: "1"}, b""
        if drawn < REJECTED_SHARE + FAILED_SHARE:
            return 200, {}, _items([{"reason": "error"} for _ in call["items"]])
        return 200, {}, _items([self._make(item) for item in call["items"]])

    async def _send_late(
        self, transport: asyncio.Transport, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        await asyncio.sleep(self.source.uniform(0.0, MAX_SURPLUS_DELAY_SECONDS))
        if transport.is_closing():
            return
        kind = next(self._kinds)
        if kind == "rejection":
            status, headers, body = 503, {NOT_RUN: "1"}, b""
        elif kind == "failure":
            status, headers, body = 200, {}, _items([{"reason": "gone"}])
        elif kind == "empty":
            status, headers, body = 200, {}, b""
        elif kind == "fault":
            status, headers, body = 500, {}, b"fault"
        self.surplus[kind] += 1
        transport.write(raw_response(status, headers, body))

    def _make(self, item: dict[str, Any]) -> dict[str, str]:
        made = super()._make(item)
        self.made_for[made["handle"]] = item["id"]
        return made


def _items(items: list[dict[str, str]]) -> bytes:
    return json.dumps({"items": items}).encode()


@pytest.mark.parametrize("seed", SEEDS)
async def test_no_surplus_answer_passes_for_the_answer_to_another_call(seed: int) -> None:
    encoders = [SurplusWorker(source=random.Random(10 * seed + number)) for number in range(2)]
    engine = StandinWorker(events=EVENTS)
    served = {"one": (encoders[0], "encode"), "two": (encoders[1], "encode")}
    document = configuration(1, ROUTES)
    document["limits"]["idle_timeout_ms"] = LONG_IDLE_TIMEOUT_MS
    refused: set[str] = set()
    statuses: Counter[int] = Counter()
    async with world(document, {**served, "engine": (engine, "model")}) as running:  # type: ignore[arg-type]

        async def call_in_turn(caller: int) -> None:
            for number in range(CALLS):
                attempt = call_id()
                headers = {
                    "X-Corkcrank-Segments": "1",
                    "X-Corkcrank-Segment-Key": f"{caller:x}{number:x}",
                }
                response = await running.call("/staged/x", headers=headers, attempt=attempt)
                await response.read()
                statuses[response.status] += 1
                if response.status == 503:
                    refused.add(attempt)

        await asyncio.gather(*(call_in_turn(caller) for caller in range(CALLERS)))
    made_for = {**encoders[0].made_for, **encoders[1].made_for}
    surplus = encoders[0].surplus + encoders[1].surplus
    assert statuses[200] > CALLERS
    assert min(surplus[kind] for kind in KINDS) > 0
    for seen in engine.seen:
        handles = seen.headers["X-Corkcrank-Inputs"].split(",")
        assert {made_for[handle] for handle in handles} == {seen.headers["X-Corkcrank-Attempt-Id"]}
    ran = Counter(seen.headers["X-Corkcrank-Attempt-Id"] for seen in engine.seen)
    assert not refused & set(ran)
    assert max(ran.values()) == 1
