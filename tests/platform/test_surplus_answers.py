"""A surplus answer costs the call that reads it, and no other one.

Guards against a connection that is used again after an answer to another call. A worker sent an
answer twice; the copy was read as the answer to the next call, whose own answer came while the call
after it waited on that connection, and so on: each of them was lost.
"""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import pytest
from aiohttp import web
from node_world import LONG_IDLE_TIMEOUT_MS, configuration, route, world
from platform_standins import SEAL, StandinWorker

from corkcrank.links.decision_log import LogEvent

CALLS = 6
WORK_SECONDS = 0.05
"""Duration of a call, in which the caller's next call would be sent on the same connection."""

KINDS = ["unsafe", "safe"]


@dataclass
class DoublingWorker(StandinWorker):
    """A worker that sends its first answer again, once it has read the next request."""

    _copy: bytes = b""
    answered: list[str] = field(default_factory=list)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        transport = request.transport
        assert isinstance(transport, asyncio.Transport)
        transport.write(self._copy)
        self._copy = b""
        await asyncio.sleep(WORK_SECONDS)
        headers = {**self._ids(request), SEAL: "seal"}
        if not self.answered:
            lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            self._copy = f"HTTP/1.1 200 OK\r\n{lines}Content-Length: 2\r\n\r\nok".encode()
        self.answered.append(request.path)
        return web.Response(body=b"ok", headers=headers)


@pytest.mark.parametrize("kind", KINDS)
async def test_an_answer_to_another_call_ends_the_use_of_its_connection(kind: str) -> None:
    worker = DoublingWorker()
    document = configuration(1, [route("call", kind, "plain", max_attempts=1)])
    document["limits"]["idle_timeout_ms"] = LONG_IDLE_TIMEOUT_MS
    async with world(document, {"one": (worker, "plain")}) as running:
        statuses = []
        for number in range(CALLS):
            response = await running.call(f"/call/{number}")
            await response.read()
            statuses.append(response.status)
    assert statuses.count(200) == CALLS - 1


@pytest.mark.parametrize("how", ["other call", "surplus"])
async def test_the_worker_of_a_foreign_answer_is_logged_and_counted(how: str) -> None:
    worker = DoublingWorker() if how == "other call" else StandinWorker(faults=deque(["surplus"]))
    document = configuration(1, [route("call", "safe", "plain", max_attempts=1)])
    document["limits"]["idle_timeout_ms"] = LONG_IDLE_TIMEOUT_MS
    lines: list[dict[str, Any]] = []
    async with world(document, {"one": (worker, "plain")}) as running:
        write = running.nodes[0]._log.write

        def record_line(event: LogEvent, **fields: Any) -> None:
            if event is LogEvent.ANSWER_FOREIGN:
                lines.append(fields)
            write(event, **fields)

        running.nodes[0]._log.write = record_line  # type: ignore[method-assign]
        for number in range(CALLS):
            await (await running.call(f"/call/{number}")).read()
        counted = running.nodes[0].services.metrics.foreign_answers.labels(how)._value.get()
    assert lines == [{"kind": how, "peer": worker.server.address}]
    assert counted == 1
