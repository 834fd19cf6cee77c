"""No stream is cut while an engine that may serve it goes on, whichever engines fall silent."""

import pytest
import silent_play

from corkcrank.node.streams import engine_exchange, stream_relay

SILENCE_SECONDS = 0.2


@pytest.fixture(autouse=True)
def short_silences(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(engine_exchange, "MIN_FIRST_EVENT_SECONDS", SILENCE_SECONDS)
    monkeypatch.setattr(engine_exchange, "FIRST_EVENT_FACTOR", 0.0)
    monkeypatch.setattr(stream_relay, "MIN_SILENCE_SECONDS", SILENCE_SECONDS)


def assert_all_served(outcomes: silent_play.Outcomes) -> None:
    """Check that each caller got its whole stream by its deadline, most of them at once."""
    assert outcomes.cut == []
    assert outcomes.lost == []
    assert outcomes.served == silent_play.STREAMS
    assert outcomes.whole > silent_play.STREAMS // 2


@pytest.mark.parametrize("seed", [*range(1, 7), 158])
async def test_silences_of_engines_cut_no_stream(seed: int) -> None:
    assert_all_served(await silent_play.play(seed))


@pytest.mark.parametrize("seed", range(1, 5))
async def test_a_second_silence_cuts_no_stream_of_two_attempts(seed: int) -> None:
    assert_all_served(await silent_play.play_two_silences(seed))


@pytest.mark.parametrize("seed", [4, 13, 112])
async def test_silences_cut_no_stream_of_two_attempts_with_the_usual_repeats(seed: int) -> None:
    outcomes = await silent_play.play_usual(seed)
    assert outcomes.cut == []
    assert outcomes.whole > silent_play.STREAMS // 2
