"""Resumed streams are served as urgently as they were promised, beside new ones that queue."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from node_world import World, call_id, configuration, route, until, world
from platform_standins import StandinStageWorker, StandinWorker, worker_entry
from test_operations_page import logged
from typer.testing import CliRunner

from corkcrank.cli.operator import application
from corkcrank.contracts import clock
from corkcrank.reports.log_records import read_all
from corkcrank.reports.resumptions import report_resumptions
from corkcrank.scheduling.resumption_share import MIN_PRECEDING_STREAMS, ResumptionShare

EVENTS = 6
STAGES = [{"service": "encode", "since_revision": [], "byte_length": 1000}]
ROUTES = [
    route("talk", "stream", "model", stream_resume=True, stages=STAGES, timeout_ms=8_000),
    route("unserved", "stream", "none", stream_resume=True),
]
PIECES = {"X-Corkcrank-Segments": "1", "X-Corkcrank-Segment-Key": "k"}
NEW = {**PIECES, "X-Corkcrank-Token-Count": "20,5", "X-Corkcrank-Deadline-Ms": "8000"}

HOPELESS_MS = 20
"""Less than the work of the stages."""


def resumed(attempt: str, left_ms: int) -> dict[str, str]:
    """Return the headers of a caller that resumes a stream with this much time left."""
    return {
        **NEW,
        "Last-Event-Id": "2",
        "Resumes": attempt,
        "X-Corkcrank-Deadline-Ms": str(left_ms),
    }


@asynccontextmanager
async def gateway(encode: StandinStageWorker) -> AsyncIterator[World]:
    served = {"m": (StandinWorker(events=EVENTS), "model"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served) as running:
        yield running


async def begin(running: World) -> str:
    """Begin a stream; return the attempt's id."""
    attempt = call_id()
    response = await running.call("/talk/x", headers=NEW, attempt=attempt)
    assert (await response.read()).count(b"id:") == EVENTS
    return attempt


def use_up_share(running: World) -> ResumptionShare:
    """Give the tenant's precedence to other streams until none is left."""
    share = running.nodes[0].services.resumption_share
    while share.may_precede("tenant", 1, clock.now()):
        pass
    return share


async def queue_at(running: World, encode: StandinStageWorker) -> list[asyncio.Task[int]]:
    """Have new calls wait for the stage worker; return the tasks with their statuses."""
    encode.gate = asyncio.Event()

    async def serve() -> int:
        response = await running.call("/talk/x", headers=NEW)
        await response.read()
        return response.status

    tasks = [asyncio.create_task(serve()) for _ in range(6)]
    await until(lambda: len(encode.calls) > 1 and running.nodes[0].callers.in_flight == len(tasks))
    return tasks


async def list_another_version(running: World) -> None:
    """List an engine of another version that leaves: an unknown stream may be of that version."""
    entry = worker_entry("model", "127.0.0.1:9", version="v2", state="draining")
    running.store.put("servers", "i-other", entry)
    workers = running.nodes[0].mirror.workers
    await until(lambda: workers.get_by_name("i-other") is not None)


async def test_the_report_tells_resumed_streams_from_new_ones(tmp_path: Path) -> None:
    encode = StandinStageWorker()
    async with gateway(encode) as running:
        with logged(running, tmp_path) as path:
            attempt = await begin(running)
            response = await running.call("/talk/x", headers=resumed(attempt, 6_000))
            assert (await response.read()).count(b"id:") == EVENTS - 2
            await list_another_version(running)
            unknown = await running.call("/talk/x", headers=resumed("unknown", 6_000))
            assert unknown.status == 503
        metrics = running.nodes[0].services.metrics.resumed_calls
        assert metrics.labels("continued")._value.get() == 1
        assert metrics.labels("STREAM_ORIGIN_UNKNOWN")._value.get() == 1
    (found,) = report_resumptions(read_all([path])).values()
    assert (found.resumed, found.continued, found.new, found.begun) == (2, 1, 1, 1)
    assert list(found.refused) == ["STREAM_ORIGIN_UNKNOWN"]
    result = CliRunner().invoke(application, ["resumptions", str(path)])
    assert result.exit_code == 0
    assert "1 of 2 resumed streams went on" in result.output


async def test_a_resumed_stream_waits_at_the_stages_as_long_as_its_caller_does() -> None:
    encode = StandinStageWorker()
    async with gateway(encode) as running:
        attempt = await begin(running)
        waiting = await queue_at(running, encode)
        call = asyncio.create_task(running.call("/talk/x", headers=resumed(attempt, 5_000)))
        await asyncio.sleep(0.2)
        assert encode.gate is not None
        encode.gate.set()
        response = await call
        body = await response.read()
        assert (response.status, body.count(b"id:")) == (200, EVENTS - 2), body
        assert await asyncio.gather(*waiting) == [200] * len(waiting)


async def test_a_resumed_stream_beyond_the_share_waits_at_the_stages_as_new_calls_do() -> None:
    encode = StandinStageWorker()
    async with gateway(encode) as running:
        attempt = await begin(running)
        waiting = await queue_at(running, encode)
        use_up_share(running)
        call = asyncio.create_task(running.call("/talk/x", headers=resumed(attempt, 5_000)))
        await asyncio.sleep(0.2)
        assert encode.gate is not None
        encode.gate.set()
        response = await call
        body = await response.read()
        assert (response.status, body.count(b"id:")) == (200, EVENTS - 2), body
        assert await asyncio.gather(*waiting) == [200] * len(waiting)


async def test_refused_attempts_of_one_caller_do_not_use_up_the_share() -> None:
    encode = StandinStageWorker()
    async with gateway(encode) as running:
        attempt = await begin(running)
        waiting = await queue_at(running, encode)
        for _ in range(2 * round(MIN_PRECEDING_STREAMS)):
            response = await running.call("/talk/x", headers=resumed(attempt, HOPELESS_MS))
            assert response.status == 503
        services = running.nodes[0].services
        share, gateways = services.resumption_share, services.fleet.share_member_count()
        calls = round(MIN_PRECEDING_STREAMS / gateways)
        given = sum(share.may_precede("tenant", gateways, clock.now()) for _ in range(calls))
        assert given >= calls / 2
        assert encode.gate is not None
        encode.gate.set()
        await asyncio.gather(*waiting)


async def test_refused_calls_do_not_earn_precedence_for_resumed_ones() -> None:
    async with gateway(StandinStageWorker()) as running:
        for _ in range(8 * round(MIN_PRECEDING_STREAMS)):
            assert (await running.call("/unserved/x")).status == 503
        share, tenant = running.nodes[0].services.resumption_share, "tenant"
        calls = range(2 * round(MIN_PRECEDING_STREAMS))
        given = sum(share.may_precede(tenant, 1, clock.now()) for _ in calls)
        assert given <= MIN_PRECEDING_STREAMS + 1
