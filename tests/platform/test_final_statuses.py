"""An answer whose status is no final one of the protocol is never passed on, nor believed.

Guards against statuses from 600 on, which reached callers as the worker had sent them.
"""

import asyncio
from typing import Any

import pytest
from aiohttp import web
from node_world import configuration, route, world
from partitioned_world import partitioned_world
from platform_standins import NOT_RUN, SEAL, StandinStageWorker, StandinWorker
from test_relayed_requests import partition, send

STATUSES = ["000", "099", "199", "20", "2000", "2x0", "600", "999"]
RELAYED_STATUSES = ["000", "600", "999"]
EVENTS = 4
STAGES = [{"service": "encode", "since_revision": [], "byte_length": 1000}]
PIECES = {"X-Corkcrank-Segments": "2", "X-Corkcrank-Segment-Key": "7c1e07a291bd"}
PATHS = ["/safe/x", "/once/x", "/talk/x", "/resumed/x", "/staged/x"]
ROUTES = [
    route("safe", "safe", "plain"),
    route("once", "unsafe", "plain"),
    route("talk", "stream", "model"),
    route("resumed", "stream", "model", stream_resume=True, max_attempts=3),
    route("staged", "stream", "model", stages=STAGES),
]


class OddWorker(StandinWorker):
    """A worker whose answers carry ``status``; with ``promise`` they say that nothing has run."""

    status = "000"
    promise = False

    async def _answer(self, request: web.BaseRequest, fault: str) -> web.StreamResponse:
        fields = self._head(request, "")
        if self.promise:
            fields[NOT_RUN] = "1"
        body = b"id: 1\ndata: x\n\n"
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        transport = request.transport
        assert isinstance(transport, asyncio.Transport)
        text = f"HTTP/1.1 {self.status} Odd\r\n{head}Content-Length: {len(body)}\r\n\r\n"
        transport.write(text.encode() + body)
        await asyncio.sleep(0)
        transport.close()
        raise ConnectionResetError


def odd_workers(status: str, *, promise: bool = False) -> dict[str, Any]:
    workers: dict[str, Any] = {"stage": (StandinStageWorker(), "encode")}
    for service in ("plain", "model"):
        for number in range(2):
            worker = OddWorker()
            worker.status, worker.promise = status, promise
            workers[f"{service}-{number}"] = (worker, service)
    return workers


@pytest.mark.parametrize("promise", [False, True], ids=["answer", "promise"])
@pytest.mark.parametrize("status", STATUSES)
async def test_a_status_that_is_not_final_is_a_failure_of_the_worker(
    status: str, promise: bool
) -> None:
    async with world(configuration(1, ROUTES), odd_workers(status, promise=promise)) as running:
        for path in PATHS:
            headers = PIECES if path == "/staged/x" else {}
            response = await running.call(path, headers=headers)
            assert response.status in (502, 503, 504), path
            assert SEAL not in response.headers


@pytest.mark.parametrize("promise", [False, True], ids=["answer", "promise"])
@pytest.mark.parametrize("status", STATUSES)
async def test_an_unrepeatable_call_runs_once_whatever_an_odd_answer_promises(
    status: str, promise: bool
) -> None:
    workers = odd_workers(status, promise=promise)
    async with world(configuration(1, ROUTES), workers) as running:
        response = await running.call("/once/x", data=b"order")
        assert response.status == 502
    plain = [worker for worker, service in workers.values() if service == "plain"]
    assert sum(len(worker.seen) for worker in plain) == 1


@pytest.mark.parametrize("status", RELAYED_STATUSES)
async def test_a_status_that_is_not_final_is_not_relayed_by_a_member(
    status: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with partitioned_world(monkeypatch, 2) as played:
        await partition(played, 0)
        for worker in played.plain:
            worker.__class__ = OddWorker
            worker.status = status  # type: ignore[attr-defined]
        for name in ("safe", "once"):
            response = await send(played, name)
            assert response.status in (502, 503, 504)
            assert SEAL not in response.headers
