"""Verdicts that a known but undecided crash record contradicts.

Guards against a sound request that was quarantined at gateways that had just started: peers report
the records of old crashes one by one, and the one that blamed another request settled last.
"""

from collections.abc import Iterator

from corkcrank.scheduling.crash_records import MAX_SETTLE_SECONDS, SETTLE_SECONDS
from corkcrank.scheduling.crash_reports import CrashReport, RequestAtCrash
from corkcrank.scheduling.request_quarantine import RequestQuarantine, RequestState

CRASHING = "5" * 16
SOUND = "d" * 16
OTHER = "a" * 16
LATER_SECONDS = 0.03
STEP_SECONDS = 0.005


def report(worker_id: str, *requests: str, age: float = 6.0) -> CrashReport:
    items = [RequestAtCrash(request) for request in requests]
    return CrashReport.from_requests(worker_id, age, items, incomplete=False)


def started_gateway() -> RequestQuarantine:
    """Return the evidence of a gateway to which peers report old crashes, the first one last."""
    quarantine = RequestQuarantine()
    for record in (
        report("seven 1", CRASHING, SOUND),
        report("nine 1", CRASHING, SOUND),
        report("nine 2", SOUND, OTHER),
    ):
        quarantine.apply_report(record, 0.0)
    quarantine.apply_report(report("eight 1", CRASHING), LATER_SECONDS)
    return quarantine


def times_until(end: float) -> Iterator[float]:
    for step in range(int(end / STEP_SECONDS) + 1):
        yield step * STEP_SECONDS


def test_a_sound_request_is_not_quarantined_before_the_record_that_clears_it_settles() -> None:
    quarantine = started_gateway()
    for now in times_until(MAX_SETTLE_SECONDS + 1.0):
        assert quarantine.state(SOUND, now) is RequestState.SUSPECTED, now


def test_the_crashing_request_is_quarantined_once_all_records_have_settled() -> None:
    quarantine = started_gateway()
    settled = LATER_SECONDS + SETTLE_SECONDS
    assert quarantine.state(CRASHING, settled) is RequestState.QUARANTINED
    assert quarantine.blamed_requests(settled) == [CRASHING]


def test_a_request_with_a_contradicted_verdict_waits_for_the_next_record_to_settle() -> None:
    """It may have crashed the workers, so that it must not be sent meanwhile."""
    quarantine = started_gateway()
    now = SETTLE_SECONDS + LATER_SECONDS / 2
    assert 0.0 < quarantine.seconds_to_wait(SOUND, now) <= LATER_SECONDS
    assert quarantine.is_undecided(SOUND, now)
