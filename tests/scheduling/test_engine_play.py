"""What callers get of a zone's engines under load: streams that do not pause for others' prompts.

On a played day with idle engines beside them, a tenth of the most urgent route's streams were late
for pauses of 0.6 s and more: an engine that keeps a prompt's shared parts was given one prompt
after the other, and read them all in a row.
"""

import pytest
from engine_play import DRAFTS, QUESTIONS, TALKS, TOKENS_A_SECOND, EnginePlay, Kind, with_rate

SECONDS = 20.0
SEEDS = range(3)


def play(
    seed: int, engines: int, load: float, kinds: tuple[Kind, ...], *, heeds_pauses: bool = True
) -> EnginePlay:
    return EnginePlay(seed, engines, load, SECONDS, heeds_pauses=heeds_pauses).run(kinds)


@pytest.mark.parametrize(
    ("engines", "load", "kinds"),
    [
        pytest.param(18, 1.7, (DRAFTS, QUESTIONS, TALKS), id="a burst of all kinds"),
        pytest.param(12, 1.0, (DRAFTS, QUESTIONS, TALKS), id="a third of the engines away"),
        pytest.param(6, 0.5, (DRAFTS, QUESTIONS, TALKS), id="few engines"),
        pytest.param(18, 1.0, (with_rate(DRAFTS, 2.5), QUESTIONS, TALKS), id="long prompts"),
    ],
)
def test_few_streams_pause_for_the_prompts_of_others(
    engines: int, load: float, kinds: tuple[Kind, ...]
) -> None:
    """At most half as many pause as without heed, for at most a quarter more tokens read."""
    heeding = [play(seed, engines, load, kinds) for seed in SEEDS]
    before = [play(seed, engines, load, kinds, heeds_pauses=False) for seed in SEEDS]
    drafts = kinds[0]
    late = sum(one.late(drafts) for one in heeding)
    late_before = sum(one.late(drafts) for one in before)
    assert late <= 0.5 * late_before
    assert all(one.late(kind) < 0.02 for one in heeding for kind in kinds[1:])
    read = sum(one.tokens_read for one in heeding)
    assert read <= 1.25 * sum(one.tokens_read for one in before)


def test_every_call_ends_and_the_pace_is_found() -> None:
    one = play(1, 18, 1.0, (DRAFTS, QUESTIONS, TALKS))
    assert all(call.ended for call in one.calls)
    assert 0.5 * TOKENS_A_SECOND < one.pace.tokens_a_second("llm") < TOKENS_A_SECOND


def test_a_play_repeats_for_a_seed() -> None:
    kinds = (DRAFTS, QUESTIONS, TALKS)
    first, second = (play(5, 12, 1.0, kinds) for _ in range(2))
    pauses = [[call.longest_pause for call in one.calls] for one in (first, second)]
    assert pauses[0] == pauses[1]
