"""Crashes that something else explains are no evidence against the parts that were there."""

from itertools import permutations

import pytest
from test_part_verdicts import BAD, FIRST, OTHER, blamed, crash, request, with_parts

from corkcrank.scheduling.crash_records import MAX_SETTLE_SECONDS, SETTLE_SECONDS
from corkcrank.scheduling.crash_reports import CrashReport
from corkcrank.scheduling.request_quarantine import RequestQuarantine

HELD_REQUEST_CRASHES = 3
OTHER_PARTS = [f"0{number}" * 8 for number in range(4)]


def early_crashes(part: str, count: int) -> list[CrashReport]:
    """Return crashes under different requests with a part, none of which had progressed."""
    return [crash(f"e{number}", with_parts(number, part)) for number in range(count)]


def late_crash(part: str, number: int) -> CrashReport:
    """Return a crash under a request with a part that had progressed."""
    return crash(f"l{number}", with_parts(100 + number, part, progressed=True))


def test_part_of_a_run_that_progressed_before_its_engine_crashed_is_not_held_after_three() -> None:
    """Guards against progress before a crash that speaks for the request, but not for its parts."""
    for reports in permutations([*early_crashes(FIRST, 3), late_crash(FIRST, 0)]):
        assert blamed(*reports) == set()


def test_run_that_progressed_speaks_for_its_part_before_its_crash_is_decidable() -> None:
    quarantine = RequestQuarantine()
    for number in range(3):
        quarantine.record_crash(request(number), f"e{number}", 0.0, parts=(FIRST,))
    quarantine.record_crash(request(100), "l0", 1.0, progressed=True, parts=(FIRST,))
    assert quarantine.next_decidable_at(SETTLE_SECONDS) == 1.0 + SETTLE_SECONDS
    assert quarantine.blamed_parts(SETTLE_SECONDS) == []
    assert quarantine.blamed_parts(1.0 + MAX_SETTLE_SECONDS) == []


@pytest.mark.parametrize("late", [1, 5])
def test_part_that_crashes_engines_early_and_late_is_found_by_five_early_crashes(late: int) -> None:
    reports = [*early_crashes(BAD, 5), *(late_crash(BAD, number) for number in range(late))]
    assert blamed(*reports) == {BAD}
    assert blamed(*reports[1:]) == set()


def test_part_is_not_held_for_a_request_that_was_at_each_crash_with_other_parts_too() -> None:
    """Guards against a request sent with other parts each time that counts for the first only."""
    reports = [
        crash("w0", with_parts(900, FIRST), with_parts(1, FIRST)),
        crash("w1", with_parts(900, OTHER), with_parts(2, FIRST), with_parts(3, FIRST)),
        crash("w2", with_parts(900, BAD), with_parts(4, FIRST), with_parts(5, OTHER)),
    ]
    for ordered in permutations(reports):
        assert blamed(*ordered) == set()


def held_request(number: int, *parts: str, succeeded: str) -> list[CrashReport]:
    """Return the crashes of a request that crashes engines by itself, beside sound requests."""
    first = number * HELD_REQUEST_CRASHES
    return [
        crash(
            f"w{worker}",
            with_parts(900 + number, *parts),
            with_parts(100 + worker, succeeded),
            with_parts(200 + worker, succeeded),
            succeeded=(succeeded,),
        )
        for worker in range(first, first + HELD_REQUEST_CRASHES)
    ]


def test_requests_held_by_themselves_are_not_among_the_five_against_their_usual_part() -> None:
    """Guards against two such requests that made three crashes for other reasons suffice."""
    crashes_for_other_reasons = [
        crash(f"o{number}", with_parts(number, FIRST), succeeded=(FIRST,)) for number in range(4)
    ]
    reports = [
        *held_request(0, FIRST, succeeded=FIRST),
        *held_request(1, FIRST, succeeded=FIRST),
        *crashes_for_other_reasons,
    ]
    assert blamed(*reports) == set()
    assert blamed(*reversed(reports)) == set()
    five = crash("o4", with_parts(4, FIRST), succeeded=(FIRST,))
    assert blamed(*reports, five) == {FIRST}


def requests_with_bad_part(crashes_by_request: list[int]) -> list[CrashReport]:
    """Return the crashes of requests with a bad part that succeeded before, beside sound ones."""
    numbers = [number for number, crashes in enumerate(crashes_by_request) for _ in range(crashes)]
    return [
        crash(
            f"w{worker}",
            with_parts(number, FIRST, BAD),
            with_parts(100 + worker, FIRST, OTHER_PARTS[worker % 4]),
            succeeded=(FIRST, BAD, *OTHER_PARTS),
        )
        for worker, number in enumerate(numbers)
    ]


@pytest.mark.parametrize("crashes_by_request", [[3, 3, 3, 3, 1], [3, 1, 1, 1, 1], [3, 3, 2, 1, 1]])
def test_part_whose_requests_are_held_by_themselves_is_found_by_the_fifth(
    crashes_by_request: list[int],
) -> None:
    """Guards against requests that are held for a bad part's crashes, and explain these."""
    reports = requests_with_bad_part(crashes_by_request)
    assert blamed(*reports) == {BAD}
    assert blamed(*reports[:-1]) == set()


def crashes_beside_a_rare_part() -> list[CrashReport]:
    """Return five crashes under a bad part; requests with a rarer one were at three of them."""
    neighbours = [(OTHER_PARTS[0],), (OTHER,), (OTHER,), (OTHER_PARTS[1],), (OTHER,)]
    return [
        crash(
            f"w{number}",
            with_parts(number, FIRST, BAD),
            with_parts(10 + number, FIRST, *parts),
            succeeded=(FIRST, *OTHER_PARTS),
        )
        for number, parts in enumerate(neighbours)
    ]


def test_rare_part_without_a_success_is_not_held_for_one_at_all_its_crashes_and_more() -> None:
    """Guards against a verdict on the part of fewer requests, which frees the bad part."""
    reports = crashes_beside_a_rare_part()
    assert blamed(*reports) == {BAD}
    assert blamed(*reversed(reports)) == {BAD}
    assert blamed(*reports[:3]) == {BAD}
