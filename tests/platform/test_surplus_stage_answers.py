"""A second copy of an answer that names no request never passes for the answer to another one.

Guards against engines that get the results of other requests: a stage worker sent an answer without
handles once more, late; it was read as the answer to the next call on that connection, and from
then on each call got the results of the call before. And against a request that runs and counts as
not run: a late copy of a rejected stage call was read as the answer to a streamed request.
"""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

import pytest
from aiohttp import web
from node_world import LONG_IDLE_TIMEOUT_MS, configuration, route, world
from platform_standins import NOT_RUN, Server, StandinStageWorker, StandinWorker, raw_response
from test_silent_connections import empty_statements, no_backoffs

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.node.stages.stage_worker_client import StageWorkerClient
from corkcrank.node.workers.worker_client import WorkerClient
from corkcrank.node.workers.worker_request import SendFailure, WorkerRequest
from corkcrank.platform.stage_calls import PlatformStageCodec

EVENTS = 2
CALLERS, CALLS = 12, 6
WORK_SECONDS = 0.02
"""Duration of a stage call: a copy that came with the answer would be detected as surplus."""

STAGES = [{"service": "encode", "since_revision": [], "byte_length": 1000}]
ROUTES = [route("staged", "stream", "model", stages=STAGES, stream_resume=True)]
PIECES = {"X-Corkcrank-Segments": "1"}
SECONDS = 3.0


@dataclass
class DoublingWorker(StandinStageWorker):
    """A stage worker that fails every third call, and sends that answer again, late.

    The copy is sent once the next request was read on the same connection. ``made_for`` has the
    request for which each result was made.
    """

    rejects: bool = False
    made_for: dict[str, str] = field(default_factory=dict)
    count: int = 0
    _copies: dict[asyncio.Transport, bytes] = field(default_factory=dict)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        transport = request.transport
        assert isinstance(transport, asyncio.Transport)
        transport.write(self._copies.pop(transport, b""))
        if request.path != "/stage-run":
            return await super()._handle(request)
        self.count += 1
        await asyncio.sleep(WORK_SECONDS)
        if self.count % 3 != 1:
            return await super()._handle(request)
        body = b"" if self.rejects else self._failure(json.loads(await request.read()))
        status, headers = (503, {NOT_RUN: "1"}) if self.rejects else (200, {})
        self._copies[transport] = raw_response(status, headers, body)
        return web.Response(status=status, headers=headers, body=body)

    def _failure(self, call: dict[str, Any]) -> bytes:
        return json.dumps({"items": [{"reason": "error"} for _ in call["items"]]}).encode()

    def _make(self, item: dict[str, Any]) -> dict[str, str]:
        made = super()._make(item)
        self.made_for[made["handle"]] = item["id"]
        return made


@pytest.mark.parametrize("rejects", [False, True])
async def test_engines_get_the_results_of_their_own_requests(rejects: bool) -> None:
    encoder, engine = DoublingWorker(rejects=rejects), StandinWorker(events=EVENTS)
    served = {"encoder": (encoder, "encode"), "engine": (engine, "model")}
    document = configuration(1, ROUTES)
    document["limits"]["idle_timeout_ms"] = LONG_IDLE_TIMEOUT_MS
    async with world(document, served) as running:  # type: ignore[arg-type]

        async def call_in_turn(caller: int) -> None:
            for number in range(CALLS):
                headers = {**PIECES, "X-Corkcrank-Segment-Key": f"{caller:x}{number:x}"}
                response = await running.call("/staged/x", headers=headers)
                await response.read()

        await asyncio.gather(*(call_in_turn(caller) for caller in range(CALLERS)))
    assert len(engine.seen) > CALLERS
    for seen in engine.seen:
        handles = seen.headers["X-Corkcrank-Inputs"].split(",")
        owners = {encoder.made_for[handle] for handle in handles}
        assert owners == {seen.headers["X-Corkcrank-Attempt-Id"]}


class CountingServer(Server):
    """A server that records the connection of each request, by the port of its sender."""

    def __init__(self, body: bytes = b"{}") -> None:
        self.connections: list[int] = []
        self._body = body
        super().__init__(self._answer)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        assert request.transport is not None
        _, port = request.transport.get_extra_info("peername")
        self.connections.append(port)
        return web.Response(body=self._body)


async def connections_of(requests: list[tuple[str, bool]]) -> list[int]:
    """Return the connection of each request, given by call id and whether it is confirmed."""
    server = CountingServer()
    await server.start()
    worker = WorkerRecord("w", "s", server.address, "z1")
    async with WorkerClient() as client:
        for call_id, confirmed in requests:
            request = WorkerRequest(worker, "POST", "/x", [], b"b", SECONDS, call_id=call_id)
            response = await client.send(request)
            assert not isinstance(response, SendFailure)
            await client.read_body(response, SECONDS)
            if confirmed:
                client.confirm(response)
    await server.stop()
    return server.connections


async def test_calls_share_no_connection_with_requests_that_name_no_call() -> None:
    named, other, again = await connections_of([("", True), ("a", False), ("b", False)])
    assert named != other
    assert other == again


async def test_connection_of_an_answer_that_may_be_foreign_is_not_reused() -> None:
    one, two, three = await connections_of([("", False), ("", True), ("", False)])
    assert one != two
    assert two == three


@pytest.mark.parametrize(("body", "connections"), [(b"", 1), (b"{}", 1), (b'{"items":[]}', CALLS)])
async def test_connection_of_a_release_is_reused_if_its_answer_has_no_fields(
    body: bytes, connections: int
) -> None:
    """An answer with an empty object counted as foreign: each release took a new connection."""
    server = CountingServer(body)
    await server.start()
    worker = WorkerRecord("w", "s", server.address, "z1")
    async with WorkerClient() as client:
        stage_workers = StageWorkerClient(
            PlatformStageCodec(), client, no_backoffs(), empty_statements()
        )
        for number in range(CALLS):
            await stage_workers.free_results(worker, [f"handle-{number}"])
    await server.stop()
    assert len(server.connections) == CALLS
    assert len(set(server.connections)) == connections
