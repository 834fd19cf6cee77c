"""Tests ``corkcrank losses``: the outcome of retries after a refusal with a retry delay."""

from pathlib import Path

import pytest
from test_held_calls import ended, printed, stories_of

from corkcrank.reports.call_story import Loss
from corkcrank.reports.sent_back import RetryOutcome, sent_back

# In the first second 3 of 4 calls are refused, in the second 1 of 2, in the third 1 of 4.
LINES = [
    # Retried on schedule, 0.03 s after the scheduled time, and was served in time.
    ended("CAPACITY_SHORT", 0.0, 0.1, left=10.0, retry_after=1.0),
    ended("200", 0.5, 1.13, left=8.47, returning=True),
    # Retried on schedule and was refused again: the caller's third call was late.
    ended("DRAINING", 0.0, 0.2, left=15.0, retry_after=1.5),
    ended("DRAINING", 0.0, 1.75, left=13.45, retry_after=0.4, returning=True),
    ended("200", 2.5, 2.17, left=10.53, returning=True),
    # Retried immediately and was served in time.
    ended("CAPACITY_SHORT", 0.0, 0.3, left=20.0, retry_after=2.0),
    ended("200", 0.5, 0.31, left=19.49),
    # Did not retry. Another caller, who waits longer, arrives at the scheduled time.
    ended("CAPACITY_SHORT", 0.0, 2.4, left=5.0, retry_after=0.5),
    ended("200", 0.5, 2.93, left=9.5, returning=True),
    # A refusal without a retry delay, and the deadline of a caller of another tenant.
    ended("DEADLINE_EXCEEDED", 0.9, 2.92, left=3.6, tenant="taipei", returning=True),
]


def test_retries_are_counted_by_cause_load_and_outcome() -> None:
    report = sent_back(stories_of(LINES))
    groups = {(group.cause, group.band): group for group in report.groups}
    assert {key: group.refused for key, group in groups.items()} == {
        (Loss.FORECAST, 0): 1,
        (Loss.FORECAST, 2): 2,
        (Loss.STOPPING, 1): 1,
        (Loss.STOPPING, 2): 1,
    }
    assert groups[Loss.FORECAST, 2].returns == {RetryOutcome.IN_TIME: 1}
    assert groups[Loss.FORECAST, 2].early == {RetryOutcome.IN_TIME: 1}
    assert groups[Loss.STOPPING, 2].returns == {RetryOutcome.REFUSED: 1}
    assert groups[Loss.STOPPING, 1].returns == {RetryOutcome.LATE: 1}
    assert groups[Loss.FORECAST, 0].returns.total() == 0


def test_calls_without_a_match_are_counted() -> None:
    report = sent_back(stories_of([*LINES, ended("NO_BACKEND", 0.0, 9.0)]))
    assert (report.returning, report.unmatched, report.without_retry_delay) == (5, 2, 1)


def test_a_resumed_stream_counts_neither_as_late_nor_as_a_retry_of_a_refused_call() -> None:
    resumed = ended("200", 3.0, 5.0, returning=True, resume_after="7")
    (story,) = stories_of([resumed])
    assert story.loss is Loss.NONE
    report = sent_back([story])
    assert (report.returning, report.unmatched) == (0, 0)


@pytest.mark.parametrize(
    ("arrives", "found"), [(1.94, 0), (1.96, 1), (2.0, 1), (2.19, 1), (2.21, 0)]
)
def test_retry_is_matched_near_its_scheduled_time(arrives: float, found: int) -> None:
    refusal = ended("CAPACITY_SHORT", 0.0, 1.0, left=10.0, retry_after=1.0)
    back = ended("STAGE_FAILED", 0.5, arrives, left=11.0 - arrives - 0.5)
    (group,) = sent_back(stories_of([refusal, back])).groups
    assert group.returns.total() == found
    assert group.returns[RetryOutcome.FAILED] == found


def test_nearest_retry_is_matched_and_each_only_once() -> None:
    refusals = [
        ended("CAPACITY_SHORT", 0.0, 1.0, left=10.0, retry_after=1.0),
        ended("CAPACITY_SHORT", 0.0, 1.02, left=10.0, retry_after=1.0),
    ]
    near = ended("200", 0.5, 2.03, left=8.5)
    assert _returns([*refusals, near]) == {RetryOutcome.IN_TIME: 1}
    far = ended("200", 3.0, 2.15, left=5.86)
    assert _returns([*refusals, near, far]) == {RetryOutcome.IN_TIME: 1, RetryOutcome.LATE: 1}


def _returns(lines: list[dict[str, object]]) -> dict[RetryOutcome, int]:
    (group,) = sent_back(stories_of(lines)).groups
    return dict(group.returns)


def test_command_prints_refused_callers(tmp_path: Path) -> None:
    lines = printed(tmp_path, LINES)
    assert "refused: forecast <0.33 1 0 0 0 0 0 - 0 (0)" in lines
    assert "refused: forecast >=0.67 2 1 1 0 0 0 1.00 1 (1)" in lines
    assert "refused: gateway stopping <0.67 1 1 0 1 0 0 0.00 0 (0)" in lines
    assert "refused: gateway stopping >=0.67 1 1 0 0 1 0 0.00 0 (0)" in lines
    assert any(line.startswith("2 of 5 calls of returning callers fit no") for line in lines)
