"""Tests that a planned stop cuts no call while the fleet is slower than the forecasts.

The failure: streams were cut, and connections closed without a response, 7.6 s after a gateway was
signalled to stop with a grace period of 8 s, while gateways were restarted in overlapping series.
A draining gateway read a call seconds after the signal, on a connection that the balancer or a
caller still used. It started the call, because a forecast from times measured on the full fleet
fitted in the remaining time. With fewer stage workers and engines, stages and streams took two to
five times as long, so the drain ended during them.

Measured: in each case the time of the stream or of the stages was above the forecast (stages
1.36 s for a corrected forecast of 0.9 s; streams of over 3.5 s on a route whose observed time
permitted a start with 3.5 s left). All calls without a response were in their stages.
"""

import asyncio
import gc

import aiohttp
import pytest
from node_world import configuration, route, stop, until, world
from platform_standins import StandinStageWorker, StandinWorker

from corkcrank.contracts import clock
from corkcrank.links.decision_log import LogEvent

GRACE = 2.4
"""Seconds from the signal to the end of the process."""

LATE_SECONDS = 1.4
"""Delay after the signal by which the load balancer must have noticed the stop."""

EVENTS = 4
USUAL_GAP, SLOW_GAP = 0.01, 0.5
"""Seconds between events with the full fleet, and with few engines left."""

STAGES = [{"service": "encode", "since_revision": [], "byte_length": 1000}]
CHAIN = [*STAGES, {"service": "rerank", "since_revision": [0], "byte_length": 1000}]
ROUTES = [
    route("plain", "safe", "plain"),
    route("brief", "stream", "model", target_latency_ms=800),
    route("staged", "stream", "model", target_latency_ms=2_000, stages=STAGES, stream_resume=True),
    route("chain", "stream", "model", target_latency_ms=2_000, stages=CHAIN),
]
TOKENS = {"X-Corkcrank-Token-Count": f"10,{EVENTS}"}
PIECES = {**TOKENS, "X-Corkcrank-Segments": "1", "X-Corkcrank-Segment-Key": "abcd"}
CHAIN_PIECES = {**PIECES, "X-Corkcrank-Segments": "1,1"}


async def test_a_stream_read_late_after_the_signal_is_refused_whatever_was_learned() -> None:
    engine, plain = StandinWorker(events=EVENTS, gap=USUAL_GAP), StandinWorker()
    served = {"m": (engine, "model"), "p": (plain, "plain")}
    async with world(configuration(1, ROUTES), served, grace=GRACE) as running:
        for _ in range(3):
            await (await running.call("/brief/x", headers=TOKENS)).read()
        engine.gap = SLOW_GAP
        plain.hold = asyncio.Event()
        keeps_it_open = asyncio.create_task(running.call("/plain/x"))
        await until(lambda: bool(plain.seen))
        stopped = await stop(running)
        late_at = clock.now() + LATE_SECONDS
        await until(lambda: clock.now() >= late_at)
        response = await running.call("/brief/x", headers=TOKENS)
        body = await response.read()
        assert response.status == 503
        assert b"DRAINING" in body
        plain.hold.set()
        assert (await keeps_it_open).status == 200
        await stopped


async def test_a_call_whose_stages_outlast_the_drain_is_answered_as_not_run() -> None:
    engine, encode = StandinWorker(events=EVENTS), StandinStageWorker(gate=asyncio.Event())
    served = {"m": (engine, "model"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served, grace=GRACE) as running:
        call = asyncio.create_task(running.call("/staged/x", headers=PIECES))
        await until(lambda: bool(encode.calls))
        stopped = await stop(running)
        response = await call
        assert response.status == 503
        body = await response.read()
        assert b"DRAINING" in body
        assert b'"ran":"no"' in body
        assert float(response.headers["Retry-After"]) < 1.0
        assert engine.seen == []
        await stopped


async def test_results_of_a_call_abandoned_at_the_stop_are_released() -> None:
    """A result that is not released uses result memory for seconds that the next owner needs.

    Messages that release results were sent after the connections to workers had been closed
    ("Session is closed" in tasks that nothing awaited, 15 in 12 runs of stops in series).
    """
    encode, rerank = StandinStageWorker(), StandinStageWorker(gate=asyncio.Event())
    served = {"m": (StandinWorker(), "model"), "e": (encode, "encode"), "r": (rerank, "rerank")}
    faults: list[str] = []
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, context: faults.append(str(context["message"]))
    )
    async with world(configuration(1, ROUTES), served, grace=GRACE) as running:
        call = asyncio.create_task(running.call("/chain/x", headers=CHAIN_PIECES))
        await until(lambda: bool(rerank.calls))
        assert len(encode.held) == 1
        await running.nodes[0].stop()
        assert (await call).status == 503
        await until(lambda: encode.held == set())
        gc.collect()
        assert [fault for fault in faults if "never retrieved" in fault] == []


async def test_a_plain_call_that_its_worker_does_not_answer_gets_an_answer() -> None:
    plain = StandinWorker(hold=asyncio.Event())
    served = {"p": (plain, "plain")}
    async with world(configuration(1, ROUTES), served, grace=GRACE) as running:
        call = asyncio.create_task(running.call("/plain/x"))
        await until(lambda: bool(plain.seen))
        await running.nodes[0].stop()
        response = await call
        assert response.status == 504
        assert b'"ran":"unknown"' in await response.read()
        assert plain.left == 1


async def test_a_call_that_waits_for_its_engine_gets_an_answer_and_the_engine_is_released() -> None:
    engine = StandinWorker(events=EVENTS, hold=asyncio.Event())
    served = {"m": (engine, "model")}
    async with world(configuration(1, ROUTES), served, grace=GRACE) as running:
        call = asyncio.create_task(running.call("/brief/x", headers=TOKENS))
        await until(lambda: bool(engine.seen))
        await running.nodes[0].stop()
        response = await call
        assert response.status == 504
        assert b"OUTCOME_UNKNOWN" in await response.read()
        assert engine.left == 1


async def test_a_drain_that_begins_after_its_grace_still_answers() -> None:
    plain = StandinWorker(hold=asyncio.Event())
    served = {"p": (plain, "plain")}
    async with world(configuration(1, ROUTES), served, grace=GRACE) as running:
        call = asyncio.create_task(running.call("/plain/x"))
        await until(lambda: bool(plain.seen))
        started_at = clock.now()
        await running.nodes[0].stop(signalled_at=started_at - GRACE)
        assert clock.now() - started_at < GRACE
        response = await call
        assert response.status == 504
        assert response.headers["Connection"] == "close"
        assert b'"ran":"unknown"' in await response.read()


async def test_a_stream_past_its_deadline_is_not_logged_as_resumed() -> None:
    """The log of a cut stream said that another worker resumed it, though none sent anything."""
    engine, encode = StandinWorker(events=EVENTS, gap=GRACE), StandinStageWorker()
    served = {"m": (engine, "model"), "e": (encode, "encode")}
    async with world(configuration(1, ROUTES), served, grace=GRACE) as running:
        node = running.nodes[0]
        written: list[LogEvent] = []
        node._log.write = lambda event, **fields: written.append(event)  # type: ignore[method-assign]
        headers = {**PIECES, "X-Corkcrank-Deadline-Ms": "1500"}
        response = await running.call("/staged/x", headers=headers)
        with pytest.raises(aiohttp.ClientPayloadError):
            await response.read()
        await until(lambda: LogEvent.CALL_ENDED in written)
        assert LogEvent.STREAM_RESUMED not in written
        assert (len(encode.calls), len(engine.seen)) == (1, 1)
