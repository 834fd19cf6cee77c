"""Successes of prompt parts that a gateway reads from the rows of several gateways."""

import pytest

from corkcrank.scheduling.part_successes import SUCCESS_MEMORY_SECONDS
from corkcrank.scheduling.request_quarantine import RequestQuarantine

EARLIER, LATER = 100.0, 690.0


@pytest.mark.parametrize("times", [(EARLIER, LATER), (LATER, EARLIER)])
def test_newest_of_several_restored_successes_counts(times: tuple[float, float]) -> None:
    """Guards against a part that is unproven although a later row tells of its success."""
    quarantine = RequestQuarantine()
    for at in times:
        quarantine.record_progress(["p"], at, LATER, restored=True)
    now = EARLIER + SUCCESS_MEMORY_SECONDS + 1.0
    assert quarantine.part_successes.latest("p", now) == LATER
