"""Engine grants of a zone's owner: concurrent prompts, prefix affinity, lost reports."""

from hypothesis import given
from hypothesis import strategies as st

from corkcrank.contracts.opaque_call import PrefixPart, PromptShape
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.scheduling.engine_choice import EngineChooser, EngineQuestion
from corkcrank.scheduling.prefill_grants import MAX_PREFILL_SECONDS, PrefillGrants
from corkcrank.scheduling.worker_choice import WorkerStatisticsTable

ENGINES = [WorkerRecord(f"e{number}", "m", "", "a") for number in range(4)]
CACHE_TOKENS = 100_000


def prompt(session: str, tokens: int = 6_000) -> PromptShape:
    parts = (PrefixPart("common", 1_000), PrefixPart(session, 2_000), PrefixPart("own", 3_000))
    return PromptShape("m", tokens, 50, parts)


def grants() -> PrefillGrants:
    return PrefillGrants(EngineChooser(), WorkerStatisticsTable())


def granted(owner: PrefillGrants, call_id: str, session: str, now: float) -> str:
    question = EngineQuestion(prompt(session))
    engine = owner.grant(call_id, ENGINES, question, CACHE_TOKENS, now)
    assert engine is not None
    return engine.worker_id


def test_concurrent_prompts_go_to_different_engines() -> None:
    owner = grants()
    chosen = {granted(owner, f"call{number}", f"s{number}", 1.0) for number in range(4)}
    assert len(chosen) == 4


def test_a_session_returns_to_its_engine_after_its_prompt_was_read() -> None:
    owner = grants()
    first = granted(owner, "one", "session", 1.0)
    owner.release_grant("one")
    for number in range(3):
        granted(owner, f"other{number}", f"s{number}", 1.1)
        owner.release_grant(f"other{number}")
    assert granted(owner, "two", "session", 1.5) == first


def test_a_grant_without_a_completion_report_expires() -> None:
    owner = grants()
    granted(owner, "lost", "s", 1.0)
    assert sum(owner.tokens_being_read(1.1).values()) > 0
    assert not owner.tokens_being_read(1.0 + MAX_PREFILL_SECONDS)


def test_no_grant_without_engines() -> None:
    owner = grants()
    assert owner.grant("call", [], EngineQuestion(prompt("s")), CACHE_TOKENS, 1.0) is None
    assert not owner.tokens_being_read(1.0)


@given(
    steps=st.lists(
        st.tuples(st.sampled_from("abcdef"), st.booleans(), st.floats(0.0, 0.4)), max_size=60
    )
)
def test_tokens_being_read_are_those_of_open_grants(
    steps: list[tuple[str, bool, float]],
) -> None:
    owner = grants()
    open_grants: dict[str, float] = {}
    now = 0.0
    for call_id, done, pause in steps:
        now += pause
        if done:
            owner.release_grant(call_id)
            open_grants.pop(call_id, None)
        else:
            granted(owner, call_id, call_id, now)
            open_grants[call_id] = now + MAX_PREFILL_SECONDS
        waiting = [key for key, expires_at in open_grants.items() if expires_at > now]
        reading = owner.tokens_being_read(now)
        assert bool(reading) == bool(waiting)
        assert sum(reading.values()) <= 6_000 * len(waiting)
