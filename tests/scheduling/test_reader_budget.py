"""The budget for callers that do not read, in virtual time."""

from collections.abc import Iterator

import pytest

from corkcrank.contracts.memory import BYTES_PER_MB, IDLE_MEMORY_MB
from corkcrank.scheduling.reader_budget import (
    MAX_READ_AHEAD_BYTES,
    MAX_READ_AHEADS,
    MIN_UNREAD_SECONDS,
    READ_AHEAD_BYTES,
    READ_AHEAD_SHARE,
    UNREAD_SECONDS,
    CutCause,
    Observation,
    ReaderBudget,
    readers_bound_bytes,
)

SWEEP_SECONDS = 0.25
MEMORY_MB = 160.0
CALLERS = 300
STUCK_BYTES = 130_000
"""About what a gateway keeps for one caller that reads nothing of a long stream."""

WORKER_CUT_SECONDS = 3.0
"""Shortest time after which a worker cuts an answer that sits unread."""


def sweeps(seconds: float, start: float = 0.0) -> Iterator[float]:
    count = int(seconds / SWEEP_SECONDS)
    yield from (start + number * SWEEP_SECONDS for number in range(1, count + 1))


def stuck(kept: int = STUCK_BYTES, mark: int = 0) -> Observation:
    return Observation(kept, mark, worker_waits=True)


def test_300_callers_that_stop_reading_stay_within_the_bound_of_160_mb() -> None:
    bound = readers_bound_bytes(MEMORY_MB)
    budget: ReaderBudget[str] = ReaderBudget(bound)
    held = {f"c{number}" for number in range(CALLERS)}
    for name in sorted(held):
        budget.observe(name, stuck(), 0.0)
    unbounded = budget.kept_bytes
    assert unbounded == CALLERS * STUCK_BYTES
    assert unbounded + IDLE_MEMORY_MB * BYTES_PER_MB < MEMORY_MB * BYTES_PER_MB
    for now in sweeps(1.0):
        for name in sorted(held):
            budget.observe(name, stuck(), now)
        held -= {cut.reader for cut in budget.memory_cuts(now)}
        assert budget.kept_bytes <= bound
    assert len(held) == bound // STUCK_BYTES


def test_who_holds_most_for_longest_is_cut_and_a_caller_that_reads_is_not() -> None:
    budget: ReaderBudget[str] = ReaderBudget(1_000)
    budget.observe("long", stuck(300), 0.0)
    budget.observe("reading", stuck(600), 0.0)
    budget.observe("short", stuck(400), 0.4)
    budget.observe("reading", stuck(600, mark=1), 0.4)
    cuts = budget.memory_cuts(0.5)
    assert [(cut.reader, cut.cause, cut.kept_bytes) for cut in cuts] == [
        ("long", CutCause.MEMORY, 300)
    ]
    assert set(budget.readers()) == {"reading", "short"}


def test_a_caller_that_has_just_read_is_not_cut_for_memory() -> None:
    budget: ReaderBudget[str] = ReaderBudget(1_000)
    budget.observe("large", Observation(5_000, 0), 0.0)
    for mark, now in enumerate(sweeps(3.0), start=1):
        budget.observe("large", Observation(5_000, mark), now)
        assert budget.memory_cuts(now) == []
    assert budget.memory_cuts(3.0 + MIN_UNREAD_SECONDS)[0].reader == "large"


def test_a_caller_that_reads_nothing_is_cut_before_its_worker_would_cut_it() -> None:
    budget: ReaderBudget[str] = ReaderBudget()
    budget.observe("c", stuck(), 0.0)
    cut_at = []
    for now in sweeps(WORKER_CUT_SECONDS):
        cut_at += [now for _ in budget.unread_cuts(now)]
    assert cut_at == [UNREAD_SECONDS]
    assert cut_at[0] < WORKER_CUT_SECONDS
    assert budget.kept_bytes == 0


def test_a_worker_sends_on_in_time_for_a_caller_that_shows_its_reads_late() -> None:
    """Guards against a cut between two openings of the window of a caller that reads slowly."""
    opening_seconds = 6.5
    budget: ReaderBudget[str] = ReaderBudget(readers_bound_bytes(MEMORY_MB))
    budget.observe("c", stuck(), 0.0)
    sent_on_at, kept = 0.0, STUCK_BYTES
    for now in sweeps(60.0):
        openings = int(now / opening_seconds)
        budget.observe("c", stuck(kept, mark=openings), now)
        for _ in budget.read_aheads(now):
            assert now - sent_on_at < WORKER_CUT_SECONDS
            sent_on_at = now
        assert now - sent_on_at < WORKER_CUT_SECONDS
        assert budget.unread_cuts(now) == []
        assert budget.memory_cuts(now) == []


def test_a_caller_that_reads_nothing_is_cut_after_its_worker_has_sent_on_in_vain() -> None:
    budget: ReaderBudget[str] = ReaderBudget(readers_bound_bytes(MEMORY_MB))
    budget.observe("c", stuck(), 0.0)
    sent_on_at, cut_at, kept = [], [], STUCK_BYTES
    for now in sweeps(30.0):
        if not cut_at:
            budget.observe("c", stuck(kept), now)
        for _ in budget.read_aheads(now):
            sent_on_at.append(now)
            kept += READ_AHEAD_BYTES
        cut_at += [now for _ in budget.unread_cuts(now)]
    times = [UNREAD_SECONDS * number for number in range(1, MAX_READ_AHEADS + 2)]
    assert [*sent_on_at, *cut_at] == times
    assert kept == STUCK_BYTES + MAX_READ_AHEADS * READ_AHEAD_BYTES


def test_no_worker_sends_on_while_memory_is_short() -> None:
    bound = readers_bound_bytes(MEMORY_MB)
    budget: ReaderBudget[str] = ReaderBudget(bound)
    count = int(bound * READ_AHEAD_SHARE) // STUCK_BYTES + 1
    for number in range(count):
        budget.observe(str(number), stuck(), 0.0)
    cuts = []
    for now in sweeps(UNREAD_SECONDS):
        assert budget.read_aheads(now) == []
        cuts += budget.unread_cuts(now)
    assert len(cuts) == count


def test_workers_that_send_on_at_once_stay_within_their_share_of_the_bound() -> None:
    bound = readers_bound_bytes(MEMORY_MB)
    budget: ReaderBudget[str] = ReaderBudget(bound)
    count = int(bound * READ_AHEAD_SHARE) // STUCK_BYTES - 1
    for number in range(count):
        budget.observe(str(number), stuck(), 0.0)
    chosen = [reader for now in sweeps(UNREAD_SECONDS) for reader in budget.read_aheads(now)]
    assert 0 < len(chosen) < count
    assert budget.kept_bytes + len(chosen) * READ_AHEAD_BYTES <= bound * READ_AHEAD_SHARE


def test_no_worker_sends_on_for_a_caller_that_holds_much() -> None:
    budget: ReaderBudget[str] = ReaderBudget(readers_bound_bytes(MEMORY_MB))
    budget.observe("c", stuck(MAX_READ_AHEAD_BYTES), 0.0)
    assert [reader for now in sweeps(10.0) for reader in budget.read_aheads(now)] == []


def test_a_caller_that_resumes_is_served_on() -> None:
    budget: ReaderBudget[str] = ReaderBudget(10 * STUCK_BYTES)
    budget.observe("c", stuck(), 0.0)
    for now in sweeps(12.0):
        resumes = now % (UNREAD_SECONDS - SWEEP_SECONDS) == 0
        if resumes:
            budget.observe("c", stuck(mark=int(now * 100)), now)
        assert budget.unread_cuts(now) == []
        assert budget.memory_cuts(now) == []
    budget.observe("c", Observation(0, 0), 12.0)
    assert (budget.readers(), budget.kept_bytes) == ([], 0)


def test_a_caller_whose_worker_has_sent_everything_is_not_cut_for_time() -> None:
    budget: ReaderBudget[str] = ReaderBudget()
    for now in sweeps(30.0):
        budget.observe("c", Observation(STUCK_BYTES, 0, worker_waits=False), now)
        assert budget.unread_cuts(now) == []


@pytest.mark.parametrize("jump", [3.0, 600.0])
def test_time_in_which_the_process_stood_still_counts_for_nobody(jump: float) -> None:
    budget: ReaderBudget[str] = ReaderBudget(STUCK_BYTES)
    for name in ("a", "b"):
        budget.observe(name, stuck(), 0.0)
    assert budget.unread_cuts(jump) == []
    cuts = [cut for now in sweeps(UNREAD_SECONDS, jump) for cut in budget.unread_cuts(now)]
    assert len(cuts) == 2
    assert all(cut.unread_seconds >= UNREAD_SECONDS for cut in cuts)


def test_unknown_memory_sets_no_bound() -> None:
    budget: ReaderBudget[str] = ReaderBudget(readers_bound_bytes(0.0))
    for number in range(CALLERS):
        budget.observe(str(number), stuck(), 0.0)
    assert budget.memory_cuts(1.9) == []
    assert len(budget) == CALLERS
