"""Each save of successful prompt parts is a priced call; what many runs share must not wait for it.

Guards against a call of each gateway every 2 s because each run brings a part of its own.
"""

from collections.abc import Iterable

import pytest

from corkcrank.scheduling.part_success_saves import (
    MAX_UNSAVED_SECONDS,
    MIN_USUAL_SUCCESSES,
    REFRESH_SECONDS,
    PartSuccessSaves,
)
from corkcrank.scheduling.part_successes import MAX_PARTS, PartSuccesses

CHECK_SECONDS = 2.0
ROW_PARTS = 512


class PlayedGateway:
    """Records successes in virtual time, and checks every 2 s whether to save them."""

    def __init__(self) -> None:
        self.successes = PartSuccesses()
        self.saves = PartSuccessSaves()
        self.now = 0.0
        self.saved_at: list[float] = []
        self.saved: set[str] = set()
        self.store_fails = False

    def run(self, *parts: str) -> None:
        """Have a run with these parts progress now."""
        for part in parts:
            self.successes.record(part, self.now)

    def check(self) -> None:
        """Wait until the next check, and save if it is due."""
        self.now += CHECK_SECONDS
        recent = self.successes.recent(ROW_PARTS, self.now)
        times = {part: int(at) for part, at in recent.items()}
        if not self.saves.is_due(times, self.successes.counts, self.now):
            return
        self.successes.reset_counts()
        self.saved_at.append(self.now)
        if self.store_fails:
            self.saves.record_failure()
            return
        self.saves.record_save(times, self.now)
        self.saved = set(times)


@pytest.fixture
def gateway() -> PlayedGateway:
    """Return a gateway that has saved the part ``usual``."""
    played = PlayedGateway()
    played.run("usual")
    played.check()
    assert played.saved_at == [CHECK_SECONDS]
    return played


def own_parts(first: int, count: int) -> Iterable[str]:
    return (f"own-{number}" for number in range(first, first + count))


def test_parts_of_single_runs_are_saved_together(gateway: PlayedGateway) -> None:
    checks = 150
    for number in range(checks):
        for part in own_parts(4 * number, 4):
            gateway.run("usual", part)
        gateway.check()
    assert len(gateway.saved_at) - 1 <= checks * CHECK_SECONDS / MAX_UNSAVED_SECONDS
    intervals = [b - a for a, b in zip(gateway.saved_at, gateway.saved_at[1:], strict=False)]
    assert set(intervals) == {MAX_UNSAVED_SECONDS}


def test_part_of_a_single_run_is_saved_in_the_end(gateway: PlayedGateway) -> None:
    gateway.run("own")
    while gateway.now < CHECK_SECONDS + MAX_UNSAVED_SECONDS:
        assert "own" not in gateway.saved
        gateway.check()
    assert "own" in gateway.saved


def test_new_part_of_several_runs_is_saved_at_the_next_check(gateway: PlayedGateway) -> None:
    for _ in range(MIN_USUAL_SUCCESSES):
        gateway.run("usual", "new")
    gateway.check()
    assert "new" in gateway.saved


def test_new_part_whose_runs_lie_apart_is_saved_at_the_next_check(gateway: PlayedGateway) -> None:
    for _ in range(MIN_USUAL_SUCCESSES):
        assert "new" not in gateway.saved
        gateway.run("usual", "new")
        gateway.check()
    assert "new" in gateway.saved


def test_rare_parts_of_a_busy_gateway_are_saved_together(gateway: PlayedGateway) -> None:
    for part in own_parts(0, 100):
        gateway.run("usual", part)
        gateway.run("usual", part)
    gateway.check()
    assert len(gateway.saved_at) == 1


def test_usual_part_of_a_busy_gateway_does_not_wait_with_rare_ones(gateway: PlayedGateway) -> None:
    for part in own_parts(0, 100):
        gateway.run("usual", part)
        gateway.run("new", part)
    gateway.check()
    assert "new" in gateway.saved


def test_failed_save_is_repeated_at_the_next_check(gateway: PlayedGateway) -> None:
    gateway.store_fails = True
    gateway.run("new")
    gateway.run("new")
    gateway.check()
    gateway.check()
    assert "new" not in gateway.saved
    gateway.store_fails = False
    gateway.check()
    assert "new" in gateway.saved


def test_known_parts_are_saved_again_only_when_their_times_are_old(gateway: PlayedGateway) -> None:
    while gateway.now < REFRESH_SECONDS:
        for _ in range(MIN_USUAL_SUCCESSES):
            gateway.run("usual")
        gateway.check()
    assert len(gateway.saved_at) == 1
    gateway.run("usual")
    gateway.check()
    assert len(gateway.saved_at) == 2


def test_new_part_after_a_start_is_saved_at_the_first_check() -> None:
    gateway = PlayedGateway()
    gateway.saves.record_read({"usual": 0})
    gateway.run("usual")
    gateway.check()
    assert gateway.saved_at == []
    gateway.run("new")
    gateway.check()
    assert gateway.saved == {"usual", "new"}


def test_counted_parts_are_bounded_while_nothing_is_saved() -> None:
    successes = PartSuccesses()
    for number in range(2 * MAX_PARTS):
        successes.record(f"part-{number}", float(number))
    assert len(successes.counts) == MAX_PARTS
