"""A stream that an engine left is taken up at once, for as long as it can be, and to its end.

What a review of the wholeness of streams showed, beside the streams that it had mended:

- an engine's failure whose body did not end held a stream that another engine could have taken
  up until the caller's time was over, since the whole body was waited for;
- a failure that was cut took the place of one that was whole;
- an engine that had nothing behind the last event ended an answer as complete although the
  engine before had begun to send the next event;
- stages were made again for a stream that no other engine was left to take up.
"""

import aiohttp
import pytest
from engine_script import Answer, Ending, Framing, Script, ScriptedEngine, events, honest
from node_world import configuration, route, world
from platform_standins import StandinStageWorker
from test_stream_wholeness import EVENTS, WHOLE, answer_of, broken_after, failing

SILENT_FAILURES = {
    "no byte": lambda after: Answer(b"", 500, Framing.LENGTH, Ending.SILENCE, missing=20),
    "some bytes": lambda after: Answer(b"out of", 500, Framing.LENGTH, Ending.SILENCE, missing=9),
    "chunks": lambda after: Answer(b"out of", 500, ending=Ending.SILENCE),
    "unframed": lambda after: Answer(b"out of", 500, Framing.CONNECTION, Ending.SILENCE),
}


@pytest.mark.parametrize("failure", SILENT_FAILURES)
async def test_failure_without_an_end_does_not_hold_a_stream(failure: str) -> None:
    scripts = broken_after(4), SILENT_FAILURES[failure], honest(EVENTS)
    assert await answer_of("/resumed/x", *scripts) == (200, WHOLE, True)


@pytest.mark.parametrize("failure", SILENT_FAILURES)
async def test_failure_without_an_end_does_not_hold_the_first_event(failure: str) -> None:
    scripts = SILENT_FAILURES[failure], honest(EVENTS)
    assert await answer_of("/resumed/x", *scripts) == (200, WHOLE, True)


async def test_cut_failure_does_not_take_the_place_of_a_whole_one() -> None:
    cut: Script = lambda after: Answer(  # noqa: E731
        b"no", 500, Framing.LENGTH, Ending.RESET, missing=4
    )
    assert await answer_of("/resumed/x", failing(), cut) == (500, b"out of order", True)


NEXT_EVENT_BEGUN = {
    "part of it": broken_after(4),
    "it, with another one missing": lambda after: Answer(events(1, 4) + events(6, EVENTS)),
}


@pytest.mark.parametrize("begun", NEXT_EVENT_BEGUN)
async def test_engine_without_the_event_that_another_began_does_not_end_a_stream(
    begun: str,
) -> None:
    scripts = NEXT_EVENT_BEGUN[begun], honest(4), honest(EVENTS)
    assert await answer_of("/resumed/x", *scripts) == (200, WHOLE, True)


async def test_stages_are_not_made_again_when_no_engine_is_left() -> None:
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


async def test_engine_that_begins_anew_does_not_show_that_an_event_is_missing() -> None:
    anew: Script = lambda after: Answer(WHOLE)  # noqa: E731
    expected = (200, b"", True)
    assert await answer_of("/resumed/x", anew, honest(EVENTS), after=str(EVENTS)) == expected
