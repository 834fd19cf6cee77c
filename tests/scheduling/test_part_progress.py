"""A part without a success since its crashes is held only if runs with other parts had one."""

from itertools import permutations

from test_part_verdicts import crash, with_parts

from corkcrank.scheduling.crash_records import CrashRecords
from corkcrank.scheduling.crash_reports import CrashReport
from corkcrank.scheduling.part_verdicts import judge_parts

USUAL = [f"a{number}" * 8 for number in range(6)]
RARE = [f"b{number}" * 8 for number in range(4)]
OTHER_SERVICE = "c0" * 8


def blamed(*reports: CrashReport, progressed: tuple[tuple[str, float], ...] = ()) -> set[str]:
    """Return the parts to blame for crashes a second apart; ``progressed`` are later runs."""
    records = CrashRecords()
    for at, report in enumerate(reports):
        records.apply_report(report, float(at))
    for part, at in progressed:
        records.record_part_success(part, at, at)
    return set(judge_parts(records))


def crashes_among_usual_parts() -> list[CrashReport]:
    """Return five crashes for other reasons; the requests of one usual part were at each."""
    crashes = [
        (with_parts(1, USUAL[1]), with_parts(2, USUAL[4]), with_parts(3, USUAL[3])),
        (
            with_parts(4, USUAL[5]),
            with_parts(5, USUAL[4], RARE[2]),
            with_parts(1, USUAL[1]),
            with_parts(6, USUAL[0]),
        ),
        (
            with_parts(3, USUAL[0]),
            with_parts(7, USUAL[1]),
            with_parts(8, USUAL[5]),
            with_parts(9, USUAL[3]),
            with_parts(10, USUAL[4]),
        ),
        (with_parts(11, USUAL[1]), with_parts(12, USUAL[0]), with_parts(13, USUAL[4])),
        (
            with_parts(14, USUAL[2], RARE[3]),
            with_parts(15, USUAL[4]),
            with_parts(16, USUAL[0]),
            with_parts(12, USUAL[0]),
            with_parts(17, USUAL[2]),
        ),
    ]
    return [
        crash(f"w{number}", *requests, succeeded=tuple(USUAL))
        for number, requests in enumerate(crashes)
    ]


def test_usual_part_is_not_held_while_no_run_progresses() -> None:
    """Guards against a verdict for a missing success while no other part has one either."""
    for ordered in permutations(crashes_among_usual_parts()):
        assert blamed(*ordered) == set()


def test_usual_part_is_held_that_alone_has_no_success_since() -> None:
    reports = crashes_among_usual_parts()
    assert blamed(*reports, progressed=((USUAL[0], 5.0),)) == {USUAL[4]}
    assert blamed(*reports, progressed=((USUAL[0], 5.0), (USUAL[4], 5.0))) == set()


def test_run_that_progressed_after_some_crashes_only_is_no_evidence_on_later_ones() -> None:
    reports = crashes_among_usual_parts()
    assert blamed(*reports, progressed=((USUAL[1], 2.5),)) == set()


def test_run_of_another_service_that_progressed_is_no_evidence() -> None:
    """Guards against a verdict on a service where no run progresses, by runs of another one."""
    other = crash("v0", with_parts(50, OTHER_SERVICE))
    progressed = ((OTHER_SERVICE, 6.0),)
    assert blamed(*crashes_among_usual_parts(), other, progressed=progressed) == set()


def crashes_with_few_neighbours() -> list[CrashReport]:
    """Return six crashes under one usual part, and one without it, since any run progressed."""
    return [
        crash(f"w{number}", *requests, succeeded=tuple(USUAL))
        for number, requests in enumerate(
            [
                (with_parts(1, USUAL[4]), with_parts(2, USUAL[5], progressed=True)),
                (with_parts(3, USUAL[5]),),
                (with_parts(4, USUAL[4]), with_parts(5, USUAL[5])),
                (with_parts(4, USUAL[4]), with_parts(6, USUAL[4])),
                (with_parts(7, USUAL[0]), with_parts(3, USUAL[4]), with_parts(8, USUAL[4])),
                (with_parts(9, USUAL[4], RARE[0]),),
                (with_parts(10, USUAL[4]), with_parts(11, USUAL[4])),
            ]
        )
    ]


def test_usual_part_is_not_held_if_engines_crash_without_it_while_no_run_progresses() -> None:
    reports = crashes_with_few_neighbours()
    assert blamed(*reports) == set()
    assert blamed(*reversed(reports)) == set()
    assert blamed(*reports, progressed=((USUAL[0], 7.0),)) == {USUAL[4]}
