"""A worker that stops in the middle of its answer's head and closes has given no answer.

Guards against a caller that gets a success with an empty or short body, framed as whole: the fields
that arrived would pass for the head of an answer.
"""

from collections import deque

import pytest
from node_world import configuration, route, world
from partitioned_world import partitioned_world
from platform_standins import ATTEMPT, INSTANCE, SEAL, StandinStageWorker, StandinWorker
from test_relayed_requests import partition

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.silence import ignore_silence
from corkcrank.node.peers.peer_client import PeerClient, PeerFailure
from corkcrank.node.workers.worker_client import WorkerClient
from corkcrank.node.workers.worker_request import SendFailure, SendTrouble, WorkerRequest

EVENTS = 4
FIRST = 2
"""Faulty answers of a worker, before its sound ones."""

IDS = f"{ATTEMPT}: 0123456789abcdef\r\n{INSTANCE}: i\r\n{SEAL}: seal\r\n".encode()
HEADS = {
    "nothing": b"",
    "status line": b"HTTP/1.1 2",
    "whole status line": b"HTTP/1.1 200 OK\r\n",
    "field name": b"HTTP/1.1 200 OK\r\n" + IDS + b"Content-Le",
    "field value": b"HTTP/1.1 200 OK\r\n" + IDS + b"Content-Length: 1",
    "before the blank line": b"HTTP/1.1 200 OK\r\n" + IDS + b"Content-Length: 0\r\n",
    "half of the blank line": b"HTTP/1.1 200 OK\r\n" + IDS + b"Content-Length: 0\r\n\r",
    "no length": b"HTTP/1.1 200 OK\r\n" + IDS + b"Connection: close\r\n",
    "after an interim response": b"HTTP/1.1 100 Continue\r\n\r\n",
    "behind an interim response": b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n" + IDS,
}
STAGES = [{"service": "encode", "since_revision": [], "byte_length": 1000}]
PIECES = {"X-Corkcrank-Segments": "2", "X-Corkcrank-Segment-Key": "7c1e07a291bd"}
ROUTES = [
    route("safe", "safe", "plain"),
    route("once", "unsafe", "plain"),
    route("talk", "stream", "model"),
    route("resumed", "stream", "model", stream_resume=True, max_attempts=3),
    route("staged", "stream", "model", stages=STAGES),
]


def worker_with(head: str, answers: int, **fields: int) -> StandinWorker:
    faults = deque(["partial-head"] * answers)
    return StandinWorker(faults=faults, partial_head=HEADS[head], **fields)  # type: ignore[arg-type]


@pytest.mark.parametrize("head", HEADS)
async def test_repeatable_call_is_served_by_another_worker(head: str) -> None:
    served = {name: (worker_with(head, 1), "plain") for name in ("one", "two", "three")}
    served["three"][0].faults.clear()
    async with world(configuration(1, ROUTES), served) as running:  # type: ignore[arg-type]
        for _ in range(FIRST):
            response = await running.call("/safe/x", method="GET")
            body = await response.read()
            assert response.status in (200, 502)
            assert (response.status == 200) == body.startswith(b"answer of ")
            assert (response.status == 200) == (SEAL in response.headers)
        response = await running.call("/safe/x", method="GET")
        assert (response.status, (await response.read())[:9]) == (200, b"answer of")


@pytest.mark.parametrize("head", HEADS)
async def test_unrepeatable_call_runs_once_and_is_no_success(head: str) -> None:
    served = {name: (worker_with(head, FIRST), "plain") for name in ("one", "two")}
    async with world(configuration(1, ROUTES), served) as running:  # type: ignore[arg-type]
        response = await running.call("/once/x", data=b"order")
        assert response.status == 502
        assert SEAL not in response.headers
    assert sum(len(worker.seen) for worker, _ in served.values()) == 1


@pytest.mark.parametrize("head", HEADS)
async def test_stream_is_begun_by_another_engine_or_fails(head: str) -> None:
    served = {name: (worker_with(head, 1, events=EVENTS), "model") for name in ("one", "two")}
    async with world(configuration(1, ROUTES), served) as running:  # type: ignore[arg-type]
        response = await running.call("/talk/x")
        assert response.status == 502
        for _ in range(FIRST):
            response = await running.call("/resumed/x")
            assert response.status == 200
            assert (await response.read()).count(b"id: ") == EVENTS


@pytest.mark.parametrize("head", HEADS)
async def test_stream_that_is_resumed_goes_on_at_a_third_engine(head: str) -> None:
    faults = [["break-after-2"], ["partial-head"], []]
    engines = [worker_with(head, 0, events=EVENTS) for _ in faults]
    shared = deque(fault for turn in faults for fault in turn)
    for engine in engines:
        engine.faults = shared
    served = {str(number): (engine, "model") for number, engine in enumerate(engines)}
    async with world(configuration(1, ROUTES), served) as running:  # type: ignore[arg-type]
        response = await running.call("/resumed/x")
        assert response.status == 200
        assert (await response.read()).count(b"data: ") == EVENTS


async def test_stage_results_with_a_partial_head_are_made_again() -> None:
    encoders = [StandinStageWorker(faults=deque(["partial-head"])) for _ in range(2)]
    served = {str(number): (item, "encode") for number, item in enumerate(encoders)}
    engine = StandinWorker(events=EVENTS)
    async with world(configuration(1, ROUTES), {**served, "engine": (engine, "model")}) as running:  # type: ignore[dict-item]
        response = await running.call("/staged/x", headers=PIECES)
        assert response.status == 200
        assert (await response.read()).count(b"id: ") == EVENTS
    inputs = engine.seen[0].headers["X-Corkcrank-Inputs"].split(",")
    assert set(inputs) <= encoders[0].made | encoders[1].made


@pytest.mark.parametrize("head", HEADS)
async def test_relayed_request_is_no_success(head: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async with partitioned_world(monkeypatch, 2) as played:
        await partition(played, 0)
        for worker in played.plain:
            worker.partial_head = HEADS[head]
            worker.faults.extend(["partial-head"] * FIRST)
        for number in range(FIRST):
            answer = await played.call_once(0, "once", number)
            assert answer.detail.startswith("502"), answer


@pytest.mark.parametrize("head", HEADS)
async def test_peer_and_worker_have_not_answered(head: str) -> None:
    faulty = worker_with(head, FIRST)
    await faulty.server.start()
    peers = PeerClient(ignore_silence)
    async with WorkerClient() as client:
        worker = WorkerRecord("w", "s", faulty.server.address, "z1")
        result = await client.send(WorkerRequest(worker, "GET", "/x", [], b"", 3.0))
        assert isinstance(result, SendFailure)
        assert result.trouble is SendTrouble.UNKNOWN
        assert await peers.request(faulty.server.address, "/x", b"m") is PeerFailure.BROKEN
    await peers.close()
    await faulty.server.stop()
