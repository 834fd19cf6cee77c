"""A streamed answer ends as complete only if every event of it was sent.

Guards against a truncated stream that looks complete: the caller received status 200, the first
events and a proper end, and could not see that events were missing.

The first engine's connection failed in mid-stream. The gateway resumed the stream at a second
engine, which answered with status 500, signed, with a complete body. That body was relayed after
the first engine's events, and at its end the caller's answer was ended as complete.

The cause was that the end of a body counted as the end of the stream, whatever the status. The
log shows such a case as an engine's answer with `status` 500, `resume_after` 4, `events` 0 and
`end` complete; every truncated stream had such a line. For the same reason, a partial event, an
answer without events, and events from another position than requested passed as complete.
"""

import aiohttp
import pytest
from engine_script import Answer, Ending, Framing, Script, ScriptedEngine, events, honest
from node_world import configuration, route, world
from platform_standins import SEAL

EVENTS = 9

ROUTES = [
    route("plainly", "stream", "model"),
    route("resumed", "stream", "model", stream_resume=True, max_attempts=3),
]

WHOLE = events(1, EVENTS)


def broken_after(last: int) -> Script:
    body = events(1, last) + b"id: "
    return lambda after: Answer(body, ending=Ending.RESET)


def failing(status: int = 500, body: bytes = b"out of order") -> Script:
    return lambda after: Answer(body, status, Framing.LENGTH)


async def read_answer(path: str, *scripts: Script, after: str = "") -> tuple[int, bytes, bool]:
    """Return status, body and completeness of an answer; engines run the scripts in order."""
    turns = list(scripts)

    def next_script(position: int) -> Answer:
        script = turns.pop(0) if len(turns) > 1 else turns[0]
        return script(position)

    served = {str(number): (ScriptedEngine([next_script]), "model") for number in range(3)}
    headers = {"Last-Event-Id": after} if after else {}
    async with world(configuration(1, ROUTES), served) as running:
        response = await running.call(path, headers=headers)
        body = b""
        try:
            async for data in response.content.iter_any():
                body += data
        except aiohttp.ClientError:
            return response.status, body, False
        return response.status, body, True


@pytest.mark.parametrize("status", [500, 504])
async def test_failure_of_the_engine_that_resumes_a_stream_does_not_end_it(status: int) -> None:
    scripts = broken_after(4), failing(status), honest(EVENTS)
    assert await read_answer("/resumed/x", *scripts) == (200, WHOLE, True)


async def test_stream_whose_engines_all_fail_is_visibly_broken() -> None:
    assert await read_answer("/resumed/x", broken_after(4), failing()) == (200, events(1, 4), False)


ENDS = {
    "part of an event": lambda after: Answer(events(after + 1, 4) + b"id: 5\ndata: e"),
    "part of an event, with length": lambda after: Answer(
        events(after + 1, 4) + b"id: 5\ndata: e", framing=Framing.LENGTH
    ),
    "part of an event, unframed": lambda after: Answer(
        events(after + 1, 4) + b"id: 5\ndata: e", framing=Framing.CONNECTION
    ),
    "reset at once, unframed": lambda after: Answer(
        events(after + 1, 4), framing=Framing.CONNECTION, ending=Ending.RESET, pause=0.0
    ),
    "reset later, unframed": lambda after: Answer(
        events(after + 1, 4), framing=Framing.CONNECTION, ending=Ending.RESET
    ),
    "unreadable number": lambda after: Answer(
        events(after + 1, 4) + b"id: 5x\ndata: e5\n\n" + events(6, EVENTS)
    ),
    "event without a number": lambda after: Answer(
        events(after + 1, 4) + b"data: e5\n\n" + events(6, EVENTS)
    ),
}


@pytest.mark.parametrize("end", ENDS)
async def test_incomplete_stream_is_resumed_at_another_engine(end: str) -> None:
    assert await read_answer("/resumed/x", ENDS[end], honest(EVENTS)) == (200, WHOLE, True)


@pytest.mark.parametrize("end", ENDS)
async def test_incomplete_stream_is_visibly_broken(end: str) -> None:
    status, body, whole = await read_answer("/plainly/x", ENDS[end])
    assert (status, whole) == (200, False)
    assert WHOLE.startswith(body)


FALSE_STARTS = {
    "no event": lambda after: Answer(b""),
    "gap before the first event": lambda after: Answer(events(3, EVENTS)),
}


@pytest.mark.parametrize("start", FALSE_STARTS)
async def test_stream_without_its_first_event_is_restarted_at_another_engine(start: str) -> None:
    script = FALSE_STARTS[start]
    assert await read_answer("/resumed/x", script, honest(EVENTS)) == (200, WHOLE, True)


@pytest.mark.parametrize("start", FALSE_STARTS)
async def test_stream_without_its_first_event_is_no_success(start: str) -> None:
    status, body, whole = await read_answer("/plainly/x", FALSE_STARTS[start])
    assert (status, body.startswith(b"id:")) == (502, False)
    assert whole


@pytest.mark.parametrize("first", [1, 4, 6])
async def test_engine_that_resumes_from_a_wrong_event_is_replaced(first: int) -> None:
    wrong: Script = lambda after: Answer(events(first, EVENTS))  # noqa: E731
    expected = (200, events(5, EVENTS), True)
    assert await read_answer("/resumed/x", wrong, honest(EVENTS), after="4") == expected


async def test_resume_after_the_last_event_returns_an_empty_answer() -> None:
    assert await read_answer("/resumed/x", honest(EVENTS), after=str(EVENTS)) == (200, b"", True)


async def test_lost_end_after_the_last_event_is_recovered() -> None:
    lost_end: Script = lambda after: Answer(WHOLE, ending=Ending.RESET)  # noqa: E731
    assert await read_answer("/resumed/x", lost_end, honest(EVENTS)) == (200, WHOLE, True)


async def test_failure_of_the_first_engine_is_retried_at_another() -> None:
    assert await read_answer("/resumed/x", failing(), honest(EVENTS)) == (200, WHOLE, True)


@pytest.mark.parametrize("path", ["/plainly/x", "/resumed/x"])
async def test_failure_of_every_engine_is_returned_complete(path: str) -> None:
    assert await read_answer(path, failing(body=b"no way")) == (500, b"no way", True)


async def test_line_ends_after_the_last_event_are_no_partial_event() -> None:
    script: Script = lambda after: Answer(WHOLE + b"\n")  # noqa: E731
    assert await read_answer("/plainly/x", script) == (200, WHOLE + b"\n", True)


async def test_answer_keeps_the_signature_of_the_engine_that_began_it() -> None:
    def script(after: int) -> Answer:
        return honest(EVENTS)(after) if after else broken_after(4)(after)

    engines = [ScriptedEngine([script]) for _ in range(2)]
    served = {engine.worker_id: (engine, "model") for engine in engines}
    async with world(configuration(1, ROUTES), served) as running:
        response = await running.call("/resumed/x")
        assert await response.read() == WHOLE
    (first,) = [engine for engine in engines if "Last-Event-Id" not in engine.heads[0]]
    assert response.headers[SEAL] == f"seal-{first.worker_id}"


async def test_protocol_switch_is_no_answer() -> None:
    switch: Script = lambda after: Answer(b"", 101, Framing.CONNECTION)  # noqa: E731
    assert await read_answer("/resumed/x", switch, honest(EVENTS)) == (200, WHOLE, True)
    status, _, whole = await read_answer("/plainly/x", switch)
    assert (status, whole) == (502, True)
