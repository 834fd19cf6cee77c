"""A stream whose engine fails is resumed at another engine immediately and completely.

The tests guard against these failures:

- The gateway waited for the whole body of an engine's failure. If that body did not end, a
  stream that another engine could have resumed waited until the caller's deadline.
- A failure whose body was cut off replaced a complete one.
- An engine that had no event after the last one ended an answer as complete although the
  previous engine had begun to send the next event.
- Stages were rerun for a stream that no other engine was left to resume.
"""

import asyncio
import random

import aiohttp
import pytest
from callers import caller_of, request_bytes
from engine_script import Answer, Ending, Framing, Script, ScriptedEngine, events, honest
from node_world import World, configuration, route, stop, until, world
from platform_standins import SEAL, StandinStageWorker
from test_stream_wholeness import EVENTS, ROUTES, WHOLE, broken_after, failing, read_answer

READ_BYTES = 16_384

SILENT_FAILURES = {
    "no byte": lambda after: Answer(b"", 500, Framing.LENGTH, Ending.SILENCE, missing=20),
    "some bytes": lambda after: Answer(b"out of", 500, Framing.LENGTH, Ending.SILENCE, missing=9),
    "chunks": lambda after: Answer(b"out of", 500, ending=Ending.SILENCE),
    "unframed": lambda after: Answer(b"out of", 500, Framing.CONNECTION, Ending.SILENCE),
}


@pytest.mark.parametrize("failure", SILENT_FAILURES)
async def test_unfinished_failure_body_does_not_delay_a_stream(failure: str) -> None:
    scripts = broken_after(4), SILENT_FAILURES[failure], honest(EVENTS)
    assert await read_answer("/resumed/x", *scripts) == (200, WHOLE, True)


@pytest.mark.parametrize("failure", SILENT_FAILURES)
async def test_unfinished_failure_body_does_not_delay_the_first_event(failure: str) -> None:
    scripts = SILENT_FAILURES[failure], honest(EVENTS)
    assert await read_answer("/resumed/x", *scripts) == (200, WHOLE, True)


async def test_cut_failure_does_not_replace_a_complete_one() -> None:
    cut: Script = lambda after: Answer(  # noqa: E731
        b"no", 500, Framing.LENGTH, Ending.RESET, missing=4
    )
    assert await read_answer("/resumed/x", failing(), cut) == (500, b"out of order", True)


NEXT_EVENT_BEGUN = {
    "part of it": broken_after(4),
    "it, with another one missing": lambda after: Answer(events(1, 4) + events(6, EVENTS)),
}


@pytest.mark.parametrize("begun", NEXT_EVENT_BEGUN)
async def test_engine_without_the_event_that_another_engine_began_does_not_end_a_stream(
    begun: str,
) -> None:
    scripts = NEXT_EVENT_BEGUN[begun], honest(4), honest(EVENTS)
    assert await read_answer("/resumed/x", *scripts) == (200, WHOLE, True)


async def test_stages_are_not_rerun_when_no_engine_is_left() -> None:
    stages = [{"service": "encode", "since_revision": [], "byte_length": 1000}]
    routes = [route("staged", "stream", "model", stream_resume=True, max_attempts=3, stages=stages)]
    encode = StandinStageWorker()
    served = {"m": (ScriptedEngine([broken_after(4)]), "model"), "e": (encode, "encode")}
    headers = {"X-Corkcrank-Segments": "1", "X-Corkcrank-Segment-Key": "k"}
    async with world(configuration(1, routes), served) as running:
        response = await running.call("/staged/x", headers=headers)
        with pytest.raises(aiohttp.ClientPayloadError):
            await response.read()
    assert len(encode.calls) == 1


async def test_engine_that_restarts_the_stream_does_not_show_that_an_event_is_missing() -> None:
    anew: Script = lambda after: Answer(WHOLE)  # noqa: E731
    expected = (200, b"", True)
    assert await read_answer("/resumed/x", anew, honest(EVENTS), after=str(EVENTS)) == expected


NO_STREAM = [101, 204, 206, 301, 304, 400, 404, 429, 503, 599, 999]


@pytest.mark.parametrize("status", NO_STREAM)
async def test_answer_that_is_no_stream_does_not_end_a_stream(status: int) -> None:
    script: Script = lambda after: Answer(b"", status, Framing.LENGTH)  # noqa: E731
    got = await read_answer("/resumed/x", broken_after(4), script, honest(EVENTS))
    assert got in ((200, WHOLE, True), (200, events(1, 4), False))


async def test_events_in_the_body_of_a_failure_are_not_relayed() -> None:
    script: Script = lambda after: Answer(events(after + 1, EVENTS), 500)  # noqa: E731
    assert await read_answer("/resumed/x", broken_after(4), script) == (200, events(1, 4), False)


async def test_stored_failure_is_returned_when_the_gateway_stops() -> None:
    silent: Script = lambda after: Answer(b"", ending=Ending.SILENCE)  # noqa: E731
    turns = [failing(body=b"kept"), silent]
    engines = [ScriptedEngine([lambda after: turns.pop(0)(after)]) for _ in range(2)]
    served = {engine.worker_id: (engine, "model") for engine in engines}
    async with world(configuration(1, ROUTES), served) as running:
        call = asyncio.create_task(running.call("/resumed/x"))
        await until(lambda: not turns)
        stopping = await stop(running)
        response = await call
        assert (response.status, await response.read()) == (500, b"kept")
        assert response.headers[SEAL].startswith("seal-")
        await stopping


def random_answers(source: random.Random) -> Script:
    """Return a script of random answers, except an empty success, which may be correct."""

    def script(after: int) -> Answer:
        rest = events(after + 1, EVENTS)
        cut = source.randint(0, len(rest) - 1) if rest else 0
        framing = source.choice(list(Framing))
        pause = source.choice([0.0, 0.02])
        return source.choice(
            [
                Answer(rest, framing=framing),
                Answer(rest, 500, framing),
                Answer(b"fault", 504, Framing.LENGTH, Ending.RESET, pause, missing=3),
                Answer(rest[:cut], framing=Framing.CHUNKS, ending=Ending.RESET, pause=pause),
                Answer(rest[:cut], framing=Framing.CONNECTION, ending=Ending.RESET, pause=pause),
                Answer(rest[:cut], framing=Framing.LENGTH, missing=len(rest) - cut, pause=pause),
                Answer(events(1, EVENTS), framing=framing),
                Answer(events(after + 2, EVENTS) or rest, framing=framing),
                Answer(rest + b"id: 1", framing=framing),
            ]
        )

    return script


async def check_answer(running: World, path: str, after: int) -> bool:
    """Read an answer and check its events; return whether it ended as complete."""
    headers = {"Last-Event-Id": str(after)} if after else {}
    response = await running.call(path, headers=headers)
    body = b""
    ended = True
    try:
        async for data in response.content.iter_any():
            body += data
    except aiohttp.ClientError:
        ended = False
    if response.status != 200:
        return False
    expected = events(after + 1, EVENTS)
    assert expected.startswith(body)
    assert not ended or body == expected
    return ended


@pytest.mark.parametrize("seed", range(3))
async def test_answer_that_ends_as_complete_has_every_event(seed: int) -> None:
    source = random.Random(seed)
    engines = [ScriptedEngine([random_answers(source)]) for _ in range(4)]
    served = {engine.worker_id: (engine, "model") for engine in engines}
    calls = [("/plainly/x", 0), ("/resumed/x", 0), ("/resumed/x", 4), ("/resumed/x", EVENTS)] * 12
    async with world(configuration(1, ROUTES), served) as running:
        whole = await asyncio.gather(*(check_answer(running, *call) for call in calls))
    assert any(whole)


async def http10_answer(running: World, whole: asyncio.Event | None = None) -> tuple[bytes, bool]:
    """Read a stream over HTTP/1.0; return its body and whether the connection was not reset."""
    async with caller_of(running) as caller:
        head = request_bytes("/plainly/x").replace(b"HTTP/1.1", b"HTTP/1.0")
        caller.writer.write(head)
        body = b""
        try:
            while data := await caller.reader.read(READ_BYTES):
                body += data
                if whole is not None and b"id: 4" in body:
                    whole.set()
        except ConnectionResetError:
            return body.partition(b"\r\n\r\n")[2], False
        return body.partition(b"\r\n\r\n")[2], True


async def test_http10_caller_sees_that_a_stream_failed() -> None:
    served = {"m": (ScriptedEngine([broken_after(4), honest(EVENTS)]), "model")}
    async with world(configuration(1, ROUTES), served) as running:
        body, ended = await http10_answer(running)
        assert not ended
        assert events(1, 4).startswith(body)
        assert await http10_answer(running) == (WHOLE, True)


async def test_http10_caller_sees_that_a_stop_cut_a_stream() -> None:
    silent: Script = lambda after: Answer(events(1, 4), ending=Ending.SILENCE)  # noqa: E731
    served = {"m": (ScriptedEngine([silent]), "model")}
    async with world(configuration(1, ROUTES), served) as running:
        begun = asyncio.Event()
        reading = asyncio.create_task(http10_answer(running, begun))
        await begun.wait()
        await (await stop(running))
        assert await reading == (events(1, 4), False)
