"""Pauses of streams at a zone's engines under load, caused by the prompts of other calls.

In a simulated day, a tenth of the most urgent route's streams were late for pauses of 0.6 s and
more while other engines were idle: an engine that had cached the shared parts was granted one
prompt after the other and read them all in a row.
"""

import pytest
from engine_play import (
    DRAFTS,
    QUESTIONS,
    TALKS,
    TOKENS_PER_SECOND,
    EngineSimulation,
    Kind,
    with_rate,
)

SECONDS = 20.0
SEEDS = range(3)


def simulate(
    seed: int, engines: int, load: float, kinds: tuple[Kind, ...], *, limits_pauses: bool = True
) -> EngineSimulation:
    return EngineSimulation(seed, engines, load, SECONDS, limits_pauses=limits_pauses).run(kinds)


@pytest.mark.parametrize(
    ("engines", "load", "kinds"),
    [
        pytest.param(18, 1.7, (DRAFTS, QUESTIONS, TALKS), id="a burst of all kinds"),
        pytest.param(12, 1.0, (DRAFTS, QUESTIONS, TALKS), id="a third of the engines away"),
        pytest.param(6, 0.5, (DRAFTS, QUESTIONS, TALKS), id="few engines"),
        pytest.param(18, 1.0, (with_rate(DRAFTS, 2.5), QUESTIONS, TALKS), id="long prompts"),
    ],
)
def test_few_streams_pause_for_prompts_of_other_calls(
    engines: int, load: float, kinds: tuple[Kind, ...]
) -> None:
    """Limits on pauses at least halve the late streams, for at most a quarter more tokens read."""
    limited = [simulate(seed, engines, load, kinds) for seed in SEEDS]
    unlimited = [simulate(seed, engines, load, kinds, limits_pauses=False) for seed in SEEDS]
    drafts = kinds[0]
    late = sum(one.late_share(drafts) for one in limited)
    late_unlimited = sum(one.late_share(drafts) for one in unlimited)
    assert late <= 0.5 * late_unlimited
    assert all(one.late_share(kind) < 0.02 for one in limited for kind in kinds[1:])
    read = sum(one.tokens_read for one in limited)
    assert read <= 1.25 * sum(one.tokens_read for one in unlimited)


def test_every_call_ends_and_throughput_is_measured() -> None:
    one = simulate(1, 18, 1.0, (DRAFTS, QUESTIONS, TALKS))
    assert all(call.ended for call in one.calls)
    assert 0.5 * TOKENS_PER_SECOND < one.pace.tokens_per_second("llm") < TOKENS_PER_SECOND


def test_a_simulation_repeats_for_a_seed() -> None:
    kinds = (DRAFTS, QUESTIONS, TALKS)
    first, second = (simulate(5, 12, 1.0, kinds) for _ in range(2))
    pauses = [[call.longest_pause for call in one.calls] for one in (first, second)]
    assert pauses[0] == pauses[1]
